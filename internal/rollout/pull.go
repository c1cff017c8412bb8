package rollout

import (
	"net/http"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// maxPullBytes bounds an answer below the largest message between processes.
const maxPullBytes = 8 << 20

// PullResult is the answer to a pull.
type PullResult struct {
	samples []*peerpb.Sample
	next    uint64
	done    bool
}

// Done reports whether the trainer now has the whole step.
func (p PullResult) Done() bool { return p.done }

// Next returns the place from which to pull next.
func (p PullResult) Next() uint64 { return p.next }

// Samples returns the samples by place, without gaps.
func (p PullResult) Samples() []*peerpb.Sample { return p.samples }

// Pull acknowledges all places before place and returns the samples from there
// on, at most most, up to the first place that is not fixed. Version is the
// newest that the trainer knows itself.
//
// A sample handed over may never have arrived, so a pull from its place again
// gets it again. It is dropped only if it has grown too old since: then the
// same slot fills the place again, and the trainer, which counts by place, has
// each slot once all the same.
func (s *Step) Pull(place uint64, most int, version uint64) (PullResult, error) {
	if err := s.checkPlace(place); err != nil {
		return PullResult{}, err
	}
	s.Announce(version)
	s.acknowledge(place)
	placed := s.byPlace()
	for _, slot := range placed {
		if slot != nil && slot.place > place && slot.sample != nil {
			s.dropStale(slot)
		}
	}
	pulled := PullResult{next: place}
	size := 0
	for pulled.next < s.End() && len(pulled.samples) < most {
		slot := placed[pulled.next-s.place]
		if slot == nil || !slot.fixed || slot.sample == nil {
			break
		}
		size += proto.Size(slot.sample)
		if size > maxPullBytes && len(pulled.samples) > 0 {
			break
		}
		slot.handed = true
		pulled.samples = append(pulled.samples, slot.sample)
		pulled.next++
	}
	pulled.done = pulled.next == s.End()
	return pulled, nil
}

func (s *Step) checkPlace(place uint64) error {
	if place < s.acknowledged {
		return refusal.NotRun(http.StatusConflict, "acknowledged", "place %d is acknowledged already, the next one is %d", place, s.acknowledged)
	}
	if place > s.place+s.bound {
		return refusal.NotRun(http.StatusBadRequest, "place_unknown", "place %d was never handed over, the next one is %d", place, s.place+s.bound)
	}
	return nil
}

func (s *Step) acknowledge(place uint64) {
	if place <= s.acknowledged {
		return
	}
	s.acknowledged = place
	for _, slot := range s.slots {
		if slot.place > 0 && slot.place <= place && !slot.acknowledged {
			slot.acknowledge()
			s.released = append(s.released, slot.index)
		}
	}
	if place == s.End() {
		s.changed = true
	}
}

// Released returns the slots acknowledged since the last call.
func (s *Step) Released() []uint32 {
	released := s.released
	s.released = nil
	return released
}

// byPlace returns the slots in the order of their places; nil where none is bound.
func (s *Step) byPlace() []*slot {
	placed := make([]*slot, len(s.slots))
	for _, slot := range s.slots {
		if slot.place > 0 {
			placed[slot.place-1-s.place] = slot
		}
	}
	return placed
}
