package member

import (
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// ringCount is the number of rings. On each ring a process probes its successor
// and is probed by its predecessor: four probe targets and four probers.
const ringCount = 4

// rings places the active processes on several rings, with a different order on each
// ring. The neighbours on all rings form a random regular graph, with few connections
// per process, few hops between any two processes, and several probers per process.
type rings struct {
	version      uint64
	built        bool
	successors   []*peerpb.Process
	predecessors []*peerpb.Process
}

// update recomputes the neighbours of self if the table has changed.
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
	for _, ring := range findNeighbours(t, own) {
		r.successors = appendUnique(r.successors, ring.successor)
		r.predecessors = appendUnique(r.predecessors, ring.predecessor)
	}
}

// all returns successors and predecessors without duplicates.
func (r *rings) all() []*peerpb.Process {
	var found []*peerpb.Process
	for _, process := range r.successors {
		found = appendUnique(found, process)
	}
	for _, process := range r.predecessors {
		found = appendUnique(found, process)
	}
	return found
}

// ringNeighbours holds the neighbours found so far on one ring.
type ringNeighbours struct {
	successor, predecessor   *peerpb.Process
	minDistance, maxDistance uint64
}

// findNeighbours finds the neighbours on all rings in one pass.
func findNeighbours(t *table, own record) [ringCount]ringNeighbours {
	var found [ringCount]ringNeighbours
	for _, known := range t.records {
		if known.hash == own.hash || !isActive(known.process.GetState()) {
			continue
		}
		for ring := range found {
			salt := mix(uint64(ring))
			// Unsigned subtraction wraps, which gives the distance around the ring.
			found[ring].consider(known.process, mix(known.hash^salt)-mix(own.hash^salt))
		}
	}
	return found
}

func (n *ringNeighbours) consider(process *peerpb.Process, distance uint64) {
	if n.successor == nil || distance < n.minDistance {
		n.successor, n.minDistance = process, distance
	}
	if n.predecessor == nil || distance > n.maxDistance {
		n.predecessor, n.maxDistance = process, distance
	}
}

func appendUnique(processes []*peerpb.Process, process *peerpb.Process) []*peerpb.Process {
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
