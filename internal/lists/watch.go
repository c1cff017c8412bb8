package lists

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	watchWait  = 5 * time.Second
	watchPause = 500 * time.Millisecond
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
}

// Run watches until the context ends. Each round lists too, since a watch can
// go silent without an error.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		reply, err := w.Store.List(ctx, w.Prefix)
		if err == nil {
			w.offer(reply)
			reply, err = w.Store.Watch(ctx, w.Prefix, reply.Revision, watchWait)
		}
		if err != nil {
			klog.V(1).Infof("lists: %v", err)
			pause(ctx, watchPause)
			continue
		}
		w.offer(reply)
	}
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

// pause waits and reports whether the context is still open.
func pause(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
