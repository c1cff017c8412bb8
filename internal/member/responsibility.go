package member

import (
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// TableDiffers reports whether the sender of the last message had a different table.
func (m *Members) TableDiffers() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.tableDiffers
}

// IsResponsible reports whether this process is one of the first number live entries of
// its zone in the rendezvous hash order of a task. The tables of processes may differ,
// so the result only saves work and gives no mutual exclusion.
func (m *Members) IsResponsible(task string, number int) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.self.GetRole() != peerpb.Role_ROLE_ENTRY {
		return false
	}
	ownRank := rank(task, m.self)
	preceding := 0
	for _, process := range m.active(peerpb.Role_ROLE_ENTRY) {
		isZonePeer := process.GetName() != m.self.GetName() && process.GetZone() == m.self.GetZone()
		if isZonePeer && process.GetState() == peerpb.State_STATE_LIVE && rank(task, process) < ownRank {
			preceding++
		}
	}
	return preceding < number
}

func rank(task string, process *peerpb.Process) uint64 {
	return mix(hashName(task) ^ hashName(process.GetName()))
}
