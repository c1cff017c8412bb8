package member

import (
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// TableDiffers reports whether the last message came from a table unlike this one.
func (m *Members) TableDiffers() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.differs
}

// IsResponsible reports whether this process is one of the first number entries of
// its zone for a task, ranked by rendezvous hashing among the live ones. Two
// processes can both believe so for a while: it saves work, it decides nothing.
func (m *Members) IsResponsible(task string, number int) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.self.GetRole() != peerpb.Role_ROLE_ENTRY {
		return false
	}
	own := rank(task, m.self)
	before := 0
	for _, process := range m.present(peerpb.Role_ROLE_ENTRY) {
		isOther := process.GetName() != m.self.GetName() && process.GetZone() == m.self.GetZone()
		if isOther && process.GetState() == peerpb.State_STATE_LIVE && rank(task, process) < own {
			before++
		}
	}
	return before < number
}

func rank(task string, process *peerpb.Process) uint64 {
	return mix(hashName(task) ^ hashName(process.GetName()))
}
