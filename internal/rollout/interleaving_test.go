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

// actor is a process that believes to hold the step. Each of its moves can be
// delayed at will, which is what a freeze between any two of them looks like.
type actor struct {
	step    *Step
	record  *record.Record
	running []Attempt
	// proposed is on its way to the store; written is in it but not committed.
	proposed []byte
	written  bool
}

// interleaving runs two actors, one store and one trainer.
type interleaving struct {
	store   *fakeStore
	keeping *fakeKeeping
	actors  []*actor
	fence   uint64
	newest  uint64
	now     time.Time
	// next is the trainer's place; places are what was ever handed over.
	next   uint64
	places map[uint64]*peerpb.Sample
	slots  map[uint32]uint64
}

const interleavingSlots = 6

func newInterleaving(t *rapid.T) *interleaving {
	i := &interleaving{
		store:   newFakeStore(),
		keeping: newFakeKeeping("x"),
		newest:  1,
		now:     time.Unix(0, 0),
		places:  map[uint64]*peerpb.Sample{},
		slots:   map[uint32]uint64{},
	}
	open := openRequest(1, 2, interleavingSlots/2, 1)
	first := &actor{record: &record.Record{Store: i.store, Key: "step"}}
	i.fence++
	first.step = NewStep(open, 0, i.fence, i.newest)
	must.NoError(t, first.record.Write(context.Background(), encode(first.step.Propose())))
	first.step.Commit()
	i.actors = []*actor{first}
	return i
}

func (i *interleaving) pick(t *rapid.T) *actor {
	return i.actors[rapid.IntRange(0, len(i.actors)-1).Draw(t, "actor")]
}

// run starts up to three attempts and finishes as many, in any order, with
// versions near the newest; their bytes are kept.
func (i *interleaving) run(t *rapid.T) {
	one := i.pick(t)
	i.now = i.now.Add(time.Minute)
	for range rapid.IntRange(1, 3).Draw(t, "attempts") {
		if attempt, ok := one.step.Next(i.now); ok {
			one.running = append(one.running, attempt)
		}
	}
	for range rapid.IntRange(1, 3).Draw(t, "finished") {
		i.finish(t, one)
	}
}

func (i *interleaving) finish(t *rapid.T, one *actor) {
	if len(one.running) == 0 {
		return
	}
	at := rapid.IntRange(0, len(one.running)-1).Draw(t, "running")
	attempt := one.running[at]
	one.running = append(one.running[:at:at], one.running[at+1:]...)
	version := i.newest - min(i.newest-1, uint64(rapid.IntRange(0, 2).Draw(t, "lag")))
	var answer SampleBuilder
	must.NoError(t, answer.Add(attempt.ID(), peerpb.Chunk_builder{Tokens: []int32{1}, Version: version}.Build()))
	sample, err := answer.Sample(attempt, one.step.open, peerpb.End_builder{OutputTokens: 1}.Build())
	must.NoError(t, err)
	if one.step.Finish(attempt, sample, i.now) {
		one.step.MarkReplicated(attempt, i.keeping.Replicate(context.Background(), sample, nil))
	}
}

// propose chooses what is written next.
func (i *interleaving) propose(t *rapid.T) {
	one := i.pick(t)
	if state := one.step.Propose(); state != nil && !one.written {
		one.proposed = encode(state)
	}
}

// write brings it into the store; the answer may be lost.
func (i *interleaving) write(t *rapid.T) {
	one := i.pick(t)
	if one.proposed == nil || one.written {
		return
	}
	i.store.loseNext = rapid.Bool().Draw(t, "lose")
	err := one.record.Write(context.Background(), one.proposed)
	i.store.loseNext = false
	var lost *record.OverwrittenError
	switch {
	case errors.As(err, &lost):
		i.remove(one)
	case err == nil:
		one.written = true
	}
}

// flush is propose, write and commit without a delay between them.
func (i *interleaving) flush(t *rapid.T) {
	one := i.pick(t)
	state := one.step.Propose()
	if state == nil || one.written {
		return
	}
	var lost *record.OverwrittenError
	switch err := one.record.Write(context.Background(), encode(state)); {
	case errors.As(err, &lost):
		i.remove(one)
	case err == nil:
		one.step.Commit()
		one.proposed = nil
	}
}

// commit takes note of a write that took effect.
func (i *interleaving) commit(t *rapid.T) {
	one := i.pick(t)
	if one.written {
		one.step.Commit()
		one.proposed, one.written = nil, false
	}
}

// remove ends an actor that was told of a successor; one always stays.
func (i *interleaving) remove(gone *actor) {
	for at, one := range i.actors {
		if one == gone && len(i.actors) > 1 {
			i.actors = append(i.actors[:at:at], i.actors[at+1:]...)
			return
		}
	}
}

// takeOver makes a successor while the others still believe to be the holder.
func (i *interleaving) takeOver(t *rapid.T) {
	if len(i.actors) > 2 {
		return
	}
	if rapid.IntRange(0, 9).Draw(t, "lose bytes") == 0 {
		i.keeping.replicas["x"] = &Replicas{}
	}
	next := &actor{record: &record.Record{Store: i.store, Key: "step"}}
	data, err := next.record.Load(context.Background())
	must.NoError(t, err)
	state, err := decode(data, &statepb.Step{})
	must.NoError(t, err)
	i.fence++
	next.step, err = Restore(state, statepb.Prompts_builder{Prompts: []string{"say", "say"}}.Build(), i.fence)
	must.NoError(t, err)
	must.NoError(t, next.record.Write(context.Background(), encode(next.step.Propose())))
	next.step.Commit()
	for process, slots := range next.step.Missing() {
		samples, _ := i.keeping.Fetch(context.Background(), process, "drafts", 1, slots)
		for _, sample := range samples {
			next.step.RestoreSample(sample)
		}
	}
	next.step.ResetMissing()
	i.actors = append(i.actors, next)
}

// announce raises the trainer's version at one actor; the others learn it by pulls.
func (i *interleaving) announce(t *rapid.T) {
	i.newest++
	i.pick(t).step.Announce(i.newest)
}

// pull is the trainer's; its answer may be lost, and it may come again later.
func (i *interleaving) pull(t *rapid.T) {
	pulled, err := i.pick(t).step.Pull(i.next, rapid.IntRange(1, 4).Draw(t, "max"), i.newest)
	if err != nil {
		return
	}
	for _, sample := range pulled.Samples() {
		i.check(t, sample)
	}
	if rapid.Bool().Draw(t, "answer arrives") {
		i.next = pulled.Next()
	}
}

// check asserts what must hold of each sample handed over.
func (i *interleaving) check(t *rapid.T, sample *peerpb.Sample) {
	must.False(t, lags(i.newest, OldestVersion(sample), 1), must.Sprint("a stale sample was handed over"))
	place, known := i.slots[sample.GetSlot()]
	must.True(t, !known || place == sample.GetPlace(), must.Sprintf("slot %d has two places", sample.GetSlot()))
	before := i.places[sample.GetPlace()]
	must.True(t, before == nil || before.GetSlot() == sample.GetSlot(), must.Sprintf("place %d has two slots", sample.GetPlace()))
	i.slots[sample.GetSlot()] = sample.GetPlace()
	i.places[sample.GetPlace()] = proto.CloneOf(sample)
}

// Holders are frozen, thawed and replaced between any two of their moves, the
// store loses answers, versions come in the middle, pulls are lost and repeated
// at whichever process believes to be the holder. If a place could ever change
// its slot, the trainer would learn one sample twice and another one never.
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
