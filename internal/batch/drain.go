package batch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// takeoverTimeout bounds the write that takes a batch over from its owner: several times the
	// duration of a write to a slow store.
	takeoverTimeout = 400 * time.Millisecond
	// handoverCallTimeout bounds a call that hands a batch over: the write, and the transfer of a
	// one-megabyte batch over a narrow link to a small host. An owner with a shorter timeout
	// falls back to the store although the next owner has taken the batch, and does not redirect
	// its readers there.
	handoverCallTimeout = 600 * time.Millisecond
	// storeProbeTimeout bounds a probe of the store: many times its usual response time.
	storeProbeTimeout = 400 * time.Millisecond
	// shutdownReserve is what a process needs after the handover to finish its last requests.
	shutdownReserve = time.Second
	// maxSuccessors is the maximum number of preferred owners of a model's batches, and of
	// processes that are asked to continue a batch.
	maxSuccessors = 2
)

// Drain hands over all batches: it stops their runs and passes their state to the next owners,
// which continue the batches at once without loss.
func (b *Board) Drain(ctx context.Context) {
	b.lock()
	b.isDraining = true
	batches := map[string]*ownedBatch{}
	for id, owned := range b.owned {
		if !owned.ended {
			batches[id] = owned
		}
	}
	b.mutex.Unlock()
	if len(batches) == 0 {
		return
	}
	handoverStart, cancel := untilHandover(ctx)
	defer cancel()
	b.awaitStore(handoverStart)
	var handovers sync.WaitGroup
	for id, owned := range batches {
		handovers.Go(func() {
			awaitCommitted(handoverStart, owned)
			b.handOver(ctx, id, owned)
		})
	}
	handovers.Wait()
}

// untilHandover returns a context that ends when handovers must start for the process to exit
// by the deadline of ctx.
func untilHandover(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, isBounded := ctx.Deadline()
	if !isBounded {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-handoverTimeout-shutdownReserve))
}

// awaitStore waits until the store answers, while the batches keep running.
//
// No process can take a batch over without the store. An owner that stopped its runs during an
// outage and exited before the store recovered would lose their texts.
func (b *Board) awaitStore(ctx context.Context) {
	began := clock.Now()
	for ctx.Err() == nil && !b.isStoreReachable(ctx) {
		pause.For(ctx, writeRetryDelay)
	}
	if waited := clock.Now().Sub(began); waited > storeProbeTimeout {
		klog.InfoS("batch: drain waited for the store", "waited", waited, "answers", ctx.Err() == nil)
	}
}

// isStoreReachable probes the store with a read of a key that need not exist.
func (b *Board) isStoreReachable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeProbeTimeout)
	defer cancel()
	_, err := b.Store.Get(ctx, ownerKey(b.Process))
	var missing *platform.NotFoundError
	return err == nil || errors.As(err, &missing)
}

// awaitCommitted waits until it is known whether the store holds a batch. Until then, no other
// process can continue the batch.
func awaitCommitted(ctx context.Context, owned *ownedBatch) {
	if owned.early != nil {
		owned.early.await(ctx)
	}
}

// Handover is the state of a batch that passes from one owner to the next.
type Handover struct {
	Batch *statepb.Batch
	// Ownership is the ownership of the process that has the batch.
	Ownership Ownership
	// OpenRevision is the revision of the key that marks the batch as open.
	OpenRevision uint64
	// Listed are the outcomes that the store holds, Pending those that it does not hold yet.
	Listed, Pending []*statepb.Outcome
	// Partials are the incomplete texts.
	Partials []*statepb.Partial
}

// handOver stops a batch on this process and passes it to another one: by a call if a successor
// answers, otherwise through a keeper and the store.
//
// The handover through the store is slower: the next owner sees the change in its watch, waits
// for its claim delay, claims the batch and loads it. Meanwhile no item of the batch runs, and
// outcomes that are not listed yet are lost.
func (b *Board) handOver(ctx context.Context, id string, owned *ownedBatch) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	owned.cancel()
	select {
	case <-owned.stopped:
	case <-ctx.Done():
	}
	if b.offerToSuccessors(ctx, id, owned) {
		return
	}
	owned.keepLast(ctx)
	_, err := b.Store.Commit(ctx, platform.Commit{
		Expect: []platform.Expect{{Key: ownerKey(id), Revision: owned.ledger.currentOwnership().Revision}},
		Remove: []string{ownerKey(id)},
	})
	klog.InfoS("batch: removing the owner key for a handover", "batch", id, "err", err)
}

// offerToSuccessors asks the next candidates in turn to continue a stopped batch, and reports
// whether one does.
//
// In a rolling restart the first candidate may be stopping too, or have exited. If it took the
// batch but its answer was lost, the second candidate cannot take the batch as well, because the
// owner key has changed.
func (b *Board) offerToSuccessors(ctx context.Context, id string, owned *ownedBatch) bool {
	state, isComplete := b.handoverState(id, owned)
	if !isComplete {
		return false
	}
	for _, successor := range b.successors(owned.batch.GetModel()) {
		if b.offer(ctx, id, successor, state) {
			return true
		}
	}
	return false
}

// offer asks a process to continue a stopped batch, and reports whether it does.
func (b *Board) offer(ctx context.Context, id, successor string, state Handover) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverCallTimeout)
	defer cancel()
	taken, err := b.Peers.HandOver(ctx, successor, state)
	klog.InfoS("batch: offered to its next owner", "batch", id, "owner", successor, "listed", len(state.Listed), "pending", len(state.Pending), "partly", len(state.Partials), "taken", taken, "err", err)
	if taken {
		b.markHandedOver(id, successor)
	}
	return taken
}

// markHandedOver records the next owner of a batch, so that readers are redirected at once.
func (b *Board) markHandedOver(id, successor string) {
	b.lock()
	defer b.mutex.Unlock()
	delete(b.owned, id)
	if b.owners[id] == b.Process {
		b.owners[id] = successor
	}
}

// successors returns the processes that should own the batches of a model once this one has
// left, the first candidate first.
func (b *Board) successors(model string) []string {
	others := slices.DeleteFunc(b.rankedOwners(model), func(host string) bool { return host == b.Process })
	return others[:min(len(others), maxSuccessors)]
}

// handoverState returns the state of a stopped batch. It returns false if the batch has not
// stopped, if its state is not fully known, or if there is nothing to continue.
func (b *Board) handoverState(id string, owned *ownedBatch) (Handover, bool) {
	select {
	case <-owned.stopped:
	default:
		return Handover{}, false
	}
	listed, pending, isComplete := owned.ledger.snapshot()
	b.lock()
	open := b.openRevisions[id]
	b.mutex.Unlock()
	owner := owned.ledger.currentOwnership()
	owned.mutex.Lock()
	defer owned.mutex.Unlock()
	state := Handover{Batch: owned.batch, Ownership: owner, OpenRevision: open, Listed: listed, Pending: pending, Partials: owned.plan.Partials()}
	return state, isComplete && open != 0 && owner.Revision != 0 && !owned.plan.IsEnded()
}

// TakeHandover continues a batch that another process has stopped. An error means that it is
// unknown whether this process now owns the batch; if so, the batch runs once the watch reports
// the ownership.
//
// The batch must be unchanged since the other process stopped it: if its trainer has ended it, or
// another process has claimed it, the store rejects the takeover.
func (b *Board) TakeHandover(ctx context.Context, state Handover) (bool, error) {
	id := state.Batch.GetId()
	if _, isKnown := b.Routes(state.Batch); !isKnown {
		// The empty rules of an unknown route would give an item up after its first failed run.
		return false, nil
	}
	// To the store, a revision of 0 means that the batch is not open, or has no owner.
	if b.Lease() == 0 || state.Ownership.Revision == 0 || state.OpenRevision == 0 || !b.reserveForTakeover(id) {
		return false, nil
	}
	defer b.release(id)
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	ownership, err := b.writeOwner(ctx, id, platform.Expect{Key: ownerKey(id), Revision: state.Ownership.Revision}, platform.Expect{Key: openKey(id), Revision: state.OpenRevision})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) || err != nil && isNotCommitted(err) {
		klog.InfoS("batch: not taken from its owner", "batch", id, "err", err.Error())
		return false, nil
	}
	if err != nil {
		return false, err
	}
	b.lock()
	defer b.mutex.Unlock()
	klog.InfoS("batch: taken from its owner", "batch", id, "owner", ownership.Revision, "listed", len(state.Listed), "pending", len(state.Pending), "partly", len(state.Partials))
	b.metrics.takeovers.Inc()
	if !b.recordOpen(id, ownership.Revision) {
		return true, nil
	}
	b.openRevisions[id] = state.OpenRevision
	b.recordOwner(id, ownership)
	state.Ownership = ownership
	b.start(state, clock.Now())
	return true, nil
}

// reserveForTakeover keeps the watch from adopting a batch that is being taken over from its
// owner. It returns false if this process is draining, or already runs or reserves the batch.
func (b *Board) reserveForTakeover(id string) bool {
	b.lock()
	defer b.mutex.Unlock()
	if b.isDraining || b.owned[id] != nil || b.claiming[id] {
		return false
	}
	b.claiming[id] = true
	return true
}

// AddPending adds the outcomes that the previous owner had not listed yet.
func (p *Plan) AddPending(outcomes []*statepb.Outcome) {
	for _, outcome := range outcomes {
		if item := p.byID[outcome.GetItem()]; item != nil {
			p.list(item, outcome)
		}
	}
	p.order = slices.DeleteFunc(p.order, func(item *itemState) bool { return item.phase != waiting })
}
