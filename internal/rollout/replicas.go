package rollout

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// maxReplicaBytes bounds the samples that a process holds for one trainer.
const maxReplicaBytes = 128 << 20

// Replicas stores finished samples for holders in other processes: for each
// trainer, the samples of its newest step. Its zero value is empty. It is safe for
// concurrent use.
type Replicas struct {
	mutex    sync.Mutex
	trainers map[string]*replicaSet
}

type replicaSet struct {
	step    uint64
	samples map[uint32]*peerpb.Sample
	size    int
}

// Put stores a sample and removes the given slots. It reports false if the sample
// belongs to an older step or would exceed maxReplicaBytes.
func (r *Replicas) Put(sample *peerpb.Sample, forget []uint32) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	set := r.setFor(sample.GetTrainer(), sample.GetStep())
	if set.step > sample.GetStep() {
		return false
	}
	for _, slot := range forget {
		set.remove(slot)
	}
	set.remove(sample.GetSlot())
	size := proto.Size(sample)
	if set.size+size > maxReplicaBytes {
		return false
	}
	set.samples[sample.GetSlot()] = sample
	set.size += size
	return true
}

// Fetch returns the stored samples of the given slots.
func (r *Replicas) Fetch(trainer string, step uint64, slots []uint32) []*peerpb.Sample {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	set := r.trainers[trainer]
	if set == nil || set.step != step {
		return nil
	}
	var found []*peerpb.Sample
	for _, slot := range slots {
		if sample := set.samples[slot]; sample != nil {
			found = append(found, sample)
		}
	}
	return found
}

func (r *Replicas) setFor(trainer string, step uint64) *replicaSet {
	if r.trainers == nil {
		r.trainers = map[string]*replicaSet{}
	}
	set := r.trainers[trainer]
	if set == nil || set.step < step {
		set = &replicaSet{step: step, samples: map[uint32]*peerpb.Sample{}}
		r.trainers[trainer] = set
	}
	return set
}

func (s *replicaSet) remove(slot uint32) {
	if sample := s.samples[slot]; sample != nil {
		s.size -= proto.Size(sample)
		delete(s.samples, slot)
	}
}
