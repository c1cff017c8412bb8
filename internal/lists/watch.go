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
	defaultWait   = 5 * time.Second
	retryInterval = 500 * time.Millisecond
	idleInterval  = time.Second
)

// Store is the part of the platform's store that a Watcher uses.
type Store interface {
	List(ctx context.Context, prefix string) (platform.ListReply, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (platform.ListReply, error)
}

// Watcher publishes values of the store to the other processes as facts.
// Exported fields are set before Run.
type Watcher struct {
	Store Store
	// Prefix is the prefix of the keys to watch; the key of a value is also the name of its fact.
	Prefix string
	// Offer publishes a fact.
	Offer func(*peerpb.Fact) bool
	// IsResponsible reports whether this process must watch now: only a few entries of each zone
	// watch, so that the load on the store doesn't grow with the number of processes. nil means
	// always.
	IsResponsible func() bool
	// Wait bounds the duration of one watch; 0 means 5 s.
	Wait time.Duration
}

// Run watches until the context ends.
//
// A watch can stop sending changes without an error: the lists would be outdated until the next
// restart. So each watch has a timeout, and the values are listed before the next watch. During a
// store outage the watcher keeps retrying.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if w.IsResponsible != nil && !w.IsResponsible() {
			pause.For(ctx, min(idleInterval, cmp.Or(w.Wait, defaultWait)))
			continue
		}
		if err := w.listAndWatch(ctx); err != nil {
			klog.V(1).Infof("lists: watching %s failed: %v", w.Prefix, err)
			pause.For(ctx, jitter(retryInterval))
		}
	}
	return nil
}

func (w *Watcher) listAndWatch(ctx context.Context) error {
	reply, err := w.Store.List(ctx, w.Prefix)
	if err != nil {
		return err
	}
	w.offerAll(reply)
	reply, err = w.Store.Watch(ctx, w.Prefix, reply.Revision, cmp.Or(w.Wait, defaultWait))
	if err != nil {
		return err
	}
	w.offerAll(reply)
	return nil
}

func (w *Watcher) offerAll(reply platform.ListReply) {
	for _, value := range reply.Values {
		if value.Deleted {
			continue
		}
		w.Offer(peerpb.Fact_builder{Name: value.Key, Revision: value.Revision, Value: value.Data}.Build())
	}
}
