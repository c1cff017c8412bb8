package batch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
)

const (
	// claimStagger is the delay between the claims of two candidates: a few round trips to the
	// store, so that the second candidate usually sees the claim of the first.
	claimStagger = 150 * time.Millisecond
	// ownerHeadStart is how long other processes wait before they claim a batch that has lost its
	// owner, so that the last owner can claim it first. After a store outage longer than a lease,
	// all processes have lost their leases and get new ones shortly after each other; a batch
	// claimed by another process then loses the texts generated during the outage.
	ownerHeadStart = 400 * time.Millisecond
	// leasePollInterval is the time between two checks for a lease. It is short because
	// trainers wait for a process that has just started.
	leasePollInterval = 10 * time.Millisecond
	// claimPollInterval is the time between two scans for batches without an owner.
	claimPollInterval = 100 * time.Millisecond
	// acceptTimeout bounds all attempts to accept a batch, including retries after a write
	// without an answer.
	acceptTimeout = 1500 * time.Millisecond
	// storeRetryAfter is the delay after which a trainer should retry while the store is
	// unavailable.
	storeRetryAfter = 300 * time.Millisecond
	// peerAcceptTimeout bounds the wait for another process to accept a batch: many times the
	// usual duration with a healthy store. After the timeout, this process accepts the batch
	// itself.
	peerAcceptTimeout = 600 * time.Millisecond
	// handoverTimeout bounds the handover of a batch by a stopping process: a write in flight,
	// and calls to two successors, to keepers and to the store.
	handoverTimeout = 2500 * time.Millisecond
)

// Store is the part of the platform's store that batches use.
type Store interface {
	Commit(ctx context.Context, commit platform.Commit) (uint64, error)
	Get(ctx context.Context, key string) (platform.Value, error)
	List(ctx context.Context, prefix string) (platform.ListReply, error)
}

// Peers calls the other processes.
type Peers interface {
	// Accept asks another process to accept a batch. An error means that the result is unknown.
	Accept(ctx context.Context, host string, batch *statepb.Batch) (Acceptance, error)
	// HandOver asks another process to continue a batch of this process. An error means that the
	// result is unknown.
	HandOver(ctx context.Context, host string, state Handover) (taken bool, err error)
}

// Route is the configuration that applies to a batch.
type Route struct {
	// Pool is the pool that runs the batch; "" if the route has been removed.
	Pool  string
	Rules Rules
}

// Routes returns the route of a batch, or false while no configuration is known.
type Routes func(batch *statepb.Batch) (Route, bool)

// Board holds the batches that this process owns. Its exported fields are set before Run.
type Board struct {
	// Process is the name of this process.
	Process       string
	Store         Store
	Roster        *roster.Roster
	Scorer        Scorer
	HeaderEncoder HeaderEncoder
	Routes        Routes
	// Lease returns the lease that registers this process with the store, or 0 while it has
	// none.
	Lease func() uint64
	// Candidates returns the live processes that are not leaving, by descending preference for a
	// piece of work.
	Candidates func(work string) []string
	// IsLeaving reports whether a process was asked to stop.
	IsLeaving func(host string) bool
	Peers     Peers
	// Keeper stores incomplete texts.
	Keeper Keeper
	// Sharing divides pools that several models use among the owners of batches; nil divides none.
	Sharing Sharing
	// Retention is how long a batch can be read after its acceptance; one that is open can be read longer.
	Retention time.Duration
	// GroupDelay is how long outcomes are gathered before they are written together.
	GroupDelay time.Duration
	// ValueBytes is the size of the largest value that the store takes.
	ValueBytes int
	// MaxBytes bounds the memory of the batches that this process runs; 0 sets no bound.
	MaxBytes int64
	// Speeds places and moves runs by the speed of servers, in pools whose servers differ lastingly.
	Speeds bool
	// Metrics registers the metrics of the board; with nil they are not exported.
	Metrics prometheus.Registerer

	mutex sync.Mutex
	owned map[string]*ownedBatch
	// open holds the batches that have not ended, owners the owner of each batch.
	open   map[string]bool
	owners map[string]string
	// unowned holds the open batches without an owner.
	unowned map[string]unownedBatch
	// ownerRevisions holds the revisions of the owner keys, openRevisions the revisions of the
	// keys of open batches.
	ownerRevisions map[string]uint64
	openRevisions  map[string]uint64
	// unshown maps the owner keys and the keys of open batches that are known only from answers to
	// writes of this process, and not from the watch yet, to the revisions of the writes. listed is
	// the revision of the newest complete list; isListed reports whether there was one.
	unshown  map[string]uint64
	listed   uint64
	isListed bool
	claiming map[string]bool
	// stored maps each batch in the store, open or ended, to the time when this process first saw
	// it; accounts maps each of them to its account. removing holds the batches that this process
	// is deleting from the store.
	stored   map[string]clock.Boot
	accounts map[string]string
	// ended maps the stored batches that have ended to the time when this process learned of the end.
	ended    map[string]clock.Boot
	removing map[string]bool
	// unloaded holds the open batches whose outcomes are all listed and that are read from the store.
	unloaded   map[string]bool
	isDraining bool
	// ownerCount is the result of OwnerCount. It is atomic because an owner reads it with its own mutex held, which is
	// locked after that of the board.
	ownerCount atomic.Int32
	// ctx is the parent of all work on batches, which may start before Run.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	// leftovers holds texts that later batches may reuse.
	leftovers leftovers
	// demands holds the demand of the owned batches for shared pools.
	demands demands
	// lengths learns the events of texts from all batches.
	lengths Lengths
	wake    chan struct{}
	metrics *metrics
}

// unownedBatch is an open batch without an owner.
type unownedBatch struct {
	since clock.Boot
	// lastOwner is the previous owner; "" if none is known.
	lastOwner string
}

// ownedBatch is a batch that this process owns or has owned.
type ownedBatch struct {
	*owner

	cancel context.CancelFunc
	ended  bool
	// early is nil unless the batch was started before the store was known to hold it.
	early *earlyRun
	total uint64
	// memory is about the memory that the batch takes here.
	memory int64
	// stopped is closed once the owner and its ledger have stopped.
	stopped chan struct{}
}

// Run claims batches without an owner, unloads complete ones and removes expired ones until the context ends.
func (b *Board) Run(ctx context.Context) error {
	b.lock()
	b.mutex.Unlock()
	defer b.finish()
	for ctx.Err() == nil {
		now := clock.Now()
		for _, id := range b.claimable(now) {
			b.tasks.Go(func() { b.claim(ctx, id) })
		}
		b.unloadComplete(now)
		for _, id := range b.expired(now) {
			b.tasks.Go(func() { b.remove(ctx, id) })
		}
		select {
		case <-ctx.Done():
		case <-b.wake:
		case <-time.After(claimPollInterval):
		}
	}
	return nil
}

// finish cancels all work and waits for it.
func (b *Board) finish() {
	b.lock()
	b.cancel()
	b.mutex.Unlock()
	b.tasks.Wait()
}

// startTask runs a background task unless the board has ended. The watch delivers changes until
// the process exits, and finish would not wait for a task started after its call. The mutex must
// be held.
func (b *Board) startTask(task func()) {
	if b.ctx.Err() == nil {
		b.tasks.Go(task)
	}
}

// lock locks the mutex and initializes the board on first use: callers, watches and Run start
// in any order.
func (b *Board) lock() {
	b.mutex.Lock()
	b.prepare()
}

func (b *Board) prepare() {
	if b.owned != nil {
		return
	}
	b.owned = map[string]*ownedBatch{}
	b.open = map[string]bool{}
	b.openRevisions = map[string]uint64{}
	b.owners = map[string]string{}
	b.ownerRevisions = map[string]uint64{}
	b.unowned = map[string]unownedBatch{}
	b.unshown = map[string]uint64{}
	b.claiming = map[string]bool{}
	b.stored = map[string]clock.Boot{}
	b.accounts = map[string]string{}
	b.ended = map[string]clock.Boot{}
	b.removing = map[string]bool{}
	b.unloaded = map[string]bool{}
	b.wake = make(chan struct{}, 1)
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.metrics = newMetrics(b.Metrics, b.countOpen)
}

func (b *Board) countOpen() float64 {
	b.lock()
	defer b.mutex.Unlock()
	open := 0
	for _, owned := range b.owned {
		if !owned.ended {
			open++
		}
	}
	for id := range b.unloaded {
		if b.owners[id] == b.Process {
			open++
		}
	}
	return float64(open)
}

// start runs a batch that this process owns. The mutex must be held.
//
// A process that is asked to stop while it accepts or claims a batch hands over that batch too.
// Otherwise it would run the batch until it exits, and all text generated since the last transfer
// to a keeper would be lost.
func (b *Board) start(state Handover, accepted clock.Boot) {
	batch := state.Batch
	route, _ := b.Routes(batch)
	plan := NewPlan(batch, route.Rules, accepted)
	plan.UseLengths(&b.lengths)
	plan.Restore(state.Listed, state.Partials)
	plan.AddPending(state.Pending)
	if reused := plan.Reuse(b.leftovers.find(itemIDs(batch))); reused > 0 {
		klog.InfoS("batch: reusing texts of an earlier batch", "batch", batch.GetId(), "items", reused)
	}
	ctx, cancel := context.WithCancel(b.ctx)
	owned := &ownedBatch{
		owner: &owner{
			batch:         batch,
			route:         func() (Route, bool) { return b.Routes(batch) },
			roster:        b.Roster,
			scorer:        b.Scorer,
			headerEncoder: b.HeaderEncoder,
			ledger:        newLedger(b.Store, batch.GetId(), b.GroupDelay, b.ValueBytes, state.Ownership, state.Listed, b.metrics),
			maxTextBytes:  int(chunkShare * float64(b.ValueBytes)),
			keeper:        b.Keeper,
			metrics:       b.metrics,
			keepLeftovers: b.leftovers.add,
			onScored:      b.notifyOwners,
			sharing:       b.Sharing,
			demands:       &b.demands,
			speeds:        b.Speeds,
			plan:          plan,
			runs:          map[int]*activeRun{},
			wake:          make(chan struct{}, 1),
		},
		cancel:  cancel,
		total:   uint64(len(batch.GetItems())),
		memory:  memoryBytes(batch),
		stopped: make(chan struct{}),
	}
	b.setPrecedence(owned.owner)
	b.owned[batch.GetId()] = owned
	b.startTask(func() {
		var listing sync.WaitGroup
		listing.Go(func() {
			owned.ledger.run(ctx)
			if owned.ledger.superseded() {
				cancel()
			}
		})
		owned.run(ctx)
		listing.Wait()
		close(owned.stopped)
		if owned.ledger.superseded() {
			b.reload(batch.GetId(), owned)
		}
	})
	b.startTask(func() { owned.keep(ctx) })
	if b.isDraining {
		b.startTask(func() { b.handOver(b.ctx, batch.GetId(), owned) })
	}
}

func itemIDs(batch *statepb.Batch) []string {
	ids := make([]string, 0, len(batch.GetItems()))
	for _, item := range batch.GetItems() {
		ids = append(ids, item.GetId())
	}
	return ids
}

// setPrecedence sets which open batches of a model take free slots before others. The mutex
// must be held.
func (b *Board) setPrecedence(next *owner) {
	for _, owned := range b.owned {
		if owned.ended || owned.batch.GetModel() != next.batch.GetModel() {
			continue
		}
		if isBefore(next.batch, owned.batch) {
			owned.yieldTo(next)
			continue
		}
		next.yieldTo(owned.owner)
	}
}

// isBefore reports whether a newly added batch takes precedence over an owned one: batches of
// one account are ordered by step, all others by arrival.
//
// When all processes restart, the batches of a trainer are loaded in any order. Without this
// rule, the younger batch could take every slot while the trainer waits for the older one.
func isBefore(next, owned *statepb.Batch) bool {
	return next.GetAccount() == owned.GetAccount() && next.GetStep() < owned.GetStep()
}

// Owner returns the process that owns a batch, or "" if none is known.
func (b *Board) Owner(id string) string {
	b.lock()
	defer b.mutex.Unlock()
	return b.owners[id]
}

// OwnerCount returns the number of processes that own open batches, as far as this process knows; at least 1.
func (b *Board) OwnerCount() int { return max(1, int(b.ownerCount.Load())) }

// countOwners updates the number of owners. The mutex must be held.
func (b *Board) countOwners() { b.ownerCount.Store(int32(len(b.ownersOfOpen()))) }

// Owners returns the processes that own open batches, sorted.
func (b *Board) Owners() []string {
	b.lock()
	defer b.mutex.Unlock()
	return b.ownersOfOpen()
}

// ownersOfOpen returns the processes that own open batches, sorted. The mutex must be held.
func (b *Board) ownersOfOpen() []string {
	owners := map[string]bool{}
	for id := range b.open {
		if owner := b.owners[id]; owner != "" {
			owners[owner] = true
		}
	}
	return slices.Sorted(maps.Keys(owners))
}

// notifyOwners wakes up the owners of all batches, which may now score texts.
func (b *Board) notifyOwners() {
	b.lock()
	defer b.mutex.Unlock()
	for _, owned := range b.owned {
		owned.notify()
	}
}

// Waiting returns the number of items that wait here for a slot of a pool.
func (b *Board) Waiting(pool string) uint32 {
	b.lock()
	defer b.mutex.Unlock()
	var waiting uint32
	for _, owned := range b.owned {
		if route, _ := owned.route(); route.Pool == pool {
			waiting += uint32(owned.waiting.Load())
		}
	}
	return waiting
}

func (b *Board) notify() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}
