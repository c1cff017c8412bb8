package usage

import (
	"context"
	"sync"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// maxConcurrentCollects limits the concurrent requests of a Collector.
const maxConcurrentCollects = 32

// Collector gathers counters from all processes.
type Collector struct {
	Directory Directory
	Peers     Peers
}

// Collect returns the merged counters of the windows that start in [since, until)
// and the names of the processes that did not answer.
//
// Collect queries the sidecars first. A sidecar's own counters are at least as recent
// as any copy, so entries return only the counters of incarnations that did not answer.
func (c *Collector) Collect(ctx context.Context, since, until int64) ([]*peerpb.Count, []string) {
	run := &collection{peers: c.Peers, merged: &Ledger{}}
	request := peerpb.CollectRequest_builder{Since: since, Until: until}
	run.query(ctx, c.Directory.Processes(peerpb.Role_ROLE_SIDECAR), request.Build())
	request.Except = run.answered
	run.query(ctx, c.Directory.Processes(peerpb.Role_ROLE_ENTRY), request.Build())
	return run.merged.Counts(since, until), run.unreachable
}

// collection is the state of one Collect call.
type collection struct {
	peers  Peers
	merged *Ledger

	mutex       sync.Mutex
	answered    []uint64
	unreachable []string
}

// query requests the counters of processes and waits until every request has ended.
func (c *collection) query(ctx context.Context, processes []*peerpb.Process, request *peerpb.CollectRequest) {
	var requests sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCollects)
	for _, process := range processes {
		slots <- struct{}{}
		requests.Go(func() {
			defer func() { <-slots }()
			reply, err := c.peers.Collect(ctx, process, request)
			c.record(process, reply, err)
		})
	}
	requests.Wait()
}

func (c *collection) record(process *peerpb.Process, reply *peerpb.CollectReply, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		c.unreachable = append(c.unreachable, process.GetName())
		return
	}
	if reply.GetCounted() != 0 {
		c.answered = append(c.answered, reply.GetCounted())
	}
	c.merged.Merge(reply.GetCounts())
}
