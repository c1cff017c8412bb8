package usage

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// copies is the number of entries that hold the counters of a sidecar.
const copies = 2

// ReplicaEntries returns the entries that hold the counters of a process: the first by
// rendezvous hashing, each in a zone of its own and not in that of the process,
// as far as there are zones. Entries that drain are passed by.
func ReplicaEntries(process *peerpb.Process, entries []*peerpb.Process) []*peerpb.Process {
	var live []*peerpb.Process
	for _, entry := range entries {
		if entry.GetState() == peerpb.State_STATE_LIVE && entry.GetName() != process.GetName() {
			live = append(live, entry)
		}
	}
	slices.SortFunc(live, func(a, b *peerpb.Process) int {
		return cmp.Or(cmp.Compare(weight(process, b), weight(process, a)), strings.Compare(a.GetName(), b.GetName()))
	})
	used := map[string]bool{process.GetZone(): true}
	var holders, others []*peerpb.Process
	for _, entry := range live {
		if used[entry.GetZone()] || len(holders) == copies {
			others = append(others, entry)
			continue
		}
		used[entry.GetZone()] = true
		holders = append(holders, entry)
	}
	missing := min(copies-len(holders), len(others))
	return append(holders, others[:missing]...)
}

func weight(process, entry *peerpb.Process) uint64 {
	sum := sha256.Sum256([]byte(process.GetName() + "\x00" + entry.GetName()))
	return binary.BigEndian.Uint64(sum[:8])
}
