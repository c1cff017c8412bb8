package member

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// ancestry is what the others know of processes before this one.
type ancestry struct {
	// earlier is true once an earlier process of this name or server was heard of.
	earlier bool
	// heard is true once any other process was heard of, elder once one was
	// that started before this one.
	heard bool
	elder bool
}

// note takes another process's record.
func (a *ancestry) note(self, other *peerpb.Process) {
	isElder := other.GetIncarnation() < self.GetIncarnation()
	isSame := other.GetName() == self.GetName() || self.GetServer() != "" && other.GetServer() == self.GetServer()
	if isSame {
		a.earlier = a.earlier || isElder
		return
	}
	a.heard = a.heard || other.GetName() != ""
	a.elder = a.elder || isElder && other.GetName() != ""
}

// IsFirst reports whether this is known to be the first process of its name and
// backend server: others were heard of, and none knows an earlier one. A
// process that was started again has lost what it kept in memory.
func (m *Members) IsFirst() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.ancestry.heard && !m.ancestry.earlier && (m.ancestry.elder || m.isEldest())
}

// isEldest reports whether no other known process started before this one.
func (m *Members) isEldest() bool {
	for name, known := range m.table.records {
		if name != m.self.GetName() && known.process.GetIncarnation() < m.self.GetIncarnation() {
			return false
		}
	}
	return true
}

// elders returns the records by which a process that was started again learns
// of the earlier one: those of its name with a lower incarnation, and those of
// other names beside the same backend server, in whatever state.
//
// A process that asks replaces its earlier record here by asking. Without this
// answer nobody would tell it that there was one, and it would take its empty
// memory for whole.
func (m *Members) elders(process *peerpb.Process) []*peerpb.Process {
	var found []*peerpb.Process
	for _, name := range append([]string{process.GetName()}, m.table.servers[process.GetServer()]...) {
		known := m.table.get(name)
		if known != nil && known.GetIncarnation() < process.GetIncarnation() {
			found = appendOnce(found, known)
		}
	}
	if elder := m.replacedBy[process.GetName()]; elder != nil {
		found = append(found, elder)
	}
	return found
}

// noteElder keeps the record that a later process of its name replaces.
func (m *Members) noteElder(known *peerpb.Process, now time.Time) {
	if known == nil {
		return
	}
	elder := proto.CloneOf(known)
	elder.SetState(peerpb.State_STATE_FAILED)
	elder.SetEnded(now.Unix())
	m.replacedBy[known.GetName()] = elder
}

// forgetElders drops the records that were replaced long ago.
func (m *Members) forgetElders(now time.Time) {
	for name, elder := range m.replacedBy {
		if hasExpired(elder, now) {
			delete(m.replacedBy, name)
		}
	}
}
