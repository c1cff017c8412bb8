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

// countingStore counts what is read of batches.
type countingStore struct {
	*platformtest.Store

	reads atomic.Int32
}

func (c *countingStore) Get(ctx context.Context, key string) (platform.Value, error) {
	c.reads.Add(1)
	return c.Store.Get(ctx, key)
}

// All gateways start anew. Each finds the keys of batches that it owned, most of
// which their trainers have long ended. While it read these from the store and
// from keepers, the texts of those still open came too late, and were made anew.
func TestEndedBatchesAreNotRead(t *testing.T) {
	store := &countingStore{Store: &platformtest.Store{}}
	first := begin(t, store.Store, "g1", "g1")
	must.NoError(t, first.Accept(t.Context(), newBatch(10)))
	await(t, first.holds)
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

// A trainer has two steps under way when all gateways start anew, and the younger
// one is read first. Taken for the older, it got every slot; the one that the
// trainer waits for stood still for two and a half seconds.
func TestOlderStepIsFirst(t *testing.T) {
	p := begin(t, &platformtest.Store{}, "g1", "g1")
	for _, step := range []uint64{1, 0, 2} {
		batch := newBatch(10, 10)
		batch.SetId("b" + strconv.FormatUint(step, 10))
		batch.SetStep(step)
		must.NoError(t, p.Accept(t.Context(), batch))
	}
	isFirst := func(id string) bool {
		p.mutex.Lock()
		owner := p.held[id].owner
		p.mutex.Unlock()
		owner.mutex.Lock()
		defer owner.mutex.Unlock()
		return owner.waiting.Load() > 0 && owner.isFirst()
	}
	await(t, func() bool { return isFirst("b0") })
	must.False(t, isFirst("b1"))
	must.False(t, isFirst("b2"))
}

// A gateway claims a batch and is asked to stop before it has read it. It served
// on with the batch for two seconds, and what it had made was lost at its end.
func TestStoppedWhileClaiming(t *testing.T) {
	store := &platformtest.Store{}
	first := begin(t, store, "g1", "g1")
	must.NoError(t, first.Accept(t.Context(), newBatch(10)))
	await(t, first.holds)
	list, err := store.List(t.Context(), Prefix)
	must.NoError(t, err)
	first.stop()
	p := begin(t, store, "g1", "g2")
	p.routes.set(Route{}, false)
	p.ApplyChanges(list.Values)
	p.Drain(t.Context())
	p.routes.set(known, true)
	await(t, func() bool {
		_, err := store.Get(t.Context(), ownerKey("b1"))
		var missing *platform.NotFoundError
		return errors.As(err, &missing)
	})
}

// A gateway that stops hands its batch over, and the next one need not wait for
// it. One whose lease has lapsed with the store may live: taken from it at once,
// the batch loses what came of it meanwhile.
func TestTurn(t *testing.T) {
	hosts := []string{"g1", "g2", "g3"}
	order := duty.Order("b1", hosts)
	board := &Board{Process: order[1], Candidates: func(string) []string { return order }, IsLeaving: func(host string) bool { return host == "leaving" }}
	must.Eq(t, ownerHead+claimStep, board.turn("b1", "g1"))
	must.Eq(t, ownerHead+claimStep, board.turn("b1", "lapsed"))
	must.Eq(t, claimStep, board.turn("b1", "leaving"))
	board.held = map[string]*held{"b1": {}}
	must.Eq(t, 0, board.turn("b1", "g1"))
}

func TestTakeover(t *testing.T) {
	store := &platformtest.Store{}
	first, second := begin(t, store, "g1", "g1", "g2"), begin(t, store, "g2", "g1", "g2")
	must.NoError(t, first.AcceptOwn(t.Context(), newBatch(10, 20)))
	await(t, func() bool { return second.Owner("b1") == "g1" })
	old := first.held["b1"].ledger
	first.stop()
	must.NoError(t, store.RevokeLease(t.Context(), first.Lease()))
	await(t, func() bool { return second.holds() })
	must.False(t, old.commit(t.Context(), 0, []byte("late")))
	must.Eq(t, 0, len(second.outcomes(t)))
}

// The lease of an owner lapses although it lives: the store was away. It claims
// its batch again at once, before others do, and lists on.
func TestClaimedAgain(t *testing.T) {
	store := &platformtest.Store{}
	p := begin(t, store, "g1", "g1")
	must.NoError(t, p.Accept(t.Context(), newBatch(10)))
	before := p.held["b1"].ledger.title.Revision
	must.NoError(t, store.RevokeLease(t.Context(), p.Lease()))
	lease, err := store.GrantLease(t.Context(), time.Hour)
	must.NoError(t, err)
	p.lease.Store(lease)
	await(t, func() bool {
		p.held["b1"].ledger.mutex.Lock()
		defer p.held["b1"].ledger.mutex.Unlock()
		return p.held["b1"].ledger.title.Revision > before
	})
}

// A process that stops gives its batches up at once; nobody waits for its lease.
func TestDrain(t *testing.T) {
	store := &platformtest.Store{}
	first, second := begin(t, store, "g1", "g1", "g2"), begin(t, store, "g2", "g1", "g2")
	must.NoError(t, first.AcceptOwn(t.Context(), newBatch(10)))
	await(t, func() bool { return second.Owner("b1") == "g1" })
	first.Drain(t.Context())
	await(t, func() bool { return second.holds() })
	must.Error(t, first.AcceptOwn(t.Context(), newBatch(10, 20)))
}
