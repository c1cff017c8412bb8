// Package member keeps each process informed of the other processes and of the
// facts of the platform's store, by exchanges between processes.
//
// The decisions are apart from input and output: Members and Prober take the
// time as an argument and send nothing; Exchanger carries their messages.
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

// FactConfig is the name of the fact that holds the lists and keys; its value
// is a listpb.Config, its revision that of the store's key "config".
const FactConfig = "config"

// FactFleet is the prefix of the facts that hold a pool's backend servers; the
// value is a statepb.Fleet, the revision that of the store's key "fleet/POOL".
const FactFleet = "fleet/"

// newcomerTime is how long after its start a process takes a higher incarnation
// of its own name for an earlier run on a host whose clock went ahead.
const newcomerTime = 30 * time.Second

// Members is what a process knows of the others. It is safe for concurrent use.
type Members struct {
	// IsolationTimeout is the time for Isolated; set it before use. 0 turns it off.
	IsolationTimeout time.Duration

	mutex        sync.Mutex
	self         *peerpb.Process
	table        table
	rings        rings
	updates      updates
	facts        facts
	loads        map[string]*peerpb.Load
	stamps       stamps
	demands      keptDemands
	watchers     map[string][]func(*peerpb.Fact)
	withdrawn    []func(*peerpb.Withdrawal)
	roles        map[peerpb.Role][]*peerpb.Process
	rolesAt      uint64
	urgent       chan struct{}
	important    bool
	exchanged    time.Time
	started      time.Time
	synced       time.Time
	differs      bool
	replaced     bool
	predecessors predecessors
	// replacedBy holds, by name, the records that a later process has replaced.
	replacedBy map[string]*peerpb.Process

	expected   uint64
	expectedAt time.Time
}

// NewMembers returns what a process knows at its start: itself.
func NewMembers(self *peerpb.Process) *Members {
	m := &Members{
		self:     self,
		table:    newTable(),
		updates:  updates{},
		facts:    newFacts(),
		loads:    map[string]*peerpb.Load{},
		stamps:   stamps{},
		watchers: map[string][]func(*peerpb.Fact){},
		urgent:   make(chan struct{}, 1),

		replacedBy: map[string]*peerpb.Process{},
	}
	m.table.put(self, time.Time{})
	m.updates.add(self.GetName())
	return m
}

// NewMembersFrom returns what a process knows that has just taken over the
// table of another.
func NewMembersFrom(self *peerpb.Process, other *Members) *Members {
	m := NewMembers(self)
	other.mutex.Lock()
	defer other.mutex.Unlock()
	m.table = other.table.clone()
	m.table.put(self, time.Time{})
	m.updates = updates{}
	m.started = other.started
	return m
}

// All returns the records of all processes by name, those that failed or left
// lately among them.
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

// Digest returns the names and revisions of the facts known here, without values.
func (m *Members) Digest() []*peerpb.Fact {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.facts.digest()
}

// DropWithdrawal forgets a withdrawal that the configuration in force holds.
func (m *Members) DropWithdrawal(key string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.facts.drop(key)
}

// Fact returns the newest value known of a fact, or nil.
func (m *Members) Fact(name string) *peerpb.Fact {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.facts.held[name]
}

// Facts returns the facts whose name has the prefix, by name.
func (m *Members) Facts(prefix string) []*peerpb.Fact {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var found []*peerpb.Fact
	for name, fact := range m.facts.held {
		if strings.HasPrefix(name, prefix) {
			found = append(found, fact)
		}
	}
	slices.SortFunc(found, func(a, b *peerpb.Fact) int { return strings.Compare(a.GetName(), b.GetName()) })
	return found
}

// Load returns the newest load known of a backend server, or nil.
func (m *Members) Load(server string) *peerpb.Load {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.loads[server]
}

// Offer takes a fact if its revision is higher than the one known; a lower one
// is never taken. It reports whether it was taken.
func (m *Members) Offer(fact *peerpb.Fact) bool {
	m.mutex.Lock()
	if !m.facts.offer(fact) {
		m.mutex.Unlock()
		return false
	}
	watchers := m.matching(fact.GetName())
	m.important = true
	m.hurry()
	m.mutex.Unlock()
	for _, watcher := range watchers {
		watcher(fact)
	}
	return true
}

// OfferLoad takes a load if it is newer than the one known.
func (m *Members) OfferLoad(load *peerpb.Load) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.loads[load.GetServer()]
	if known == nil || known.GetSeq() < load.GetSeq() {
		m.loads[load.GetServer()] = load
	}
}

// OnFact calls watcher with each newer value of the facts whose name has the
// prefix, beginning with those known already.
func (m *Members) OnFact(prefix string, watcher func(*peerpb.Fact)) {
	m.mutex.Lock()
	m.watchers[prefix] = append(m.watchers[prefix], watcher)
	var known []*peerpb.Fact
	for name, fact := range m.facts.held {
		if strings.HasPrefix(name, prefix) {
			known = append(known, fact)
		}
	}
	m.mutex.Unlock()
	for _, fact := range known {
		watcher(fact)
	}
}

// OnWithdrawal calls watcher with each withdrawal that becomes known.
func (m *Members) OnWithdrawal(watcher func(*peerpb.Withdrawal)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.withdrawn = append(m.withdrawn, watcher)
}

// Process returns the record of a process in whatever state, or nil.
func (m *Members) Process(name string) *peerpb.Process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.get(name)
}

// Processes returns the processes of a role that are not known to have failed
// or left, by name; draining and suspected ones are among them. The slice is
// shared and must not be changed.
func (m *Members) Processes(role peerpb.Role) []*peerpb.Process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.present(role)
}

// Replaced reports whether a later process with this process's name is known.
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
	m.change(func(self *peerpb.Process) { self.SetAddress(address) })
}

// SetState sets the state in this process's own record.
func (m *Members) SetState(state peerpb.State) {
	m.change(func(self *peerpb.Process) {
		self.SetState(state)
		self.SetEnded(endedAt(state, time.Now()))
	})
}

// RecordStoreAnswer notes that the platform's store has answered just now.
func (m *Members) RecordStoreAnswer(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stamps.add(m.self.GetName(), now)
}

// Urgent gives a value once there is news that should not wait for the next
// exchange.
func (m *Members) Urgent() <-chan struct{} { return m.urgent }

// Withdraw takes a withdrawal; withdrawals only ever add up.
func (m *Members) Withdraw(withdrawal *peerpb.Withdrawal) bool {
	m.mutex.Lock()
	if !m.facts.withdraw(withdrawal) {
		m.mutex.Unlock()
		return false
	}
	watchers := slices.Clone(m.withdrawn)
	m.important = true
	m.hurry()
	m.mutex.Unlock()
	for _, watcher := range watchers {
		watcher(withdrawal)
	}
	return true
}

// Withdrawals returns the withdrawals that the configuration may not hold yet.
func (m *Members) Withdrawals() []*peerpb.Withdrawal {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.facts.listWithdrawals()
}

func (m *Members) change(change func(*peerpb.Process)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	next := proto.CloneOf(m.self)
	change(next)
	next.SetVersion(next.GetVersion() + 1)
	m.setSelf(next)
}

func (m *Members) hurry() {
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

func (m *Members) matching(name string) []func(*peerpb.Fact) {
	var found []func(*peerpb.Fact)
	for prefix, watchers := range m.watchers {
		if strings.HasPrefix(name, prefix) {
			found = append(found, watchers...)
		}
	}
	return found
}

// mergeProcess takes what is said of a process if it is newer. It reports
// whether the known record is newer, so that the other side should be told.
func (m *Members) mergeProcess(process *peerpb.Process, now time.Time) (outdated bool) {
	m.predecessors.note(m.self, process)
	if process.GetName() == m.self.GetName() {
		return m.mergeSelf(process, now)
	}
	known := m.table.get(process.GetName())
	if known != nil && !isNewer(process, known) {
		return isNewer(known, process)
	}
	process = complete(process, known)
	if process == nil || (known == nil && hasExpired(process, now)) {
		return false
	}
	m.setProcess(process, known, now)
	return false
}

// mergeSelf answers what others say of this process.
//
// A process that is slow or briefly cut off is suspected by the others, or
// taken as failed: it would get no more work although it runs. It learns so
// from the others' messages and raises its version, which goes before theirs.
func (m *Members) mergeSelf(process *peerpb.Process, now time.Time) (outdated bool) {
	own := m.self
	if !isNewer(process, own) {
		return false
	}
	if process.GetIncarnation() > own.GetIncarnation() && !m.isNewcomer(now) {
		if !m.replaced {
			klog.Errorf("member: a later process has this process's name %s", own.GetName())
		}
		m.replaced = true
		return false
	}
	next := proto.CloneOf(own)
	next.SetIncarnation(max(own.GetIncarnation(), process.GetIncarnation()))
	next.SetVersion(process.GetVersion() + 1)
	klog.Infof("member: others took this process as %s, it says it is %s", process.GetState(), own.GetState())
	m.setSelf(next)
	return true
}

func (m *Members) isNewcomer(now time.Time) bool {
	return !m.started.IsZero() && now.Sub(m.started) < newcomerTime
}

func (m *Members) present(role peerpb.Role) []*peerpb.Process {
	if m.roles == nil || m.rolesAt != m.table.version {
		m.roles, m.rolesAt = byRole(&m.table), m.table.version
	}
	return m.roles[role]
}

func (m *Members) setProcess(process, known *peerpb.Process, now time.Time) {
	if known == nil || known.GetState() != process.GetState() {
		klog.V(1).Infof("member: %s at %s is %s", process.GetName(), process.GetAddress(), process.GetState())
	}
	if !isPresent(process.GetState()) {
		delete(m.loads, process.GetServer())
	}
	if known.GetIncarnation() < process.GetIncarnation() {
		m.keepReplaced(known, now)
	}
	m.table.put(process, now)
	m.updates.add(process.GetName())
	m.hurry()
}

func (m *Members) setSelf(next *peerpb.Process) {
	m.self = next
	m.table.put(next, time.Time{})
	m.updates.add(next.GetName())
	m.important = true
	m.hurry()
}

func byRole(t *table) map[peerpb.Role][]*peerpb.Process {
	found := map[peerpb.Role][]*peerpb.Process{}
	for _, known := range t.records {
		if isPresent(known.process.GetState()) {
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
