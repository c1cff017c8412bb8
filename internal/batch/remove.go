package batch

import (
	"context"
	"errors"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// maxCommitKeys bounds the keys that one commit removes: fewer than the entries that the store
	// takes at once.
	maxCommitKeys = 30
	// endedRetention is how long a batch can be read after its end, also if it is past its retention by
	// then: a trainer that got no answer ends its batch again, and other clients may still be reading.
	endedRetention = 30 * time.Second
)

// expired returns the batches that are past their retention and that this process must remove
// from the store: its own, and those without an owner for which it is the first candidate.
//
// A batch that is open is never removed, however old it is: its trainer still waits for it. The
// number of open batches is bounded when batches are accepted.
//
// The batches of a process that has exited are left to the other processes. If none of them
// removed these batches, the store would grow by the batches of each process's last minutes.
func (b *Board) expired(now clock.Boot) []string {
	b.lock()
	defer b.mutex.Unlock()
	var ids []string
	for id, since := range b.stored {
		if b.open[id] || b.removing[id] || now.Sub(since) <= b.Retention || now.Sub(b.ended[id]) <= endedRetention {
			continue
		}
		if owner := b.owners[id]; owner != b.Process && (owner != "" || duty.Position(b.Process, b.Candidates(id)) != 0) {
			continue
		}
		b.removing[id] = true
		ids = append(ids, id)
	}
	return ids
}

// remove deletes an ended batch from the store, its outcomes first: while the key of the batch
// exists, readers find the batch and a second attempt completes the removal.
func (b *Board) remove(ctx context.Context, id string) {
	err := b.removeKeys(ctx, id)
	b.lock()
	defer b.mutex.Unlock()
	delete(b.removing, id)
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		klog.InfoS("batch: not removed because the store holds it as open", "batch", id)
		b.applyStillOpen(id, conflict)
	case err != nil:
		klog.InfoS("batch: removal failed, retrying", "batch", id, "err", err.Error())
	default:
		klog.InfoS("batch: removed, since it has ended and is past its retention", "batch", id, "owner", b.owners[id], "seenFor", clock.Now().Sub(b.stored[id]), "endSeen", b.ended[id] != 0)
		delete(b.owners, id)
		b.forget(id)
	}
}

// applyStillOpen records that a batch is open, by a rejected write that expected that it isn't. The
// mutex must be held.
func (b *Board) applyStillOpen(id string, conflict *platform.ConflictError) {
	if open, exists := conflict.Find(openKey(id)); exists {
		delete(b.ended, id)
		b.applyOpen(id, open)
		b.unshown[openKey(id)] = open.Revision
	}
}

// forget removes from memory a batch of which the store holds no key. The mutex must be held.
func (b *Board) forget(id string) {
	if owned := b.owned[id]; owned != nil {
		owned.cancel()
		delete(b.owned, id)
	}
	delete(b.ownerRevisions, id)
	delete(b.stored, id)
	delete(b.accounts, id)
	delete(b.ended, id)
	delete(b.unshown, openKey(id))
	delete(b.unshown, ownerKey(id))
}

// removeKeys removes the keys of a batch that the store holds as ended.
//
// This process may not have heard of a batch that is open, and the store may execute a removal after
// the same batch was accepted anew. So the store checks each commit.
func (b *Board) removeKeys(ctx context.Context, id string) error {
	reply, err := b.Store.List(ctx, chunkPrefix(id))
	if err != nil {
		return err
	}
	keys := reply.Unreadable
	for _, value := range reply.Values {
		keys = append(keys, value.Key)
	}
	hasEnded := []platform.Expect{{Key: openKey(id)}}
	for chunk := range slices.Chunk(keys, maxCommitKeys) {
		if _, err := b.Store.Commit(ctx, platform.Commit{Expect: hasEnded, Remove: chunk}); err != nil {
			return err
		}
	}
	_, err = b.Store.Commit(ctx, platform.Commit{Expect: hasEnded, Remove: []string{bulkKey(id), ownerKey(id), storedKey(id)}})
	return err
}
