package member

import (
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// ringCount is the number of rings. Each process asks its successor in each
// ring and is asked by its predecessors: four in, four out.
const ringCount = 4

// rings places the present processes on rings, each in another order. The
// neighbours over all rings form a random regular graph: few connections a
// process, a few hops between any two, and several that watch each.
type rings struct {
	version      uint64
	built        bool
	successors   []*peerpb.Process
	predecessors []*peerpb.Process
}

// update finds the neighbours of self anew if the table has changed.
func (r *rings) update(t *table, self string) {
	if r.built && r.version == t.version {
		return
	}
	r.built, r.version = true, t.version
	r.successors, r.predecessors = nil, nil
	own, found := t.records[self]
	if !found {
		return
	}
	for _, ring := range place(t, own) {
		r.successors = appendOnce(r.successors, ring.next)
		r.predecessors = appendOnce(r.predecessors, ring.before)
	}
}

// all returns successors and predecessors, each process once.
func (r *rings) all() []*peerpb.Process {
	var found []*peerpb.Process
	for _, process := range r.successors {
		found = appendOnce(found, process)
	}
	for _, process := range r.predecessors {
		found = appendOnce(found, process)
	}
	return found
}

// neighbour holds the two neighbours found so far on one ring.
type neighbour struct {
	next, before    *peerpb.Process
	least, greatest uint64
}

// place finds the neighbours on all rings in one pass.
func place(t *table, own record) [ringCount]neighbour {
	var found [ringCount]neighbour
	for _, known := range t.records {
		if known.hash == own.hash || !isPresent(known.process.GetState()) {
			continue
		}
		for ring := range found {
			salt := mix(uint64(ring))
			// Distances go round the ring, so they wrap.
			found[ring].try(known.process, mix(known.hash^salt)-mix(own.hash^salt))
		}
	}
	return found
}

func (n *neighbour) try(process *peerpb.Process, distance uint64) {
	if n.next == nil || distance < n.least {
		n.next, n.least = process, distance
	}
	if n.before == nil || distance > n.greatest {
		n.before, n.greatest = process, distance
	}
}

func appendOnce(processes []*peerpb.Process, process *peerpb.Process) []*peerpb.Process {
	if process == nil {
		return processes
	}
	for _, known := range processes {
		if known.GetName() == process.GetName() {
			return processes
		}
	}
	return append(processes, process)
}
