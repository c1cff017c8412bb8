package rollout

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// maxReplicaBytes bounds what a process holds for one trainer.
const maxReplicaBytes = 128 << 20

// Replicas holds finished samples for holders in other processes: for each trainer
// those of its newest step. Its zero value is empty. It is safe for concurrent use.
type Replicas struct {
	mutex    sync.Mutex
	trainers map[string]*replicaSet
}

type replicaSet struct {
	step    uint64
	samples map[uint32]*peerpb.Sample
	size    int
}

// Put takes a sample and forgets the given slots. It reports false if the
// sample is of an older step or there is no room.
func (r *Replicas) Put(sample *peerpb.Sample, forget []uint32) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	held := r.of(sample.GetTrainer(), sample.GetStep())
	if held.step > sample.GetStep() {
		return false
	}
	for _, slot := range forget {
		held.remove(slot)
	}
	held.remove(sample.GetSlot())
	size := proto.Size(sample)
	if held.size+size > maxReplicaBytes {
		return false
	}
	held.samples[sample.GetSlot()] = sample
	held.size += size
	return true
}

// Fetch returns what is held of the given slots.
func (r *Replicas) Fetch(trainer string, step uint64, slots []uint32) []*peerpb.Sample {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	held := r.trainers[trainer]
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

func (r *Replicas) of(trainer string, step uint64) *replicaSet {
	if r.trainers == nil {
		r.trainers = map[string]*replicaSet{}
	}
	held := r.trainers[trainer]
	if held == nil || held.step < step {
		held = &replicaSet{step: step, samples: map[uint32]*peerpb.Sample{}}
		r.trainers[trainer] = held
	}
	return held
}

func (h *replicaSet) remove(slot uint32) {
	if sample := h.samples[slot]; sample != nil {
		h.size -= proto.Size(sample)
		delete(h.samples, slot)
	}
}
