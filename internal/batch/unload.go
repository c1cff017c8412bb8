package batch

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// unloadComplete frees the memory of open batches that are past their retention and whose outcomes
// are all listed. Readers get them from the store.
//
// A trainer that has failed never ends its batch. With all these batches in memory, a small host would
// exceed its memory limit.
func (b *Board) unloadComplete(now clock.Boot) {
	b.lock()
	defer b.mutex.Unlock()
	for id, owned := range b.owned {
		since := b.stored[id]
		if !b.open[id] || since == 0 || now.Sub(since) <= b.Retention || owned.ledger.nextPosition() < owned.total {
			continue
		}
		klog.InfoS("batch: unloaded an open batch whose outcomes are all listed", "batch", id, "account", owned.batch.GetAccount(), "seenFor", now.Sub(since))
		b.unloaded[id] = true
		owned.cancel()
		delete(b.owned, id)
		b.startTask(func() { b.Keeper.Drop(b.ctx, id) })
	}
}

// isPastRetention reports whether a batch is past its retention by the clock of the host that accepted it.
func (b *Board) isPastRetention(batch *statepb.Batch) bool {
	return time.Since(time.UnixMilli(batch.GetAccepted())) > b.Retention
}
