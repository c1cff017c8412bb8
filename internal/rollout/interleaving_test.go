package rollout

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/record"
)

// actor is a process that believes that it holds the step. Each of its operations can
// be delayed arbitrarily, which models a pause between any two of them.
type actor struct {
	step    *Step
	record  *record.Record
	running []Attempt
	// proposed is the state that is being written to the store; written is true if the
	// store holds that state but the actor has not committed it.
	proposed []byte
	written  bool
}

// interleaving models actors that share one store and one trainer.
type interleaving struct {
	store         *fakeStore
	replicator    *fakeReplicator
	actors        []*actor
	fence         uint64
	newestVersion uint64
	now           time.Time
	// nextPlace is the position in the trainer's stream at which its next pull starts;
	// sampleByPlace holds all samples ever delivered.
	nextPlace     uint64
	sampleByPlace map[uint64]*peerpb.Sample
	placeBySlot   map[uint32]uint64
}

const interleavingSlots = 6

func newInterleaving(t *rapid.T) *interleaving {
	i := &interleaving{
		store:         newFakeStore(),
		replicator:    newFakeReplicator("x"),
		newestVersion: 1,
		now:           time.Unix(0, 0),
		sampleByPlace: map[uint64]*peerpb.Sample{},
		placeBySlot:   map[uint32]uint64{},
	}
	open := openRequest(1, 2, interleavingSlots/2, 1)
	first := &actor{record: &record.Record{Store: i.store, Key: "step"}}
	i.fence++
	first.step = NewStep(open, 0, i.fence, i.newestVersion)
	must.NoError(t, first.record.Write(context.Background(), encode(first.step.Propose())))
	first.step.Commit()
	i.actors = []*actor{first}
	return i
}

func (i *interleaving) pick(t *rapid.T) *actor {
	return i.actors[rapid.IntRange(0, len(i.actors)-1).Draw(t, "actor")]
}

// run starts up to three attempts and finishes as many, in any order, with versions
// near the newest; their samples are replicated.
func (i *interleaving) run(t *rapid.T) {
	holder := i.pick(t)
	i.now = i.now.Add(time.Minute)
	for range rapid.IntRange(1, 3).Draw(t, "attempts") {
		if attempt, ok := holder.step.Next(i.now); ok {
			holder.running = append(holder.running, attempt)
		}
	}
	for range rapid.IntRange(1, 3).Draw(t, "finished") {
		i.finish(t, holder)
	}
}

func (i *interleaving) finish(t *rapid.T, holder *actor) {
	if len(holder.running) == 0 {
		return
	}
	index := rapid.IntRange(0, len(holder.running)-1).Draw(t, "running")
	attempt := holder.running[index]
	holder.running = append(holder.running[:index:index], holder.running[index+1:]...)
	version := i.newestVersion - min(i.newestVersion-1, uint64(rapid.IntRange(0, 2).Draw(t, "lag")))
	var builder SampleBuilder
	must.NoError(t, builder.Add(attempt.ID(), peerpb.Chunk_builder{Tokens: []int32{1}, Version: version}.Build()))
	sample, err := builder.Sample(attempt, holder.step.open, peerpb.End_builder{OutputTokens: 1}.Build())
	must.NoError(t, err)
	if holder.step.Finish(attempt, sample, i.now) {
		holder.step.MarkReplicated(attempt, i.replicator.Replicate(context.Background(), sample, nil))
	}
}

// propose chooses the state to write next.
func (i *interleaving) propose(t *rapid.T) {
	holder := i.pick(t)
	if state := holder.step.Propose(); state != nil && !holder.written {
		holder.proposed = encode(state)
	}
}

// write stores the proposed state; the reply may be lost.
func (i *interleaving) write(t *rapid.T) {
	holder := i.pick(t)
	if holder.proposed == nil || holder.written {
		return
	}
	i.store.loseNextAnswer = rapid.Bool().Draw(t, "lose")
	err := holder.record.Write(context.Background(), holder.proposed)
	i.store.loseNextAnswer = false
	var overwritten *record.OverwrittenError
	switch {
	case errors.As(err, &overwritten):
		i.remove(holder)
	case err == nil:
		holder.written = true
	}
}

// flush proposes, writes and commits without a delay in between.
func (i *interleaving) flush(t *rapid.T) {
	holder := i.pick(t)
	state := holder.step.Propose()
	if state == nil || holder.written {
		return
	}
	var overwritten *record.OverwrittenError
	switch err := holder.record.Write(context.Background(), encode(state)); {
	case errors.As(err, &overwritten):
		i.remove(holder)
	case err == nil:
		holder.step.Commit()
		holder.proposed = nil
	}
}

// commit records a write that took effect.
func (i *interleaving) commit(t *rapid.T) {
	holder := i.pick(t)
	if holder.written {
		holder.step.Commit()
		holder.proposed, holder.written = nil, false
	}
}

// remove removes an actor that has detected a successor, but never the last actor.
func (i *interleaving) remove(gone *actor) {
	for index, candidate := range i.actors {
		if candidate == gone && len(i.actors) > 1 {
			i.actors = append(i.actors[:index:index], i.actors[index+1:]...)
			return
		}
	}
}

// takeOver adds a successor while the others still believe that they are the holder.
func (i *interleaving) takeOver(t *rapid.T) {
	if len(i.actors) > 2 {
		return
	}
	if rapid.IntRange(0, 9).Draw(t, "lose bytes") == 0 {
		i.replicator.replicas["x"] = &Replicas{}
	}
	next := &actor{record: &record.Record{Store: i.store, Key: "step"}}
	data, err := next.record.Read(context.Background())
	must.NoError(t, err)
	state, err := decode(data, &statepb.Step{})
	must.NoError(t, err)
	i.fence++
	next.step, err = Restore(state, statepb.Prompts_builder{Prompts: []string{"say", "say"}}.Build(), i.fence)
	must.NoError(t, err)
	must.NoError(t, next.record.Write(context.Background(), encode(next.step.Propose())))
	next.step.Commit()
	for process, slots := range next.step.Missing() {
		samples, _ := i.replicator.Fetch(context.Background(), process, "drafts", 1, slots)
		for _, sample := range samples {
			next.step.RestoreSample(sample)
		}
	}
	next.step.ResetMissing()
	i.actors = append(i.actors, next)
}

// announce raises the trainer's version at one actor; the others receive it with
// pulls.
func (i *interleaving) announce(t *rapid.T) {
	i.newestVersion++
	i.pick(t).step.Announce(i.newestVersion)
}

// pull is a pull by the trainer; its reply may be lost, and it may be repeated later.
func (i *interleaving) pull(t *rapid.T) {
	pulled, err := i.pick(t).step.Pull(i.nextPlace, rapid.IntRange(1, 4).Draw(t, "max"), i.newestVersion)
	if err != nil {
		return
	}
	for _, sample := range pulled.Samples() {
		i.check(t, sample)
	}
	if rapid.Bool().Draw(t, "answer arrives") {
		i.nextPlace = pulled.Next()
	}
}

// check asserts the invariants of a delivered sample.
func (i *interleaving) check(t *rapid.T, sample *peerpb.Sample) {
	must.False(t, isStale(i.newestVersion, OldestVersion(sample), 1), must.Sprint("a stale sample was delivered"))
	place, known := i.placeBySlot[sample.GetSlot()]
	must.True(t, !known || place == sample.GetPlace(), must.Sprintf("slot %d has two places", sample.GetSlot()))
	before := i.sampleByPlace[sample.GetPlace()]
	must.True(t, before == nil || before.GetSlot() == sample.GetSlot(), must.Sprintf("place %d has two slots", sample.GetPlace()))
	i.placeBySlot[sample.GetSlot()] = sample.GetPlace()
	i.sampleByPlace[sample.GetPlace()] = proto.CloneOf(sample)
}

// Holders are paused, resumed and replaced between any two operations, the store
// loses replies, versions change during generation, and pulls are lost and repeated
// at any process that believes that it is the holder. If a place could ever change
// its slot, the trainer would receive one sample twice and another one never.
func TestPlaceKeepsSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := newInterleaving(t)
		t.Repeat(map[string]func(*rapid.T){
			"run":       i.run,
			"propose":   i.propose,
			"write":     i.write,
			"commit":    i.commit,
			"flush":     i.flush,
			"take over": i.takeOver,
			"announce":  i.announce,
			"pull":      i.pull,
		})
	})
}
