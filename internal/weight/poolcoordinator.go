package weight

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// scheduleInterval is the time between two scheduling rounds.
	scheduleInterval = 50 * time.Millisecond
	// pollInterval is the first wait between two polls for the end of a load. It is a small part of
	// a load's duration, since the next load starts only after a poll detects the end.
	pollInterval = 60 * time.Millisecond
	// pollGrowth is the factor between two successive waits between polls: a load that queues
	// behind others is polled about half as often, and its end is detected at most a quarter of its
	// wait late.
	pollGrowth = 1.3
	// initialLoadTime is the expected duration of the first load.
	initialLoadTime = 900 * time.Millisecond
	// loadTimeout bounds one load; after the timeout the load is ordered again.
	loadTimeout = 5 * time.Second
)

// ErrAlreadyLoaded reports that a sampler already has the version that it was ordered to load.
var ErrAlreadyLoaded = errors.New("weight: the sampler has that version already")

// SamplerInstance is a sampler that receives orders.
type SamplerInstance struct {
	ID      string
	Address string
	// StartedAtMillis identifies a start of the sampler; a restarted sampler has lost all orders.
	StartedAtMillis int64
}

// Load is an order to load weights.
type Load struct {
	Model   string
	Version uint64
	Fence   uint64
	// Orders is the number of orders that the sampler has accepted before this order.
	Orders uint64
	// DrainFirst lets running generations end before the load; otherwise they continue under the
	// new version.
	DrainFirst bool
}

// State is what a sampler reports about itself.
type State struct {
	IsLoading bool
	// Orders is the number of orders that the sampler has accepted since its start.
	Orders   uint64
	Versions map[string]uint64
}

// Samplers sends orders and state requests to samplers.
type Samplers interface {
	// Load is bounded by a timeout of its own. It returns nil once the sampler has accepted the order, ErrAlreadyLoaded if the sampler
	// already has the version, and a *platform.ConflictError if a newer holder has sent orders to
	// the sampler.
	Load(ctx context.Context, sampler SamplerInstance, load Load, guard func() error) error
	State(ctx context.Context, sampler SamplerInstance) (State, error)
}

// Pool is a pool of samplers that several models share.
type Pool struct {
	Name string
	// Demand is what the models' steps need.
	Demand []Demand
	// DrainFirst lets running generations end before new weights are loaded.
	DrainFirst bool
	Samplers   []SamplerState
	// Instances maps the ID of a sampler to its instance.
	Instances map[string]SamplerInstance
}

// PoolCoordinator rolls out the versions that trainers announce to pools of samplers that several
// models share, while this process holds the duty. Exported fields are set before Run.
type PoolCoordinator struct {
	Samplers Samplers
	// Pools returns the current pools.
	Pools func() []Pool
	// OnLoaded is called when a sampler has loaded a version.
	OnLoaded  func(sampler, model string, version uint64)
	Decisions *decision.Log
	// Share is the maximum share of a pool's samplers that load at the same time.
	Share float64

	mutex     sync.Mutex
	schedules map[string]*Schedule
	// orders maps a sampler to the number of orders that it has accepted since its start.
	orders      map[SamplerInstance]uint64
	minLoadTime time.Duration
	loads       sync.WaitGroup
}

// Run schedules loads until the term ends.
func (c *PoolCoordinator) Run(ctx context.Context, term Term) error {
	c.mutex.Lock()
	c.schedules = map[string]*Schedule{}
	c.orders = map[SamplerInstance]uint64{}
	c.minLoadTime = initialLoadTime
	c.mutex.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	for pause.For(ctx, scheduleInterval) {
		for _, pool := range c.Pools() {
			c.schedulePool(ctx, term, pool, cancel)
		}
	}
	c.loads.Wait()
	var superseded *platform.ConflictError
	if cause := context.Cause(ctx); errors.As(cause, &superseded) {
		return cause
	}
	return nil
}

// schedulePool orders the loads that are due in one pool.
func (c *PoolCoordinator) schedulePool(ctx context.Context, term Term, pool Pool, cancel context.CancelCauseFunc) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	schedule := c.schedules[pool.Name]
	if schedule == nil {
		schedule = &Schedule{Share: c.Share, Lag: DefaultLag}
		c.schedules[pool.Name] = schedule
	}
	now := time.Now()
	schedule.SetDemand(pool.Demand)
	schedule.Observe(pool.Samplers, now)
	for _, scheduled := range schedule.Next(now) {
		sampler := pool.Instances[scheduled.Sampler]
		c.Decisions.Record(scheduled.Sampler, "weight", "chosen for version %d of %s, which has %d samplers for its open step and %d for the next of %d; %d of %d load",
			scheduled.Version, scheduled.Model, scheduled.Open, scheduled.Next, scheduled.Wanted, schedule.InFlight(), schedule.Limit())
		load := Load{Model: scheduled.Model, Version: scheduled.Version, Fence: term.Fence(), DrainFirst: pool.DrainFirst}
		c.loads.Go(func() { c.load(ctx, term, schedule, sampler, load, cancel) })
	}
}

// load orders one sampler and waits until it has the version.
func (c *PoolCoordinator) load(ctx context.Context, term Term, schedule *Schedule, sampler SamplerInstance, load Load, cancel context.CancelCauseFunc) {
	began := time.Now()
	ctx, stop := context.WithTimeout(ctx, loadTimeout)
	defer stop()
	err := c.order(ctx, term, sampler, load)
	if err == nil {
		err = c.awaitVersion(ctx, sampler, load, began)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var superseded *platform.ConflictError
	switch {
	case err == nil:
		c.Decisions.Record(sampler.ID, "weight", "has version %d of %s after %s", load.Version, load.Model, time.Since(began))
		schedule.RecordLoaded(sampler.ID, load.Version, time.Now())
		c.OnLoaded(sampler.ID, load.Model, load.Version)
	case errors.As(err, &superseded):
		c.Decisions.Record(sampler.ID, "weight", "a newer holder than term %d has sent it orders", load.Fence)
		cancel(err)
	default:
		c.Decisions.Record(sampler.ID, "weight", "did not load version %d of %s: %v", load.Version, load.Model, err)
		schedule.RecordFailed(sampler.ID, time.Now())
	}
}

// order sends an order.
//
// An unanswered order may be accepted seconds later, after a newer order, and would revert the
// sampler to an older version. So each order carries the number of orders accepted before it, and
// after a lost answer that number is read from the sampler.
func (c *PoolCoordinator) order(ctx context.Context, term Term, sampler SamplerInstance, load Load) error {
	c.mutex.Lock()
	orders, known := c.orders[sampler]
	c.mutex.Unlock()
	if !known {
		state, err := c.Samplers.State(ctx, sampler)
		if err != nil {
			return err
		}
		if state.Versions[load.Model] >= load.Version && !state.IsLoading {
			c.setOrders(sampler, state.Orders)
			return nil
		}
		orders = state.Orders
	}
	load.Orders = orders
	guard := func() error {
		if !term.Valid(time.Now()) {
			return context.Canceled
		}
		return nil
	}
	c.Decisions.Record(sampler.ID, "weight", "ordered to load version %d of %s, term %d, order %d", load.Version, load.Model, load.Fence, orders+1)
	// An order that is under way isn't cancelled: Run returns, and the duty is released, only once its fate is known.
	err := c.Samplers.Load(context.WithoutCancel(ctx), sampler, load, guard)
	switch {
	case err == nil:
		c.setOrders(sampler, orders+1)
		return nil
	case errors.Is(err, ErrAlreadyLoaded):
		c.setOrders(sampler, orders)
		return nil
	default:
		c.mutex.Lock()
		delete(c.orders, sampler)
		c.mutex.Unlock()
		return err
	}
}

func (c *PoolCoordinator) setOrders(sampler SamplerInstance, orders uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.orders[sampler] = orders
}

// awaitVersion waits for the expected duration of a load, then polls the sampler until it has the
// version.
func (c *PoolCoordinator) awaitVersion(ctx context.Context, sampler SamplerInstance, load Load, began time.Time) error {
	c.mutex.Lock()
	expected := c.minLoadTime
	c.mutex.Unlock()
	pause.For(ctx, expected)
	for wait := pollInterval; ; wait = time.Duration(pollGrowth * float64(wait)) {
		state, err := c.Samplers.State(ctx, sampler)
		if err == nil && state.Versions[load.Model] >= load.Version {
			c.mutex.Lock()
			c.minLoadTime = min(c.minLoadTime, time.Since(began)-pollInterval)
			c.mutex.Unlock()
			return nil
		}
		if !pause.For(ctx, wait) {
			return &platform.UnavailableError{Operation: "load " + sampler.ID, Cause: ctx.Err()}
		}
	}
}
