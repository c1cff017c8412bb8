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

// writeBehavior is what happens to the next write of a chunk.
type writeBehavior int

const (
	answered writeBehavior = iota
	// answerLate: the write is committed at once, but its answer arrives when the test calls finish.
	answerLate
	// answerLost: the write is committed, but its answer never arrives.
	answerLost
	// commitDeferred: the write is committed when the test calls finish, and its answer never
	// arrives.
	commitDeferred
)

// lateAnswerTimeout bounds the wait for a late answer, like the call timeout of the real store.
const lateAnswerTimeout = 300 * time.Millisecond

// lateStore is a store as one process sees it. It answers writes of chunks late or not at all.
type lateStore struct {
	*platformtest.Store

	mutex sync.Mutex
	next  writeBehavior
	// release is closed to deliver late answers.
	release chan struct{}
	// deferredCommits holds the deferred writes until finish.
	deferredCommits []platform.Commit
}

func newLateStore(store *platformtest.Store) *lateStore {
	return &lateStore{Store: store, release: make(chan struct{})}
}

func (l *lateStore) set(next writeBehavior) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.next = next
}

func (l *lateStore) Commit(ctx context.Context, commit platform.Commit) (uint64, error) {
	if !strings.HasPrefix(commit.FirstKey(), prefixOut) || len(commit.Writes) == 0 {
		return l.Store.Commit(ctx, commit)
	}
	l.mutex.Lock()
	next, release := l.next, l.release
	l.next = answered
	if next == commitDeferred {
		l.deferredCommits = append(l.deferredCommits, commit)
	}
	l.mutex.Unlock()
	if next == commitDeferred {
		return 0, &platform.UnavailableError{Operation: "commit"}
	}
	revision, err := l.Store.Commit(ctx, commit)
	if next == answerLate {
		select {
		case <-release:
		case <-ctx.Done():
			return 0, &platform.UnavailableError{Operation: "commit", Cause: ctx.Err()}
		case <-time.After(lateAnswerTimeout):
			return 0, &platform.UnavailableError{Operation: "commit"}
		}
	}
	if next == answerLost {
		return 0, &platform.UnavailableError{Operation: "commit"}
	}
	return revision, err
}

// finish delivers late answers and commits deferred writes.
func (l *lateStore) finish() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.release)
	l.release = make(chan struct{})
	for _, commit := range l.deferredCommits {
		_, _ = l.Store.Commit(context.Background(), commit) // The expectations of the commit may no longer hold.
	}
	l.deferredCommits = nil
}

// startLateProcess starts a process whose own store answers late.
func startLateProcess(t *testing.T, store *platformtest.Store, name string, hosts ...string) (*process, *lateStore) {
	t.Helper()
	p := startProcess(t, store, name, hosts...)
	ownStore := newLateStore(store)
	p.mutex.Lock()
	p.Store = ownStore
	p.mutex.Unlock()
	t.Cleanup(ownStore.finish)
	return p, ownStore
}

func outcome(item string) []*statepb.Outcome {
	return []*statepb.Outcome{statepb.Outcome_builder{Item: item, Text: "text of " + item}.Build()}
}

// readAt reads like a gateway: from itself, otherwise from the owner, otherwise from the store.
// An owner that is missing from others does not answer.
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

// An owner did not answer for a while, so a gateway read the store and returned an outcome to a
// trainer before the owner had received the answer to its write. Half a second later, the owner
// answered the trainer that the position was empty.
func TestLateAnswerHidesNothing(t *testing.T) {
	store := &platformtest.Store{}
	first, ownStore := startLateProcess(t, store, "g1", "g1")
	must.NoError(t, first.Accept(t.Context(), newBatch(10, 20)))
	ownStore.set(answerLate)
	first.owned["b1"].ledger.enqueue(outcome("i0"), true)
	await(t, func() bool {
		page, err := first.ReadStored(t.Context(), "b1", "", 0)
		return err == nil && len(page.Outcomes) == 1
	})
	mustShow(t, first, nil, 0, "i0")
	t.Run("nothing is said of places that nobody could have read", func(t *testing.T) {
		ownStore.finish()
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

// A gateway is cut off from the store until its lease expires. Another gateway claims its batch,
// lists an outcome and dies. If the first gateway claims the batch again without loading that
// outcome, none of its own chunks can be written.
func TestListedByOtherOwner(t *testing.T) {
	store := &platformtest.Store{}
	first := startProcess(t, store, "g1", "g1")
	must.NoError(t, first.Accept(t.Context(), newBatch(10, 20)))
	await(t, first.ownsBatch)
	owner := first.owned["b1"].owner
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
		next := first.owned["b1"]
		first.mutex.Unlock()
		next.ledger.enqueue(outcome("i1"), true)
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

// A gateway dies with a chunk in flight, and the store commits it after the next process of that
// name has loaded the batch. Without a rewritten owner key, the new owner lacks the chunk that
// others read, and the store rejects each of its own chunks.
func TestWriteOfFormerProcess(t *testing.T) {
	store := &platformtest.Store{}
	first, ownStore := startLateProcess(t, store, "g1", "g1")
	must.NoError(t, first.Accept(t.Context(), newBatch(10, 20)))
	ownStore.set(commitDeferred)
	ledger := first.owned["b1"].ledger
	ledger.enqueue(outcome("i0"), true)
	await(t, func() bool {
		ownStore.mutex.Lock()
		defer ownStore.mutex.Unlock()
		return len(ownStore.deferredCommits) == 1
	})
	first.stop()
	second := startProcess(t, store, "g1", "g1")
	await(t, second.ownsBatch)
	ownStore.finish()
	second.owned["b1"].ledger.enqueue(outcome("i1"), true)
	await(t, func() bool { return len(second.outcomes(t)) == 1 })
	stored, err := second.loadListed(t.Context(), "b1")
	must.NoError(t, err)
	must.Eq(t, "i1", stored[0].GetItem())
}

// A trainer waits for results at a gateway that hands its batch over. If the gateway does not
// answer at once, the trainer waits for up to a second although the next owner has outcomes.
func TestReaderFollowsHandover(t *testing.T) {
	_, first, second := setUpDrain(t)
	follows := make(chan bool, 1)
	go func() {
		// A read that begins after the handover finds another owner.
		page, isOwn, _ := first.ReadOwned(context.Background(), "b1", "", 0, time.Minute)
		follows <- page.MayBeIncomplete || !isOwn
	}()
	first.Drain(t.Context())
	select {
	case isFollowing := <-follows:
		must.True(t, isFollowing)
	case <-time.After(5 * time.Second):
		t.Fatal("the reader still waits")
	}
	must.Eq(t, "g2", first.Owner("b1"))
	await(t, func() bool { return len(second.outcomes(t)) == 1 })
	mustShow(t, first, map[string]*process{"g2": second}, 0, "i0")
}

// A chunk is small enough for its answer to arrive in time over a narrow link.
func TestChunksAreBounded(t *testing.T) {
	store := &platformtest.Store{}
	p := startProcess(t, store, "g1", "g1")
	must.NoError(t, p.Accept(t.Context(), newBatch(10, 20, 30)))
	var outcomes []*statepb.Outcome
	for i := range 3 {
		text := strings.Repeat("x", maxChunkBytes/2+1)
		outcomes = append(outcomes, statepb.Outcome_builder{Item: fmt.Sprintf("i%d", i), Text: text}.Build())
	}
	p.owned["b1"].ledger.enqueue(outcomes, true)
	await(t, func() bool { return len(p.outcomes(t)) == 3 })
	list, err := store.List(t.Context(), chunkPrefix("b1"))
	must.NoError(t, err)
	must.SliceLen(t, 3, list.Values)
}

// A position that was read once keeps its outcome, whichever answers are late or lost, whichever
// process owns the batch and whichever process the trainer asks.
func TestShownPositionsStay(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := &platformtest.Store{}
		processes := map[string]*process{}
		stores := map[string]*lateStore{}
		names := []string{"g1", "g2"}
		for _, name := range names {
			processes[name], stores[name] = startLateProcess(t, store, name, names...)
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
				stores[name].set(writeBehavior(rapid.IntRange(int(answered), int(commitDeferred)).Draw(rt, "write behavior")))
				if added < len(items) && processes[name].add(fmt.Sprintf("i%d", added)) {
					added++
				}
			case "lapse":
				processes[name].replaceLease(t, store)
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
					rt.Fatalf("%s returns no outcome at position %d although %d positions were read", name, after, len(shown))
				}
				for i, outcome := range found {
					switch at := after + i; {
					case at < len(shown) && shown[at] != outcome.GetItem():
						rt.Fatalf("%s returns %s at position %d, where %s was read before", name, outcome.GetItem(), at, shown[at])
					case at == len(shown):
						shown = append(shown, outcome.GetItem())
					}
				}
			}
			time.Sleep(time.Duration(rapid.IntRange(0, 5).Draw(rt, "pause")) * time.Millisecond)
		}
	})
}

// add adds an outcome to the ledger of the batch, and reports whether the process has the
// batch.
func (p *process) add(item string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.owned["b1"] == nil {
		return false
	}
	p.owned["b1"].ledger.enqueue(outcome(item), true)
	return true
}

// replaceLease revokes the lease of the process and grants a new one.
func (p *process) replaceLease(t *testing.T, store *platformtest.Store) {
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
