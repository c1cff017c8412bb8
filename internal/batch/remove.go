package batch

import (
	"context"
	"slices"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// maxCommitKeys bounds the keys that one commit removes: fewer than the entries that the store
// takes at once.
const maxCommitKeys = 30

// expired returns the batches that are past their retention and that this process must remove
// from the store: its own, and those without an owner for which it is the first candidate. A
// batch that its trainer never ended counts too: its items were given up long before.
//
// The batches of a process that has exited are left to the other processes. If none of them
// removed these batches, the store would grow by the batches of each process's last minutes.
func (b *Board) expired(now clock.Boot) []string {
	b.lock()
	defer b.mutex.Unlock()
	var ids []string
	for id, owned := range b.owned {
		if now.Sub(owned.acceptedAt) > b.Retention && b.owners[id] == b.Process {
			ids = append(ids, id)
		}
	}
	for id, since := range b.stored {
		if now.Sub(since) > b.Retention && b.owners[id] == "" && !b.open[id] && duty.Position(b.Process, b.Candidates(id)) == 0 {
			ids = append(ids, id)
		}
	}
	ids = slices.DeleteFunc(ids, func(id string) bool { return b.removing[id] })
	for _, id := range ids {
		b.removing[id] = true
		klog.InfoS("batch: removing a batch past its retention", "batch", id, "owner", b.owners[id], "open", b.open[id], "ended", b.ended[id], "running", b.owned[id] != nil)
	}
	return ids
}

// remove deletes a batch from the store, its outcomes first: while the key of the batch exists,
// readers find the batch and a second attempt completes the removal.
func (b *Board) remove(ctx context.Context, id string) {
	err := b.removeKeys(ctx, id)
	b.lock()
	defer b.mutex.Unlock()
	delete(b.removing, id)
	if err != nil {
		klog.InfoS("batch: removal failed, retrying", "batch", id, "err", err.Error())
		return
	}
	klog.InfoS("batch: removed", "batch", id)
	if owned := b.owned[id]; owned != nil {
		owned.cancel()
	}
	delete(b.owned, id)
	delete(b.owners, id)
	delete(b.ownerRevisions, id)
	delete(b.stored, id)
	delete(b.accounts, id)
	delete(b.ended, id)
}

func (b *Board) removeKeys(ctx context.Context, id string) error {
	reply, err := b.Store.List(ctx, chunkPrefix(id))
	if err != nil {
		return err
	}
	var keys []string
	for _, value := range reply.Values {
		keys = append(keys, value.Key)
	}
	for len(keys) > maxCommitKeys {
		if _, err := b.Store.Commit(ctx, platform.Commit{Remove: keys[:maxCommitKeys]}); err != nil {
			return err
		}
		keys = keys[maxCommitKeys:]
	}
	if len(keys) > 0 {
		if _, err := b.Store.Commit(ctx, platform.Commit{Remove: keys}); err != nil {
			return err
		}
	}
	_, err = b.Store.Commit(ctx, platform.Commit{Remove: []string{bulkKey(id), openKey(id), ownerKey(id), storedKey(id)}})
	return err
}
