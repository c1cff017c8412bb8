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
func (c *Collector) Collect(ctx context.Context, since, until int64) ([]*peerpb.Count, []string) {
	request := peerpb.CollectRequest_builder{Since: since, Until: until}.Build()
	processes := append(c.Directory.Processes(peerpb.Role_ROLE_ENTRY), c.Directory.Processes(peerpb.Role_ROLE_SIDECAR)...)
	merged := &Ledger{}
	var mutex sync.Mutex
	var silent []string
	var asking sync.WaitGroup
	places := make(chan struct{}, maxAsked)
	for _, process := range processes {
		places <- struct{}{}
		asking.Go(func() {
			defer func() { <-places }()
			counts, err := c.Peers.Collect(ctx, process, request)
			if err != nil {
				mutex.Lock()
				defer mutex.Unlock()
				silent = append(silent, process.GetName())
				return
			}
			merged.Merge(counts)
		})
	}
	asking.Wait()
	return merged.Counts(since, until), silent
}
