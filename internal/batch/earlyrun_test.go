package batch

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// processPeers lets processes accept batches for each other.
type processPeers struct {
	noopPeer

	processes map[string]*process
}

func (p processPeers) Accept(ctx context.Context, host string, batch *statepb.Batch) (Acceptance, error) {
	return p.processes[host].AcceptForPeer(ctx, batch, 300*time.Millisecond)
}

// mustBeUnknown checks that an answer to a trainer states neither that the batch is accepted nor
// that no item of it runs.
func mustBeUnknown(t *testing.T, err error) {
	t.Helper()
	must.Error(t, err)
	must.False(t, refusal.IsNotRun(err))
}

func shortContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// Guards against steps that start late because the store was unavailable when they were
// submitted.
func TestEarlyBatch(t *testing.T) {
	startUnavailable := func(t *testing.T) (*platformtest.Store, *process) {
		t.Helper()
		store := &platformtest.Store{}
		p := startProcess(t, store, "g1", "g1")
		store.SetUnavailable(true)
		mustBeUnknown(t, p.Accept(shortContext(t), newBatch(10, 20)))
		must.NotNil(t, p.earlyRunOf("b1"))
		return store, p
	}
	t.Run("is taken once the store is back", func(t *testing.T) {
		store, p := startUnavailable(t)
		runs := p.owned["b1"]
		store.SetUnavailable(false)
		must.NoError(t, p.Accept(t.Context(), newBatch(10, 20)))
		await(t, func() bool { return p.ownsBatch() && p.earlyRunOf("b1") == nil })
		must.True(t, p.owned["b1"] == runs)
		runs.ledger.enqueue([]*statepb.Outcome{statepb.Outcome_builder{Item: "i0"}.Build()}, true)
		await(t, func() bool { return len(p.outcomes(t)) == 1 })
	})
	t.Run("shows nothing before", func(t *testing.T) {
		_, p := startUnavailable(t)
		p.owned["b1"].ledger.enqueue([]*statepb.Outcome{statepb.Outcome_builder{Item: "i0"}.Build()}, true)
		page, isOwn, err := p.ReadOwned(t.Context(), "b1", "", 0, 3*writeRetryDelay)
		must.NoError(t, err)
		must.True(t, isOwn)
		must.True(t, page.MayBeIncomplete)
		must.SliceEmpty(t, page.Outcomes)
	})
	t.Run("is begun without a lease", func(t *testing.T) {
		p := startProcess(t, &platformtest.Store{}, "g1", "g1")
		lease := p.lease.Swap(0)
		mustBeUnknown(t, p.Accept(shortContext(t), newBatch(10)))
		must.NotNil(t, p.earlyRunOf("b1"))
		p.lease.Store(lease)
		await(t, func() bool { return p.ownsBatch() && p.earlyRunOf("b1") == nil })
	})
	t.Run("is left to another process that has taken it", func(t *testing.T) {
		store := &platformtest.Store{}
		first, second := startProcess(t, store, "g1", "g1"), startProcess(t, store, "g2", "g2")
		first.lease.Store(0)
		mustBeUnknown(t, first.Accept(shortContext(t), newBatch(10)))
		must.NoError(t, second.AcceptOwn(t.Context(), newBatch(10)))
		await(t, func() bool { return first.earlyRunOf("b1") == nil && !first.ownsBatch() })
		must.True(t, second.ownsBatch())
	})
	t.Run("is claimed where its owner's key has ended", func(t *testing.T) {
		store, p := startUnavailable(t)
		runs := p.owned["b1"]
		store.SetUnavailable(false)
		await(t, func() bool { return p.ownsBatch() && p.earlyRunOf("b1") == nil })
		again := &earlyRun{done: make(chan struct{})}
		p.mutex.Lock()
		runs.early = again
		p.mutex.Unlock()
		_, err := store.Commit(t.Context(), platform.Commit{Remove: []string{ownerKey("b1")}})
		must.NoError(t, err)
		await(t, func() bool { return isClosed(again.done) })
		must.True(t, p.ownsBatch())
	})
	t.Run("ends when its trainer ends it", func(t *testing.T) {
		store, p := startUnavailable(t)
		must.True(t, p.StopOwned("b1", ""))
		await(t, func() bool { return p.earlyRunOf("b1") == nil })
		store.SetUnavailable(false)
		list, err := store.List(t.Context(), PrefixOpen)
		must.NoError(t, err)
		must.SliceEmpty(t, list.Values)
	})
	t.Run("keeps its process from stopping", func(t *testing.T) {
		store, p := startUnavailable(t)
		drained := make(chan struct{})
		go func() {
			p.Drain(context.Background())
			close(drained)
		}()
		await(t, func() bool { return p.hasDrainStarted() })
		must.False(t, isClosed(drained))
		store.SetUnavailable(false)
		<-drained
		await(t, func() bool { return p.Owner("b1") == "" })
	})
	t.Run("is not begun by a process that was asked to stop", func(t *testing.T) {
		p := startProcess(t, &platformtest.Store{}, "g1", "g1")
		p.Drain(t.Context())
		must.True(t, refusal.IsNotRun(p.Accept(t.Context(), newBatch(10))))
		must.Nil(t, p.earlyRunOf("b1"))
	})
}

// Guards against a second owner of a batch that already runs early on another process.
func TestEarlyBatchOfAPeer(t *testing.T) {
	store := &platformtest.Store{}
	processes := map[string]*process{"g1": startProcess(t, store, "g1", "g1", "g2"), "g2": startProcess(t, store, "g2", "g1", "g2")}
	home := processes["g1"].preferredOwners(newBatch(10).GetModel())[0]
	other := map[string]string{"g1": "g2", "g2": "g1"}[home]
	for _, p := range processes {
		p.Peers = processPeers{processes: processes}
	}
	store.SetUnavailable(true)
	mustBeUnknown(t, processes[other].Accept(shortContext(t), newBatch(10)))
	must.NotNil(t, processes[home].earlyRunOf("b1"))
	must.Nil(t, processes[other].earlyRunOf("b1"))
	store.SetUnavailable(false)
	must.NoError(t, processes[other].Accept(t.Context(), newBatch(10)))
	await(t, func() bool { return processes[home].ownsBatch() })
}

// pendingPeer answers that every batch is pending.
type pendingPeer struct{ noopPeer }

func (pendingPeer) Accept(context.Context, string, *statepb.Batch) (Acceptance, error) {
	return Pending, nil
}

// Guards against a trainer's call that blocks until the store is available again.
func TestPendingTimesOut(t *testing.T) {
	p := startProcess(t, &platformtest.Store{}, "g1", "g2")
	p.Peers = pendingPeer{}
	began := time.Now()
	mustBeUnknown(t, p.Accept(t.Context(), newBatch(10)))
	must.Less(t, acceptTimeout+time.Second, time.Since(began))
	must.Nil(t, p.earlyRunOf("b1"))
}

// slowStore delays each write of a batch, and counts the concurrent ones.
type slowStore struct {
	*platformtest.Store

	running, maxRunning atomic.Int32
}

func (s *slowStore) Commit(ctx context.Context, commit platform.Commit) (uint64, error) {
	if len(commit.Writes) == 0 || !strings.HasPrefix(commit.Writes[0].Key, prefixBulk) {
		return s.Store.Commit(ctx, commit)
	}
	storeMax(&s.maxRunning, s.running.Add(1))
	defer s.running.Add(-1)
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(4 * earlyStartDelay):
		return s.Store.Commit(ctx, commit)
	}
}

// Guards against a large batch that is written twice concurrently over a narrow link, or is cut
// off and written again.
func TestLargeBatchIsWrittenOnce(t *testing.T) {
	store := &slowStore{Store: &platformtest.Store{}}
	p := startProcess(t, store.Store, "g1", "g1")
	p.Store = store
	acceptance, err := p.AcceptForPeer(t.Context(), newBatch(10), 2*earlyStartDelay)
	must.NoError(t, err)
	must.Eq(t, Pending, acceptance)
	await(t, func() bool { return p.isAccepted("b1") })
	must.Eq(t, 1, store.maxRunning.Load())
}

// Guards against an item that is given up after its first failed run, and a text of several
// weight versions: a gateway that has just started is registered, and so asked to accept a
// batch, before it knows the rules of the batch's route.
func TestNoBatchFromPeerBeforeConfiguration(t *testing.T) {
	for _, unavailable := range []bool{false, true} {
		store := &platformtest.Store{}
		p := startProcess(t, store, "g1", "g1")
		p.routes.set(Route{}, false)
		store.SetUnavailable(unavailable)
		acceptance, err := p.AcceptForPeer(t.Context(), newBatch(10), 2*earlyStartDelay)
		must.NoError(t, err)
		must.Eq(t, Refused, acceptance)
		must.False(t, p.ownsBatch())
		store.SetUnavailable(false)
		p.routes.set(knownRoute, true)
		acceptance, err = p.AcceptForPeer(t.Context(), newBatch(10), 2*earlyStartDelay)
		must.NoError(t, err)
		must.Eq(t, Accepted, acceptance)
		p.mutex.Lock()
		must.Eq(t, knownRoute.Rules, p.owned["b1"].plan.rules)
		p.mutex.Unlock()
	}
}

// Guards against a batch that the store can't hold and that runs early, because this process had no lease when it arrived.
func TestBatchThatCannotBeStoredIsRefused(t *testing.T) {
	mustRefuse := func(t *testing.T, batch *statepb.Batch, valueBytes int) {
		t.Helper()
		p := startProcess(t, &platformtest.Store{}, "g1", "g1")
		p.lease.Store(0)
		p.ValueBytes = valueBytes
		must.True(t, refusal.IsNotRun(p.Accept(t.Context(), batch)))
		must.Nil(t, p.earlyRunOf("b1"))
	}
	t.Run("for its bytes", func(t *testing.T) {
		batch := newBatch(10)
		batch.SetPath("/\xff")
		mustRefuse(t, batch, 1<<20)
	})
	t.Run("for its size", func(t *testing.T) { mustRefuse(t, newBatch(10), 1) })
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
