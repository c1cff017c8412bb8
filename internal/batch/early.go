package batch

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	// earlyStartDelay is how long a store may take for a batch before the batch runs
	// without it: many times its usual answer.
	earlyStartDelay = 150 * time.Millisecond
	// pendingPollInterval is the time between two looks whether the store holds a batch that
	// another process runs early.
	pendingPollInterval = 20 * time.Millisecond
	// earlyTimeout bounds how long a batch runs that the store isn't known to hold: the
	// time in which trainers come back with a step.
	earlyTimeout = 10 * time.Second
)

// Acceptance is what became of a batch at the process that was asked to take it.
type Acceptance int

// Acceptances.
const (
	// Refused says that nothing of the batch is known there.
	Refused Acceptance = iota
	// Pending says that it runs there and isn't known to be in the store yet.
	Pending
	// Taken says that the store holds it.
	Taken
)

// String names the acceptance.
func (a Acceptance) String() string {
	return [...]string{"refused", "pending", "taken"}[a]
}

// earlyRun is a batch that runs before the store is known to hold it.
//
// Texts need no store, and the longest one of a step takes nearly all of the step's
// time. So they are generated while the store is away, and nothing of them is shown
// before it holds the batch. Trainers are told meanwhile that the batch may run.
type earlyRun struct {
	// done is closed once the store is known to hold the batch, or the batch is given up.
	done   chan struct{}
	isDone bool
}

// await waits until the batch is early no more, or the context ends.
func (e *earlyRun) await(ctx context.Context) {
	select {
	case <-e.done:
	case <-ctx.Done():
	}
}

// preferredOwners returns the processes that should own a model's batches, the first one first.
func (b *Board) preferredOwners(model string) []string {
	order := b.rankedOwners(model)
	return order[:min(len(order), maxSuccessors)]
}

// rankedOwners returns all processes as candidates for the batches of a model.
func (b *Board) rankedOwners(model string) []string { return b.Order("model/" + model) }

// startEarly runs a batch that the store isn't known to hold.
func (b *Board) startEarly(batch *statepb.Batch) {
	b.lock()
	defer b.mutex.Unlock()
	id := batch.GetId()
	if b.owned[id] != nil || b.open[id] || b.ended[id] || b.isDraining {
		return
	}
	klog.InfoS("batch: begun before the store holds it", "batch", id, "step", batch.GetStep(), "model", batch.GetModel(), "items", len(batch.GetItems()))
	b.start(Handover{Batch: batch}, clock.Now())
	owned := b.owned[id]
	owned.early = &earlyRun{done: make(chan struct{})}
	b.startTask(func() { b.commitEarly(owned) })
}

// commitEarly has the store take an early batch, or gives it up.
func (b *Board) commitEarly(owned *ownedBatch) {
	id := owned.batch.GetId()
	ctx, cancel := context.WithTimeout(b.ctx, earlyTimeout)
	defer cancel()
	for b.earlyRunOf(id) == owned.early && !owned.isEnded() {
		if !b.isCommitting(id) {
			b.tryCommitEarly(ctx, owned.batch)
		}
		if !pause.For(ctx, writeRetryDelay) {
			break
		}
	}
	if b.ctx.Err() != nil || b.earlyRunOf(id) != owned.early {
		return
	}
	klog.InfoS("batch: given up, the store did not take it", "batch", id)
	b.evict(id, owned)
	b.Keeper.Drop(b.ctx, id)
	b.lock()
	defer b.mutex.Unlock()
	b.endEarly(owned)
}

// tryCommitEarly tries once to have the store take an early batch.
func (b *Board) tryCommitEarly(ctx context.Context, batch *statepb.Batch) {
	if err := b.commitBatch(ctx, batch); err != nil {
		klog.V(1).InfoS("batch: an early one is not in the store yet", "batch", batch.GetId(), "err", err.Error())
	}
}

// isCommitting reports whether a write of the batch is under way: a second one would share
// the link with it.
func (b *Board) isCommitting(id string) bool {
	b.lock()
	defer b.mutex.Unlock()
	return b.claiming[id]
}

// endEarly notes that a batch is early no more. The mutex is held.
func (b *Board) endEarly(owned *ownedBatch) {
	if owned == nil || owned.early == nil || owned.early.isDone {
		return
	}
	owned.early.isDone = true
	close(owned.early.done)
}

// earlyRunOf returns what makes a batch early here, or nil.
func (b *Board) earlyRunOf(id string) *earlyRun {
	b.lock()
	defer b.mutex.Unlock()
	return b.earlyRunLocked(id)
}

// earlyRunLocked returns what makes a batch early here, or nil. The mutex is held.
func (b *Board) earlyRunLocked(id string) *earlyRun {
	owned := b.owned[id]
	if owned == nil || owned.early == nil || owned.early.isDone {
		return nil
	}
	return owned.early
}

// markAccepted notes that the store holds a batch, of which this process is the owner. The
// mutex is held.
func (b *Board) markAccepted(batch *statepb.Batch, ownership Title) {
	id, owned := batch.GetId(), b.owned[batch.GetId()]
	if owned != nil && b.earlyRunLocked(id) == nil {
		return
	}
	b.metrics.accepted.Inc()
	b.open[id] = true
	b.owners[id] = b.Process
	b.ownerRevisions[id] = ownership.Revision
	if owned == nil {
		b.start(Handover{Batch: batch, Owner: ownership}, clock.Now())
		return
	}
	owned.ledger.setOwnership(ownership)
	b.endEarly(owned)
}

// awaitEarly waits until it is known what became of an early batch.
func (b *Board) awaitEarly(ctx context.Context, early *earlyRun, id string) error {
	early.await(ctx)
	if b.isAccepted(id) {
		return nil
	}
	return errCommitUnknown()
}

// errCommitUnknown says that it isn't known whether the store holds a batch.
func errCommitUnknown() error {
	return refusal.Unknown(http.StatusGatewayTimeout, "store_silent", "it is not known whether the store holds the batch").After(storeRetryAfter)
}

// AcceptFor takes a batch here that another process was sent, and says within a
// time what became of it. An error says that this isn't known. The try goes on after
// that: a large batch takes the store longer than the other process waits.
func (b *Board) AcceptFor(ctx context.Context, batch *statepb.Batch, wait time.Duration) (Acceptance, error) {
	if b.isAccepted(batch.GetId()) {
		return Taken, nil
	}
	ended := make(chan error, 1)
	go func() { ended <- b.acceptOwn(ctx, batch, attempt{isPreferred: true}) }()
	var err error
	select {
	case err = <-ended:
	case <-time.After(wait):
		err = errCommitUnknown()
	}
	switch {
	case err == nil:
		return Taken, nil
	case b.earlyRunOf(batch.GetId()) != nil:
		return Pending, nil
	case refusal.IsNotRun(err):
		return Refused, nil
	default:
		return Refused, err
	}
}

// askPreferredOwner has another process take a batch. Where that runs it and isn't sure yet, the
// store's small keys tell: the batch isn't sent again, which may be a megabyte.
func (b *Board) askPreferredOwner(ctx context.Context, host string, batch *statepb.Batch) (Acceptance, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	acceptance, err := b.askPeer(ctx, host, batch)
	for err == nil && acceptance == Pending {
		if b.isAccepted(batch.GetId()) {
			return Taken, nil
		}
		if !pause.For(ctx, pendingPollInterval) {
			break
		}
	}
	return acceptance, err
}

// askPeer has another process take a batch.
func (b *Board) askPeer(ctx context.Context, host string, batch *statepb.Batch) (Acceptance, error) {
	ctx, cancel := context.WithTimeout(ctx, peerAcceptTimeout)
	defer cancel()
	acceptance, err := b.Peers.Accept(ctx, host, batch)
	klog.InfoS("batch: its owner was asked to take it", "batch", batch.GetId(), "model", batch.GetModel(), "owner", host, "acceptance", acceptance, "err", err)
	return acceptance, err
}
