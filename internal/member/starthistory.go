package member

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// startHistory tracks whether processes that started before this one are known.
type startHistory struct {
	// hasEarlier is true once an earlier process with this name or backend server is known.
	hasEarlier bool
	// hasOther is true once any other process is known; hasOlder is true once a process
	// that started before this one is known.
	hasOther bool
	hasOlder bool
}

// observe updates the history from a received record.
func (h *startHistory) observe(self, other *peerpb.Process) {
	isOlder := other.GetIncarnation() < self.GetIncarnation()
	isSame := other.GetName() == self.GetName() || self.GetServer() != "" && other.GetServer() == self.GetServer()
	if isSame {
		h.hasEarlier = h.hasEarlier || isOlder
		return
	}
	h.hasOther = h.hasOther || other.GetName() != ""
	h.hasOlder = h.hasOlder || isOlder && other.GetName() != ""
}

// IsFirstProcess reports whether this is known to be the first process with its name
// and backend server: other processes are known, and none has reported an earlier
// process. A process that isn't the first may have lost in-memory state in a restart.
func (m *Members) IsFirstProcess() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.startHistory.hasOther && !m.startHistory.hasEarlier && (m.startHistory.hasOlder || m.isOldest())
}

// isOldest reports whether no other known process started before this one.
func (m *Members) isOldest() bool {
	for name, known := range m.table.records {
		if name != m.self.GetName() && known.process.GetIncarnation() < m.self.GetIncarnation() {
			return false
		}
	}
	return true
}

// olderRecords returns the records that show a restarted process its earlier run:
// records with its name and a lower incarnation, and records of other names with the
// same backend server, in any state.
//
// The request of a restarted process replaces its earlier record in the table. If the
// answer did not contain the earlier record, no process would report the earlier run,
// and the restarted process would treat its empty state as complete.
func (m *Members) olderRecords(process *peerpb.Process) []*peerpb.Process {
	var found []*peerpb.Process
	for _, name := range append([]string{process.GetName()}, m.table.namesByServer[process.GetServer()]...) {
		known := m.table.get(name)
		if known != nil && known.GetIncarnation() < process.GetIncarnation() {
			found = appendUnique(found, known)
		}
	}
	if older := m.replacedRecords[process.GetName()]; older != nil {
		found = append(found, older)
	}
	return found
}

// keepReplaced keeps a record that is replaced by a higher incarnation.
func (m *Members) keepReplaced(known *peerpb.Process, now time.Time) {
	if known == nil {
		return
	}
	older := proto.CloneOf(known)
	older.SetState(peerpb.State_STATE_FAILED)
	older.SetEnded(now.Unix())
	m.replacedRecords[known.GetName()] = older
}

// forgetReplaced deletes expired replaced records.
func (m *Members) forgetReplaced(now time.Time) {
	for name, older := range m.replacedRecords {
		if hasExpired(older, now) {
			delete(m.replacedRecords, name)
		}
	}
}
