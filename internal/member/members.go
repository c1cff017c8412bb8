// Package member replicates the membership list and the facts of the platform's
// store to all processes by gossip.
//
// Protocol logic is separate from I/O: Members and Prober take the time as an
// argument and send nothing; Exchanger sends their messages.
package member

import (
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// FactConfig is the name of the fact that holds the lists and keys. Its value is
// a listpb.Config; its revision is the revision of the store key "config".
const FactConfig = "config"

// FactFleet is the prefix of the facts that hold a pool's backend servers. The
// value is a statepb.Fleet; the revision is the revision of the store key "fleet/POOL".
const FactFleet = "fleet/"

// startupPeriod is how long after its start a process attributes a higher
// incarnation of its own name to an earlier run on a host whose clock was ahead.
const startupPeriod = 30 * time.Second

// Members holds the membership list and the facts that a process knows. It is safe for
// concurrent use.
type Members struct {
	// IsolationTimeout is the time without contact after which IsIsolated may return
	// true; it is set before use. 0 disables the check.
	IsolationTimeout time.Duration

	mutex              sync.Mutex
	self               *peerpb.Process
	table              table
	rings              rings
	updates            updates
	facts              facts
	loads              map[string]*peerpb.Load
	stamps             stamps
	demands            demandTable
	factWatchers       map[string][]func(*peerpb.Fact)
	withdrawalWatchers []func(*peerpb.Withdrawal)
	activeByRole       map[peerpb.Role][]*peerpb.Process
	activeVersion      uint64
	urgent             chan struct{}
	pushToAll          bool
	lastExchange       time.Time
	startedAt          time.Time
	lastSync           time.Time
	tableDiffers       bool
	replaced           bool
	startHistory       startHistory
	// replacedRecords holds, by name, the records replaced by a higher incarnation.
	replacedRecords map[string]*peerpb.Process

	requestedHash uint64
	requestedAt   time.Time
}

// NewMembers returns Members that know only the process itself.
func NewMembers(self *peerpb.Process) *Members {
	m := &Members{
		self:         self,
		table:        newTable(),
		updates:      updates{},
		facts:        newFacts(),
		loads:        map[string]*peerpb.Load{},
		stamps:       stamps{},
		factWatchers: map[string][]func(*peerpb.Fact){},
		urgent:       make(chan struct{}, 1),

		replacedRecords: map[string]*peerpb.Process{},
	}
	m.table.put(self, time.Time{})
	m.updates.add(self.GetName())
	return m
}

// NewMembersFrom returns Members for self with a copy of the table of other.
func NewMembersFrom(self *peerpb.Process, other *Members) *Members {
	m := NewMembers(self)
	other.mutex.Lock()
	defer other.mutex.Unlock()
	m.table = other.table.clone()
	m.table.put(self, time.Time{})
	m.updates = updates{}
	m.startedAt = other.startedAt
	return m
}

// All returns the records of all processes by name, including those that failed
// or left recently.
func (m *Members) All() []*peerpb.Process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var found []*peerpb.Process
	for _, known := range m.table.records {
		found = append(found, known.process)
	}
	slices.SortFunc(found, func(a, b *peerpb.Process) int { return strings.Compare(a.GetName(), b.GetName()) })
	return found
}

// Digest returns the names and revisions of the known facts without values.
func (m *Members) Digest() []*peerpb.Fact {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.facts.digest()
}

// DropWithdrawal deletes a withdrawal that the configuration in force contains.
func (m *Members) DropWithdrawal(key string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.facts.dropWithdrawal(key)
}

// Fact returns the newest known value of a fact, or nil.
func (m *Members) Fact(name string) *peerpb.Fact {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.facts.byName[name]
}

// Facts returns the facts whose name has the prefix, by name.
func (m *Members) Facts(prefix string) []*peerpb.Fact {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var found []*peerpb.Fact
	for name, fact := range m.facts.byName {
		if strings.HasPrefix(name, prefix) {
			found = append(found, fact)
		}
	}
	slices.SortFunc(found, func(a, b *peerpb.Fact) int { return strings.Compare(a.GetName(), b.GetName()) })
	return found
}

// Load returns the newest known load of a backend server, or nil.
func (m *Members) Load(server string) *peerpb.Load {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.loads[server]
}

// Offer stores a fact if its revision is higher than the known one, and reports
// whether it did. A lower revision is always rejected.
func (m *Members) Offer(fact *peerpb.Fact) bool {
	m.mutex.Lock()
	if !m.facts.offer(fact) {
		m.mutex.Unlock()
		return false
	}
	watchers := m.watchersOf(fact.GetName())
	m.pushToAll = true
	m.signalUrgent()
	m.mutex.Unlock()
	for _, watcher := range watchers {
		watcher(fact)
	}
	return true
}

// OfferLoad stores a load if it is newer than the known one.
func (m *Members) OfferLoad(load *peerpb.Load) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.loads[load.GetServer()]
	if known == nil || known.GetSeq() < load.GetSeq() {
		m.loads[load.GetServer()] = load
	}
}

// OnFact calls watcher with each newer value of the facts whose name has the
// prefix, starting with the known values.
func (m *Members) OnFact(prefix string, watcher func(*peerpb.Fact)) {
	m.mutex.Lock()
	m.factWatchers[prefix] = append(m.factWatchers[prefix], watcher)
	var known []*peerpb.Fact
	for name, fact := range m.facts.byName {
		if strings.HasPrefix(name, prefix) {
			known = append(known, fact)
		}
	}
	m.mutex.Unlock()
	for _, fact := range known {
		watcher(fact)
	}
}

// OnWithdrawal calls watcher with each new withdrawal.
func (m *Members) OnWithdrawal(watcher func(*peerpb.Withdrawal)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.withdrawalWatchers = append(m.withdrawalWatchers, watcher)
}

// Process returns the record of a process in any state, or nil.
func (m *Members) Process(name string) *peerpb.Process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.get(name)
}

// Processes returns the processes of a role that are not known to have failed or
// left, by name; this includes draining and suspected ones. The slice is shared
// and must not be changed.
func (m *Members) Processes(role peerpb.Role) []*peerpb.Process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.active(role)
}

// Replaced reports whether a process with this process's name and a higher
// incarnation is known.
func (m *Members) Replaced() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.replaced
}

// Self returns this process's own record.
func (m *Members) Self() *peerpb.Process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.self
}

// SetAddress sets the peer address in this process's own record.
func (m *Members) SetAddress(address string) {
	m.updateSelf(func(self *peerpb.Process) { self.SetAddress(address) })
}

// SetState sets the state in this process's own record.
func (m *Members) SetState(state peerpb.State) {
	m.updateSelf(func(self *peerpb.Process) {
		self.SetState(state)
		self.SetEnded(endedAt(state, time.Now()))
	})
}

// RecordStoreAnswer records that the platform's store answered at the given time.
func (m *Members) RecordStoreAnswer(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stamps.add(m.self.GetName(), now)
}

// Urgent returns a channel that receives a value when there are changes to push before
// the next exchange.
func (m *Members) Urgent() <-chan struct{} { return m.urgent }

// Withdraw stores a withdrawal and reports whether it is new; withdrawals are never revoked.
func (m *Members) Withdraw(withdrawal *peerpb.Withdrawal) bool {
	m.mutex.Lock()
	if !m.facts.addWithdrawal(withdrawal) {
		m.mutex.Unlock()
		return false
	}
	watchers := slices.Clone(m.withdrawalWatchers)
	m.pushToAll = true
	m.signalUrgent()
	m.mutex.Unlock()
	for _, watcher := range watchers {
		watcher(withdrawal)
	}
	return true
}

// Withdrawals returns the withdrawals that the configuration may not contain yet.
func (m *Members) Withdrawals() []*peerpb.Withdrawal {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.facts.listWithdrawals()
}

func (m *Members) updateSelf(modify func(*peerpb.Process)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	next := proto.CloneOf(m.self)
	modify(next)
	next.SetVersion(next.GetVersion() + 1)
	m.setSelf(next)
}

func (m *Members) signalUrgent() {
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

func (m *Members) watchersOf(name string) []func(*peerpb.Fact) {
	var found []func(*peerpb.Fact)
	for prefix, watchers := range m.factWatchers {
		if strings.HasPrefix(name, prefix) {
			found = append(found, watchers...)
		}
	}
	return found
}

// mergeProcess stores a received record if it is newer than the known one. It reports
// whether the known record is newer and should be sent back.
func (m *Members) mergeProcess(process *peerpb.Process, now time.Time) (outdated bool) {
	m.startHistory.observe(m.self, process)
	if process.GetName() == m.self.GetName() {
		return m.mergeSelf(process, now)
	}
	known := m.table.get(process.GetName())
	if known != nil && !isNewer(process, known) {
		return isNewer(known, process)
	}
	process = expand(process, known)
	if process == nil || (known == nil && hasExpired(process, now)) {
		return false
	}
	m.setProcess(process, known, now)
	return false
}

// mergeSelf refutes outdated records of this process.
//
// A process that is slow or briefly disconnected is suspected or marked as failed by
// the others, and would get no more work although it runs. When it receives such a
// record, it raises the version of its own record, which then takes precedence.
func (m *Members) mergeSelf(process *peerpb.Process, now time.Time) (outdated bool) {
	own := m.self
	if !isNewer(process, own) {
		return false
	}
	if process.GetIncarnation() > own.GetIncarnation() && !m.isStarting(now) {
		if !m.replaced {
			klog.Errorf("member: another process has this process's name %s and a higher incarnation", own.GetName())
		}
		m.replaced = true
		return false
	}
	next := proto.CloneOf(own)
	next.SetIncarnation(max(own.GetIncarnation(), process.GetIncarnation()))
	next.SetVersion(process.GetVersion() + 1)
	klog.Infof("member: refuting the reported state %s of this process with state %s", process.GetState(), own.GetState())
	m.setSelf(next)
	return true
}

func (m *Members) isStarting(now time.Time) bool {
	return !m.startedAt.IsZero() && now.Sub(m.startedAt) < startupPeriod
}

func (m *Members) active(role peerpb.Role) []*peerpb.Process {
	if m.activeByRole == nil || m.activeVersion != m.table.version {
		m.activeByRole, m.activeVersion = groupByRole(&m.table), m.table.version
	}
	return m.activeByRole[role]
}

func (m *Members) setProcess(process, known *peerpb.Process, now time.Time) {
	if known == nil || known.GetState() != process.GetState() {
		klog.V(1).Infof("member: %s at %s is %s", process.GetName(), process.GetAddress(), process.GetState())
	}
	if !isActive(process.GetState()) {
		delete(m.loads, process.GetServer())
	}
	if known.GetIncarnation() < process.GetIncarnation() {
		m.keepReplaced(known, now)
	}
	m.table.put(process, now)
	m.updates.add(process.GetName())
	m.signalUrgent()
}

func (m *Members) setSelf(next *peerpb.Process) {
	m.self = next
	m.table.put(next, time.Time{})
	m.updates.add(next.GetName())
	m.pushToAll = true
	m.signalUrgent()
}

func groupByRole(t *table) map[peerpb.Role][]*peerpb.Process {
	found := map[peerpb.Role][]*peerpb.Process{}
	for _, known := range t.records {
		if isActive(known.process.GetState()) {
			role := known.process.GetRole()
			found[role] = append(found[role], known.process)
		}
	}
	for role, processes := range found {
		slices.SortFunc(processes, func(a, b *peerpb.Process) int { return strings.Compare(a.GetName(), b.GetName()) })
		found[role] = slices.Clip(processes)
	}
	return found
}
