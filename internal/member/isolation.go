package member

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// IsIsolated reports whether this process can't know of changes by others: the
// store has answered neither this process nor, as far as is known, any other,
// and most processes of its region can't be heard either.
//
// A key may be withdrawn, or a non-idempotent request run, where a process
// that is alone can't see it; its own silence looks to it like an outage of
// the store. The difference is the other processes: in an outage they answer.
func (m *Members) IsIsolated(now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.IsolationTimeout <= 0 || now.Sub(m.stamps.heard()) < m.IsolationTimeout {
		return false
	}
	if now.Sub(m.exchanged) >= m.IsolationTimeout {
		return true
	}
	heard, lost := m.heardInRegion()
	return heard < lost
}

// StoreAge returns the time since the store answered anybody, as far as is
// known here; it is negative if no answer is known.
func (m *Members) StoreAge(now time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	heard := m.stamps.heard()
	if heard.IsZero() {
		return -1
	}
	return now.Sub(heard)
}

// heardInRegion counts the other processes of the region that are live and
// those that have failed lately. Another region that is lost altogether counts
// for nothing: each region goes on with what it has.
func (m *Members) heardInRegion() (heard, lost int) {
	for name, known := range m.table.records {
		process := known.process
		if name == m.self.GetName() || process.GetRegion() != m.self.GetRegion() {
			continue
		}
		switch process.GetState() {
		case peerpb.State_STATE_FAILED, peerpb.State_STATE_SUSPECT:
			lost++
		case peerpb.State_STATE_LEFT:
		default:
			heard++
		}
	}
	return heard, lost
}
