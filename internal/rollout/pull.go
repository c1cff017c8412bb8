package rollout

import (
	"net/http"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// maxPullBytes keeps a reply below the maximum message size between processes.
const maxPullBytes = 8 << 20

// PullResult is the result of a pull.
type PullResult struct {
	samples []*peerpb.Sample
	next    uint64
	done    bool
}

// Done reports whether the trainer now has the whole step.
func (r PullResult) Done() bool { return r.done }

// Next returns the place in the trainer's stream at which its next pull starts.
func (r PullResult) Next() uint64 { return r.next }

// Samples returns the samples in the order of their places, without gaps.
func (r PullResult) Samples() []*peerpb.Sample { return r.samples }

// Pull acknowledges all places before place and returns at most maxSamples samples
// from there on, up to the first place that is not committed. Version is the newest
// weight version that the trainer knows.
//
// A delivered sample may never have arrived, so a repeated pull from its place
// returns the sample again. The sample is dropped only if it has become stale since
// its delivery: then the same slot fills the place again, and the trainer, which
// counts by place, still gets each slot once.
func (s *Step) Pull(place uint64, maxSamples int, version uint64) (PullResult, error) {
	if err := s.checkPlace(place); err != nil {
		return PullResult{}, err
	}
	s.Announce(version)
	s.acknowledge(place)
	placed := s.byPlace()
	for _, slot := range placed {
		if slot != nil && slot.place > place && slot.sample != nil {
			s.resetIfStale(slot)
		}
	}
	result := PullResult{next: place}
	size := 0
	for result.next < s.End() && len(result.samples) < maxSamples {
		slot := placed[result.next-s.firstPlace]
		if slot == nil || !slot.committed || slot.sample == nil {
			break
		}
		size += proto.Size(slot.sample)
		if size > maxPullBytes && len(result.samples) > 0 {
			break
		}
		slot.delivered = true
		result.samples = append(result.samples, slot.sample)
		result.next++
	}
	result.done = result.next == s.End()
	return result, nil
}

func (s *Step) checkPlace(place uint64) error {
	if place < s.acknowledged {
		return refusal.NotRun(http.StatusConflict, "acknowledged", "place %d is acknowledged already, the next one is %d", place, s.acknowledged)
	}
	if place > s.firstPlace+s.placedCount {
		return refusal.NotRun(http.StatusBadRequest, "place_unknown", "place %d was never handed over, the next one is %d", place, s.firstPlace+s.placedCount)
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
		s.isChanged = true
	}
}

// Released returns the slots acknowledged since the last call.
func (s *Step) Released() []uint32 {
	released := s.released
	s.released = nil
	return released
}

// byPlace returns the slots in the order of their places, nil for a place without a slot.
func (s *Step) byPlace() []*slot {
	placed := make([]*slot, len(s.slots))
	for _, slot := range s.slots {
		if slot.place > 0 {
			placed[slot.place-1-s.firstPlace] = slot
		}
	}
	return placed
}
