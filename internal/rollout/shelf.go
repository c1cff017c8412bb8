package rollout

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// maxShelfBytes bounds what a process holds for one trainer.
const maxShelfBytes = 128 << 20

// Shelf holds finished samples for holders in other processes: for each trainer
// those of its newest step. Its zero value is empty. It is safe for concurrent use.
type Shelf struct {
	mutex    sync.Mutex
	trainers map[string]*shelved
}

type shelved struct {
	step    uint64
	samples map[uint32]*peerpb.Sample
	size    int
}

// Keep takes a sample and forgets the given slots. It reports false if the
// sample is of an older step or there is no room.
func (s *Shelf) Keep(sample *peerpb.Sample, forget []uint32) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.of(sample.GetTrainer(), sample.GetStep())
	if held.step > sample.GetStep() {
		return false
	}
	for _, slot := range forget {
		held.remove(slot)
	}
	held.remove(sample.GetSlot())
	size := proto.Size(sample)
	if held.size+size > maxShelfBytes {
		return false
	}
	held.samples[sample.GetSlot()] = sample
	held.size += size
	return true
}

// Fetch returns what is held of the given slots.
func (s *Shelf) Fetch(trainer string, step uint64, slots []uint32) []*peerpb.Sample {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.trainers[trainer]
	if held == nil || held.step != step {
		return nil
	}
	var found []*peerpb.Sample
	for _, slot := range slots {
		if sample := held.samples[slot]; sample != nil {
			found = append(found, sample)
		}
	}
	return found
}

func (s *Shelf) of(trainer string, step uint64) *shelved {
	if s.trainers == nil {
		s.trainers = map[string]*shelved{}
	}
	held := s.trainers[trainer]
	if held == nil || held.step < step {
		held = &shelved{step: step, samples: map[uint32]*peerpb.Sample{}}
		s.trainers[trainer] = held
	}
	return held
}

func (h *shelved) remove(slot uint32) {
	if sample := h.samples[slot]; sample != nil {
		h.size -= proto.Size(sample)
		delete(h.samples, slot)
	}
}
