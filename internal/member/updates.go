package member

import (
	"cmp"
	"math/bits"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	// updateBytes bounds the changes of processes in one message.
	updateBytes = 700
)

// updates are the changes of processes that are still to be sent on, with the
// number of times that each was sent.
type updates map[string]int

// add begins to send a change.
func (u updates) add(name string) { u[name] = 0 }

// take returns the changes sent least often, up to a number of bytes.
func (u updates) take(t *table) []*peerpb.Process {
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
	var taken []*peerpb.Process
	size := 0
	for _, name := range names {
		process := t.get(name)
		if process == nil {
			delete(u, name)
			continue
		}
		process = shorten(process)
		size += proto.Size(process)
		if size > updateBytes && len(taken) > 0 {
			break
		}
		taken = append(taken, process)
		u.count(name, len(t.records))
	}
	return taken
}

func (u updates) count(name string, size int) {
	u[name]++
	if u[name] >= limit(size) {
		delete(u, name)
	}
}

// limit is how often a process sends one change on: to each neighbour, or as
// often as the number of processes can be halved if that is more. What still
// misses someone is found by comparing tables.
func limit(size int) int {
	return max(2*ringCount, bits.Len(uint(size)))
}
