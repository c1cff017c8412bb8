package member

import (
	"cmp"
	"math/bits"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	// maxUpdateBytes bounds the process records in one message.
	maxUpdateBytes = 700
)

// updates holds the names of processes with changes to send, and how often each change
// was sent.
type updates map[string]int

// add schedules a change for sending, or restarts its count.
func (u updates) add(name string) { u[name] = 0 }

// nextBatch returns the changes sent least often, up to maxUpdateBytes.
func (u updates) nextBatch(t *table) []*peerpb.Process {
	if len(u) == 0 {
		return nil
	}
	names := make([]string, 0, len(u))
	for name := range u {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(u[a], u[b]), cmp.Compare(a, b))
	})
	var batch []*peerpb.Process
	size := 0
	for _, name := range names {
		process := t.get(name)
		if process == nil {
			delete(u, name)
			continue
		}
		process = shorten(process)
		size += proto.Size(process)
		if size > maxUpdateBytes && len(batch) > 0 {
			break
		}
		batch = append(batch, process)
		u.countSend(name, len(t.records))
	}
	return batch
}

func (u updates) countSend(name string, size int) {
	u[name]++
	if u[name] >= maxSends(size) {
		delete(u, name)
	}
}

// maxSends returns how often a process sends a change: once per neighbour, or about
// log2 of the number of processes if that is more. Processes that miss the change
// receive it by table comparison.
func maxSends(size int) int {
	return max(2*ringCount, bits.Len(uint(size)))
}
