package rollout

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// runHolder runs a holder until the returned function is called, which is what
// the end of its process looks like to the others.
func runHolder(t *testing.T, holder *Holder, fence uint64) (kill func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = holder.Run(ctx) })
	group.Go(func() { _ = holder.Lead(ctx, fence) })
	kill = func() {
		cancel()
		group.Wait()
	}
	t.Cleanup(kill)
	await(t, func() bool { _, ok := holder.Step(); return ok })
	return kill
}

func await(t *testing.T, reached func() bool) {
	t.Helper()
	end := time.Now().Add(10 * time.Second)
	for !reached() {
		must.True(t, time.Now().Before(end), must.Sprint("the state was not reached"))
		time.Sleep(time.Millisecond)
	}
}

func mustOpen(t *testing.T, holder *Holder, request *peerpb.OpenRequest) *peerpb.OpenReply {
	t.Helper()
	reply, err := holder.Open(t.Context(), request)
	must.NoError(t, err)
	return reply
}

func mustPull(t *testing.T, holder *Holder, place uint64, most uint32) *peerpb.PullReply {
	t.Helper()
	reply, err := holder.Pull(t.Context(), pullRequest(place, most, 10*time.Second))
	must.NoError(t, err)
	return reply
}

func pullRequest(place uint64, most uint32, wait time.Duration) *peerpb.PullRequest {
	return peerpb.PullRequest_builder{Trainer: "drafts", Account: "casa", Place: place, Max: most, Wait: durationpb.New(wait)}.Build()
}

// pullAll pulls a step to its end and returns its samples by place.
func pullAll(t *testing.T, holder *Holder, place uint64) []*peerpb.Sample {
	t.Helper()
	var samples []*peerpb.Sample
	for {
		reply := mustPull(t, holder, place, 16)
		samples = append(samples, reply.GetSamples()...)
		place = reply.GetNext()
		if reply.GetDone() {
			return samples
		}
	}
}

// mustBeOnce asserts that every slot came once and every place in order.
func mustBeOnce(t *testing.T, samples []*peerpb.Sample, slots int, place uint64) {
	t.Helper()
	must.Len(t, slots, samples)
	seen := map[uint32]bool{}
	for i, sample := range samples {
		must.Eq(t, place+uint64(i), sample.GetPlace())
		must.False(t, seen[sample.GetSlot()], must.Sprintf("slot %d came twice", sample.GetSlot()))
		seen[sample.GetSlot()] = true
	}
}

func mustBeSame(t *testing.T, want, got []*peerpb.Sample) {
	t.Helper()
	must.Len(t, len(want), got)
	for i := range want {
		must.True(t, proto.Equal(want[i], got[i]), must.Sprintf("place %d changed", want[i].GetPlace()))
	}
}

func mustRefuse(t *testing.T, err error, code string) {
	t.Helper()
	must.Error(t, err)
	must.Eq(t, code, refusal.Of(err).Code)
}

func TestHolderRunsSteps(t *testing.T) {
	holder := newTestHolder("a", newFakeStore(), &fakeRunner{version: 1}, newFakeKeeping("b"))
	runHolder(t, holder, 1)
	reply := mustOpen(t, holder, openRequest(1, 8, 8, 1))
	must.Eq(t, 64, reply.GetSlots())
	mustBeOnce(t, pullAll(t, holder, 0), 64, 0)
	reply = mustOpen(t, holder, openRequest(2, 2, 8, 1))
	must.Eq(t, 64, reply.GetPlace())
	mustBeOnce(t, pullAll(t, holder, 64), 16, 64)
}

func TestOpenAgain(t *testing.T) {
	holder := newTestHolder("a", newFakeStore(), &fakeRunner{version: 1, gate: make(chan struct{})}, newFakeKeeping("b"))
	runHolder(t, holder, 1)
	first := mustOpen(t, holder, openRequest(1, 2, 2, 1))
	t.Run("same content is idempotent", func(t *testing.T) {
		must.True(t, proto.Equal(first, mustOpen(t, holder, openRequest(1, 2, 2, 1))))
	})
	t.Run("other content is a conflict", func(t *testing.T) {
		_, err := holder.Open(t.Context(), openRequest(1, 2, 3, 1))
		mustRefuse(t, err, "step_differs")
	})
	t.Run("the next step waits for the whole one", func(t *testing.T) {
		_, err := holder.Open(t.Context(), openRequest(2, 2, 2, 1))
		mustRefuse(t, err, "step_open")
	})
	t.Run("a past step is a conflict", func(t *testing.T) {
		_, err := holder.Open(t.Context(), openRequest(0, 2, 2, 1))
		mustRefuse(t, err, "step_past")
	})
}

// The trainer's connection breaks while the answer to a pull is on its way. It
// pulls the same place again, then through two entries at once. If the holder
// had counted the first answer as received, those samples would be lost.
func TestPullRepeated(t *testing.T) {
	holder := newTestHolder("a", newFakeStore(), &fakeRunner{version: 1}, newFakeKeeping("b"))
	runHolder(t, holder, 1)
	mustOpen(t, holder, openRequest(1, 2, 8, 1))
	await(t, func() bool { return len(mustPull(t, holder, 0, 16).GetSamples()) == 16 })
	lost := mustPull(t, holder, 0, 8)
	var group sync.WaitGroup
	replies := make([]*peerpb.PullReply, 2)
	for i := range replies {
		group.Go(func() { replies[i], _ = holder.Pull(t.Context(), pullRequest(0, 8, time.Second)) })
	}
	group.Wait()
	mustBeSame(t, lost.GetSamples(), replies[0].GetSamples())
	mustBeSame(t, lost.GetSamples(), replies[1].GetSamples())
	rest := pullAll(t, holder, 8)
	mustBeOnce(t, append(lost.GetSamples(), rest...), 16, 0)
	_, err := holder.Pull(t.Context(), pullRequest(0, 8, 0))
	mustRefuse(t, err, "acknowledged")
}

// The answer of the store to the write that binds places is lost, though the
// write took effect. The next write would conflict with the holder's own one,
// and a holder that took this for a successor would run the whole step again.
func TestStoreAnswerLost(t *testing.T) {
	store := newFakeStore()
	runner := &fakeRunner{version: 1, gate: make(chan struct{})}
	holder := newTestHolder("a", store, runner, newFakeKeeping("b"))
	runHolder(t, holder, 1)
	mustOpen(t, holder, openRequest(1, 1, 4, 1))
	store.set(func(s *fakeStore) { s.loseNext = true })
	close(runner.gate)
	mustBeOnce(t, pullAll(t, holder, 0), 4, 0)
	must.Eq(t, 4, runner.runs)
}

// The store goes away in the middle of a step. The trainer still gets what was
// fixed, generation goes on, nothing new is handed over, and once the store is
// back the step comes whole, each slot once.
func TestStoreAway(t *testing.T) {
	store := newFakeStore()
	runner := &fakeRunner{version: 1, gate: make(chan struct{})}
	holder := newTestHolder("a", store, runner, newFakeKeeping("b"))
	runHolder(t, holder, 1)
	mustOpen(t, holder, openRequest(1, 2, 4, 1))
	for range 4 {
		runner.gate <- struct{}{}
	}
	await(t, func() bool { return len(mustPull(t, holder, 0, 8).GetSamples()) == 4 })
	store.set(func(s *fakeStore) { s.away = true })
	close(runner.gate)
	await(t, func() bool { return holder.Counts().Accepted() == 8 })
	fixed := mustPull(t, holder, 0, 8)
	must.Len(t, 4, fixed.GetSamples())
	await(t, func() bool {
		reply, err := holder.Pull(t.Context(), pullRequest(4, 8, 0))
		return err == nil && len(reply.GetSamples()) == 0 && reply.GetWaiting() == "store"
	})
	store.set(func(s *fakeStore) { s.away = false })
	mustBeOnce(t, append(fixed.GetSamples(), pullAll(t, holder, 4)...), 8, 0)
}

// The holder's process dies after it has handed over half of the step, and the
// trainer pulls the unacknowledged half again from the successor. It must get
// the same bytes; the rest of the step goes on.
func TestHolderDies(t *testing.T) {
	store := newFakeStore()
	keeping := newFakeKeeping("b")
	runner := &fakeRunner{version: 1, gate: make(chan struct{})}
	first := newTestHolder("a", store, runner, keeping)
	kill := runHolder(t, first, 1)
	mustOpen(t, first, openRequest(1, 2, 4, 1))
	for range 4 {
		runner.gate <- struct{}{}
	}
	await(t, func() bool { return len(mustPull(t, first, 0, 8).GetSamples()) == 4 })
	before := mustPull(t, first, 0, 4)
	kill()
	second := newTestHolder("b", store, &fakeRunner{version: 1}, keeping)
	runHolder(t, second, 2)
	mustBeSame(t, before.GetSamples(), mustPull(t, second, 0, 4).GetSamples())
	mustBeOnce(t, append(before.GetSamples(), pullAll(t, second, 4)...), 8, 0)
}

// The holder dies together with the only other process that holds the samples.
// The successor runs their slots again for the same places.
func TestSampleHolderDies(t *testing.T) {
	store := newFakeStore()
	keeping := newFakeKeeping("b")
	first := newTestHolder("a", store, &fakeRunner{version: 1}, keeping)
	kill := runHolder(t, first, 1)
	mustOpen(t, first, openRequest(1, 1, 4, 1))
	await(t, func() bool { return len(mustPull(t, first, 0, 8).GetSamples()) == 4 })
	before := mustPull(t, first, 0, 4).GetSamples()
	kill()
	keeping.kill("b")
	second := newTestHolder("c", store, &fakeRunner{version: 1}, keeping)
	runHolder(t, second, 2)
	after := pullAll(t, second, 0)
	mustBeOnce(t, after, 4, 0)
	for i, sample := range after {
		must.Eq(t, before[i].GetSlot(), sample.GetSlot())
		must.Eq(t, 2, sample.GetTerm())
	}
}

// The holder is frozen just before its write that binds places, and thawed
// after a successor has taken the step over. Were its write to count, the two
// would hand the same places over for other slots.
func TestHolderFrozen(t *testing.T) {
	store := &freezingStore{fakeStore: newFakeStore(), frozen: make(chan struct{}), thaw: make(chan struct{})}
	keeping := newFakeKeeping("b")
	runner := &fakeRunner{version: 1, gate: make(chan struct{})}
	first := newTestHolder("a", store, runner, keeping)
	runHolder(t, first, 1)
	mustOpen(t, first, openRequest(1, 1, 4, 1))
	store.armed.Store(true)
	close(runner.gate)
	<-store.frozen
	second := newTestHolder("b", store.fakeStore, &fakeRunner{version: 1}, keeping)
	runHolder(t, second, 2)
	await(t, func() bool { return mustPull(t, second, 0, 4).GetDone() })
	samples := mustPull(t, second, 0, 4).GetSamples()
	close(store.thaw)
	await(t, func() bool { _, ok := first.Step(); return !ok })
	mustBeOnce(t, samples, 4, 0)
	mustBeSame(t, samples, mustPull(t, second, 0, 4).GetSamples())
}

// freezingStore holds its next write once it is armed.
type freezingStore struct {
	*fakeStore
	armed  atomic.Bool
	frozen chan struct{}
	thaw   chan struct{}
}

func (s *freezingStore) CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error) {
	if s.armed.CompareAndSwap(true, false) {
		close(s.frozen)
		<-s.thaw
	}
	return s.fakeStore.CompareAndSwap(ctx, key, expect, data, lease)
}

// An engine's answer is cut short by a resume that left tokens out. The sample
// would name versions for tokens that nobody produced; it is run again.
func TestShortAnswerRunsAgain(t *testing.T) {
	runner := &fakeRunner{version: 1, cut: 3}
	holder := newTestHolder("a", newFakeStore(), runner, newFakeKeeping("b"))
	runHolder(t, holder, 1)
	mustOpen(t, holder, openRequest(1, 1, 4, 1))
	mustBeOnce(t, pullAll(t, holder, 0), 4, 0)
	must.Eq(t, 7, runner.runs)
}

// Attempts beyond what the samplers run would wait in queues, and begin under
// weights that are old by then.
func TestAttemptsWithinCapacity(t *testing.T) {
	runner := &fakeRunner{version: 1, gate: make(chan struct{})}
	holder := newTestHolder("a", newFakeStore(), runner, newFakeKeeping("b"))
	holder.Capacity = func(string) int { return 3 }
	runHolder(t, holder, 1)
	mustOpen(t, holder, openRequest(1, 2, 8, 1))
	await(t, func() bool { return holder.Counts().Started() == 3 })
	runner.gate <- struct{}{}
	await(t, func() bool { return holder.Counts().Started() == 4 })
	must.Eq(t, 1, holder.Counts().Accepted())
	close(runner.gate)
	mustBeOnce(t, pullAll(t, holder, 0), 16, 0)
}

// Two accounts share a plan that lists the trainer. One pulls while the other's
// step is open. It must not get, acknowledge or age the other's samples.
func TestOtherAccount(t *testing.T) {
	holder := newTestHolder("a", newFakeStore(), &fakeRunner{version: 1}, newFakeKeeping("b"))
	runHolder(t, holder, 1)
	mustOpen(t, holder, openRequest(1, 1, 4, 1))
	await(t, func() bool { return mustPull(t, holder, 0, 4).GetDone() })
	t.Run("pulls", func(t *testing.T) {
		request := pullRequest(4, 4, 0)
		request.SetAccount("other")
		_, err := holder.Pull(t.Context(), request)
		mustRefuse(t, err, "other_account")
	})
	t.Run("announces", func(t *testing.T) {
		err := holder.Announce(t.Context(), peerpb.AnnounceRequest_builder{Account: "other", Version: 9}.Build())
		mustRefuse(t, err, "other_account")
	})
	next := openRequest(2, 1, 4, 1)
	next.SetAccount("other")
	t.Run("opens the next step", func(t *testing.T) {
		_, err := holder.Open(t.Context(), next)
		mustRefuse(t, err, "other_account")
	})
	t.Run("opens it once all is acknowledged", func(t *testing.T) {
		must.True(t, mustPull(t, holder, 4, 4).GetDone())
		mustOpen(t, holder, next)
	})
}
