package member

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// predecessors is what the others know of processes before this one.
type predecessors struct {
	// earlier is true once an earlier process of this name or server was heard of.
	earlier bool
	// heard is true once any other process was heard of, older once one was
	// that started before this one.
	heard bool
	older bool
}

// note takes another process's record.
func (p *predecessors) note(self, other *peerpb.Process) {
	isOlder := other.GetIncarnation() < self.GetIncarnation()
	isSame := other.GetName() == self.GetName() || self.GetServer() != "" && other.GetServer() == self.GetServer()
	if isSame {
		p.earlier = p.earlier || isOlder
		return
	}
	p.heard = p.heard || other.GetName() != ""
	p.older = p.older || isOlder && other.GetName() != ""
}

// IsFirstProcess reports whether this is known to be the first process of its name and
// backend server: others were heard of, and none knows an earlier one. A
// process that was started again has lost what it kept in memory.
func (m *Members) IsFirstProcess() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.predecessors.heard && !m.predecessors.earlier && (m.predecessors.older || m.isOldest())
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

// olderRecords returns the records by which a process that was started again learns
// of the earlier one: those of its name with a lower incarnation, and those of
// other names beside the same backend server, in whatever state.
//
// A process that asks replaces its earlier record here by asking. Without this
// answer nobody would tell it that there was one, and it would take its empty
// memory for whole.
func (m *Members) olderRecords(process *peerpb.Process) []*peerpb.Process {
	var found []*peerpb.Process
	for _, name := range append([]string{process.GetName()}, m.table.servers[process.GetServer()]...) {
		known := m.table.get(name)
		if known != nil && known.GetIncarnation() < process.GetIncarnation() {
			found = appendOnce(found, known)
		}
	}
	if older := m.replacedBy[process.GetName()]; older != nil {
		found = append(found, older)
	}
	return found
}

// keepReplaced keeps the record that a later process of its name replaces.
func (m *Members) keepReplaced(known *peerpb.Process, now time.Time) {
	if known == nil {
		return
	}
	older := proto.CloneOf(known)
	older.SetState(peerpb.State_STATE_FAILED)
	older.SetEnded(now.Unix())
	m.replacedBy[known.GetName()] = older
}

// forgetReplaced drops the records that were replaced long ago.
func (m *Members) forgetReplaced(now time.Time) {
	for name, older := range m.replacedBy {
		if hasExpired(older, now) {
			delete(m.replacedBy, name)
		}
	}
}
