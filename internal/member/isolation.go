package member

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// IsIsolated reports whether this process can't receive the changes of others: no
// recent answer of the store to any process is known here, and either no peer was
// reached recently or most processes of the region are unreachable.
//
// An isolated process gets no withdrawals of keys and doesn't know which non-idempotent
// requests ran elsewhere. Isolation differs from a store outage in that the other
// processes don't answer either.
func (m *Members) IsIsolated(now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.IsolationTimeout <= 0 || now.Sub(m.stamps.lastAnswer()) < m.IsolationTimeout {
		return false
	}
	if now.Sub(m.lastExchange) >= m.IsolationTimeout {
		return true
	}
	reachable, unreachable := m.countInRegion()
	return reachable < unreachable
}

// StoreAge returns the time since the last known answer of the store to any process, or
// a negative value if no answer is known.
func (m *Members) StoreAge(now time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	lastAnswer := m.stamps.lastAnswer()
	if lastAnswer.IsZero() {
		return -1
	}
	return now.Sub(lastAnswer)
}

// countInRegion counts the other processes of this region that are reachable, and those
// that are suspected or have failed. Other regions are ignored, so that the loss of one
// region doesn't isolate the processes of another.
func (m *Members) countInRegion() (reachable, unreachable int) {
	for name, known := range m.table.records {
		process := known.process
		if name == m.self.GetName() || process.GetRegion() != m.self.GetRegion() {
			continue
		}
		switch process.GetState() {
		case peerpb.State_STATE_FAILED, peerpb.State_STATE_SUSPECT:
			unreachable++
		case peerpb.State_STATE_LEFT:
		default:
			reachable++
		}
	}
	return reachable, unreachable
}
