package lists

import (
	"cmp"
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	watchWait  = 5 * time.Second
	watchPause = 500 * time.Millisecond
	idlePause  = time.Second
)

// Store is what a Watcher needs of the platform.
type Store interface {
	List(ctx context.Context, prefix string) (platform.ListReply, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (platform.ListReply, error)
}

// Watcher brings values of the store to the other processes as facts.
// Exported fields are set before Run.
type Watcher struct {
	Store Store
	// Prefix of the keys; a key is also the name of its fact.
	Prefix string
	// Offer takes a fact.
	Offer func(*peerpb.Fact) bool
	// InCharge reports whether this process should watch now: a few entries of
	// each zone do, so that the store's calls don't grow with the processes.
	// nil always watches.
	InCharge func() bool
	// Wait is the longest wait of one watch; 0 is 5 s.
	Wait time.Duration
}

// Run watches until the context ends.
//
// A watch can go silent without an error: the lists would stay as they are
// until the next restart, and nobody would notice. So each watch has an end
// and the values are listed before the next one. While the store is away the
// watcher goes on trying.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if w.InCharge != nil && !w.InCharge() {
			pause.For(ctx, min(idlePause, cmp.Or(w.Wait, watchWait)))
			continue
		}
		if err := w.round(ctx); err != nil {
			klog.V(1).Infof("lists: watch %s: %v", w.Prefix, err)
			pause.For(ctx, jitter(watchPause))
		}
	}
	return nil
}

func (w *Watcher) round(ctx context.Context) error {
	reply, err := w.Store.List(ctx, w.Prefix)
	if err != nil {
		return err
	}
	w.offer(reply)
	reply, err = w.Store.Watch(ctx, w.Prefix, reply.Revision, cmp.Or(w.Wait, watchWait))
	if err != nil {
		return err
	}
	w.offer(reply)
	return nil
}

func (w *Watcher) offer(reply platform.ListReply) {
	for _, value := range reply.Values {
		if value.Deleted {
			continue
		}
		w.Offer(peerpb.Fact_builder{Name: value.Key, Revision: value.Revision, Value: value.Data}.Build())
	}
}
