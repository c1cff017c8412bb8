package batch

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/mirror"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
)

// noopPeer is a keeper that stores nothing and a peer that refuses every batch.
type noopPeer struct{}

func (noopPeer) Append(context.Context, string, []*statepb.Part) error    { return nil }
func (noopPeer) Drop(context.Context, string)                             {}
func (noopPeer) Fetch(context.Context, string) []*statepb.Partial         { return nil }
func (noopPeer) HandOver(context.Context, string, Handover) (bool, error) { return false, nil }
func (noopPeer) Accept(context.Context, string, *statepb.Batch) (Acceptance, error) {
	return Refused, nil
}

// scorer scores a text for each value sent to release.
type scorer struct {
	capacity   int
	release    chan struct{}
	running    atomic.Int32
	maxRunning atomic.Int32
}

func (s *scorer) Acquire(_ *statepb.Scorer, running int) (func(), bool) {
	return func() {}, running < s.capacity
}

func (s *scorer) Score(ctx context.Context, _ *statepb.Scorer) (string, error) {
	storeMax(&s.maxRunning, s.running.Add(1))
	defer s.running.Add(-1)
	select {
	case <-ctx.Done():
		return "", ctx.Err()
	case <-s.release:
		return "proof", nil
	}
}

// storeMax raises a maximum to at least a value.
func storeMax(maximum *atomic.Int32, value int32) {
	for {
		known := maximum.Load()
		if value <= known || maximum.CompareAndSwap(known, value) {
			return
		}
	}
}

// routes holds a route that tests can change.
type routes struct {
	mutex sync.Mutex
	route Route
	known bool
}

func (r *routes) set(route Route, known bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.route, r.known = route, known
}

func (r *routes) get(*statepb.Batch) (Route, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.route, r.known
}

// process is a board with a store and a watch that delivers the store's changes.
type process struct {
	*Board

	routes *routes
	// lease is the lease of the process.
	lease atomic.Uint64
	stop  func()
}

var knownRoute = Route{Pool: "lm", Rules: Rules{MaxFailures: 3}}

// newBoard returns a board that uses the lease and the routes of p.
func newBoard(store Store, name string, p *process, hosts ...string) *Board {
	return &Board{
		Process: name, Store: store, Roster: &roster.Roster{}, Keeper: noopPeer{}, Peers: noopPeer{}, Scorer: &scorer{capacity: 4}, Routes: p.routes.get,
		Lease: p.lease.Load, Candidates: func(work string) []string { return duty.Order(work, hosts) }, IsLeaving: func(string) bool { return false },
		Retention: time.Hour, GroupDelay: time.Millisecond, ValueBytes: 1 << 20,
	}
}

// startProcess starts a process on a store that others may share.
func startProcess(t *testing.T, store *platformtest.Store, name string, hosts ...string) *process {
	t.Helper()
	return startProcessWithRoutes(t, &routes{route: knownRoute, known: true}, store, name, hosts...)
}

// startProcessWithRoutes starts a process that has these routes from the beginning.
func startProcessWithRoutes(t *testing.T, routes *routes, store *platformtest.Store, name string, hosts ...string) *process {
	t.Helper()
	lease, err := store.GrantLease(t.Context(), time.Hour)
	must.NoError(t, err)
	p := &process{routes: routes}
	p.lease.Store(lease)
	p.Board = newBoard(store, name, p, hosts...)
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() { _ = p.Run(ctx) })
	ended.Go(func() { p.watch(ctx, store) })
	p.stop = func() {
		cancel()
		ended.Wait()
	}
	t.Cleanup(p.stop)
	awaitListed(t, p)
	return p
}

// awaitListed waits until a process has listed the watched keys.
func awaitListed(t *testing.T, p *process) {
	t.Helper()
	await(t, func() bool {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		return p.isListed
	})
}

func (p *process) watch(ctx context.Context, store *platformtest.Store) {
	watch := mirror.Mirror{Store: store, Prefix: Prefix, Wait: 20 * time.Millisecond, OnChanges: p.ApplyChanges, OnListed: p.MarkListed}
	_ = watch.Run(ctx)
}

// AcceptOwn accepts a batch with p as its owner, whichever processes are preferred.
func (p *process) AcceptOwn(ctx context.Context, batch *statepb.Batch) error {
	return p.acceptOwn(ctx, batch, attempt{})
}

func await(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(5*time.Second), wait.Gap(2*time.Millisecond)))
}

func (p *process) ownsBatch() bool {
	const id = "b1"
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.owned[id] != nil && p.owners[id] == p.Process
}

func (p *process) outcomes(t *testing.T) []*statepb.Outcome {
	t.Helper()
	page, isOwn, err := p.ReadOwned(t.Context(), "b1", "", 0, 0)
	must.NoError(t, err)
	must.True(t, isOwn)
	return page.Outcomes
}

func TestAccept(t *testing.T) {
	store := &platformtest.Store{}
	p := startProcess(t, store, "g1", "g1")
	must.NoError(t, p.Accept(t.Context(), newBatch(10, 20)))
	must.NoError(t, p.Accept(t.Context(), newBatch(10, 20)))
	must.True(t, p.ownsBatch())
	t.Run("the store is unavailable", func(t *testing.T) {
		store.SetUnavailable(true)
		defer store.SetUnavailable(false)
		other := newBatch(10)
		other.SetId("b2")
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		err := p.Accept(ctx, other)
		must.Error(t, err)
		must.False(t, refusal.IsNotRun(err))
	})
}

// When a gateway starts, changes of the watch and a trainer's call can arrive before Run.
// Without initialized maps, the process crashed in about one of a hundred starts.
func TestBatchesBeforeRun(t *testing.T) {
	store := &platformtest.Store{}
	first := startProcess(t, store, "g1", "g1")
	must.NoError(t, first.Accept(t.Context(), newBatch(10)))
	list, err := store.List(t.Context(), Prefix)
	must.NoError(t, err)
	board := newBoard(store, "g1", first, "g1")
	board.ApplyChanges(list.Values)
	await(t, func() bool {
		_, isOwn, err := board.ReadOwned(t.Context(), "b1", "", 0, 0)
		return err == nil && isOwn
	})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	must.NoError(t, board.Run(ctx))
}

// The store commits a batch and its answer is lost. The trainer must not get a NotRun refusal,
// and the batch must run once.
func TestAcceptWithoutAnswer(t *testing.T) {
	store := &platformtest.Store{}
	p := startProcess(t, store, "g1", "g1")
	store.LoseAnswers(1)
	must.NoError(t, p.Accept(t.Context(), newBatch(10)))
	await(t, func() bool { return p.ownsBatch() })
}

// timeoutPeer is a peer whose answers to Accept never arrive.
type timeoutPeer struct{ noopPeer }

func (timeoutPeer) Accept(context.Context, string, *statepb.Batch) (Acceptance, error) {
	return Refused, context.DeadlineExceeded
}

// A gateway gets no answer from the owner of a batch and cannot reach the store either. It must
// not answer NotRun for a batch that may run.
func TestPeerTimeout(t *testing.T) {
	p := startProcess(t, &platformtest.Store{}, "g1", "g1", "g2")
	p.Peers = timeoutPeer{}
	p.lease.Store(0)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	for _, model := range []string{"m0", "m1", "m2", "m3"} {
		batch := newBatch(10)
		batch.SetId(model)
		batch.SetModel(model)
		err := p.Accept(ctx, batch)
		must.Error(t, err)
		must.False(t, refusal.IsNotRun(err))
		must.Eq(t, p.preferredOwners(model)[0] == "g1", p.earlyRunOf(model) != nil)
	}
}

// A restarted gateway sees its batches before it has read the configuration. Treating the
// unknown route as a removed one listed every item of a step as failed, 270 ms after the step
// was accepted.
func TestNoConfigurationYet(t *testing.T) {
	store := &platformtest.Store{}
	first := startProcess(t, store, "g1", "g1")
	must.NoError(t, first.Accept(t.Context(), newBatch(10, 20)))
	first.stop()
	second := startProcessWithRoutes(t, &routes{}, store, "g1", "g1")
	time.Sleep(3 * claimPollInterval)
	must.False(t, second.ownsBatch())
	second.routes.set(knownRoute, true)
	await(t, func() bool { return second.ownsBatch() })
	time.Sleep(2 * schedulePollInterval)
	must.SliceEmpty(t, second.outcomes(t))
}

// When the route of a batch is removed from the configuration, its items are given up.
func TestRouteRemoved(t *testing.T) {
	p := startProcess(t, &platformtest.Store{}, "g1", "g1")
	must.NoError(t, p.Accept(t.Context(), newBatch(10, 20)))
	p.routes.set(Route{}, true)
	await(t, func() bool { return len(p.outcomes(t)) == 2 })
	must.True(t, p.outcomes(t)[0].GetFailed())
}

// Gateways are replaced soon after batches that they own have ended. Such batches have no
// owner; if no other process removes them, the store grows by some megabytes with each restart.
func TestBatchesWithoutOwnerAreRemoved(t *testing.T) {
	store := &platformtest.Store{}
	first, second, third := startProcess(t, store, "g1", "g1", "g2"), startProcess(t, store, "g2", "g2"), startProcess(t, store, "g3", "g2")
	must.NoError(t, first.AcceptOwn(t.Context(), newBatch(10)))
	first.owned["b1"].ledger.enqueue([]*statepb.Outcome{statepb.Outcome_builder{Item: "i0"}.Build()}, true)
	await(t, func() bool { return len(first.outcomes(t)) == 1 })
	must.NoError(t, first.End(t.Context(), "b1", ""))
	await(t, func() bool { return second.Owner("b1") == "g1" })
	first.stop()
	must.NoError(t, store.RevokeLease(t.Context(), first.Lease()))
	await(t, func() bool { return second.Owner("b1") == "" })
	keys := func() int {
		list, err := store.List(t.Context(), "")
		must.NoError(t, err)
		return len(list.Values)
	}
	must.Positive(t, keys())
	second.passRetention()
	await(t, func() bool { return keys() == 0 })
	t.Run("and nothing of them stays in memory", func(t *testing.T) {
		for _, p := range []*process{second, third} {
			await(t, func() bool {
				p.mutex.Lock()
				defer p.mutex.Unlock()
				return len(p.stored)+len(p.owners)+len(p.ownerRevisions)+len(p.unowned)+len(p.removing) == 0
			})
		}
	})
}

// Outcomes are listed at positions that never change, whichever answers are lost.
func TestLedger(t *testing.T) {
	store := &platformtest.Store{}
	p := startProcess(t, store, "g1", "g1")
	must.NoError(t, p.Accept(t.Context(), newBatch(10, 20, 30)))
	ledger := p.owned["b1"].ledger
	for i, id := range []string{"i0", "i1", "i2"} {
		store.LoseAnswers(1)
		ledger.enqueue([]*statepb.Outcome{statepb.Outcome_builder{Item: id}.Build()}, true)
		await(t, func() bool { return len(p.outcomes(t)) == i+1 })
	}
	stored, err := p.loadListed(t.Context(), "b1")
	must.NoError(t, err)
	must.SliceLen(t, 3, stored)
	for i, outcome := range p.outcomes(t) {
		must.Eq(t, outcome.GetItem(), stored[i].GetItem())
	}
}

// The texts of a step complete at the same moment. Scored all at once, they take every slot of
// the scoring service, and requests of other callers queue behind them.
func TestConcurrentScoresAreBounded(t *testing.T) {
	scorer := &scorer{capacity: 2, release: make(chan struct{})}
	p := startScoring(t, scorer, 10, 20, 30, 40, 50)
	for range 5 {
		scorer.release <- struct{}{}
	}
	await(t, func() bool { return len(p.outcomes(t)) == 5 })
	must.Eq(t, 2, scorer.maxRunning.Load())
}

// startScoring starts a process with a batch of items whose texts are complete, and waits until it scores as many of
// them as the scorer takes.
func startScoring(t *testing.T, scorer *scorer, lengths ...uint64) *process {
	t.Helper()
	p := startProcess(t, &platformtest.Store{}, "g1", "g1")
	p.Scorer = scorer
	must.NoError(t, p.Accept(t.Context(), newBatch(lengths...)))
	owner := p.owned["b1"].owner
	owner.mutex.Lock()
	for range lengths {
		job, ok := owner.plan.Next(0)
		must.True(t, ok)
		owner.plan.Start(job)
		must.True(t, owner.plan.Event(job, "a", 3))
		owner.plan.Generated(job)
	}
	owner.mutex.Unlock()
	owner.notify()
	await(t, func() bool { return scorer.running.Load() == int32(scorer.capacity) })
	return p
}

// Guards against a request of a scorer that is sent, or sent again, long after the end of its batch.
func TestScoringStopsAfterEnd(t *testing.T) {
	const maxLag = 3 * time.Second
	scorer := &scorer{capacity: 1, release: make(chan struct{})}
	p := startScoring(t, scorer, 10, 20)
	began := time.Now()
	must.NoError(t, p.End(t.Context(), "b1", ""))
	await(t, func() bool { return scorer.running.Load() == 0 })
	must.Less(t, maxLag, time.Since(began))
	must.Eq(t, 1, scorer.maxRunning.Load())
}

// A trainer ends its step at a gateway that does not own the batch. That takes one call of the
// store, without reading the whole batch to check its account. Another account is refused
// without a call.
func TestEndReadsNoBatch(t *testing.T) {
	store := &platformtest.Store{}
	first := startProcess(t, store, "g1", "g1")
	must.NoError(t, first.Accept(t.Context(), newBatch(10)))
	list, err := store.List(t.Context(), Prefix)
	must.NoError(t, err)
	counted := &countingStore{Store: store}
	other := newBoard(counted, "g2", first, "g1", "g2")
	other.ApplyChanges(list.Values)
	must.Eq(t, http.StatusNotFound, refusal.Of(other.End(t.Context(), "b1", "stranger")).Status)
	must.NoError(t, other.End(t.Context(), "b1", ""))
	must.Eq(t, 0, counted.reads.Load())
}

// A trainer that got no answer ends its step again, and so do others of its account. A gateway
// that has seen the end answers without the store; one that has not, for example after a
// restart, asks the store.
func TestEndedAgain(t *testing.T) {
	store := &platformtest.Store{}
	p := startProcess(t, store, "g1", "g1")
	must.NoError(t, p.Accept(t.Context(), newBatch(10)))
	must.NoError(t, p.End(t.Context(), "b1", ""))
	await(t, func() bool {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		return p.ended["b1"] != 0
	})
	list, err := store.List(t.Context(), Prefix)
	must.NoError(t, err)
	restarted := newBoard(store, "g2", p, "g2")
	restarted.ApplyChanges(list.Values)
	store.SetUnavailable(true)
	must.NoError(t, p.End(t.Context(), "b1", ""))
	must.Eq(t, http.StatusNotFound, refusal.Of(p.End(t.Context(), "b1", "stranger")).Status)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	must.Error(t, restarted.End(ctx, "b1", ""))
}

// Guards against a share of the scorers' pool for each gateway instead of each process that has texts to score.
func TestOwnerCount(t *testing.T) {
	store := &platformtest.Store{}
	first, second := startProcess(t, store, "g1", "g1", "g2"), startProcess(t, store, "g2", "g1", "g2")
	must.Eq(t, 1, first.OwnerCount())
	for id, p := range map[string]*process{"b1": first, "b2": second, "b3": second} {
		batch := newBatch(10)
		batch.SetId(id)
		must.NoError(t, p.AcceptOwn(t.Context(), batch))
	}
	await(t, func() bool { return first.OwnerCount() == 2 && second.OwnerCount() == 2 })
	must.NoError(t, first.End(t.Context(), "b1", ""))
	await(t, func() bool { return first.OwnerCount() == 1 && second.OwnerCount() == 1 })
}
