package member

import "github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"

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
	for name, process := range m.processes {
		if name != m.self.GetName() && process.GetIncarnation() < m.self.GetIncarnation() {
			return false
		}
	}
	return true
}
