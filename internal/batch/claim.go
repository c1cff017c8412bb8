package batch

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// claimable returns the batches without an owner that this process should claim now.
func (b *Board) claimable(now clock.Boot) []string {
	b.lock()
	defer b.mutex.Unlock()
	if b.isDraining {
		return nil
	}
	if len(b.unowned) == 0 {
		return nil
	}
	var ids []string
	for id, unowned := range b.unowned {
		if b.claiming[id] || !b.open[id] || b.unloaded[id] {
			continue
		}
		if now.Sub(unowned.since) >= b.claimDelay(id, unowned.lastOwner) {
			b.claiming[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// claimDelay returns the time between the loss of a batch's owner and the earliest claim of the
// batch by this process. The mutex must be held.
//
// The last owner claims first: it may have lost only its lease in a store outage and still hold
// all text generated for the batch. If the last owner is leaving, other processes do not wait for
// it.
func (b *Board) claimDelay(id, lastOwner string) time.Duration {
	if b.owned[id] != nil {
		return 0
	}
	wait := time.Duration(duty.Position(b.Process, b.Candidates(id))) * claimStagger
	if b.IsLeaving(lastOwner) {
		return wait
	}
	return ownerHeadStart + wait
}

// claim makes this process the owner of a batch that has none.
func (b *Board) claim(ctx context.Context, id string) {
	b.lock()
	owned, open := b.owned[id], b.openRevisions[id]
	b.mutex.Unlock()
	if open == 0 {
		b.release(id) // It has ended since it became claimable.
		return
	}
	ownership, err := b.writeOwner(ctx, id, claimConditions(id, open, owned)...)
	b.applyConflict(id, err)
	var conflict *platform.ConflictError
	if owned != nil && errors.As(err, &conflict) && hasChunk(conflict, id) {
		klog.InfoS("batch: evicted because another owner has listed more outcomes", "batch", id)
		b.evict(id, owned)
	}
	if err != nil {
		klog.InfoS("batch: claim failed", "batch", id, "err", err.Error())
		pause.For(ctx, claimStagger)
		b.release(id)
		return
	}
	if owned != nil {
		klog.InfoS("batch: claimed again", "batch", id, "owner", ownership.Revision)
		owned.ledger.setOwnership(ownership)
		b.lock()
		b.endEarlyRun(owned)
		delete(b.claiming, id)
		b.recordOwner(id, ownership)
		b.mutex.Unlock()
		return
	}
	b.adopt(ctx, id, ownership)
}

// claimConditions returns the conditions under which the store commits a claim: the batch is open,
// has no owner and, if this process owned it before, no other process has listed outcomes since.
//
// While this process could not reach the store, another process may have owned the batch, listed
// outcomes and died. Under the first condition alone, this process would list its own outcomes at
// positions where clients have already read different ones.
func claimConditions(id string, open uint64, owned *ownedBatch) []platform.Expect {
	expect := []platform.Expect{{Key: ownerKey(id)}, {Key: openKey(id), Revision: open}}
	if owned != nil {
		expect = append(expect, platform.Expect{Key: chunkKey(id, owned.ledger.nextPosition())})
	}
	return expect
}

func hasChunk(conflict *platform.ConflictError, id string) bool {
	return slices.ContainsFunc(conflict.Current, func(value platform.Value) bool {
		return value.Revision != 0 && strings.HasPrefix(value.Key, chunkPrefix(id))
	})
}

// evict stops a batch on this process and keeps its texts, which are reused if the batch is
// loaded again.
func (b *Board) evict(id string, owned *ownedBatch) {
	owned.cancel()
	<-owned.stopped
	owned.mutex.Lock()
	b.leftovers.add(owned.plan.Texts())
	owned.mutex.Unlock()
	b.lock()
	defer b.mutex.Unlock()
	if b.owned[id] == owned {
		delete(b.owned, id)
	}
}

// reload evicts a batch that this process owns and resumes it from the store.
func (b *Board) reload(id string, owned *ownedBatch) {
	b.evict(id, owned)
	b.lock()
	defer b.mutex.Unlock()
	b.resume(id)
}

// writeOwner makes this process the owner of a batch if the expectations hold.
func (b *Board) writeOwner(ctx context.Context, id string, expect ...platform.Expect) (Ownership, error) {
	lease := b.Lease()
	if lease == 0 {
		return Ownership{}, errors.New("batch: this process has no lease")
	}
	data, err := proto.Marshal(statepb.Owner_builder{Process: b.Process}.Build())
	if err != nil {
		return Ownership{}, err
	}
	revision, err := b.Store.Commit(ctx, platform.Commit{
		Expect: expect,
		Writes: []platform.Write{{Key: ownerKey(id), Data: data, Lease: lease}},
	})
	return Ownership{Revision: revision, Lease: lease}, err
}

// reclaim rewrites the owner key of a batch that this process owns, then loads and runs the
// batch.
//
// A previous process of this name, or an earlier attempt of this process, may have a chunk in
// flight that the store commits after this process has loaded the batch. Some readers would then
// see that chunk and others not, and no chunk of this process could follow it. The write of that
// chunk expects the former revision of the owner key, so a new revision makes it fail. The
// rewritten key also expires with the lease of this process instead of the previous one's.
func (b *Board) reclaim(ctx context.Context, id string, revision uint64) {
	for ctx.Err() == nil && b.ownsAt(id, revision) {
		open := b.openRevision(id)
		if b.Lease() == 0 || open == 0 {
			pause.For(ctx, leasePollInterval)
			continue
		}
		ownership, err := b.writeOwner(ctx, id, platform.Expect{Key: ownerKey(id), Revision: revision}, platform.Expect{Key: openKey(id), Revision: open})
		if err == nil {
			b.adopt(ctx, id, ownership)
			return
		}
		b.applyConflict(id, err)
		klog.InfoS("batch: rewriting the owner key failed", "batch", id, "owner", revision, "err", err.Error())
		pause.For(ctx, claimStagger)
	}
	b.release(id)
}

// adopt loads a batch that this process owns from the store, and runs it.
func (b *Board) adopt(ctx context.Context, id string, ownership Ownership) {
	batch, listed, partials, err := b.load(ctx, id, nil)
	for err != nil && ctx.Err() == nil && b.ownsAt(id, ownership.Revision) {
		klog.InfoS("batch: loading from the store failed, retrying", "batch", id, "err", err.Error())
		pause.For(ctx, claimStagger)
		batch, listed, partials, err = b.load(ctx, id, partials)
	}
	if err == nil {
		b.awaitRoute(ctx, batch)
	}
	b.lock()
	defer b.mutex.Unlock()
	delete(b.claiming, id)
	if err != nil || ctx.Err() != nil || b.owned[id] != nil || !b.open[id] {
		return
	}
	if b.ownerRevisions[id] > ownership.Revision {
		// The owner key was rewritten, so the store rejects chunks that expect the former
		// revision.
		b.resume(id)
		return
	}
	if len(listed) == len(batch.GetItems()) && b.isPastRetention(batch) {
		klog.InfoS("batch: left in the store, since its outcomes are all listed and it is past its retention", "batch", id, "owner", ownership.Revision)
		b.unloaded[id] = true
		return
	}
	klog.InfoS("batch: taken over", "batch", id, "owner", ownership.Revision, "listed", len(listed), "partly", len(partials))
	b.recordOwner(id, ownership)
	delete(b.unowned, id)
	b.metrics.takeovers.Inc()
	b.start(Handover{Batch: batch, Ownership: ownership, Listed: listed, Partials: partials}, clock.Now())
}

// awaitRoute waits until a configuration is known. A process that has just started may see its
// batches before it has read the configuration.
func (b *Board) awaitRoute(ctx context.Context, batch *statepb.Batch) {
	for {
		if _, isKnown := b.Routes(batch); isKnown || !pause.For(ctx, claimPollInterval) {
			return
		}
	}
}

// openRevision returns the revision of the key that marks a batch as open; 0 until the watch has
// shown the key.
func (b *Board) openRevision(id string) uint64 {
	b.lock()
	defer b.mutex.Unlock()
	return b.openRevisions[id]
}

// applyConflict ends a batch if a rejected write that expected it to be open shows that it isn't.
func (b *Board) applyConflict(id string, err error) {
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) || !conflict.Lacks(openKey(id)) {
		return
	}
	klog.InfoS("batch: the store holds it as ended", "batch", id)
	b.lock()
	defer b.mutex.Unlock()
	b.applyOpen(id, platform.Value{Key: openKey(id), Deleted: true})
}

// ownsAt reports whether the batch is open and its owner key is not known to have changed since
// a revision.
func (b *Board) ownsAt(id string, revision uint64) bool {
	b.lock()
	defer b.mutex.Unlock()
	return b.ownerRevisions[id] <= revision && b.open[id]
}

// load fetches a batch, its listed outcomes and the partial texts of keepers in parallel, since
// each may be a megabyte. It does not fetch partial texts again that an earlier attempt returned,
// because no other process adds to them while this one owns the batch.
func (b *Board) load(ctx context.Context, id string, partials []*statepb.Partial) (*statepb.Batch, []*statepb.Outcome, []*statepb.Partial, error) {
	var batch *statepb.Batch
	var listed []*statepb.Outcome
	var batchErr, listedErr error
	var reading sync.WaitGroup
	reading.Go(func() { batch, batchErr = b.loadBatch(ctx, id) })
	reading.Go(func() { listed, listedErr = b.loadListed(ctx, id) })
	if len(partials) == 0 {
		reading.Go(func() { partials = b.Keeper.Fetch(ctx, id) })
	}
	reading.Wait()
	return batch, listed, partials, errors.Join(batchErr, listedErr)
}

func (b *Board) loadBatch(ctx context.Context, id string) (*statepb.Batch, error) {
	value, err := b.Store.Get(ctx, bulkKey(id))
	if err != nil {
		return nil, err
	}
	batch := &statepb.Batch{}
	return batch, unmarshal(value, batch)
}

func (b *Board) loadListed(ctx context.Context, id string) ([]*statepb.Outcome, error) {
	reply, err := b.Store.List(ctx, chunkPrefix(id))
	if err != nil {
		return nil, err
	}
	if len(reply.Unreadable) > 0 {
		return nil, &platform.UnavailableError{Operation: "read " + reply.Unreadable[0]}
	}
	// Keys sort chunks by their first position; pages of a list may come in any order.
	slices.SortFunc(reply.Values, func(a, b platform.Value) int { return strings.Compare(a.Key, b.Key) })
	var listed []*statepb.Outcome
	for _, value := range reply.Values {
		chunk := &statepb.Chunk{}
		if err := unmarshal(value, chunk); err != nil {
			return nil, err
		}
		if chunk.GetFirst() != uint64(len(listed)) {
			return nil, &platform.UnavailableError{Operation: "list " + chunkPrefix(id)}
		}
		listed = append(listed, chunk.GetOutcomes()...)
	}
	return listed, nil
}

func unmarshal(value platform.Value, message proto.Message) error {
	if err := proto.Unmarshal(value.Data, message); err != nil {
		return &platform.UnavailableError{Operation: "read " + value.Key, Cause: err}
	}
	return nil
}
