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
	// earlyAfter is how long a store may take for a batch before the batch runs
	// without it: many times its usual answer.
	earlyAfter = 150 * time.Millisecond
	// pendingLook is the time between two looks whether the store holds a batch that
	// another process runs early.
	pendingLook = 20 * time.Millisecond
	// earlyTime bounds how long a batch runs that the store isn't known to hold: the
	// time in which trainers come back with a step.
	earlyTime = 10 * time.Second
)

// Acceptance is what became of a batch at the process that was asked to take it.
type Acceptance int

// Acceptances.
const (
	// Refused says that nothing of the batch is known there.
	Refused Acceptance = iota
	// Pending says that it runs there and isn't known to be in the store yet.
	Pending
	// Accepted says that the store holds it.
	Accepted
)

// String names the acceptance.
func (a Acceptance) String() string {
	return [...]string{"refused", "pending", "taken"}[a]
}

// early is a batch that runs before the store is known to hold it.
//
// Texts need no store, and the longest one of a step takes nearly all of the step's
// time. So they are generated while the store is away, and nothing of them is shown
// before it holds the batch. Trainers are told meanwhile that the batch may run.
type early struct {
	// settled is closed once the store is known to hold the batch, or the batch is given up.
	settled chan struct{}
	isOver  bool
}

// await waits until the batch is early no more, or the context ends.
func (e *early) await(ctx context.Context) {
	select {
	case <-e.settled:
	case <-ctx.Done():
	}
}

// homes returns the processes that should own a model's batches, the first one first.
func (b *Board) homes(model string) []string {
	order := b.ranked(model)
	return order[:min(len(order), successors)]
}

// ranked returns all processes as candidates for the batches of a model.
func (b *Board) ranked(model string) []string { return b.Candidates("model/" + model) }

// beginEarly runs a batch that the store isn't known to hold.
func (b *Board) beginEarly(batch *statepb.Batch) {
	b.lock()
	defer b.mutex.Unlock()
	id := batch.GetId()
	if b.held[id] != nil || b.open[id] || b.ended[id] || b.isDraining {
		return
	}
	klog.InfoS("batch: begun before the store holds it", "batch", id, "step", batch.GetStep(), "model", batch.GetModel(), "items", len(batch.GetItems()))
	b.start(Handover{Batch: batch}, clock.Now())
	held := b.held[id]
	held.early = &early{settled: make(chan struct{})}
	b.work(func() { b.settle(held) })
}

// settle has the store take an early batch, or gives it up.
func (b *Board) settle(held *held) {
	id := held.batch.GetId()
	ctx, cancel := context.WithTimeout(b.ctx, earlyTime)
	defer cancel()
	for b.earlyOf(id) == held.early && !held.isEnded() {
		if !b.isTried(id) {
			b.settleOnce(ctx, held.batch)
		}
		if !pause.For(ctx, writePause) {
			break
		}
	}
	if b.ctx.Err() != nil || b.earlyOf(id) != held.early {
		return
	}
	klog.InfoS("batch: given up, the store did not take it", "batch", id)
	b.leave(id, held)
	b.Keeper.Drop(b.ctx, id)
	b.lock()
	defer b.mutex.Unlock()
	b.endEarly(held)
}

// settleOnce tries once to have the store take an early batch.
func (b *Board) settleOnce(ctx context.Context, batch *statepb.Batch) {
	if err := b.accept(ctx, batch); err != nil {
		klog.V(1).InfoS("batch: an early one is not in the store yet", "batch", batch.GetId(), "err", err.Error())
	}
}

// isTried reports whether a write of the batch is under way: a second one would share
// the link with it.
func (b *Board) isTried(id string) bool {
	b.lock()
	defer b.mutex.Unlock()
	return b.claiming[id]
}

// endEarly notes that a batch is early no more. The mutex is held.
func (b *Board) endEarly(held *held) {
	if held == nil || held.early == nil || held.early.isOver {
		return
	}
	held.early.isOver = true
	close(held.early.settled)
}

// earlyOf returns what makes a batch early here, or nil.
func (b *Board) earlyOf(id string) *early {
	b.lock()
	defer b.mutex.Unlock()
	return b.runsEarly(id)
}

// runsEarly returns what makes a batch early here, or nil. The mutex is held.
func (b *Board) runsEarly(id string) *early {
	held := b.held[id]
	if held == nil || held.early == nil || held.early.isOver {
		return nil
	}
	return held.early
}

// taken notes that the store holds a batch, of which this process is the owner. The
// mutex is held.
func (b *Board) taken(batch *statepb.Batch, title Ownership) {
	id, held := batch.GetId(), b.held[batch.GetId()]
	if held != nil && b.runsEarly(id) == nil {
		return
	}
	b.metrics.accepted.Inc()
	b.open[id] = true
	b.owners[id] = b.Process
	b.ownerRevisions[id] = title.Revision
	if held == nil {
		b.start(Handover{Batch: batch, Owner: title}, clock.Now())
		return
	}
	held.ledger.reclaimed(title)
	b.endEarly(held)
}

// awaitEarly waits until it is known what became of an early batch.
func (b *Board) awaitEarly(ctx context.Context, early *early, id string) error {
	early.await(ctx)
	if b.isKnown(id) {
		return nil
	}
	return errSilent()
}

// errSilent says that it isn't known whether the store holds a batch.
func errSilent() error {
	return refusal.Unknown(http.StatusGatewayTimeout, "store_silent", "it is not known whether the store holds the batch").WithRetryAfter(storeAgain)
}

// AcceptForPeer takes a batch here that another process was sent, and says within a
// time what became of it. An error says that this isn't known. The try goes on after
// that: a large batch takes the store longer than the other process waits.
func (b *Board) AcceptForPeer(ctx context.Context, batch *statepb.Batch, wait time.Duration) (Acceptance, error) {
	if b.isKnown(batch.GetId()) {
		return Accepted, nil
	}
	ended := make(chan error, 1)
	go func() { ended <- b.acceptOwn(ctx, batch, attempt{isHome: true}) }()
	var err error
	select {
	case err = <-ended:
	case <-time.After(wait):
		err = errSilent()
	}
	switch {
	case err == nil:
		return Accepted, nil
	case b.earlyOf(batch.GetId()) != nil:
		return Pending, nil
	case refusal.IsNotRun(err):
		return Refused, nil
	default:
		return Refused, err
	}
}

// askHome has another process take a batch. Where that runs it and isn't sure yet, the
// store's small keys tell: the batch isn't sent again, which may be a megabyte.
func (b *Board) askHome(ctx context.Context, host string, batch *statepb.Batch) (Acceptance, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	acceptance, err := b.askOnce(ctx, host, batch)
	for err == nil && acceptance == Pending {
		if b.isKnown(batch.GetId()) {
			return Accepted, nil
		}
		if !pause.For(ctx, pendingLook) {
			break
		}
	}
	return acceptance, err
}

// askOnce has another process take a batch.
func (b *Board) askOnce(ctx context.Context, host string, batch *statepb.Batch) (Acceptance, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTime)
	defer cancel()
	acceptance, err := b.Peers.Accept(ctx, host, batch)
	klog.InfoS("batch: its owner was asked to take it", "batch", batch.GetId(), "model", batch.GetModel(), "owner", host, "acceptance", acceptance, "err", err)
	return acceptance, err
}
