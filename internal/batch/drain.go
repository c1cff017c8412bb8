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
	// takeTime bounds the write by which a batch is taken from its owner: some writes
	// of a slow store.
	takeTime = 400 * time.Millisecond
	// giveTime bounds a call that hands a batch over: the write, and the way of a batch
	// of a megabyte over a narrow link to a small host. An owner that gives up sooner
	// goes through the store although the batch was taken, and its readers don't learn
	// of the next owner.
	giveTime = 600 * time.Millisecond
	// probeTime bounds the question whether the store answers: many times its usual answer.
	probeTime = 400 * time.Millisecond
	// endTime is what a process needs after its hand-over, to end its last requests.
	endTime = time.Second
	// successors is how many processes are asked to go on with a batch.
	successors = 2
)

// Drain hands all batches over: it stops their runs, leaves what came of them
// with a keeper and gives them up, so that the next owners go on at once and lose nothing.
func (b *Board) Drain(ctx context.Context) {
	b.lock()
	b.isDraining = true
	batches := map[string]*held{}
	for id, held := range b.held {
		if !held.ended {
			batches[id] = held
		}
	}
	b.mutex.Unlock()
	if len(batches) == 0 {
		return
	}
	before, cancel := beforeHandover(ctx)
	defer cancel()
	b.awaitStore(before)
	var group sync.WaitGroup
	for id, held := range batches {
		group.Go(func() {
			awaitSettled(before, held)
			b.handOver(ctx, id, held)
		})
	}
	group.Wait()
}

// beforeHandover returns a context that ends when a hand-over must begin for the
// process to end in its time.
func beforeHandover(ctx context.Context) (context.Context, context.CancelFunc) {
	end, isBounded := ctx.Deadline()
	if !isBounded {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, end.Add(-handoverTime-endTime))
}

// awaitStore waits until the store answers. The batches run on meanwhile.
//
// Nobody can take a batch over without the store; an owner that stops its runs in an
// outage and ends before the store is back loses their texts.
func (b *Board) awaitStore(ctx context.Context) {
	began := clock.Now()
	for ctx.Err() == nil && !b.isStoreThere(ctx) {
		pause.For(ctx, writePause)
	}
	if waited := clock.Now().Sub(began); waited > probeTime {
		klog.InfoS("batch: stopping waited for the store", "waited", waited, "answers", ctx.Err() == nil)
	}
}

// isStoreThere asks the store for a key that need not be there.
func (b *Board) isStoreThere(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	_, err := b.Store.Get(ctx, ownerKey(b.Process))
	var missing *platform.NotFoundError
	return err == nil || errors.As(err, &missing)
}

// awaitSettled waits until it is known whether the store holds a batch: before that
// nobody can go on with it.
func awaitSettled(ctx context.Context, held *held) {
	if held.early != nil {
		held.early.await(ctx)
	}
}

// Handover is a batch as its owner leaves it.
type Handover struct {
	Batch *statepb.Batch
	// Owner is the title of the process that has the batch.
	Owner Ownership
	// Open is the revision of the key that says that its trainer has not ended it.
	Open uint64
	// Listed are the outcomes that the store holds, Pending those that it doesn't yet.
	Listed, Pending []*statepb.Outcome
	// Partials are the texts that aren't whole.
	Partials []*statepb.Partial
}

// handOver stops a batch here and has another process go on with it: by a call of
// that process if it answers, else through a keeper and the store.
//
// Through the store the next owner hears of the batch from a watch, waits for its
// turn, claims it, and reads all of it. Meanwhile nothing of the batch runs, and outcomes
// that aren't listed yet are lost.
func (b *Board) handOver(ctx context.Context, id string, held *held) {
	ctx, cancel := context.WithTimeout(ctx, handoverTime)
	defer cancel()
	held.cancel()
	select {
	case <-held.stopped:
	case <-ctx.Done():
	}
	if b.giveTo(ctx, id, held) {
		return
	}
	held.keepLast(ctx)
	_, err := b.Store.Commit(ctx, platform.Commit{
		Expect: []platform.Expect{{Key: ownerKey(id), Revision: held.ledger.owned().Revision}},
		Remove: []string{ownerKey(id)},
	})
	klog.InfoS("batch: handed over", "batch", id, "err", err)
}

// giveTo has one of the processes that come next go on with a stopped batch, and
// reports whether one does.
//
// In a rolling stop the first one may be about to end, or be gone. One that took the
// batch and didn't answer keeps the next from taking it: the owner's key has changed.
func (b *Board) giveTo(ctx context.Context, id string, held *held) bool {
	state, isSure := b.handover(id, held)
	if !isSure {
		return false
	}
	for _, next := range b.next(held.batch.GetModel()) {
		if b.give(ctx, id, next, state) {
			return true
		}
	}
	return false
}

// give has a process go on with a stopped batch, and reports whether it does.
func (b *Board) give(ctx context.Context, id, next string, state Handover) bool {
	ctx, cancel := context.WithTimeout(ctx, giveTime)
	defer cancel()
	taken, err := b.Peers.HandOver(ctx, next, state)
	klog.InfoS("batch: given to its next owner", "batch", id, "owner", next, "listed", len(state.Listed), "pending", len(state.Pending), "partly", len(state.Partials), "taken", taken, "err", err)
	if taken {
		b.given(id, next)
	}
	return taken
}

// given sends readers to the next owner of a batch at once.
func (b *Board) given(id, next string) {
	b.lock()
	defer b.mutex.Unlock()
	delete(b.held, id)
	if b.owners[id] == b.Process {
		b.owners[id] = next
	}
}

// next returns the processes that should own a model's batches once this one has left,
// the first one first.
func (b *Board) next(model string) []string {
	others := slices.DeleteFunc(b.ranked(model), func(host string) bool { return host == b.Process })
	return others[:min(len(others), successors)]
}

// handover returns a stopped batch. It reports false if it hasn't stopped or isn't
// known as a whole, and if there is nothing to go on with.
func (b *Board) handover(id string, held *held) (Handover, bool) {
	select {
	case <-held.stopped:
	default:
		return Handover{}, false
	}
	listed, pending, isSure := held.ledger.rest()
	b.lock()
	open := b.openRevisions[id]
	b.mutex.Unlock()
	owner := held.ledger.owned()
	held.mutex.Lock()
	defer held.mutex.Unlock()
	state := Handover{Batch: held.batch, Owner: owner, Open: open, Listed: listed, Pending: pending, Partials: held.plan.Partials()}
	return state, isSure && open != 0 && owner.Revision != 0 && !held.plan.IsEnded()
}

// TakeHandover goes on with a batch that another process has stopped. An error says
// that it isn't known whether this process owns it now; it runs it in that case
// once the watch says so.
//
// The batch must be as the other one left it: where its trainer has ended it, or
// another process has claimed it, the store refuses.
func (b *Board) TakeHandover(ctx context.Context, state Handover) (bool, error) {
	id := state.Batch.GetId()
	// A revision of 0 would ask the store for a batch that is not open, or has no owner.
	if b.Lease() == 0 || state.Owner.Revision == 0 || state.Open == 0 || !b.begin(id) {
		return false, nil
	}
	defer b.release(id)
	ctx, cancel := context.WithTimeout(ctx, takeTime)
	defer cancel()
	title, err := b.writeOwner(ctx, id, platform.Expect{Key: ownerKey(id), Revision: state.Owner.Revision}, platform.Expect{Key: openKey(id), Revision: state.Open})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) || err != nil && isNothingDone(err) {
		klog.InfoS("batch: not taken from its owner", "batch", id, "err", err.Error())
		return false, nil
	}
	if err != nil {
		return false, err
	}
	b.lock()
	defer b.mutex.Unlock()
	klog.InfoS("batch: taken from its owner", "batch", id, "owner", title.Revision, "listed", len(state.Listed), "pending", len(state.Pending), "partly", len(state.Partials))
	b.metrics.taken.Inc()
	b.open[id] = true
	b.openRevisions[id] = state.Open
	b.owners[id] = b.Process
	b.ownerRevisions[id] = title.Revision
	delete(b.unowned, id)
	state.Owner = title
	b.start(state, clock.Now())
	return true, nil
}

// begin keeps the watch from adopting a batch that is being taken from its owner.
// It reports false if this process is stopping, or has the batch already.
func (b *Board) begin(id string) bool {
	b.lock()
	defer b.mutex.Unlock()
	if b.isDraining || b.held[id] != nil || b.claiming[id] {
		return false
	}
	b.claiming[id] = true
	return true
}

// AddPending takes outcomes that an earlier owner had and didn't list.
func (p *Plan) AddPending(outcomes []*statepb.Outcome) {
	for _, outcome := range outcomes {
		if one := p.byID[outcome.GetItem()]; one != nil {
			p.list(one, outcome)
		}
	}
	p.order = slices.DeleteFunc(p.order, func(one *item) bool { return one.phase != waiting })
}
