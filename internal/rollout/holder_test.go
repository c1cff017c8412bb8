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
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// runHolder runs a holder until the returned function is called. To other processes,
// that call looks like the death of the holder's process.
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

func await(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		must.True(t, time.Now().Before(deadline), must.Sprint("timed out waiting for the condition"))
		time.Sleep(time.Millisecond)
	}
}

func mustOpen(t *testing.T, holder *Holder, request *peerpb.OpenRequest) *peerpb.OpenReply {
	t.Helper()
	reply, err := holder.Open(t.Context(), request)
	must.NoError(t, err)
	return reply
}

func mustPull(t *testing.T, holder *Holder, place uint64, maxSamples uint32) *peerpb.PullReply {
	t.Helper()
	reply, err := holder.Pull(t.Context(), pullRequest(place, maxSamples, 10*time.Second))
	must.NoError(t, err)
	return reply
}

func pullRequest(place uint64, maxSamples uint32, wait time.Duration) *peerpb.PullRequest {
	return peerpb.PullRequest_builder{Trainer: "drafts", Account: "casa", Place: place, Max: maxSamples, Wait: durationpb.New(wait)}.Build()
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

// mustDeliverOnce asserts that every slot is delivered once and the places are in order.
func mustDeliverOnce(t *testing.T, samples []*peerpb.Sample, slots int, place uint64) {
	t.Helper()
	must.Len(t, slots, samples)
	seen := map[uint32]bool{}
	for i, sample := range samples {
		must.Eq(t, place+uint64(i), sample.GetPlace())
		must.False(t, seen[sample.GetSlot()], must.Sprintf("slot %d was delivered twice", sample.GetSlot()))
		seen[sample.GetSlot()] = true
	}
}

func mustEqualSamples(t *testing.T, want, got []*peerpb.Sample) {
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
	holder := newTestHolder("a", newFakeStore(), &fakeRunner{version: 1}, newFakeReplicator("b"))
	runHolder(t, holder, 1)
	reply := mustOpen(t, holder, openRequest(1, 8, 8, 1))
	must.Eq(t, 64, reply.GetSlots())
	mustDeliverOnce(t, pullAll(t, holder, 0), 64, 0)
	reply = mustOpen(t, holder, openRequest(2, 2, 8, 1))
	must.Eq(t, 64, reply.GetPlace())
	mustDeliverOnce(t, pullAll(t, holder, 64), 16, 64)
}

func TestOpenRepeated(t *testing.T) {
	holder := newTestHolder("a", newFakeStore(), &fakeRunner{version: 1, gate: make(chan struct{})}, newFakeReplicator("b"))
	runHolder(t, holder, 1)
	first := mustOpen(t, holder, openRequest(1, 2, 2, 1))
	t.Run("same content is idempotent", func(t *testing.T) {
		must.True(t, proto.Equal(first, mustOpen(t, holder, openRequest(1, 2, 2, 1))))
	})
	t.Run("other content is a conflict", func(t *testing.T) {
		_, err := holder.Open(t.Context(), openRequest(1, 2, 3, 1))
		mustRefuse(t, err, "step_differs")
	})
	t.Run("the next step waits until this one is complete", func(t *testing.T) {
		_, err := holder.Open(t.Context(), openRequest(2, 2, 2, 1))
		mustRefuse(t, err, "step_open")
	})
	t.Run("a past step is a conflict", func(t *testing.T) {
		_, err := holder.Open(t.Context(), openRequest(0, 2, 2, 1))
		mustRefuse(t, err, "step_past")
	})
}

// The connection breaks while the reply to a pull is in transit. The trainer repeats
// the pull, then sends it through two entry processes at once. If the holder counted
// the first reply as received, those samples would be lost.
func TestPullRepeated(t *testing.T) {
	holder := newTestHolder("a", newFakeStore(), &fakeRunner{version: 1}, newFakeReplicator("b"))
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
	mustEqualSamples(t, lost.GetSamples(), replies[0].GetSamples())
	mustEqualSamples(t, lost.GetSamples(), replies[1].GetSamples())
	rest := pullAll(t, holder, 8)
	mustDeliverOnce(t, append(lost.GetSamples(), rest...), 16, 0)
	_, err := holder.Pull(t.Context(), pullRequest(0, 8, 0))
	mustRefuse(t, err, "acknowledged")
}

// The store applies the write that binds places, but its reply is lost. The next
// write conflicts with the holder's previous one. A holder that mistook this
// conflict for a successor's write would run the whole step again.
func TestStoreReplyLost(t *testing.T) {
	store := newFakeStore()
	runner := &fakeRunner{version: 1, gate: make(chan struct{})}
	holder := newTestHolder("a", store, runner, newFakeReplicator("b"))
	runHolder(t, holder, 1)
	mustOpen(t, holder, openRequest(1, 1, 4, 1))
	store.set(func(s *fakeStore) { s.loseNextAnswer = true })
	close(runner.gate)
	mustDeliverOnce(t, pullAll(t, holder, 0), 4, 0)
	must.Eq(t, 4, runner.runs)
}

// The store becomes unavailable in the middle of a step. The trainer still receives
// committed samples, generation continues, no new sample is delivered, and once the
// store is available again the whole step is delivered, each slot once.
func TestStoreUnavailable(t *testing.T) {
	store := newFakeStore()
	runner := &fakeRunner{version: 1, gate: make(chan struct{})}
	holder := newTestHolder("a", store, runner, newFakeReplicator("b"))
	runHolder(t, holder, 1)
	mustOpen(t, holder, openRequest(1, 2, 4, 1))
	for range 4 {
		runner.gate <- struct{}{}
	}
	await(t, func() bool { return len(mustPull(t, holder, 0, 8).GetSamples()) == 4 })
	store.set(func(s *fakeStore) { s.isUnavailable = true })
	close(runner.gate)
	await(t, func() bool { return holder.Counts().Accepted() == 8 })
	committed := mustPull(t, holder, 0, 8)
	must.Len(t, 4, committed.GetSamples())
	await(t, func() bool {
		reply, err := holder.Pull(t.Context(), pullRequest(4, 8, 0))
		return err == nil && len(reply.GetSamples()) == 0 && reply.GetWaiting() == "store"
	})
	store.set(func(s *fakeStore) { s.isUnavailable = false })
	mustDeliverOnce(t, append(committed.GetSamples(), pullAll(t, holder, 4)...), 8, 0)
}

// The holder dies after it has delivered half of the step, and the trainer pulls
// the unacknowledged half again from the successor. The trainer must receive the
// same bytes, and the rest of the step must continue.
func TestHolderDies(t *testing.T) {
	store := newFakeStore()
	replicator := newFakeReplicator("b")
	runner := &fakeRunner{version: 1, gate: make(chan struct{})}
	first := newTestHolder("a", store, runner, replicator)
	kill := runHolder(t, first, 1)
	mustOpen(t, first, openRequest(1, 2, 4, 1))
	for range 4 {
		runner.gate <- struct{}{}
	}
	await(t, func() bool { return len(mustPull(t, first, 0, 8).GetSamples()) == 4 })
	before := mustPull(t, first, 0, 4)
	kill()
	second := newTestHolder("b", store, &fakeRunner{version: 1}, replicator)
	runHolder(t, second, 2)
	mustEqualSamples(t, before.GetSamples(), mustPull(t, second, 0, 4).GetSamples())
	mustDeliverOnce(t, append(before.GetSamples(), pullAll(t, second, 4)...), 8, 0)
}

// The holder dies together with the only other process that holds the samples. The
// successor must run their slots again for the same places.
func TestSampleHolderDies(t *testing.T) {
	store := newFakeStore()
	replicator := newFakeReplicator("b")
	first := newTestHolder("a", store, &fakeRunner{version: 1}, replicator)
	kill := runHolder(t, first, 1)
	mustOpen(t, first, openRequest(1, 1, 4, 1))
	await(t, func() bool { return len(mustPull(t, first, 0, 8).GetSamples()) == 4 })
	before := mustPull(t, first, 0, 4).GetSamples()
	kill()
	replicator.kill("b")
	second := newTestHolder("c", store, &fakeRunner{version: 1}, replicator)
	runHolder(t, second, 2)
	after := pullAll(t, second, 0)
	mustDeliverOnce(t, after, 4, 0)
	for i, sample := range after {
		must.Eq(t, before[i].GetSlot(), sample.GetSlot())
		must.Eq(t, 2, sample.GetTerm())
	}
}

// The holder is paused just before the write that binds places, and resumes after a
// successor has taken over the step. If the former holder's write took effect, the
// two would deliver the same places for different slots.
func TestPausedHolderCannotCommit(t *testing.T) {
	store := &pausingStore{fakeStore: newFakeStore(), paused: make(chan struct{}), resume: make(chan struct{})}
	replicator := newFakeReplicator("b")
	runner := &fakeRunner{version: 1, gate: make(chan struct{})}
	first := newTestHolder("a", store, runner, replicator)
	runHolder(t, first, 1)
	mustOpen(t, first, openRequest(1, 1, 4, 1))
	store.armed.Store(true)
	close(runner.gate)
	<-store.paused
	second := newTestHolder("b", store.fakeStore, &fakeRunner{version: 1}, replicator)
	runHolder(t, second, 2)
	await(t, func() bool { return mustPull(t, second, 0, 4).GetDone() })
	samples := mustPull(t, second, 0, 4).GetSamples()
	close(store.resume)
	await(t, func() bool { _, ok := first.Step(); return !ok })
	mustDeliverOnce(t, samples, 4, 0)
	mustEqualSamples(t, samples, mustPull(t, second, 0, 4).GetSamples())
}

// pausingStore blocks its next write once it is armed.
type pausingStore struct {
	*fakeStore
	armed  atomic.Bool
	paused chan struct{}
	resume chan struct{}
}

func (s *pausingStore) CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error) {
	if s.armed.CompareAndSwap(true, false) {
		close(s.paused)
		<-s.resume
	}
	return s.fakeStore.CompareAndSwap(ctx, key, expect, data, lease)
}

// listPausingStore blocks its first list.
type listPausingStore struct {
	*fakeStore
	hasPaused atomic.Bool
	paused    chan struct{}
	resume    chan struct{}
}

func (s *listPausingStore) List(ctx context.Context, prefix string) (platform.ListReply, error) {
	if s.hasPaused.CompareAndSwap(false, true) {
		close(s.paused)
		<-s.resume
	}
	return s.fakeStore.List(ctx, prefix)
}

// Guards against a step that no process can load: a former holder, paused while it opened a step, deletes the prompts of
// the next step, which its successor has opened.
func TestPausedHolderKeepsNewerPrompts(t *testing.T) {
	store := &listPausingStore{fakeStore: newFakeStore(), paused: make(chan struct{}), resume: make(chan struct{})}
	replicator := newFakeReplicator("b", "c")
	first := newTestHolder("a", store, &fakeRunner{version: 1}, replicator)
	runHolder(t, first, 1)
	opened := make(chan struct{})
	go func() {
		_, _ = first.Open(context.Background(), openRequest(1, 1, 4, 1))
		close(opened)
	}()
	<-store.paused
	second := newTestHolder("b", store.fakeStore, &fakeRunner{version: 1}, replicator)
	kill := runHolder(t, second, 2)
	mustDeliverOnce(t, pullAll(t, second, 0), 4, 0)
	mustOpen(t, second, openRequest(2, 1, 4, 1))
	close(store.resume)
	<-opened
	kill()
	third := newTestHolder("c", store.fakeStore, &fakeRunner{version: 1}, replicator)
	runHolder(t, third, 3)
	mustDeliverOnce(t, pullAll(t, third, 4), 4, 4)
}

// A resume omits tokens of an engine's answer. The sample would name versions for
// tokens that were never generated, so its slot must run again.
func TestShortAnswerRunsAgain(t *testing.T) {
	runner := &fakeRunner{version: 1, shortAnswers: 3}
	holder := newTestHolder("a", newFakeStore(), runner, newFakeReplicator("b"))
	runHolder(t, holder, 1)
	mustOpen(t, holder, openRequest(1, 1, 4, 1))
	mustDeliverOnce(t, pullAll(t, holder, 0), 4, 0)
	must.Eq(t, 7, runner.runs)
}

// Attempts beyond the samplers' capacity would wait in queues and begin under weights
// that are old by then.
func TestAttemptsWithinCapacity(t *testing.T) {
	runner := &fakeRunner{version: 1, gate: make(chan struct{})}
	holder := newTestHolder("a", newFakeStore(), runner, newFakeReplicator("b"))
	holder.Capacity = func(string) int { return 3 }
	runHolder(t, holder, 1)
	mustOpen(t, holder, openRequest(1, 2, 8, 1))
	await(t, func() bool { return holder.Counts().Started() == 3 })
	runner.gate <- struct{}{}
	await(t, func() bool { return holder.Counts().Started() == 4 })
	must.Eq(t, 1, holder.Counts().Accepted())
	close(runner.gate)
	mustDeliverOnce(t, pullAll(t, holder, 0), 16, 0)
}

// Two accounts share a plan that lists the trainer, and one makes calls while the
// other's step is open. That account must not receive or acknowledge the other's
// samples, or make them stale.
func TestOtherAccount(t *testing.T) {
	holder := newTestHolder("a", newFakeStore(), &fakeRunner{version: 1}, newFakeReplicator("b"))
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
