// Package member keeps each process informed of the other processes and of the
// facts of the platform's store, by exchanges between processes.
package member

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// FactConfig is the name of the fact that holds the lists and keys; its value
// is a listpb.Config, its revision that of the store's key "config".
const FactConfig = "config"

// FactFleet is the prefix of the facts that hold a pool's backend servers; the
// value is a statepb.Fleet, the revision that of the store's key "fleet/POOL".
const FactFleet = "fleet/"

// Members is what a process knows of the others. It is safe for concurrent use.
type Members struct {
	mutex       sync.Mutex
	self        *peerpb.Process
	processes   map[string]*peerpb.Process
	facts       map[string]*peerpb.Fact
	withdrawals map[string]*peerpb.Withdrawal
	loads       map[string]*peerpb.Load
	watchers    map[string][]func(*peerpb.Fact)
	withdrawn   []func(*peerpb.Withdrawal)
	storeHeard  time.Time
	demands     keptDemands
	ancestry    ancestry
}

// NewMembers returns what a process knows at its start: itself.
func NewMembers(self *peerpb.Process) *Members {
	return &Members{
		self:        self,
		processes:   map[string]*peerpb.Process{self.GetName(): self},
		facts:       map[string]*peerpb.Fact{},
		withdrawals: map[string]*peerpb.Withdrawal{},
		loads:       map[string]*peerpb.Load{},
		watchers:    map[string][]func(*peerpb.Fact){},
	}
}

// Fact returns the newest value known of a fact, or nil.
func (m *Members) Fact(name string) *peerpb.Fact {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.facts[name]
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
	known := m.facts[fact.GetName()]
	if known != nil && known.GetRevision() >= fact.GetRevision() {
		m.mutex.Unlock()
		return false
	}
	m.facts[fact.GetName()] = fact
	watchers := m.matching(fact.GetName())
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

// OnFact calls watcher with each newer value of the facts whose name has the prefix.
func (m *Members) OnFact(prefix string, watcher func(*peerpb.Fact)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.watchers[prefix] = append(m.watchers[prefix], watcher)
}

// OnWithdrawal calls watcher with each withdrawal that becomes known.
func (m *Members) OnWithdrawal(watcher func(*peerpb.Withdrawal)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.withdrawn = append(m.withdrawn, watcher)
}

// Processes returns the processes of a role that are not known to have failed
// or left, by name; draining and suspected ones are among them.
func (m *Members) Processes(role peerpb.Role) []*peerpb.Process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var found []*peerpb.Process
	for _, process := range m.processes {
		if process.GetRole() == role && isPresent(process.GetState()) {
			found = append(found, process)
		}
	}
	slices.SortFunc(found, func(a, b *peerpb.Process) int { return strings.Compare(a.GetName(), b.GetName()) })
	return found
}

// Self returns this process's own record.
func (m *Members) Self() *peerpb.Process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.self
}

// StoreHeard notes that the platform's store has answered just now.
func (m *Members) StoreHeard(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if now.After(m.storeHeard) {
		m.storeHeard = now
	}
}

// Withdraw takes a withdrawal; withdrawals only ever add up.
func (m *Members) Withdraw(withdrawal *peerpb.Withdrawal) bool {
	m.mutex.Lock()
	if m.withdrawals[withdrawal.GetKey()] != nil {
		m.mutex.Unlock()
		return false
	}
	m.withdrawals[withdrawal.GetKey()] = withdrawal
	watchers := slices.Clone(m.withdrawn)
	m.mutex.Unlock()
	for _, watcher := range watchers {
		watcher(withdrawal)
	}
	return true
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

func isPresent(state peerpb.State) bool {
	return state != peerpb.State_STATE_LEFT && state != peerpb.State_STATE_FAILED
}
