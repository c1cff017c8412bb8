package usage

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// replicaCount is the number of entries that hold copies of a process's counters.
const replicaCount = 2

// ReplicaEntries returns the entries that hold copies of a process's counters: the
// first in rendezvous hash order, in different zones and outside the zone of the
// process if there are enough zones. It skips draining entries.
func ReplicaEntries(process *peerpb.Process, entries []*peerpb.Process) []*peerpb.Process {
	var live []*peerpb.Process
	for _, entry := range entries {
		if entry.GetState() == peerpb.State_STATE_LIVE && entry.GetName() != process.GetName() {
			live = append(live, entry)
		}
	}
	slices.SortFunc(live, func(a, b *peerpb.Process) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(process, b), rendezvousWeight(process, a)), strings.Compare(a.GetName(), b.GetName()))
	})
	usedZones := map[string]bool{process.GetZone(): true}
	var replicas, others []*peerpb.Process
	for _, entry := range live {
		if usedZones[entry.GetZone()] || len(replicas) == replicaCount {
			others = append(others, entry)
			continue
		}
		usedZones[entry.GetZone()] = true
		replicas = append(replicas, entry)
	}
	missing := min(replicaCount-len(replicas), len(others))
	return append(replicas, others[:missing]...)
}

func rendezvousWeight(process, entry *peerpb.Process) uint64 {
	sum := sha256.Sum256([]byte(process.GetName() + "\x00" + entry.GetName()))
	return binary.BigEndian.Uint64(sum[:8])
}
