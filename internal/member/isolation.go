package member

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// IsIsolated reports whether this process can't learn of changes by others: the
// store has answered neither this process nor, as far as is known, any other, and
// most processes of its region are unreachable too.
//
// An isolated process doesn't see that a key was withdrawn or that a
// non-idempotent request ran elsewhere. To it, its own partition looks like a
// store outage. The other processes tell the two apart: during an outage they still answer.
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

// StoreAge returns the time since the store last answered any process, as far as
// is known here, or a negative value if no answer is known.
func (m *Members) StoreAge(now time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	lastAnswer := m.stamps.lastAnswer()
	if lastAnswer.IsZero() {
		return -1
	}
	return now.Sub(lastAnswer)
}

// countInRegion counts the reachable other processes of the region and those that
// are suspected or have failed. Other regions are ignored, so that the loss of a
// whole region isolates no other one.
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
