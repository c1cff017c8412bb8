package batch

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
)

// nextOwner reaches the board of another process.
type nextOwner struct {
	noKeeper

	board func() *Board
	// late is how long its answer takes.
	late time.Duration
}

func (n nextOwner) HandOver(ctx context.Context, _ string, state Handover) (bool, error) {
	taken, err := n.board().TakeHandover(ctx, state)
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-time.After(n.late):
		return taken, err
	}
}

// stopping returns a process that owns batch b1, of which one text is done and not
// listed and one has an event, and the process that comes next.
func stopping(t *testing.T) (store *platformtest.Store, first, second *process) {
	t.Helper()
	store = &platformtest.Store{}
	first, second = begin(t, store, "g1", "g1", "g2"), begin(t, store, "g2", "g1", "g2")
	first.GroupDelay = time.Hour
	first.Peers = nextOwner{board: func() *Board { return second.Board }}
	must.NoError(t, first.AcceptOwn(t.Context(), newBatch(10, 20, 30)))
	await(t, func() bool { return first.holds() && second.Owner("b1") == "g1" })
	awaitOpen(t, first)
	owner := first.held["b1"].owner
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	owner.plan.Start(Job{index: 1, spec: owner.plan.items[1].spec})
	must.True(t, owner.plan.Event(Job{index: 1}, "half", 3))
	owner.ledger.add([]*statepb.Outcome{statepb.Outcome_builder{Item: "i0", Text: "whole", Versions: []uint64{3}}.Build()}, false)
	return store, first, second
}

// awaitOpen waits until a process has seen that its batch is open.
func awaitOpen(t *testing.T, p *process) {
	t.Helper()
	await(t, func() bool {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		return p.openRevisions["b1"] != 0
	})
}

// stoppingLate returns a process that owns batch b1 and whose store answers late, and
// the process that comes next.
func stoppingLate(t *testing.T) (own *lateStore, first, second *process) {
	t.Helper()
	store := &platformtest.Store{}
	first, own = beginLate(t, store, "g1", "g1", "g2")
	second = begin(t, store, "g2", "g1", "g2")
	first.Peers = nextOwner{board: func() *Board { return second.Board }}
	must.NoError(t, first.AcceptOwn(t.Context(), newBatch(10, 20)))
	awaitOpen(t, first)
	return own, first, second
}

// Gateways are stopped one after the other while a trainer waits for its step. At
// each stop the batch waited up to half a second until the next owner had heard
// of it and read it, and texts that were done and not listed were made anew.
func TestHandOver(t *testing.T) {
	t.Run("the next owner goes on at once, with all there is", func(t *testing.T) {
		_, first, second := stopping(t)
		first.Drain(t.Context())
		second.mutex.Lock()
		held := second.held["b1"]
		second.mutex.Unlock()
		must.NotNil(t, held)
		await(t, func() bool { return len(second.outcomes(t)) == 1 })
		must.Eq(t, "whole", second.outcomes(t)[0].GetText())
		held.mutex.Lock()
		defer held.mutex.Unlock()
		must.Eq(t, []string{"half"}, held.plan.items[1].events)
	})
	t.Run("not a batch that its trainer has ended", func(t *testing.T) {
		store, first, second := stopping(t)
		_, err := store.Commit(t.Context(), platform.Commit{Remove: []string{openKey("b1")}})
		must.NoError(t, err)
		first.mutex.Lock()
		state := Handover{Batch: first.held["b1"].batch, Owner: Ownership{Revision: first.ownerRevisions["b1"]}, Open: first.openRevisions["b1"]}
		first.mutex.Unlock()
		taken, err := second.TakeHandover(t.Context(), state)
		must.NoError(t, err)
		must.False(t, taken)
	})
	t.Run("not while the next one stops too", func(t *testing.T) {
		store, first, second := stopping(t)
		second.Drain(t.Context())
		first.Drain(t.Context())
		_, err := store.Get(t.Context(), ownerKey("b1"))
		var missing *platform.NotFoundError
		must.True(t, errors.As(err, &missing))
	})
	// The store has the write of the last chunk and its answer is lost. What is
	// listed isn't known then, and only the store can tell the next owner.
	t.Run("not while it isn't known what is listed", func(t *testing.T) {
		_, first, second := stopping(t)
		ledger := first.held["b1"].ledger
		ledger.mutex.Lock()
		ledger.isOpen = true
		ledger.mutex.Unlock()
		first.Drain(t.Context())
		await(t, second.holds)
		must.SliceEmpty(t, second.outcomes(t))
	})
}

// A gateway stops while the answer to its last chunk is lost. The next owner was
// given the batch without that chunk, and listed other results at its places.
func TestNothingIsGivenUnsure(t *testing.T) {
	own, first, second := stoppingLate(t)
	second.GroupDelay = time.Hour
	own.set(lost)
	first.held["b1"].ledger.add(outcome("i0"), true)
	await(t, func() bool {
		page, err := first.ReadStored(t.Context(), "b1", "", 0)
		return err == nil && len(page.Outcomes) == 1
	})
	first.Drain(t.Context())
	await(t, second.holds)
	await(t, func() bool { return len(second.outcomes(t)) == 1 })
}

// The next owner hears of a batch late: another process has claimed it meanwhile.
func TestHandoverAfterAClaim(t *testing.T) {
	store, first, second := stopping(t)
	first.mutex.Lock()
	state := Handover{Batch: first.held["b1"].batch, Owner: Ownership{Revision: first.ownerRevisions["b1"]}, Open: first.openRevisions["b1"]}
	first.mutex.Unlock()
	_, err := store.Commit(t.Context(), platform.Commit{Writes: []platform.Write{{Key: ownerKey("b1")}}})
	must.NoError(t, err)
	taken, err := second.TakeHandover(t.Context(), state)
	must.NoError(t, err)
	must.False(t, taken)
}

// The next owner is on a small host and answers late. The owner before gave up
// waiting, went through the store, and left its readers to wait for a watch.
func TestHandoverToASlowHost(t *testing.T) {
	_, first, second := stopping(t)
	first.Peers = nextOwner{board: func() *Board { return second.Board }, late: takeTime + 100*time.Millisecond}
	var asked atomic.Int32
	own := &watchedStore{Store: first.Store, asked: &asked}
	first.mutex.Lock()
	first.Store = own
	first.mutex.Unlock()
	first.Drain(t.Context())
	must.Eq(t, 0, asked.Load())
	must.Eq(t, "g2", first.Owner("b1"))
}

// watchedStore counts commits.
type watchedStore struct {
	Store

	asked *atomic.Int32
}

func (w *watchedStore) Commit(ctx context.Context, commit platform.Commit) (uint64, error) {
	w.asked.Add(1)
	return w.Store.Commit(ctx, commit)
}

// A gateway stops while a chunk is on its way to a slow store. The write was cut off;
// unsure of what is listed, the gateway could give the batch to nobody.
func TestHandoverWaitsForAWrite(t *testing.T) {
	own, first, second := stoppingLate(t)
	own.set(late)
	first.held["b1"].ledger.add(outcome("i0"), true)
	await(t, func() bool { return first.held["b1"].ledger.read(0).isOpen })
	time.AfterFunc(100*time.Millisecond, own.finish)
	first.Drain(t.Context())
	must.Eq(t, "g2", first.Owner("b1"))
	must.SliceLen(t, 1, second.outcomes(t))
}

// goneFirst reaches the board of g3 only; g2 doesn't answer.
type goneFirst struct {
	nextOwner
}

func (g goneFirst) HandOver(ctx context.Context, host string, state Handover) (bool, error) {
	if host != "g3" {
		return false, errors.New("no answer")
	}
	return g.nextOwner.HandOver(ctx, host, state)
}

// Several gateways are stopped at a time, the next owner of a batch among them. All
// that came of the batch was made anew, since only that one was asked.
func TestHandoverToTheSecond(t *testing.T) {
	store := &platformtest.Store{}
	first, third := begin(t, store, "g1", "g1", "g2", "g3"), begin(t, store, "g3", "g1", "g2", "g3")
	first.Peers = goneFirst{nextOwner{board: func() *Board { return third.Board }}}
	must.NoError(t, first.AcceptOwn(t.Context(), newBatch(10)))
	awaitOpen(t, first)
	first.Drain(t.Context())
	must.Eq(t, "g3", first.Owner("b1"))
}

// Guards against texts that are lost because their owner stops while the store is away.
func TestStopWhileStoreIsAway(t *testing.T) {
	t.Run("the batch runs on until the store is back", func(t *testing.T) {
		store, first, second := stopping(t)
		held := first.held["b1"]
		store.SetUnavailable(true)
		drained := make(chan struct{})
		go func() {
			first.Drain(context.Background())
			close(drained)
		}()
		await(t, first.drains)
		time.Sleep(3 * writePause)
		must.False(t, isClosed(drained))
		must.False(t, isClosed(held.stopped))
		store.SetUnavailable(false)
		<-drained
		await(t, second.holds)
		second.mutex.Lock()
		next := second.held["b1"]
		second.mutex.Unlock()
		next.mutex.Lock()
		defer next.mutex.Unlock()
		must.Eq(t, []string{"half"}, next.plan.items[1].events)
	})
	t.Run("but not longer than the process has", func(t *testing.T) {
		store, first, _ := stopping(t)
		store.SetUnavailable(true)
		grace := handoverTime + endTime + 200*time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), grace)
		defer cancel()
		first.Drain(ctx)
		must.NoError(t, ctx.Err())
	})
}
