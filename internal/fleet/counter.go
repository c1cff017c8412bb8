package fleet

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// CountPlatform is told how many servers a zone is to have of a pool.
type CountPlatform interface {
	// SetServerCount orders a number under a term's fencing number. The guard is asked as
	// the last thing before the order goes out. A *platform.ConflictError says that
	// a newer holder has sent orders.
	SetServerCount(ctx context.Context, count Count, fence uint64, guard func() error) error
}

// Counter keeps pools at their size while this process is in charge, where the
// platform starts and stops servers by number. Exported fields are set before Run.
type Counter struct {
	Platform CountPlatform
	// Pools returns the pools as they are now.
	Pools     func(ctx context.Context) []CountedPool
	Decisions *decision.Log
	// Target and Slack are those of a Sizer.
	Target float64
	Slack  float64
	// Interval is the time between two rounds.
	Interval time.Duration
	// Lease is the length of the duty's lease, Bound the longest time that an order
	// may be under way.
	Lease time.Duration
	Bound time.Duration
	// Fenced says that the platform refuses orders with an old fencing number.
	Fenced bool
}

// Run does the duty until its term ends. Where the platform checks no fencing
// number, the first order waits until none of an earlier term can be under way.
func (c *Counter) Run(ctx context.Context, term Term) error {
	if !c.Fenced && !pause.For(ctx, c.Lease+c.Bound) {
		return nil
	}
	numbers := &CountPlanner{Target: c.Target, Slack: c.Slack}
	for {
		for _, pool := range c.Pools(ctx) {
			if err := c.order(ctx, term, numbers, pool); err != nil {
				return err
			}
		}
		if !pause.For(ctx, c.Interval) {
			return nil
		}
	}
}

// order sends what is due for a pool. An error says that the term is over.
func (c *Counter) order(ctx context.Context, term Term, numbers *CountPlanner, pool CountedPool) error {
	for _, count := range numbers.Due(time.Now(), pool) {
		err := c.send(ctx, term, count)
		c.Decisions.Record(count.Pool, "order", "zone %s is to have %d servers, has %d; running %.1f, waiting %.1f, slots %.0f; term %d (%v)",
			count.Zone, count.Servers, pool.Present[count.Zone], pool.Need.Running, pool.Need.Queued, pool.Need.Slots, term.Fence(), err)
		var conflict *platform.ConflictError
		var ended *TermEndedError
		if errors.As(err, &conflict) || errors.As(err, &ended) {
			return err
		}
		if err != nil {
			klog.InfoS("order: not known whether a number was taken", "pool", count.Pool, "zone", count.Zone, "servers", count.Servers, "err", err.Error())
		}
		numbers.RecordSent(time.Now(), count, err == nil)
	}
	return nil
}

func (c *Counter) send(ctx context.Context, term Term, count Count) error {
	ctx, cancel := context.WithTimeout(ctx, c.Bound)
	defer cancel()
	guard := func() error {
		if !term.Valid(time.Now()) {
			return &TermEndedError{Zone: count.Zone, Fence: term.Fence()}
		}
		return nil
	}
	return c.Platform.SetServerCount(ctx, count, term.Fence(), guard)
}
