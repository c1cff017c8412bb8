package bramleyhatch

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	store "github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/platform"
)

// retireInterval is the time between two looks at hosts that are to be emptied.
const retireInterval = 200 * time.Millisecond

// retirements holds the hosts with disks that operators want emptied. Its zero
// value holds none. It is safe for concurrent use.
type retirements struct {
	mutex sync.Mutex
	open  map[string]bool
}

// take takes a change of the store's keys.
func (r *retirements) take(change store.Value) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.open == nil {
		r.open = map[string]bool{}
	}
	host := platform.RetiredHost(change.Key)
	if change.Deleted {
		delete(r.open, host)
		return
	}
	if _, known := r.open[host]; !known {
		klog.InfoS("keeper: an operator wants a host emptied", "host", host)
		r.open[host] = true
	}
}

// wanted returns the hosts that are not reported as empty yet.
func (r *retirements) wanted() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var hosts []string
	for host, isOpen := range r.open {
		if isOpen {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (r *retirements) done(host string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.open[host] {
		r.open[host] = false
	}
}

// has reports whether a host is to be emptied, or is empty already.
func (r *retirements) has(host string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, known := r.open[host]
	return known
}

// retire reports hosts as empty until the term ends.
//
// A keeper holds nothing that must last: batches and outcomes are in the store,
// and a text that is lost is made again. So nothing has to be moved first; from
// its retirement on no gateway gives texts to it.
func (g *Gateway) retire(ctx context.Context, term *duty.Term) error {
	for pause.For(ctx, retireInterval) {
		for _, host := range g.retirements.wanted() {
			if !term.Valid(time.Now()) {
				return nil
			}
			commit, err := platform.RetiredCommit(host)
			if err != nil {
				return err
			}
			if _, err := g.store.Commit(ctx, commit); err != nil {
				klog.InfoS("keeper: not reported as empty", "host", host, "err", err.Error())
				continue
			}
			g.Decisions.Record(host, "keeper", "reported as empty, term %d", term.Fence())
			g.retirements.done(host)
		}
	}
	return nil
}
