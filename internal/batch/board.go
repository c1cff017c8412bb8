package batch

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
)

const (
	// claimStep is the time between the claims of two candidates: a few answers
	// of the store, so that the second usually finds the first one's.
	claimStep = 150 * time.Millisecond
	// ownerHead is how long the others leave a batch to its last owner. When the
	// store is back after longer than a lease, all have lost theirs and get new ones
	// shortly after each other; a batch that another one takes then loses what
	// came of it while the store was away.
	ownerHead = 400 * time.Millisecond
	// leaseLook is the time between two looks for a lease by a process that has just
	// started: its trainers wait.
	leaseLook = 10 * time.Millisecond
	// claimLook is the time between two looks at batches without an owner.
	claimLook = 100 * time.Millisecond
	// acceptTime bounds how long it is tried to learn what became of a batch
	// whose write got no answer.
	acceptTime = 1500 * time.Millisecond
	// storeAgain is when a trainer should come back while the store is away.
	storeAgain = 300 * time.Millisecond
	// placeTime bounds the wait for another process to take a batch: many times
	// what it takes while the store is well. After that this process takes it.
	placeTime = 600 * time.Millisecond
	// handoverTime bounds what a process that stops does for a batch: the end of a write
	// under way, two calls of next owners, keepers, and the store.
	handoverTime = 2500 * time.Millisecond
)

// Store is what batches need of the platform's store.
type Store interface {
	Commit(ctx context.Context, commit platform.Commit) (uint64, error)
	Get(ctx context.Context, key string) (platform.Value, error)
	List(ctx context.Context, prefix string) (platform.ListReply, error)
}

// Peers reaches the other processes.
type Peers interface {
	// Accept has another process take a batch. An error says that it isn't known
	// whether it did.
	Accept(ctx context.Context, host string, batch *statepb.Batch) (Acceptance, error)
	// HandOver has another process go on with a batch of this one. An error says that
	// it isn't known whether it does.
	HandOver(ctx context.Context, host string, state Handover) (taken bool, err error)
}

// Route is what the operators' configuration says of a batch.
type Route struct {
	// Pool that runs it; "" once its route is gone.
	Pool  string
	Rules Rules
}

// Routes finds the route of a batch; false while no configuration is known.
type Routes func(batch *statepb.Batch) (Route, bool)

// Board holds the batches that this process owns. Exported fields are set before Run.
type Board struct {
	// Process is this process's name.
	Process string
	Store   Store
	Roster  *roster.Roster
	Scorer  Scorer
	Wire    HeaderEncoder
	Routes  Routes
	// Lease returns the lease under which this process is known to others; 0
	// while it has none.
	Lease func() uint64
	// Candidates returns the processes that live and don't leave, the one first that
	// should do a piece of work.
	Candidates func(work string) []string
	// IsLeaving reports whether a process was asked to stop.
	IsLeaving func(host string) bool
	Peers  Peers
	// Keeper keeps texts that aren't whole.
	Keeper Keeper
	// Retention is how long after its acceptance a batch can be read.
	Retention time.Duration
	// GroupDelay is how long outcomes are gathered before they are written together.
	GroupDelay time.Duration
	// ValueBytes is the largest value of the store.
	ValueBytes int
	// Metrics takes the board's metrics; nil keeps them to itself.
	Metrics prometheus.Registerer

	mutex sync.Mutex
	held  map[string]*held
	// open holds the batches that aren't ended, owners who owns them.
	open   map[string]bool
	owners map[string]string
	// unowned are the batches without an owner.
	unowned map[string]unowned
	// ownerRevisions are those of the owners' keys, openRevisions those of the keys
	// of open batches.
	ownerRevisions map[string]uint64
	openRevisions  map[string]uint64
	claiming       map[string]bool
	// stored is since when this process knows that the store holds a batch, open or
	// ended, and accounts whose it is; removing are those that it is taking out.
	stored   map[string]clock.Boot
	accounts map[string]string
	// ended are the stored batches whose end was seen.
	ended      map[string]bool
	removing   map[string]bool
	isDraining bool
	// ctx is that of all work on batches, which may begin before Run does.
	ctx     context.Context
	end     context.CancelFunc
	running sync.WaitGroup
	// leftovers are texts that later batches may ask for again.
	leftovers leftovers
	wake      chan struct{}
	metrics   *metrics
}

// unowned is a batch without an owner.
type unowned struct {
	since clock.Boot
	// last is the owner before; "" if none is known.
	last string
}

// held is a batch that this process owns, or has owned.
type held struct {
	*owner

	cancel context.CancelFunc
	ended  bool
	// early is nil unless the batch was begun before the store was known to hold it.
	early    *early
	total    uint64
	accepted clock.Boot
	// stopped is closed once the owner and its ledger have stopped.
	stopped chan struct{}
}

// Run claims batches without an owner until the context ends.
func (b *Board) Run(ctx context.Context) error {
	b.lock()
	b.mutex.Unlock()
	defer b.finish()
	for ctx.Err() == nil {
		now := clock.Now()
		for _, id := range b.claimable(now) {
			b.running.Go(func() { b.claim(ctx, id) })
		}
		for _, id := range b.outdated(now) {
			b.running.Go(func() { b.remove(ctx, id) })
		}
		select {
		case <-ctx.Done():
		case <-b.wake:
		case <-time.After(claimLook):
		}
	}
	return nil
}

// finish ends all work and waits for it.
func (b *Board) finish() {
	b.lock()
	b.end()
	b.mutex.Unlock()
	b.running.Wait()
}

// work begins work on a batch, unless the board has ended: a watch may bring
// changes as long as the process lives, and what began now would not be waited
// for. The mutex is held.
func (b *Board) work(do func()) {
	if b.ctx.Err() == nil {
		b.running.Go(do)
	}
}

// lock locks the mutex. Callers, watches and the duty of a process begin in any
// order, so whichever comes first prepares the board.
func (b *Board) lock() {
	b.mutex.Lock()
	b.prepare()
}

func (b *Board) prepare() {
	if b.held != nil {
		return
	}
	b.held = map[string]*held{}
	b.open = map[string]bool{}
	b.openRevisions = map[string]uint64{}
	b.owners = map[string]string{}
	b.ownerRevisions = map[string]uint64{}
	b.unowned = map[string]unowned{}
	b.claiming = map[string]bool{}
	b.stored = map[string]clock.Boot{}
	b.accounts = map[string]string{}
	b.ended = map[string]bool{}
	b.removing = map[string]bool{}
	b.wake = make(chan struct{}, 1)
	b.ctx, b.end = context.WithCancel(context.Background())
	b.metrics = newMetrics(b.Metrics, b.countOpen)
}

func (b *Board) countOpen() float64 {
	b.lock()
	defer b.mutex.Unlock()
	open := 0
	for _, held := range b.held {
		if !held.ended {
			open++
		}
	}
	return float64(open)
}

// start runs a batch that this process owns. The mutex is held.
//
// A process that is asked to stop while it accepts or claims a batch hands this
// one over as well. Kept, it would be given up only when the process ends, with
// all that came of it since its texts were kept last.
func (b *Board) start(state Handover, accepted clock.Boot) {
	batch := state.Batch
	route, _ := b.Routes(batch)
	plan := NewPlan(batch, route.Rules, accepted)
	plan.Restore(state.Listed, state.Partials)
	plan.AddPending(state.Pending)
	if reused := plan.Reuse(b.leftovers.of(itemIDs(batch))); reused > 0 {
		klog.InfoS("batch: texts of an earlier batch are used", "batch", batch.GetId(), "items", reused)
	}
	ctx, cancel := context.WithCancel(b.ctx)
	held := &held{
		owner: &owner{
			batch:   batch,
			route:   func() (Route, bool) { return b.Routes(batch) },
			roster:  b.Roster,
			scorer:  b.Scorer,
			wire:    b.Wire,
			ledger:  newLedger(b.Store, batch.GetId(), b.GroupDelay, b.ValueBytes, state.Owner, state.Listed, b.metrics),
			keeper:  b.Keeper,
			metrics: b.metrics,
			leave:   b.leftovers.add,
			plan:    plan,
			runs:    map[int]*activeRun{},
			wake:    make(chan struct{}, 1),
		},
		cancel:   cancel,
		accepted: accepted,
		total:    uint64(len(batch.GetItems())),
		stopped:  make(chan struct{}),
	}
	b.order(held.owner)
	b.held[batch.GetId()] = held
	b.work(func() {
		var listing sync.WaitGroup
		listing.Go(func() {
			held.ledger.run(ctx)
			if held.ledger.overtaken() {
				cancel()
			}
		})
		held.run(ctx)
		listing.Wait()
		close(held.stopped)
		if held.ledger.overtaken() {
			b.readAgain(batch.GetId(), held)
		}
	})
	b.work(func() { held.keep(ctx) })
	if b.isDraining {
		b.work(func() { b.handOver(b.ctx, batch.GetId(), held) })
	}
}

func itemIDs(batch *statepb.Batch) []string {
	ids := make([]string, 0, len(batch.GetItems()))
	for _, item := range batch.GetItems() {
		ids = append(ids, item.GetId())
	}
	return ids
}

// order sets which open batches of a model come before others. The mutex is held.
func (b *Board) order(next *owner) {
	for _, held := range b.held {
		if held.ended || held.batch.GetModel() != next.batch.GetModel() {
			continue
		}
		if isBefore(next.batch, held.batch) {
			held.follow(next)
			continue
		}
		next.follow(held.owner)
	}
}

// isBefore reports whether a batch that comes now is older than one that is
// here: the steps of one trainer tell, all others go in the order in which they came.
//
// Where all processes start anew, a trainer's batches are read in any order. The
// younger one took every slot, while the trainer waited for the older.
func isBefore(next, held *statepb.Batch) bool {
	return next.GetAccount() == held.GetAccount() && next.GetStep() < held.GetStep()
}

// Owner returns the process that owns a batch; "" if none is known.
func (b *Board) Owner(id string) string {
	b.lock()
	defer b.mutex.Unlock()
	return b.owners[id]
}

// Waiting returns the items that wait here for a slot of a pool.
func (b *Board) Waiting(pool string) uint32 {
	b.lock()
	defer b.mutex.Unlock()
	var waiting uint32
	for _, held := range b.held {
		if route, _ := held.route(); route.Pool == pool {
			waiting += uint32(held.waiting.Load())
		}
	}
	return waiting
}

func (b *Board) nudge() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}
