package batch

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	// earlyStartDelay is how long the store may take to accept a batch before the batch starts
	// without waiting for the store: many times its usual response time.
	earlyStartDelay = 150 * time.Millisecond
	// pendingPollInterval is the time between two checks whether the store holds a batch that
	// another process runs early.
	pendingPollInterval = 20 * time.Millisecond
	// earlyTimeout bounds how long a batch runs early. Trainers retry a step for the same time.
	earlyTimeout = 10 * time.Second
)

// Acceptance is the result of asking a process to accept a batch.
type Acceptance int

// Acceptances.
const (
	// Refused means that the process has not accepted the batch and does not run it.
	Refused Acceptance = iota
	// Pending means that the process runs the batch early: the store is not known to hold it yet.
	Pending
	// Accepted means that the store holds the batch.
	Accepted
)

// String returns the name of the acceptance.
func (a Acceptance) String() string {
	return [...]string{"refused", "pending", "taken"}[a]
}

// earlyRun tracks a batch that runs before the store is known to hold it.
//
// Text generation needs no store, and the longest text of a step takes nearly all of the step's
// time. So texts are generated while the store is unavailable, but are not returned to readers
// before the store holds the batch. Until then, answers to trainers state that the batch may run.
type earlyRun struct {
	// done is closed once the store is known to hold the batch, or the batch is given up.
	done   chan struct{}
	isDone bool
	// isStored reports whether the store held the batch when a write of this process was rejected.
	isStored bool
}

// await waits until the early run or the context ends.
func (e *earlyRun) await(ctx context.Context) {
	select {
	case <-e.done:
	case <-ctx.Done():
	}
}

// preferredOwners returns the processes that should own the batches of a model, the first
// candidate first.
func (b *Board) preferredOwners(model string) []string {
	order := b.rankedOwners(model)
	return order[:min(len(order), maxSuccessors)]
}

// rankedOwners returns the candidates for the batches of a model, by descending preference.
func (b *Board) rankedOwners(model string) []string { return b.Candidates("model/" + model) }

// startEarly starts a batch that the store is not known to hold.
//
// Trainers send batches again, also after they have ended them. Before the first list of the
// watched keys, a process can't tell such a batch from a new one.
func (b *Board) startEarly(batch *statepb.Batch) {
	b.lock()
	defer b.mutex.Unlock()
	id := batch.GetId()
	if b.owned[id] != nil || b.isKnown(id) || !b.isListed || b.isDraining {
		return
	}
	klog.InfoS("batch: started before the store holds it", "batch", id, "step", batch.GetStep(), "model", batch.GetModel(), "items", len(batch.GetItems()))
	b.start(Handover{Batch: batch}, clock.Now())
	owned := b.owned[id]
	owned.early = &earlyRun{done: make(chan struct{})}
	b.startTask(func() { b.commitEarly(owned) })
}

// commitEarly retries until the store holds an early batch, and gives the batch up after
// earlyTimeout.
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
	klog.InfoS("batch: given up because the store did not accept it in time", "batch", id)
	b.evict(id, owned)
	b.Keeper.Drop(b.ctx, id)
	b.lock()
	defer b.mutex.Unlock()
	b.endEarlyRun(owned)
}

// tryCommitEarly tries once to commit an early batch to the store.
func (b *Board) tryCommitEarly(ctx context.Context, batch *statepb.Batch) {
	if err := b.commitBatch(ctx, batch); err != nil {
		klog.V(1).InfoS("batch: committing an early batch failed, retrying", "batch", batch.GetId(), "err", err.Error())
	}
}

// applyAccepted applies what a rejected write of a batch shows of the batch, which the store already
// holds. An early run ends unless the batch is open and may be this process's: the batch has ended,
// or another process runs it.
func (b *Board) applyAccepted(id string, conflict *platform.ConflictError) {
	hasEnded := conflict.Lacks(openKey(id))
	key, _ := conflict.Find(ownerKey(id))
	_, process, _ := ParseOwner(key)
	klog.InfoS("batch: already accepted", "batch", id, "ended", hasEnded, "owner", process)
	b.lock()
	defer b.mutex.Unlock()
	owned, early := b.owned[id], b.earlyRunLocked(id)
	if hasEnded {
		b.applyOpen(id, platform.Value{Key: openKey(id), Deleted: true})
		if b.ended[id] == 0 {
			b.ended[id] = clock.Now() // The watch may not have shown the batch at all.
		}
	}
	if early == nil {
		return
	}
	early.isStored = true
	if !hasEnded && (process == "" || process == b.Process) {
		return
	}
	klog.InfoS("batch: early run stopped", "batch", id, "ended", hasEnded, "owner", process)
	owned.cancel()
	b.endEarlyRun(owned)
	b.startTask(func() { b.reload(id, owned) })
}

// isCommitting reports whether a write of the batch is in flight. A second write would compete
// with it for the link.
func (b *Board) isCommitting(id string) bool {
	b.lock()
	defer b.mutex.Unlock()
	return b.claiming[id]
}

// endEarlyRun ends the early run of a batch, if it has one. The mutex must be held.
func (b *Board) endEarlyRun(owned *ownedBatch) {
	if owned == nil || owned.early == nil || owned.early.isDone {
		return
	}
	owned.early.isDone = true
	close(owned.early.done)
}

// earlyRunOf returns the early run of a batch, or nil if this process does not run it early.
func (b *Board) earlyRunOf(id string) *earlyRun {
	b.lock()
	defer b.mutex.Unlock()
	return b.earlyRunLocked(id)
}

// earlyRunLocked is earlyRunOf for callers that hold the mutex.
func (b *Board) earlyRunLocked(id string) *earlyRun {
	owned := b.owned[id]
	if owned == nil || owned.early == nil || owned.early.isDone {
		return nil
	}
	return owned.early
}

// earlyBatch returns a batch that this process runs early, or nil.
func (b *Board) earlyBatch(id string) *statepb.Batch {
	b.lock()
	defer b.mutex.Unlock()
	if b.earlyRunLocked(id) == nil {
		return nil
	}
	return b.owned[id].batch
}

// markAccepted records that the store holds a batch and this process owns it. The mutex must be
// held.
func (b *Board) markAccepted(batch *statepb.Batch, ownership Ownership) {
	id, owned := batch.GetId(), b.owned[batch.GetId()]
	if owned != nil && b.earlyRunLocked(id) == nil {
		return
	}
	b.metrics.accepted.Inc()
	if !b.recordOpen(id, ownership.Revision) {
		return
	}
	b.recordOwner(id, ownership)
	if owned == nil {
		b.start(Handover{Batch: batch, Ownership: ownership}, clock.Now())
		return
	}
	owned.ledger.setOwnership(ownership)
	b.endEarlyRun(owned)
}

// awaitEarly waits until the early run of a batch or the context ends, and returns nil if the
// store holds the batch.
func (b *Board) awaitEarly(ctx context.Context, early *earlyRun, id string) error {
	early.await(ctx)
	b.lock()
	isStored := early.isStored
	b.mutex.Unlock()
	if isStored || b.isAccepted(id) {
		return nil
	}
	return errCommitUnknown()
}

// errCommitUnknown returns the refusal for a commit whose result is unknown.
func errCommitUnknown() error {
	return refusal.Unknown(http.StatusGatewayTimeout, "store_silent", "it is not known whether the store holds the batch").WithRetryAfter(storeRetryAfter)
}

// AcceptForPeer accepts a batch on behalf of another process, and returns within the wait. An
// error means that the result is unknown. The attempt continues after the wait: storing a large
// batch takes longer than the other process waits.
//
// A process is a candidate once it is registered, which may be before it knows a
// configuration. Without one it refuses the batch: under the empty rules of an unknown route,
// the first failed run would give an item up, and a text could mix weight versions.
func (b *Board) AcceptForPeer(ctx context.Context, batch *statepb.Batch, wait time.Duration) (Acceptance, error) {
	if b.isAccepted(batch.GetId()) {
		return Accepted, nil
	}
	if _, isKnown := b.Routes(batch); !isKnown {
		return Refused, nil
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
		return Accepted, nil
	case b.earlyRunOf(batch.GetId()) != nil:
		return Pending, nil
	case refusal.IsNotRun(err):
		return Refused, nil
	default:
		return Refused, err
	}
}

// askPreferredOwner asks another process to accept a batch. If the batch is pending there, this
// process waits for the watch to show it instead of sending the batch again, which may be a
// megabyte.
func (b *Board) askPreferredOwner(ctx context.Context, host string, batch *statepb.Batch) (Acceptance, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	acceptance, err := b.askPeer(ctx, host, batch)
	for err == nil && acceptance == Pending {
		if b.isAccepted(batch.GetId()) {
			return Accepted, nil
		}
		if !pause.For(ctx, pendingPollInterval) {
			break
		}
	}
	return acceptance, err
}

// askPeer asks another process once to accept a batch.
func (b *Board) askPeer(ctx context.Context, host string, batch *statepb.Batch) (Acceptance, error) {
	ctx, cancel := context.WithTimeout(ctx, peerAcceptTimeout)
	defer cancel()
	acceptance, err := b.Peers.Accept(ctx, host, batch)
	klog.InfoS("batch: asked its preferred owner to accept it", "batch", batch.GetId(), "model", batch.GetModel(), "owner", host, "acceptance", acceptance, "err", err)
	return acceptance, err
}
