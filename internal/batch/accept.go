package batch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	// codeStoreUnavailable is the code of refusals caused by an unavailable store or a missing
	// lease of this process.
	codeStoreUnavailable = "store_away"
	// maxOpenBatches bounds the open batches of an account, which the store holds until their trainer ends
	// them: several steps in progress for each of several trainers.
	maxOpenBatches = 32
	// openLimitRetryAfter is the delay after which a trainer with too many open batches should retry:
	// longer than it takes to end one.
	openLimitRetryAfter = time.Second
)

// Accept stores a batch through this process or a preferred owner of its model. It returns nil
// once the store holds the batch, also from an earlier attempt; any error is a *refusal.Error
// that states whether the batch may run.
//
// All batches of a model have the same owner: it alone knows how many slots of the model's
// samplers are in use, and it reuses its connections from step to step.
func (b *Board) Accept(ctx context.Context, batch *statepb.Batch) error {
	if b.isAccepted(batch.GetId()) {
		return nil
	}
	if err := b.checkOpenLimit(ctx, batch); err != nil {
		return err
	}
	for _, host := range b.preferredOwners(batch.GetModel()) {
		if host == b.Process {
			return b.acceptOwn(ctx, batch, attempt{isPreferred: true})
		}
		acceptance, err := b.askPreferredOwner(ctx, host, batch)
		switch {
		case acceptance == Accepted:
			return nil
		case acceptance == Pending:
			return errCommitUnknown()
		case err != nil:
			return b.acceptOwn(ctx, batch, attempt{mayBeAccepted: true})
		}
	}
	return b.acceptOwn(ctx, batch, attempt{})
}

// checkOpenLimit refuses a new batch of an account with too many open batches. The store is asked
// whether the batch is new: an earlier attempt may have stored it that the watch has not shown yet.
func (b *Board) checkOpenLimit(ctx context.Context, batch *statepb.Batch) error {
	count, oldest := b.openOf(batch.GetAccount())
	if count < maxOpenBatches {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	_, err := b.Store.Get(ctx, storedKey(batch.GetId()))
	var missing *platform.NotFoundError
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &missing):
		klog.InfoS("batch: can't tell whether a batch of an account with too many open batches is new", "batch", batch.GetId(), "account", batch.GetAccount(), "open", count, "err", err.Error())
		return errCommitUnknown()
	default:
		return refusal.NotRun(http.StatusTooManyRequests, "too_many_open", "account %s has %d open batches, the oldest is %s; end those that nobody reads", batch.GetAccount(), count, oldest).WithRetryAfter(openLimitRetryAfter)
	}
}

// openOf returns the number of open batches of an account, and the one that this process has known
// longest.
func (b *Board) openOf(account string) (count int, oldest string) {
	b.lock()
	defer b.mutex.Unlock()
	for id := range b.open {
		if b.stored[id] == 0 || b.accounts[id] != account {
			continue
		}
		count++
		if oldest == "" || b.stored[id] < b.stored[oldest] {
			oldest = id
		}
	}
	return count, oldest
}

// attempt describes one attempt of this process to accept a batch.
type attempt struct {
	// mayBeAccepted reports whether an earlier attempt may have stored the batch.
	mayBeAccepted bool
	// isPreferred reports whether this process is a preferred owner, which may start the batch
	// early.
	isPreferred bool
}

// acceptOwn accepts a batch with this process as its owner.
//
// A NotRun refusal guarantees that no item of the batch runs. Once an attempt may have reached
// the store, or the batch runs early, no later attempt returns NotRun, whatever the store
// answers.
func (b *Board) acceptOwn(ctx context.Context, batch *statepb.Batch, attempt attempt) error {
	if b.hasDrainStarted() && b.earlyRunOf(batch.GetId()) == nil && !attempt.mayBeAccepted {
		return refusal.NotRun(http.StatusServiceUnavailable, "draining", "this process was asked to stop").WithRetryAfter(storeRetryAfter)
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if attempt.isPreferred {
		startTimer := time.AfterFunc(earlyStartDelay, func() { b.startEarly(batch) })
		defer startTimer.Stop()
	}
	for {
		if early := b.earlyRunOf(batch.GetId()); early != nil {
			return b.awaitEarly(ctx, early, batch.GetId())
		}
		err := b.commitBatch(ctx, batch)
		if err == nil {
			return nil
		}
		if attempt.isPreferred && isStoreUnavailable(err) {
			b.startEarly(batch)
		}
		if b.earlyRunOf(batch.GetId()) != nil {
			continue
		}
		attempt.mayBeAccepted = attempt.mayBeAccepted || !refusal.IsNotRun(err) && !isNotCommitted(err)
		if !attempt.mayBeAccepted && refusal.IsNotRun(err) {
			return err
		}
		if !attempt.mayBeAccepted {
			return refusal.NotRun(http.StatusServiceUnavailable, codeStoreUnavailable, "the store does not take the batch").WithRetryAfter(storeRetryAfter)
		}
		klog.InfoS("batch: commit to the store has an unknown result", "batch", batch.GetId(), "err", err.Error())
		if !pause.For(ctx, writeRetryDelay) {
			return errCommitUnknown()
		}
	}
}

// isStoreUnavailable reports whether an unavailable store is the only reason why a batch was
// not accepted.
func isStoreUnavailable(err error) bool {
	return !refusal.IsNotRun(err) || refusal.Of(err).Code == codeStoreUnavailable
}

// isNotCommitted reports whether a store error proves that the commit changed nothing.
func isNotCommitted(err error) bool {
	var unavailable *platform.UnavailableError
	return errors.As(err, &unavailable) && platform.IsRejected(unavailable.Status)
}

func (b *Board) isAccepted(id string) bool {
	b.lock()
	defer b.mutex.Unlock()
	return b.isKnown(id) || b.owned[id] != nil && b.earlyRunLocked(id) == nil
}

func (b *Board) commitBatch(ctx context.Context, batch *statepb.Batch) error {
	id := batch.GetId()
	data, err := proto.Marshal(batch)
	if err != nil {
		return refusal.NotRun(http.StatusBadRequest, "bad_batch", "%v", err)
	}
	if len(data) > int(0.74*float64(b.ValueBytes)) {
		return refusal.NotRun(http.StatusRequestEntityTooLarge, "large_batch", "the batch is larger than the store's values")
	}
	if err := b.checkMemory(batch); err != nil {
		return err
	}
	lease := b.Lease()
	if lease == 0 {
		return refusal.NotRun(http.StatusServiceUnavailable, codeStoreUnavailable, "this process is not known to the store").WithRetryAfter(storeRetryAfter)
	}
	owner, err := proto.Marshal(statepb.Owner_builder{Process: b.Process}.Build())
	if err != nil {
		return err
	}
	open, err := proto.Marshal(statepb.Open_builder{
		Account: batch.GetAccount(), Model: batch.GetModel(), Step: batch.GetStep(), Oldest: batch.GetOldest(), Items: uint32(len(batch.GetItems())),
	}.Build())
	if err != nil {
		return err
	}
	if b.reserve(id) {
		defer b.release(id)
	}
	revision, err := b.Store.Commit(ctx, platform.Commit{
		Expect: []platform.Expect{{Key: storedKey(id)}, {Key: openKey(id)}, {Key: ownerKey(id)}},
		Writes: []platform.Write{
			{Key: bulkKey(id), Data: data},
			{Key: openKey(id), Data: open},
			{Key: storedKey(id), Data: []byte(batch.GetAccount())},
			{Key: ownerKey(id), Data: owner, Lease: lease},
		},
	})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		b.applyAccepted(id, conflict)
		return nil
	}
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return refusal.NotRun(http.StatusServiceUnavailable, codeStoreUnavailable, "the lease of this process has ended").WithRetryAfter(storeRetryAfter)
	}
	if err != nil {
		return err
	}
	klog.InfoS("batch: accepted", "batch", id, "account", batch.GetAccount(), "step", batch.GetStep(), "model", batch.GetModel(), "items", len(batch.GetItems()), "owner", revision)
	b.lock()
	defer b.mutex.Unlock()
	b.markAccepted(batch, Ownership{Revision: revision, Lease: lease})
	return nil
}

// isKnown reports whether the store is known to hold a batch, open or ended. The mutex must be held.
func (b *Board) isKnown(id string) bool { return b.open[id] || b.ended[id] != 0 || b.stored[id] != 0 }

func (b *Board) hasDrainStarted() bool {
	b.lock()
	defer b.mutex.Unlock()
	return b.isDraining
}

// reserve keeps the watch from adopting a batch that is being accepted here. It returns false
// if the batch is already reserved or being adopted, for example after an earlier attempt that
// was committed without an answer.
func (b *Board) reserve(id string) bool {
	b.lock()
	defer b.mutex.Unlock()
	if b.claiming[id] {
		return false
	}
	b.claiming[id] = true
	return true
}

// release ends a reservation. It resumes the batch if the watch has meanwhile shown that a write
// without an answer made this process the owner.
func (b *Board) release(id string) {
	b.lock()
	defer b.mutex.Unlock()
	delete(b.claiming, id)
	b.resume(id)
}
