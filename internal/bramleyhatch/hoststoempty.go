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

// emptyHostInterval is the interval between checks for hosts to report as empty.
const emptyHostInterval = 200 * time.Millisecond

// hostsToEmpty holds the hosts with disks that operators ask to empty. Its zero value
// holds none. It is safe for concurrent use.
type hostsToEmpty struct {
	mutex sync.Mutex
	// pending maps each host to whether it still has to be reported as empty.
	pending map[string]bool
}

// apply updates the hosts from a change of the store's keys.
func (h *hostsToEmpty) apply(change store.Value) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.pending == nil {
		h.pending = map[string]bool{}
	}
	host := platform.RetiredHost(change.Key)
	if change.Deleted {
		delete(h.pending, host)
		return
	}
	if _, known := h.pending[host]; !known {
		klog.InfoS("keeper: an operator asked to empty a host", "host", host)
		h.pending[host] = true
	}
}

// pendingHosts returns the hosts that are not reported as empty yet.
func (h *hostsToEmpty) pendingHosts() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var hosts []string
	for host, isPending := range h.pending {
		if isPending {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (h *hostsToEmpty) markReported(host string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.pending[host] {
		h.pending[host] = false
	}
}

// has reports whether a host has to be emptied or has been reported as empty.
func (h *hostsToEmpty) has(host string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, known := h.pending[host]
	return known
}

// reportEmptyHosts reports hosts as empty until the term ends.
//
// A keeper holds nothing durable: batches and outcomes are in the store, and a
// lost text is generated again. Therefore nothing has to be moved first, and no
// gateway stores texts on a host that has to be emptied.
func (g *Gateway) reportEmptyHosts(ctx context.Context, term *duty.Term) error {
	for pause.For(ctx, emptyHostInterval) {
		for _, host := range g.hostsToEmpty.pendingHosts() {
			if !term.Valid(time.Now()) {
				return nil
			}
			commit, err := platform.RetiredCommit(host)
			if err != nil {
				return err
			}
			if _, err := g.store.Commit(ctx, commit); err != nil {
				klog.InfoS("keeper: cannot report a host as empty; retrying", "host", host, "err", err.Error())
				continue
			}
			g.Decisions.Record(host, "keeper", "reported as empty, term %d", term.Fence())
			g.hostsToEmpty.markReported(host)
		}
	}
	return nil
}
