package batch

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
)

// countingStore counts reads of single keys.
type countingStore struct {
	*platformtest.Store

	reads atomic.Int32
}

func (c *countingStore) Get(ctx context.Context, key string) (platform.Value, error) {
	c.reads.Add(1)
	return c.Store.Get(ctx, key)
}

// A restarted gateway sees the keys of all batches that it owned, most of which have ended.
// Loading the ended ones from the store and from keepers delayed the open ones, whose texts were
// generated again.
func TestEndedBatchesAreNotRead(t *testing.T) {
	store := &countingStore{Store: &platformtest.Store{}}
	first := startProcess(t, store.Store, "g1", "g1")
	must.NoError(t, first.Accept(t.Context(), newBatch(10)))
	await(t, first.ownsBatch)
	list, err := store.List(t.Context(), Prefix)
	must.NoError(t, err)
	restarted := func() *Board {
		board := newBoard(store, "g1", first, "g1")
		t.Cleanup(func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = board.Run(ctx)
		})
		return board
	}
	isOpen := func(value platform.Value) bool { return strings.HasPrefix(value.Key, PrefixOpen) }
	t.Run("ended", func(t *testing.T) {
		board := restarted()
		board.ApplyChanges(slices.DeleteFunc(slices.Clone(list.Values), isOpen))
		time.Sleep(20 * time.Millisecond)
		must.Eq(t, 0, store.reads.Load())
	})
	t.Run("open, whichever key comes first", func(t *testing.T) {
		board := restarted()
		for _, value := range slices.Backward(list.Values) {
			board.ApplyChanges([]platform.Value{value})
		}
		await(t, func() bool {
			_, isOwn, err := board.ReadOwned(t.Context(), "b1", "", 0, 0)
			return err == nil && isOwn
		})
	})
}

// A trainer has two steps in progress when all gateways restart, and the younger one is loaded
// first. Treated as the older step, the younger one took every slot, and the step that the
// trainer waits for stalled for 2.5 s.
func TestOlderStepIsFirst(t *testing.T) {
	p := startProcess(t, &platformtest.Store{}, "g1", "g1")
	for _, step := range []uint64{1, 0, 2} {
		batch := newBatch(10, 10)
		batch.SetId("b" + strconv.FormatUint(step, 10))
		batch.SetStep(step)
		must.NoError(t, p.Accept(t.Context(), batch))
	}
	isFirst := func(id string) bool {
		p.mutex.Lock()
		owner := p.owned[id].owner
		p.mutex.Unlock()
		owner.mutex.Lock()
		defer owner.mutex.Unlock()
		return owner.waiting.Load() > 0 && owner.hasPrecedence()
	}
	await(t, func() bool { return isFirst("b0") })
	must.False(t, isFirst("b1"))
	must.False(t, isFirst("b2"))
}

// A gateway claims a batch and is asked to stop before the batch is loaded. Without a handover the
// gateway ran the batch for two more seconds and lost the texts generated meanwhile when it exited.
func TestStoppedWhileClaiming(t *testing.T) {
	store := &platformtest.Store{}
	first := startProcess(t, store, "g1", "g1")
	must.NoError(t, first.Accept(t.Context(), newBatch(10)))
	await(t, first.ownsBatch)
	list, err := store.List(t.Context(), Prefix)
	must.NoError(t, err)
	first.stop()
	p := startProcess(t, store, "g1", "g2")
	p.routes.set(Route{}, false)
	p.ApplyChanges(list.Values)
	p.Drain(t.Context())
	p.routes.set(knownRoute, true)
	await(t, func() bool {
		_, err := store.Get(t.Context(), ownerKey("b1"))
		var missing *platform.NotFoundError
		return errors.As(err, &missing)
	})
}

// A stopping gateway hands its batch over, so other gateways claim the batch without waiting for
// the stopping one. A gateway whose lease expired in a store outage may still run: if others claim
// its batch at once, the texts generated meanwhile are lost.
func TestClaimDelay(t *testing.T) {
	hosts := []string{"g1", "g2", "g3"}
	order := duty.Order("b1", hosts)
	board := &Board{Process: order[1], Candidates: func(string) []string { return order }, IsLeaving: func(host string) bool { return host == "leaving" }}
	must.Eq(t, ownerHeadStart+claimStagger, board.claimDelay("b1", "g1"))
	must.Eq(t, ownerHeadStart+claimStagger, board.claimDelay("b1", "expired"))
	must.Eq(t, claimStagger, board.claimDelay("b1", "leaving"))
	board.owned = map[string]*ownedBatch{"b1": {}}
	must.Eq(t, 0, board.claimDelay("b1", "g1"))
}

// The lease of an owner expires and another process takes the batch over. The old owner, which
// has not detected this yet, must not list any outcome.
func TestTakeover(t *testing.T) {
	store := &platformtest.Store{}
	first, second := startProcess(t, store, "g1", "g1", "g2"), startProcess(t, store, "g2", "g1", "g2")
	must.NoError(t, first.AcceptOwn(t.Context(), newBatch(10, 20)))
	await(t, func() bool { return second.Owner("b1") == "g1" })
	old := first.owned["b1"].ledger
	first.stop()
	must.NoError(t, store.RevokeLease(t.Context(), first.Lease()))
	await(t, func() bool { return second.ownsBatch() })
	must.False(t, old.commit(t.Context(), 0, []byte("late")))
	must.Eq(t, 0, len(second.outcomes(t)))
}

// The lease of a running owner expires in a store outage. The owner claims its batch again before
// others do, and continues to list outcomes.
func TestClaimedAgain(t *testing.T) {
	store := &platformtest.Store{}
	p := startProcess(t, store, "g1", "g1")
	must.NoError(t, p.Accept(t.Context(), newBatch(10)))
	before := p.owned["b1"].ledger.ownership.Revision
	must.NoError(t, store.RevokeLease(t.Context(), p.Lease()))
	lease, err := store.GrantLease(t.Context(), time.Hour)
	must.NoError(t, err)
	p.lease.Store(lease)
	await(t, func() bool {
		p.owned["b1"].ledger.mutex.Lock()
		defer p.owned["b1"].ledger.mutex.Unlock()
		return p.owned["b1"].ledger.ownership.Revision > before
	})
}

// A draining process gives up its batches at once, so that no other process waits for its lease
// to expire.
func TestDrain(t *testing.T) {
	store := &platformtest.Store{}
	first, second := startProcess(t, store, "g1", "g1", "g2"), startProcess(t, store, "g2", "g1", "g2")
	must.NoError(t, first.AcceptOwn(t.Context(), newBatch(10)))
	await(t, func() bool { return second.Owner("b1") == "g1" })
	first.Drain(t.Context())
	await(t, func() bool { return second.ownsBatch() })
	must.Error(t, first.AcceptOwn(t.Context(), newBatch(10, 20)))
}
