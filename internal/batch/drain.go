package batch

import (
	"context"
	"sync"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
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
	var group sync.WaitGroup
	for id, held := range batches {
		group.Go(func() { b.handOver(ctx, id, held) })
	}
	group.Wait()
}

func (b *Board) handOver(ctx context.Context, id string, held *held) {
	ctx, cancel := context.WithTimeout(ctx, handoverTime)
	defer cancel()
	held.cancel()
	select {
	case <-held.stopped:
	case <-ctx.Done():
	}
	held.keepOnce(ctx)
	held.ledger.mutex.Lock()
	revision := held.ledger.owner
	held.ledger.mutex.Unlock()
	_, err := b.Store.Commit(ctx, platform.Commit{
		Expect: []platform.Expect{{Key: ownerKey(id), Revision: revision}},
		Remove: []string{ownerKey(id)},
	})
	klog.InfoS("batch: handed over", "batch", id, "err", err)
}
