package batch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// passRetention makes a process believe that it has known batch b1, and its end, for longer than any
// retention.
func (p *process) passRetention() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stored["b1"] = p.stored["b1"].Add(-2 * p.Retention)
	if p.ended["b1"] != 0 {
		p.ended["b1"] = p.ended["b1"].Add(-2 * endedRetention)
	}
}

// renewLease gives a process a new lease in place of one that has ended.
func (p *process) renewLease(t *testing.T, store *platformtest.Store) {
	t.Helper()
	lease, err := store.GrantLease(t.Context(), time.Hour)
	must.NoError(t, err)
	p.lease.Store(lease)
}

// listFirst lists the outcome of the first item of batch b1 at its owner.
func listFirst(t *testing.T, p *process) {
	t.Helper()
	p.owned["b1"].ledger.enqueue([]*statepb.Outcome{statepb.Outcome_builder{Item: "i0"}.Build()}, true)
	await(t, func() bool { return len(p.outcomes(t)) == 1 })
}

// awaitStored waits until a process knows that the store holds batch b1.
func awaitStored(t *testing.T, p *process) {
	t.Helper()
	await(t, func() bool {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		return p.stored["b1"] != 0
	})
}

// mustKeep checks for a time in which a process would remove batch b1 that the store holds it and its
// first outcome.
func mustKeep(t *testing.T, p *process) {
	t.Helper()
	for began := time.Now(); time.Since(began) < 3*claimPollInterval; time.Sleep(5 * time.Millisecond) {
		page, err := p.ReadStored(t.Context(), "b1", "", 0)
		must.NoError(t, err)
		must.SliceLen(t, 1, page.Outcomes)
	}
}

func awaitEmpty(t *testing.T, store *platformtest.Store) {
	t.Helper()
	await(t, func() bool {
		list, err := store.List(t.Context(), "")
		return err == nil && len(list.Values) == 0
	})
}

// Guards against a batch that its trainer still reads and that is removed by the time since its
// acceptance.
func TestOpenBatchIsNotRemoved(t *testing.T) {
	t.Run("by its owner", func(t *testing.T) {
		store := &platformtest.Store{}
		p := startProcess(t, store, "g1", "g1")
		must.NoError(t, p.Accept(t.Context(), newBatch(10, 20)))
		listFirst(t, p)
		awaitStored(t, p)
		p.passRetention()
		must.SliceEmpty(t, p.expired(clock.Now()))
		mustKeep(t, p)
		must.True(t, p.runsBatch())
		must.NoError(t, p.End(t.Context(), "b1", ""))
		await(t, func() bool { return p.isEnded("b1") })
		mustKeep(t, p)
		p.passRetention()
		awaitEmpty(t, store)
	})
	t.Run("by a process that finds no owner", func(t *testing.T) {
		store := &platformtest.Store{}
		first, second := startProcess(t, store, "g1", "g2"), startProcess(t, store, "g2", "g2")
		must.NoError(t, first.AcceptOwn(t.Context(), newBatch(10, 20)))
		listFirst(t, first)
		awaitStored(t, second)
		first.stop()
		second.mutex.Lock()
		second.claiming["b1"] = true
		second.mutex.Unlock()
		must.NoError(t, store.RevokeLease(t.Context(), first.Lease()))
		await(t, func() bool { return second.Owner("b1") == "" })
		second.passRetention()
		mustKeep(t, second)
	})
	t.Run("by a process that has not heard that it is open", func(t *testing.T) {
		store := &platformtest.Store{}
		p := startProcess(t, store, "g1", "g1")
		must.NoError(t, p.Accept(t.Context(), newBatch(10, 20)))
		listFirst(t, p)
		awaitStored(t, p)
		p.mutex.Lock()
		delete(p.open, "b1")
		p.mutex.Unlock()
		p.passRetention()
		mustKeep(t, p)
		p.mutex.Lock()
		defer p.mutex.Unlock()
		must.True(t, p.open["b1"])
	})
	t.Run("by a removal that the store executes after the batch was accepted anew", func(t *testing.T) {
		store := &platformtest.Store{}
		p := startProcess(t, store, "g1", "g1")
		must.NoError(t, p.Accept(t.Context(), newBatch(10, 20)))
		listFirst(t, p)
		var conflict *platform.ConflictError
		must.True(t, errors.As(p.removeKeys(t.Context(), "b1"), &conflict))
		mustKeep(t, p)
	})
}

// Guards against outcomes that vanish as soon as their batch ends: another client still reads them, and a
// trainer that got no answer ends its batch again.
func TestEndedBatchStaysReadable(t *testing.T) {
	store := &platformtest.Store{}
	first, second := startProcess(t, store, "g1", "g1"), startProcess(t, store, "g2", "g1")
	must.NoError(t, first.Accept(t.Context(), newBatch(10, 20)))
	listFirst(t, first)
	awaitStored(t, first)
	first.passRetention()
	must.NoError(t, second.End(t.Context(), "b1", ""))
	await(t, func() bool { return first.isEnded("b1") && second.isEnded("b1") })
	mustKeep(t, first)
	must.NoError(t, second.End(t.Context(), "b1", ""))
}

// droppingKeeper counts the batches whose texts are dropped.
type droppingKeeper struct {
	noopPeer
	dropped atomic.Int32
}

func (k *droppingKeeper) Drop(context.Context, string) { k.dropped.Add(1) }

// Guards against a process that exceeds its memory by complete batches that their trainers never end.
func TestCompleteOpenBatchIsUnloaded(t *testing.T) {
	isUnloaded := func(p *process) bool {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		return p.unloaded["b1"] && p.owned["b1"] == nil
	}
	store, keeper := &platformtest.Store{}, &droppingKeeper{}
	first := startProcess(t, store, "g1", "g1")
	first.mutex.Lock()
	first.Keeper = keeper
	first.mutex.Unlock()
	must.NoError(t, first.Accept(t.Context(), newBatch(10)))
	listFirst(t, first)
	awaitStored(t, first)
	must.False(t, isUnloaded(first))
	first.passRetention()
	await(t, func() bool { return isUnloaded(first) && keeper.dropped.Load() == 1 })
	mustKeep(t, first)
	t.Run("and is not loaded again", func(t *testing.T) {
		mustStayUnloaded := func() {
			t.Helper()
			writes := store.Writes()
			time.Sleep(ownerHeadStart + 2*claimPollInterval)
			must.True(t, isUnloaded(first))
			must.Eq(t, writes, store.Writes())
		}
		first.release("b1")
		mustStayUnloaded()
		must.NoError(t, store.RevokeLease(t.Context(), first.Lease()))
		await(t, func() bool { return first.Owner("b1") == "" })
		first.renewLease(t, store)
		mustStayUnloaded()
		must.Eq(t, "", first.Owner("b1"))
	})
	t.Run("also by its next owner", func(t *testing.T) {
		first.stop()
		second := startProcess(t, store, "g2", "g2")
		await(t, func() bool { return isUnloaded(second) })
		mustKeep(t, second)
		must.NoError(t, second.End(t.Context(), "b1", ""))
		await(t, func() bool { return second.isEnded("b1") })
		second.passRetention()
		awaitEmpty(t, store)
	})
}

// Guards against a store that grows without bound by batches that are never ended, and against a refusal
// of a batch that the store holds.
func TestOpenBatchesAreBounded(t *testing.T) {
	store := &platformtest.Store{}
	p := startProcess(t, store, "g1", "g1")
	batchOf := func(id, account string) *statepb.Batch {
		batch := newBatch(10)
		batch.SetId(id)
		batch.SetAccount(account)
		return batch
	}
	for i := range maxOpenBatches {
		must.NoError(t, p.Accept(t.Context(), batchOf(strconv.Itoa(i), "a")))
	}
	await(t, func() bool {
		count, _ := p.openOf("a")
		return count == maxOpenBatches
	})
	t.Run("one too many is refused at once", func(t *testing.T) {
		refused := refusal.Of(p.Accept(t.Context(), batchOf("next", "a")))
		must.Eq(t, http.StatusTooManyRequests, refused.Status)
		must.True(t, refusal.IsNotRun(refused))
		must.Positive(t, refused.RetryAfter)
		_, oldest := p.openOf("a")
		must.StrContains(t, refused.Message, fmt.Sprintf("the oldest is %s", oldest))
	})
	t.Run("other accounts have their own limit", func(t *testing.T) {
		must.NoError(t, p.Accept(t.Context(), batchOf("other", "b")))
	})
	t.Run("an accepted batch that is sent again", func(t *testing.T) {
		store.SetWatchesSilent(true)
		defer store.SetWatchesSilent(false)
		commit(t, store, platform.Commit{Writes: []platform.Write{{Key: storedKey("sent"), Data: []byte("a")}}})
		must.NoError(t, p.Accept(t.Context(), batchOf("sent", "a")))
	})
	t.Run("a store that can't tell whether the batch is new", func(t *testing.T) {
		store.SetUnavailable(true)
		defer store.SetUnavailable(false)
		must.False(t, refusal.IsNotRun(p.Accept(t.Context(), batchOf("unknown", "a"))))
	})
	t.Run("an end makes room", func(t *testing.T) {
		must.NoError(t, p.End(t.Context(), "0", "a"))
		await(t, func() bool {
			count, _ := p.openOf("a")
			return count < maxOpenBatches
		})
		must.NoError(t, p.Accept(t.Context(), batchOf("next", "a")))
	})
}
