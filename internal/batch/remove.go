package batch

import (
	"context"
	"slices"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// commitKeys is the most keys that one commit removes: less than the entries
// that the store takes at once.
const commitKeys = 30

// outdated returns the batches that nobody reads any more and that this process
// is to take out of the store: its own, and those without an owner of which it is
// the first candidate. One that its trainer never ended counts too: its items
// were given up long before.
//
// An owner takes out what it owned, unless it has ended before. Left alone, the
// store would grow by what each process owned in the last minutes before its end.
func (b *Board) outdated(now clock.Boot) []string {
	b.lock()
	defer b.mutex.Unlock()
	var ids []string
	for id, held := range b.held {
		if now.Sub(held.accepted) > b.Retention && b.owners[id] == b.Process {
			ids = append(ids, id)
		}
	}
	for id, since := range b.stored {
		if now.Sub(since) > b.Retention && b.owners[id] == "" && !b.open[id] && duty.Place(b.Process, b.Candidates(id)) == 0 {
			ids = append(ids, id)
		}
	}
	ids = slices.DeleteFunc(ids, func(id string) bool { return b.removing[id] })
	for _, id := range ids {
		b.removing[id] = true
	}
	return ids
}

// remove takes a batch out of the store, its texts first: as long as its own
// key is there, a reader finds it and a second try finishes the removal.
func (b *Board) remove(ctx context.Context, id string) {
	err := b.removeKeys(ctx, id)
	b.lock()
	defer b.mutex.Unlock()
	delete(b.removing, id)
	if err != nil {
		klog.InfoS("batch: not removed, tried again", "batch", id, "err", err.Error())
		return
	}
	klog.InfoS("batch: removed", "batch", id)
	if held := b.held[id]; held != nil {
		held.cancel()
	}
	delete(b.held, id)
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
	_, err = b.Store.Commit(ctx, platform.Commit{Remove: []string{bulkKey(id), openKey(id), ownerKey(id), storedKey(id)}})
	return err
}
