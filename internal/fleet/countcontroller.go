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

// CountPlatform is a platform that starts and stops servers to match a number per pool and zone.
type CountPlatform interface {
	// SetServerCount orders a number of servers with a term's fencing token. It calls guard
	// immediately before sending the order, and returns a *platform.ConflictError if a newer holder
	// has sent orders.
	SetServerCount(ctx context.Context, count Count, fence uint64, guard func() error) error
}

// CountController keeps pools at their target size while this process holds the duty, on platforms
// that start and stop servers by number. Exported fields are set before Run.
type CountController struct {
	Platform CountPlatform
	// Pools returns the current pools.
	Pools     func(ctx context.Context) []CountedPool
	Decisions *decision.Log
	// Target and Slack are passed to each pool's Sizer.
	Target float64
	Slack  float64
	// Interval is the time between rounds.
	Interval time.Duration
	// Lease is the length of the duty's lease; OrderTimeout is the maximum time that an order may
	// be in flight.
	Lease        time.Duration
	OrderTimeout time.Duration
	// Fenced is true if the platform rejects orders with an old fencing token.
	Fenced bool
}

// Run performs the duty until its term ends. If the platform doesn't check fencing tokens, the
// first order waits until no order of an earlier term can be in flight.
func (c *CountController) Run(ctx context.Context, term Term) error {
	if !c.Fenced && !pause.For(ctx, c.Lease+c.OrderTimeout) {
		return nil
	}
	planner := &CountPlanner{Target: c.Target, Slack: c.Slack}
	for {
		for _, pool := range c.Pools(ctx) {
			if err := c.order(ctx, term, planner, pool); err != nil {
				return err
			}
		}
		if !pause.For(ctx, c.Interval) {
			return nil
		}
	}
}

// order sends the orders due for a pool. An error means that the term has ended.
func (c *CountController) order(ctx context.Context, term Term, planner *CountPlanner, pool CountedPool) error {
	for _, count := range planner.Due(time.Now(), pool) {
		err := c.send(ctx, term, count)
		c.Decisions.Record(count.Pool, "order", "zone %s is to have %d servers, has %d; running %.1f, waiting %.1f, slots %.0f; term %d (%v)",
			count.Zone, count.Servers, pool.Present[count.Zone], pool.Need.Running, pool.Need.Queued, pool.Need.Slots, term.Fence(), err)
		var conflict *platform.ConflictError
		var ended *TermEndedError
		if errors.As(err, &conflict) || errors.As(err, &ended) {
			return err
		}
		if err != nil {
			klog.InfoS("order: unknown whether the platform accepted the number of servers", "pool", count.Pool, "zone", count.Zone, "servers", count.Servers, "err", err.Error())
		}
		planner.RecordSent(time.Now(), count, err == nil)
	}
	return nil
}

func (c *CountController) send(ctx context.Context, term Term, count Count) error {
	ctx, cancel := context.WithTimeout(ctx, c.OrderTimeout)
	defer cancel()
	guard := func() error {
		if !term.Valid(time.Now()) {
			return &TermEndedError{Zone: count.Zone, Fence: term.Fence()}
		}
		return nil
	}
	return c.Platform.SetServerCount(ctx, count, term.Fence(), guard)
}
