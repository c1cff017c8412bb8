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

// codeStoreAway names refusals because the store, or this process's lease, is away.
const codeStoreAway = "store_away"

// Accept takes a batch, here or at the process that owns its model's batches.
// It returns once the store holds it, also from an earlier try; any other end is
// a *refusal.Error that says what is known.
//
// The batches of one model have one owner: it alone knows how many slots of the
// model's samplers are taken, and goes on using its connections from step to step.
func (b *Board) Accept(ctx context.Context, batch *statepb.Batch) error {
	if b.isKnown(batch.GetId()) {
		return nil
	}
	for _, host := range b.homes(batch.GetModel()) {
		if host == b.Process {
			return b.acceptOwn(ctx, batch, attempt{isHome: true})
		}
		acceptance, err := b.askHome(ctx, host, batch)
		switch {
		case acceptance == Accepted:
			return nil
		case acceptance == Pending:
			return errSilent()
		case err != nil:
			return b.acceptOwn(ctx, batch, attempt{isUnsure: true})
		}
	}
	return b.acceptOwn(ctx, batch, attempt{})
}

// attempt is what is known of a try to take a batch here.
type attempt struct {
	// isUnsure says that an earlier try may have taken it.
	isUnsure bool
	// isHome says that this process should own it, so that it may run it early.
	isHome bool
}

// acceptOwn takes a batch here.
//
// A refusal promises that nothing of the batch runs. Once any try may have
// reached the store, or the batch runs early, no later one can promise that,
// whatever it is told itself.
func (b *Board) acceptOwn(ctx context.Context, batch *statepb.Batch, attempt attempt) error {
	if b.drains() && b.earlyOf(batch.GetId()) == nil && !attempt.isUnsure {
		return refusal.NotRun(http.StatusServiceUnavailable, "draining", "this process was asked to stop").WithRetryAfter(storeAgain)
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	if attempt.isHome {
		begin := time.AfterFunc(earlyAfter, func() { b.beginEarly(batch) })
		defer begin.Stop()
	}
	for {
		if early := b.earlyOf(batch.GetId()); early != nil {
			return b.awaitEarly(ctx, early, batch.GetId())
		}
		err := b.accept(ctx, batch)
		if err == nil {
			return nil
		}
		if attempt.isHome && isStoreAway(err) {
			b.beginEarly(batch)
		}
		if b.earlyOf(batch.GetId()) != nil {
			continue
		}
		attempt.isUnsure = attempt.isUnsure || !refusal.IsNotRun(err) && !isNothingDone(err)
		if !attempt.isUnsure && refusal.IsNotRun(err) {
			return err
		}
		if !attempt.isUnsure {
			return refusal.NotRun(http.StatusServiceUnavailable, codeStoreAway, "the store does not take the batch").WithRetryAfter(storeAgain)
		}
		klog.InfoS("batch: not known whether the store holds it", "batch", batch.GetId(), "err", err.Error())
		if !pause.For(ctx, writePause) {
			return errSilent()
		}
	}
}

// isStoreAway reports whether a batch wasn't taken for want of the store alone.
func isStoreAway(err error) bool {
	return !refusal.IsNotRun(err) || refusal.Of(err).Code == codeStoreAway
}

// isNothingDone reports whether an error of the store proves that it changed nothing.
func isNothingDone(err error) bool {
	var away *platform.UnavailableError
	return errors.As(err, &away) && platform.IsRejected(away.Status)
}

func (b *Board) isKnown(id string) bool {
	b.lock()
	defer b.mutex.Unlock()
	return b.open[id] || b.held[id] != nil && b.runsEarly(id) == nil
}

func (b *Board) accept(ctx context.Context, batch *statepb.Batch) error {
	lease := b.Lease()
	if lease == 0 {
		return refusal.NotRun(http.StatusServiceUnavailable, codeStoreAway, "this process is not known to the store").WithRetryAfter(storeAgain)
	}
	id := batch.GetId()
	data, err := proto.Marshal(batch)
	if err != nil {
		return refusal.NotRun(http.StatusBadRequest, "bad_batch", "%v", err)
	}
	if len(data) > int(0.74*float64(b.ValueBytes)) {
		return refusal.NotRun(http.StatusRequestEntityTooLarge, "large_batch", "the batch is larger than the store's values")
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
		Expect: []platform.Expect{{Key: bulkKey(id)}},
		Writes: []platform.Write{
			{Key: bulkKey(id), Data: data},
			{Key: openKey(id), Data: open},
			{Key: storedKey(id), Data: []byte(batch.GetAccount())},
			{Key: ownerKey(id), Data: owner, Lease: lease},
		},
	})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		klog.InfoS("batch: accepted before", "batch", id)
		return nil
	}
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return refusal.NotRun(http.StatusServiceUnavailable, codeStoreAway, "the lease of this process has ended").WithRetryAfter(storeAgain)
	}
	if err != nil {
		return err
	}
	klog.InfoS("batch: accepted", "batch", id, "account", batch.GetAccount(), "step", batch.GetStep(), "model", batch.GetModel(), "items", len(batch.GetItems()), "owner", revision)
	b.lock()
	defer b.mutex.Unlock()
	b.taken(batch, Ownership{Revision: revision, Lease: lease})
	return nil
}

func (b *Board) drains() bool {
	b.lock()
	defer b.mutex.Unlock()
	return b.isDraining
}

// reserve keeps the watch from adopting a batch that is being accepted here. It
// reports false if that has begun, as where an earlier try was done without an answer.
func (b *Board) reserve(id string) bool {
	b.lock()
	defer b.mutex.Unlock()
	if b.claiming[id] {
		return false
	}
	b.claiming[id] = true
	return true
}

// release ends what kept the watch from adopting a batch. A write that got no
// answer may have been seen by the watch meanwhile.
func (b *Board) release(id string) {
	b.lock()
	defer b.mutex.Unlock()
	delete(b.claiming, id)
	b.resume(id)
}
