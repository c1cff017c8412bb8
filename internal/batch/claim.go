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
	for id, free := range b.unowned {
		if b.claiming[id] || !b.open[id] {
			continue
		}
		if now.Sub(free.since) >= b.turn(id, free.last) {
			b.claiming[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// turn returns how long after a batch has lost its owner this process may claim
// it. The mutex is held.
//
// The last owner comes first: it may live and have lost its lease while the store
// was away, and it has all that came of the batch. Only where it has said that it
// leaves, nobody waits for it.
func (b *Board) turn(id, last string) time.Duration {
	if b.held[id] != nil {
		return 0
	}
	wait := time.Duration(duty.Place(b.Process, b.Candidates(id))) * claimStep
	if b.IsLeaving(last) {
		return wait
	}
	return ownerHead + wait
}

// claim makes this process the owner of a batch that has none.
func (b *Board) claim(ctx context.Context, id string) {
	b.lock()
	known := b.held[id]
	b.mutex.Unlock()
	title, err := b.writeOwner(ctx, id, unclaimed(id, known)...)
	var conflict *platform.ConflictError
	if known != nil && errors.As(err, &conflict) && hasChunk(conflict, id) {
		klog.InfoS("batch: listed further by another owner meanwhile", "batch", id)
		b.leave(id, known)
	}
	if err != nil {
		klog.InfoS("batch: not claimed", "batch", id, "err", err.Error())
		pause.For(ctx, claimStep)
		b.release(id)
		return
	}
	if known != nil {
		klog.InfoS("batch: claimed again", "batch", id, "owner", title.Revision)
		known.ledger.reclaimed(title)
		b.lock()
		b.endEarly(known)
		delete(b.claiming, id)
		delete(b.unowned, id)
		b.mutex.Unlock()
		return
	}
	b.adopt(ctx, id, title)
}

// unclaimed returns what a claim expects: that the batch has no owner, and where
// this process holds it from before, that nobody has listed more of it since.
//
// Between two claims of one process another one may have owned the batch, listed
// some of it and died, all while this one saw nothing of the store. Claimed by the
// first condition alone, its own places would stand where others were read.
func unclaimed(id string, known *held) []platform.Expect {
	expect := []platform.Expect{{Key: ownerKey(id)}}
	if known != nil {
		expect = append(expect, platform.Expect{Key: chunkKey(id, known.ledger.next())})
	}
	return expect
}

func hasChunk(conflict *platform.ConflictError, id string) bool {
	return slices.ContainsFunc(conflict.Current, func(value platform.Value) bool {
		return value.Revision != 0 && strings.HasPrefix(value.Key, chunkPrefix(id))
	})
}

// leave stops a batch here; what came of its texts is kept for when it is read again.
func (b *Board) leave(id string, known *held) {
	known.cancel()
	<-known.stopped
	known.mutex.Lock()
	b.leftovers.add(known.plan.Texts())
	known.mutex.Unlock()
	b.lock()
	defer b.mutex.Unlock()
	if b.held[id] == known {
		delete(b.held, id)
	}
}

// readAgain goes on with a batch of this process from what the store holds of it.
func (b *Board) readAgain(id string, known *held) {
	b.leave(id, known)
	b.lock()
	defer b.mutex.Unlock()
	b.resume(id)
}

// writeOwner makes this process the owner of a batch if the store is as expected.
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

// takeBack writes the owner's key of a batch that this process owns anew, then reads
// and runs the batch.
//
// The former process of this name, or an earlier try of this one, may have a chunk
// under way that the store does after the batch was read here: it would be shown to
// some readers and not to others, and no chunk of this process would fit behind it.
// Such a write expects the former revision of the key. The new one ends with this
// process's lease besides, and not with that of the former.
func (b *Board) takeBack(ctx context.Context, id string, revision uint64) {
	for ctx.Err() == nil && b.ownsAt(id, revision) {
		if b.Lease() == 0 {
			pause.For(ctx, leaseLook)
			continue
		}
		title, err := b.writeOwner(ctx, id, platform.Expect{Key: ownerKey(id), Revision: revision})
		if err == nil {
			b.adopt(ctx, id, title)
			return
		}
		klog.InfoS("batch: not taken back", "batch", id, "owner", revision, "err", err.Error())
		pause.For(ctx, claimStep)
	}
	b.release(id)
}

// adopt reads a batch that this process owns from the store, and runs it.
func (b *Board) adopt(ctx context.Context, id string, title Ownership) {
	batch, listed, partials, err := b.load(ctx, id, nil)
	for err != nil && ctx.Err() == nil && b.ownsAt(id, title.Revision) {
		klog.InfoS("batch: not read", "batch", id, "err", err.Error())
		pause.For(ctx, claimStep)
		batch, listed, partials, err = b.load(ctx, id, partials)
	}
	if err == nil {
		b.awaitRoute(ctx, batch)
	}
	b.lock()
	defer b.mutex.Unlock()
	delete(b.claiming, id)
	if err != nil || ctx.Err() != nil || b.held[id] != nil || !b.open[id] {
		return
	}
	if b.ownerRevisions[id] > title.Revision {
		// The owner's key was written again, so chunks under this title fit no more.
		b.resume(id)
		return
	}
	klog.InfoS("batch: taken over", "batch", id, "owner", title.Revision, "listed", len(listed), "partly", len(partials))
	delete(b.unowned, id)
	b.metrics.taken.Inc()
	b.start(Handover{Batch: batch, Owner: title, Listed: listed, Partials: partials}, clock.Now())
}

// awaitRoute waits until a configuration is known. A process that has just
// started may know of its batches before it knows of their route.
func (b *Board) awaitRoute(ctx context.Context, batch *statepb.Batch) {
	for {
		if _, known := b.Routes(batch); known || !pause.For(ctx, claimLook) {
			return
		}
	}
}

// ownsAt reports whether this process is still the owner that it became at a revision.
func (b *Board) ownsAt(id string, revision uint64) bool {
	b.lock()
	defer b.mutex.Unlock()
	return b.ownerRevisions[id] <= revision && b.open[id]
}

// load reads a batch, what of it is listed and what keepers have, all at the same
// time: each may be a megabyte. Texts that an earlier try has brought are not
// fetched again; nobody adds to them while the batch has no other owner.
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
	// The keys order chunks by their first place; pages of a list need not come in order.
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
