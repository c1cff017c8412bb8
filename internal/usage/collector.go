package usage

import (
	"context"
	"sync"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// maxAsked bounds the processes that a Collector asks at the same time.
const maxAsked = 32

// Collector gathers counters from all processes.
type Collector struct {
	Directory Directory
	Peers     Peers
}

// Collect returns the merged counters of the windows that start at or after
// since and before until, and the names of the processes that gave no answer.
//
// Sidecars are asked first. A sidecar's own counters are never behind a copy,
// so the entries are asked only for those of incarnations that did not answer.
func (c *Collector) Collect(ctx context.Context, since, until int64) ([]*peerpb.Count, []string) {
	run := &collection{peers: c.Peers, merged: &Ledger{}}
	request := peerpb.CollectRequest_builder{Since: since, Until: until}
	run.ask(ctx, c.Directory.Processes(peerpb.Role_ROLE_SIDECAR), request.Build())
	request.Except = run.counted
	run.ask(ctx, c.Directory.Processes(peerpb.Role_ROLE_ENTRY), request.Build())
	return run.merged.Counts(since, until), run.silent
}

// collection is one round of questions.
type collection struct {
	peers  Peers
	merged *Ledger

	mutex   sync.Mutex
	counted []uint64
	silent  []string
}

// ask asks processes and returns once all have answered or failed to.
func (c *collection) ask(ctx context.Context, processes []*peerpb.Process, request *peerpb.CollectRequest) {
	var asking sync.WaitGroup
	places := make(chan struct{}, maxAsked)
	for _, process := range processes {
		places <- struct{}{}
		asking.Go(func() {
			defer func() { <-places }()
			reply, err := c.peers.Collect(ctx, process, request)
			c.take(process, reply, err)
		})
	}
	asking.Wait()
}

func (c *collection) take(process *peerpb.Process, reply *peerpb.CollectReply, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		c.silent = append(c.silent, process.GetName())
		return
	}
	if reply.GetCounted() != 0 {
		c.counted = append(c.counted, reply.GetCounted())
	}
	c.merged.Merge(reply.GetCounts())
}
