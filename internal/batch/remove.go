package batch

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// commitKeys is the most keys that one commit removes: less than the entries
// that the store takes at once.
const commitKeys = 30

// outdated returns the batches of this process that nobody reads any more. One
// that its trainer never ended counts too: its items were given up long before.
func (b *Board) outdated(now clock.Boot) []string {
	b.lock()
	defer b.mutex.Unlock()
	var ids []string
	for id, held := range b.held {
		if now.Sub(held.accepted) > b.Keep && !held.removing && b.owners[id] == b.Process {
			held.removing = true
			ids = append(ids, id)
		}
	}
	return ids
}

// remove takes a batch out of the store, its texts first: as long as its own
// key is there, a reader finds it and a second try finishes the removal.
func (b *Board) remove(ctx context.Context, id string) {
	if err := b.removeKeys(ctx, id); err != nil {
		klog.InfoS("batch: not removed, tried again", "batch", id, "err", err.Error())
		b.lock()
		if held := b.held[id]; held != nil {
			held.removing = false
		}
		b.mutex.Unlock()
		return
	}
	klog.InfoS("batch: removed", "batch", id)
	b.lock()
	defer b.mutex.Unlock()
	if held := b.held[id]; held != nil {
		held.cancel()
	}
	delete(b.held, id)
	delete(b.owners, id)
	delete(b.ownerRevisions, id)
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
	for len(keys) > commitKeys {
		if _, err := b.Store.Commit(ctx, platform.Commit{Remove: keys[:commitKeys]}); err != nil {
			return err
		}
		keys = keys[commitKeys:]
	}
	if len(keys) > 0 {
		if _, err := b.Store.Commit(ctx, platform.Commit{Remove: keys}); err != nil {
			return err
		}
	}
	_, err = b.Store.Commit(ctx, platform.Commit{Remove: []string{bulkKey(id), openKey(id), ownerKey(id)}})
	return err
}
