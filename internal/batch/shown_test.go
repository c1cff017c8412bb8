package batch

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
)

// fate is what becomes of the next write of a chunk.
type fate int

const (
	answered fate = iota
	// late writes are done, and their answers come when the test says so.
	late
	// lost writes are done, and their answers never come.
	lost
	// undone writes are done when the test says so, and their answers never come.
	undone
)

// callTime bounds the wait for a late answer, as calls of the real store are bounded.
const callTime = 300 * time.Millisecond

// lateStore is a store as one process sees it. It answers writes of chunks late, or not at all.
type lateStore struct {
	*platformtest.Store

	mutex sync.Mutex
	next  fate
	// let ends the wait of late answers.
	let chan struct{}
	// waiting are the undone writes.
	waiting []platform.Commit
}

func newLateStore(store *platformtest.Store) *lateStore {
	return &lateStore{Store: store, let: make(chan struct{})}
}

func (l *lateStore) set(next fate) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.next = next
}

func (l *lateStore) Commit(ctx context.Context, commit platform.Commit) (uint64, error) {
	if !strings.HasPrefix(commit.FirstKey(), prefixOut) || len(commit.Writes) == 0 {
		return l.Store.Commit(ctx, commit)
	}
	l.mutex.Lock()
	next, let := l.next, l.let
	l.next = answered
	if next == undone {
		l.waiting = append(l.waiting, commit)
	}
	l.mutex.Unlock()
	if next == undone {
		return 0, &platform.UnavailableError{Operation: "commit"}
	}
	revision, err := l.Store.Commit(ctx, commit)
	if next == late {
		select {
		case <-let:
		case <-ctx.Done():
			return 0, &platform.UnavailableError{Operation: "commit", Cause: ctx.Err()}
		case <-time.After(callTime):
			return 0, &platform.UnavailableError{Operation: "commit"}
		}
	}
	if next == lost {
		return 0, &platform.UnavailableError{Operation: "commit"}
	}
	return revision, err
}

// finish has late answers come and undone writes be done.
func (l *lateStore) finish() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.let)
	l.let = make(chan struct{})
	for _, commit := range l.waiting {
		_, _ = l.Store.Commit(context.Background(), commit) // It may no longer fit.
	}
	l.waiting = nil
}

// beginLate starts a process whose own store answers late.
func beginLate(t *testing.T, store *platformtest.Store, name string, hosts ...string) (*process, *lateStore) {
	t.Helper()
	p := begin(t, store, name, hosts...)
	own := newLateStore(store)
	p.mutex.Lock()
	p.Store = own
	p.mutex.Unlock()
	t.Cleanup(own.finish)
	return p, own
}

func outcome(item string) []*statepb.Outcome {
	return []*statepb.Outcome{statepb.Outcome_builder{Item: item, Text: "text of " + item}.Build()}
}

// readAt reads as a gateway does: from itself, else from the owner, else from the
// store. An owner that isn't among the others is silent.
func readAt(ctx context.Context, p *process, others map[string]*process, after uint64) ([]*statepb.Outcome, error) {
	page, isOwn, err := p.ReadOwned(ctx, "b1", "", after, 0)
	if isOwn && !page.MayBeIncomplete || err != nil {
		return page.Outcomes, err
	}
	if owner := others[p.Owner("b1")]; owner != nil && owner != p {
		page, isOwn, err = owner.ReadOwned(ctx, "b1", "", after, 0)
		if err == nil && isOwn && !page.MayBeIncomplete {
			return page.Outcomes, nil
		}
	}
	page, err = p.ReadStored(ctx, "b1", "", after)
	return page.Outcomes, err
}

func mustShow(t *testing.T, p *process, others map[string]*process, after uint64, item string) {
	t.Helper()
	found, err := readAt(t.Context(), p, others, after)
	must.NoError(t, err)
	must.Positive(t, len(found))
	must.Eq(t, item, found[0].GetItem())
}

// An owner was silent for a while, so a gateway read the store and showed a trainer
// a result whose write the owner had not heard of yet. Half a second later the
// trainer read from the owner, which said that there is nothing at that place.
func TestLateAnswerHidesNothing(t *testing.T) {
	store := &platformtest.Store{}
	first, own := beginLate(t, store, "g1", "g1")
	must.NoError(t, first.Accept(t.Context(), newBatch(10, 20)))
	own.set(late)
	first.held["b1"].ledger.add(outcome("i0"), true)
	await(t, func() bool {
		page, err := first.ReadStored(t.Context(), "b1", "", 0)
		return err == nil && len(page.Outcomes) == 1
	})
	mustShow(t, first, nil, 0, "i0")
	t.Run("nothing is said of places that nobody could have read", func(t *testing.T) {
		own.finish()
		await(t, func() bool {
			page, _, err := first.ReadOwned(t.Context(), "b1", "", 1, 0)
			return err == nil && len(page.Outcomes) == 0 && !page.MayBeIncomplete
		})
	})
	t.Run("a lease that has lapsed says nothing", func(t *testing.T) {
		first.lease.Store(0)
		page, isOwn, err := first.ReadOwned(t.Context(), "b1", "", 1, 0)
		must.NoError(t, err)
		must.True(t, isOwn)
		must.True(t, page.MayBeIncomplete)
	})
}

// A gateway is cut off from the store until its lease has lapsed. Another one takes
// its batch, lists a text and dies. Back in touch, the first one claims its batch
// again; it knew nothing of the text, and no chunk of its own could be written.
func TestListedByAnotherMeanwhile(t *testing.T) {
	store := &platformtest.Store{}
	first := begin(t, store, "g1", "g1")
	must.NoError(t, first.Accept(t.Context(), newBatch(10, 20)))
	await(t, first.holds)
	owner := first.held["b1"].owner
	owner.mutex.Lock()
	owner.plan.Start(Job{index: 1, spec: owner.plan.items[1].spec})
	must.True(t, owner.plan.Event(Job{index: 1}, "half", 3))
	owner.mutex.Unlock()
	_, err := store.Commit(t.Context(), platform.Commit{Writes: []platform.Write{{Key: chunkKey("b1", 0), Data: encode(t, 0, outcome("i0"))}}})
	must.NoError(t, err)
	must.NoError(t, store.RevokeLease(t.Context(), first.Lease()))
	lease, err := store.GrantLease(t.Context(), time.Hour)
	must.NoError(t, err)
	first.lease.Store(lease)
	await(t, func() bool {
		page, isOwn, err := first.ReadOwned(t.Context(), "b1", "", 0, 0)
		return err == nil && isOwn && len(page.Outcomes) == 1
	})
	t.Run("and goes on with what it has", func(t *testing.T) {
		first.mutex.Lock()
		next := first.held["b1"]
		first.mutex.Unlock()
		next.ledger.add(outcome("i1"), true)
		await(t, func() bool { return len(first.outcomes(t)) == 2 })
		next.mutex.Lock()
		defer next.mutex.Unlock()
		must.Eq(t, []string{"half"}, next.plan.items[1].events)
	})
}

func encode(t *testing.T, first uint64, outcomes []*statepb.Outcome) []byte {
	t.Helper()
	data, err := marshalChunk(first, outcomes)
	must.NoError(t, err)
	return data
}

// A gateway dies with a chunk under way. The next process of its name reads the
// batch; then the store does the write. The new owner did not know of the chunk that
// others read, and every one of its own found its place taken.
func TestWriteOfFormerProcess(t *testing.T) {
	store := &platformtest.Store{}
	first, own := beginLate(t, store, "g1", "g1")
	must.NoError(t, first.Accept(t.Context(), newBatch(10, 20)))
	own.set(undone)
	ledger := first.held["b1"].ledger
	ledger.add(outcome("i0"), true)
	await(t, func() bool {
		own.mutex.Lock()
		defer own.mutex.Unlock()
		return len(own.waiting) == 1
	})
	first.stop()
	second := begin(t, store, "g1", "g1")
	await(t, second.holds)
	own.finish()
	second.held["b1"].ledger.add(outcome("i1"), true)
	await(t, func() bool { return len(second.outcomes(t)) == 1 })
	stored, err := second.loadListed(t.Context(), "b1")
	must.NoError(t, err)
	must.Eq(t, "i1", stored[0].GetItem())
}

// A trainer waits for results at a gateway that hands its batch over. It was left
// waiting there for up to a second, while the next owner had results.
func TestReaderFollowsHandover(t *testing.T) {
	_, first, second := stopping(t)
	read := make(chan Page, 1)
	go func() {
		page, _, _ := first.ReadOwned(context.Background(), "b1", "", 0, time.Minute)
		read <- page
	}()
	first.Drain(t.Context())
	select {
	case page := <-read:
		must.True(t, page.MayBeIncomplete)
	case <-time.After(5 * time.Second):
		t.Fatal("the reader still waits")
	}
	must.Eq(t, "g2", first.Owner("b1"))
	await(t, func() bool { return len(second.outcomes(t)) == 1 })
	mustShow(t, first, map[string]*process{"g2": second}, 0, "i0")
}

// A chunk is small enough for its answer to come back in time over a narrow link.
func TestChunksAreBounded(t *testing.T) {
	store := &platformtest.Store{}
	p := begin(t, store, "g1", "g1")
	must.NoError(t, p.Accept(t.Context(), newBatch(10, 20, 30)))
	var outcomes []*statepb.Outcome
	for i := range 3 {
		text := strings.Repeat("x", chunkBytes/2+1)
		outcomes = append(outcomes, statepb.Outcome_builder{Item: fmt.Sprintf("i%d", i), Text: text}.Build())
	}
	p.held["b1"].ledger.add(outcomes, true)
	await(t, func() bool { return len(p.outcomes(t)) == 3 })
	list, err := store.List(t.Context(), chunkPrefix("b1"))
	must.NoError(t, err)
	must.SliceLen(t, 3, list.Values)
}

// Whatever answers are late or lost, whoever owns a batch and wherever a trainer
// reads: a place that was read once is there for good, with the same result.
func TestShownPlacesStay(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := &platformtest.Store{}
		processes := map[string]*process{}
		stores := map[string]*lateStore{}
		names := []string{"g1", "g2"}
		for _, name := range names {
			processes[name], stores[name] = beginLate(t, store, name, names...)
		}
		defer stopAll(processes, stores)
		items := []uint64{10, 20, 30, 40, 50, 60}
		must.NoError(t, processes["g1"].AcceptOwn(t.Context(), newBatch(items...)))
		var shown []string
		added := 0
		for range rapid.IntRange(8, 16).Draw(rt, "steps") {
			name := rapid.SampledFrom(names).Draw(rt, "process")
			switch rapid.SampledFrom([]string{"add", "add", "read", "read", "read", "lapse", "finish"}).Draw(rt, "step") {
			case "add":
				stores[name].set(fate(rapid.IntRange(int(answered), int(undone)).Draw(rt, "fate")))
				if added < len(items) && processes[name].add(fmt.Sprintf("i%d", added)) {
					added++
				}
			case "lapse":
				processes[name].lapse(t, store)
			case "finish":
				stores[name].finish()
			case "read":
				after := rapid.IntRange(0, len(items)-1).Draw(rt, "after")
				others := processes
				if rapid.Bool().Draw(rt, "silent") {
					others = nil
				}
				found, err := readAt(t.Context(), processes[name], others, uint64(after))
				if err != nil {
					continue
				}
				if after < len(shown) && len(found) == 0 {
					rt.Fatalf("%s shows nothing at %d, %d were read", name, after, len(shown))
				}
				for i, one := range found {
					switch at := after + i; {
					case at < len(shown) && shown[at] != one.GetItem():
						rt.Fatalf("%s shows %s at %d, %s was read", name, one.GetItem(), at, shown[at])
					case at == len(shown):
						shown = append(shown, one.GetItem())
					}
				}
			}
			time.Sleep(time.Duration(rapid.IntRange(0, 5).Draw(rt, "pause")) * time.Millisecond)
		}
	})
}

// add gives an outcome to the ledger of the batch, if the process has it.
func (p *process) add(item string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.held["b1"] == nil {
		return false
	}
	p.held["b1"].ledger.add(outcome(item), true)
	return true
}

// lapse ends the process's lease and gives it another one.
func (p *process) lapse(t *testing.T, store *platformtest.Store) {
	t.Helper()
	must.NoError(t, store.RevokeLease(t.Context(), p.lease.Swap(0)))
	lease, err := store.GrantLease(t.Context(), time.Hour)
	must.NoError(t, err)
	p.lease.Store(lease)
}

func stopAll(processes map[string]*process, stores map[string]*lateStore) {
	for name, p := range processes {
		stores[name].set(answered)
		stores[name].finish()
		p.stop()
	}
}
