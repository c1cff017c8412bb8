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

// retireInterval is the interval of checks for hosts that are to be reported as empty.
const retireInterval = 200 * time.Millisecond

// retirements holds the hosts with disks that operators retire. Its zero value holds
// none. It is safe for concurrent use.
type retirements struct {
	mutex   sync.Mutex
	pending map[string]bool
}

// apply applies a change of the store's keys.
func (r *retirements) apply(change store.Value) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.pending == nil {
		r.pending = map[string]bool{}
	}
	host := platform.RetiredHost(change.Key)
	if change.Deleted {
		delete(r.pending, host)
		return
	}
	if _, known := r.pending[host]; !known {
		klog.InfoS("keeper: an operator asked to empty a host", "host", host)
		r.pending[host] = true
	}
}

// pendingHosts returns the hosts that are not reported as empty yet.
func (r *retirements) pendingHosts() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var hosts []string
	for host, isPending := range r.pending {
		if isPending {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (r *retirements) markReported(host string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.pending[host] {
		r.pending[host] = false
	}
}

// has reports whether a host is to be emptied, or already reported as empty.
func (r *retirements) has(host string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, known := r.pending[host]
	return known
}

// reportRetired reports hosts as empty until the term ends.
//
// A keeper holds nothing durable: batches and outcomes are in the store, and a lost
// text is generated again. So nothing has to be moved first; once a host is retired,
// no gateway stores texts on it.
func (g *Gateway) reportRetired(ctx context.Context, term *duty.Term) error {
	for pause.For(ctx, retireInterval) {
		for _, host := range g.retirements.pendingHosts() {
			if !term.Valid(time.Now()) {
				return nil
			}
			commit, err := platform.RetiredCommit(host)
			if err != nil {
				return err
			}
			if _, err := g.store.Commit(ctx, commit); err != nil {
				klog.InfoS("keeper: cannot report a host as empty, retrying", "host", host, "err", err.Error())
				continue
			}
			g.Decisions.Record(host, "keeper", "reported as empty, term %d", term.Fence())
			g.retirements.markReported(host)
		}
	}
	return nil
}
