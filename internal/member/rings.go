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
	for ring := range uint64(ringCount) {
		next, before := neighbours(t, own, ring)
		r.successors = appendOnce(r.successors, next)
		r.predecessors = appendOnce(r.predecessors, before)
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

func neighbours(t *table, own record, ring uint64) (next, before *peerpb.Process) {
	place := mix(own.hash ^ mix(ring))
	var least, greatest uint64
	for _, known := range t.records {
		if known.hash == own.hash || !isPresent(known.process.GetState()) {
			continue
		}
		// Distances go round the ring, so they wrap.
		distance := mix(known.hash^mix(ring)) - place
		if next == nil || distance < least {
			next, least = known.process, distance
		}
		if before == nil || distance > greatest {
			before, greatest = known.process, distance
		}
	}
	return next, before
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
