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

// peersOf has processes take batches of each other.
type peersOf struct {
	noKeeper

	processes map[string]*process
}

func (p peersOf) Accept(ctx context.Context, host string, batch *statepb.Batch) (Acceptance, error) {
	return p.processes[host].AcceptForPeer(ctx, batch, 300*time.Millisecond)
}

// mustBeUnknown checks that a trainer was told neither that its batch is taken nor
// that nothing of it runs.
func mustBeUnknown(t *testing.T, err error) {
	t.Helper()
	must.Error(t, err)
	must.False(t, refusal.IsNotRun(err))
}

func brief(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// Guards against steps that begin late because the store was away when they were asked for.
func TestEarlyBatch(t *testing.T) {
	away := func(t *testing.T) (*platformtest.Store, *process) {
		t.Helper()
		store := &platformtest.Store{}
		p := begin(t, store, "g1", "g1")
		store.SetUnavailable(true)
		mustBeUnknown(t, p.Accept(brief(t), newBatch(10, 20)))
		must.NotNil(t, p.earlyOf("b1"))
		return store, p
	}
	t.Run("is taken once the store is back", func(t *testing.T) {
		store, p := away(t)
		runs := p.held["b1"]
		store.SetUnavailable(false)
		must.NoError(t, p.Accept(t.Context(), newBatch(10, 20)))
		await(t, func() bool { return p.holds() && p.earlyOf("b1") == nil })
		must.True(t, p.held["b1"] == runs)
		runs.ledger.add([]*statepb.Outcome{statepb.Outcome_builder{Item: "i0"}.Build()}, true)
		await(t, func() bool { return len(p.outcomes(t)) == 1 })
	})
	t.Run("shows nothing before", func(t *testing.T) {
		_, p := away(t)
		p.held["b1"].ledger.add([]*statepb.Outcome{statepb.Outcome_builder{Item: "i0"}.Build()}, true)
		page, isOwn, err := p.ReadOwned(t.Context(), "b1", "", 0, 3*writePause)
		must.NoError(t, err)
		must.True(t, isOwn)
		must.True(t, page.MayBeIncomplete)
		must.SliceEmpty(t, page.Outcomes)
	})
	t.Run("is begun without a lease", func(t *testing.T) {
		p := begin(t, &platformtest.Store{}, "g1", "g1")
		lease := p.lease.Swap(0)
		mustBeUnknown(t, p.Accept(brief(t), newBatch(10)))
		must.NotNil(t, p.earlyOf("b1"))
		p.lease.Store(lease)
		await(t, func() bool { return p.holds() && p.earlyOf("b1") == nil })
	})
	t.Run("is left to another process that has taken it", func(t *testing.T) {
		store := &platformtest.Store{}
		first, second := begin(t, store, "g1", "g1"), begin(t, store, "g2", "g2")
		first.lease.Store(0)
		mustBeUnknown(t, first.Accept(brief(t), newBatch(10)))
		must.NoError(t, second.AcceptOwn(t.Context(), newBatch(10)))
		await(t, func() bool { return first.earlyOf("b1") == nil && !first.holds() })
		must.True(t, second.holds())
	})
	t.Run("is claimed where its owner's key has ended", func(t *testing.T) {
		store, p := away(t)
		runs := p.held["b1"]
		store.SetUnavailable(false)
		await(t, func() bool { return p.holds() && p.earlyOf("b1") == nil })
		again := &early{settled: make(chan struct{})}
		p.mutex.Lock()
		runs.early = again
		p.mutex.Unlock()
		_, err := store.Commit(t.Context(), platform.Commit{Remove: []string{ownerKey("b1")}})
		must.NoError(t, err)
		await(t, func() bool { return isClosed(again.settled) })
		must.True(t, p.holds())
	})
	t.Run("ends with its trainer's word", func(t *testing.T) {
		store, p := away(t)
		must.True(t, p.StopOwned("b1", ""))
		await(t, func() bool { return p.earlyOf("b1") == nil })
		store.SetUnavailable(false)
		list, err := store.List(t.Context(), PrefixOpen)
		must.NoError(t, err)
		must.SliceEmpty(t, list.Values)
	})
	t.Run("keeps its process from stopping", func(t *testing.T) {
		store, p := away(t)
		drained := make(chan struct{})
		go func() {
			p.Drain(context.Background())
			close(drained)
		}()
		await(t, func() bool { return p.drains() })
		must.False(t, isClosed(drained))
		store.SetUnavailable(false)
		<-drained
		await(t, func() bool { return p.Owner("b1") == "" })
	})
	t.Run("is not begun by a process that was asked to stop", func(t *testing.T) {
		p := begin(t, &platformtest.Store{}, "g1", "g1")
		p.Drain(t.Context())
		must.True(t, refusal.IsNotRun(p.Accept(t.Context(), newBatch(10))))
		must.Nil(t, p.earlyOf("b1"))
	})
}

// Guards against a second owner of a batch that runs early at the first.
func TestEarlyBatchOfAPeer(t *testing.T) {
	store := &platformtest.Store{}
	processes := map[string]*process{"g1": begin(t, store, "g1", "g1", "g2"), "g2": begin(t, store, "g2", "g1", "g2")}
	home := processes["g1"].homes(newBatch(10).GetModel())[0]
	other := map[string]string{"g1": "g2", "g2": "g1"}[home]
	for _, p := range processes {
		p.Peers = peersOf{processes: processes}
	}
	store.SetUnavailable(true)
	mustBeUnknown(t, processes[other].Accept(brief(t), newBatch(10)))
	must.NotNil(t, processes[home].earlyOf("b1"))
	must.Nil(t, processes[other].earlyOf("b1"))
	store.SetUnavailable(false)
	must.NoError(t, processes[other].Accept(t.Context(), newBatch(10)))
	await(t, func() bool { return processes[home].holds() })
}

// pendingPeer runs every batch and never hears of the store.
type pendingPeer struct{ noKeeper }

func (pendingPeer) Accept(context.Context, string, *statepb.Batch) (Acceptance, error) {
	return Pending, nil
}

// Guards against a trainer's call that lasts as long as the store is away.
func TestPendingHasAnEnd(t *testing.T) {
	p := begin(t, &platformtest.Store{}, "g1", "g2")
	p.Peers = pendingPeer{}
	began := time.Now()
	mustBeUnknown(t, p.Accept(t.Context(), newBatch(10)))
	must.Less(t, acceptTime+time.Second, time.Since(began))
	must.Nil(t, p.earlyOf("b1"))
}

// slowStore takes a while for each write of a batch, and counts how many are under way.
type slowStore struct {
	*platformtest.Store

	under, most atomic.Int32
}

func (s *slowStore) Commit(ctx context.Context, commit platform.Commit) (uint64, error) {
	if len(commit.Writes) == 0 || !strings.HasPrefix(commit.Writes[0].Key, prefixBulk) {
		return s.Store.Commit(ctx, commit)
	}
	s.most.Store(max(s.most.Load(), s.under.Add(1)))
	defer s.under.Add(-1)
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(4 * earlyAfter):
		return s.Store.Commit(ctx, commit)
	}
}

// Guards against a large batch that is written twice at a time over a narrow link, or
// is cut off and written anew.
func TestLargeBatchIsWrittenOnce(t *testing.T) {
	store := &slowStore{Store: &platformtest.Store{}}
	p := begin(t, store.Store, "g1", "g1")
	p.Store = store
	acceptance, err := p.AcceptForPeer(t.Context(), newBatch(10), 2*earlyAfter)
	must.NoError(t, err)
	must.Eq(t, Pending, acceptance)
	await(t, func() bool { return p.isKnown("b1") })
	must.Eq(t, 1, store.most.Load())
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
