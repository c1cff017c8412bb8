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
	// steerInterval is the time between two looks at what is to be ordered.
	steerInterval = 50 * time.Millisecond
	// askInterval is the time between two questions whether a load is done: a small
	// part of a load, since the next one begins when it is seen.
	askInterval = 60 * time.Millisecond
	// askGrowth is how much longer each wait between two questions is than the one
	// before: a load that waits for others is asked about half as often, and its end
	// is seen late by a quarter of its wait at most.
	askGrowth = 1.3
	// firstLoad is how long the first load is expected to take.
	firstLoad = 900 * time.Millisecond
	// patience bounds one load; after that it is ordered again.
	patience = 5 * time.Second
)

// ErrAlreadyLoaded says that a sampler has the version that it was ordered to load.
var ErrAlreadyLoaded = errors.New("weight: the sampler has that version already")

// Target is a sampler that is sent orders.
type Target struct {
	ID      string
	Address string
	// StartedAtMillis is the start of the sampler; a new start has forgotten all orders.
	StartedAtMillis int64
}

// Load is an order to load weights.
type Load struct {
	Model   string
	Version uint64
	Fence   uint64
	// Orders is how many orders the sampler has accepted before.
	Orders uint64
	// DrainFirst lets running generations end first; else they go on under the new version.
	DrainFirst bool
}

// State is what a sampler says of itself.
type State struct {
	IsLoading bool
	// Orders is how many orders it has accepted since its start.
	Orders   uint64
	Versions map[string]uint64
}

// Samplers sends orders and questions to samplers.
type Samplers interface {
	// Load returns nil once the sampler has accepted the order, ErrHolds if it has
	// the version, a *platform.ConflictError if a newer holder has sent it orders.
	Load(ctx context.Context, sampler Target, load Load, guard func() error) error
	State(ctx context.Context, sampler Target) (State, error)
}

// Pool is a pool of samplers that several models share.
type Pool struct {
	Name string
	// Demand is what the models' steps ask for.
	Demand []Demand
	// DrainFirst lets running generations end before new weights are loaded.
	DrainFirst bool
	Samplers []SamplerState
	// Targets by the samplers' identities.
	Targets map[string]Target
}

// PoolCoordinator brings the versions that trainers name to the samplers of pools
// that several models share, while this process is in charge.
// Exported fields are set before Run.
type PoolCoordinator struct {
	Samplers Samplers
	// Pools returns the pools as they are now.
	Pools func() []Pool
	// Loaded is told that a sampler has a version.
	Loaded    func(sampler, model string, version uint64)
	Decisions *decision.Log
	// Share is the greatest share of a pool's samplers that load at the same time.
	Share float64

	mutex     sync.Mutex
	schedules map[string]*Schedule
	// orders is how many orders a sampler has accepted since its start.
	orders map[Target]uint64
	took   time.Duration
	loads  sync.WaitGroup
}

// Run steers until the term ends.
func (s *PoolCoordinator) Run(ctx context.Context, term Term) error {
	s.mutex.Lock()
	s.schedules = map[string]*Schedule{}
	s.orders = map[Target]uint64{}
	s.took = firstLoad
	s.mutex.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	for pause.For(ctx, steerInterval) {
		for _, pool := range s.Pools() {
			s.steer(ctx, term, pool, cancel)
		}
	}
	s.loads.Wait()
	var superseded *platform.ConflictError
	if cause := context.Cause(ctx); errors.As(cause, &superseded) {
		return cause
	}
	return nil
}

// steer orders what is to be loaded now in one pool.
func (s *PoolCoordinator) steer(ctx context.Context, term Term, pool Pool, cancel context.CancelCauseFunc) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	schedule := s.schedules[pool.Name]
	if schedule == nil {
		schedule = &Schedule{Share: s.Share, Lag: DefaultLag}
		s.schedules[pool.Name] = schedule
	}
	now := time.Now()
	schedule.SetDemand(pool.Demand)
	schedule.Observe(pool.Samplers, now)
	for _, change := range schedule.Next(now) {
		target := pool.Targets[change.Sampler]
		s.Decisions.Record(change.Sampler, "weight", "chosen for version %d of %s, which has %d samplers for its open step and %d for the next of %d; %d of %d load",
			change.Version, change.Model, change.Open, change.Next, change.Wanted, schedule.InFlight(), schedule.Limit())
		load := Load{Model: change.Model, Version: change.Version, Fence: term.Fence(), DrainFirst: pool.DrainFirst}
		s.loads.Go(func() { s.load(ctx, term, schedule, target, load, cancel) })
	}
}

// load orders one sampler and waits until it has the version.
func (s *PoolCoordinator) load(ctx context.Context, term Term, schedule *Schedule, target Target, load Load, cancel context.CancelCauseFunc) {
	began := time.Now()
	ctx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	err := s.order(ctx, term, target, load)
	if err == nil {
		err = s.await(ctx, target, load, began)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var superseded *platform.ConflictError
	switch {
	case err == nil:
		s.Decisions.Record(target.ID, "weight", "has version %d of %s after %s", load.Version, load.Model, time.Since(began))
		schedule.Done(target.ID, load.Version, time.Now())
		s.Loaded(target.ID, load.Model, load.Version)
	case errors.As(err, &superseded):
		s.Decisions.Record(target.ID, "weight", "a newer holder than term %d has sent it orders", load.Fence)
		cancel(err)
	default:
		s.Decisions.Record(target.ID, "weight", "did not load version %d of %s: %v", load.Version, load.Model, err)
		schedule.Failed(target.ID, time.Now())
	}
}

// order sends the order.
//
// An order without an answer may be accepted seconds later, after a newer one,
// and would set the sampler back. So each names the orders accepted before it,
// and after a lost answer the sampler is asked how many these are.
func (s *PoolCoordinator) order(ctx context.Context, term Term, target Target, load Load) error {
	s.mutex.Lock()
	orders, known := s.orders[target]
	s.mutex.Unlock()
	if !known {
		state, err := s.Samplers.State(ctx, target)
		if err != nil {
			return err
		}
		if state.Versions[load.Model] >= load.Version && !state.IsLoading {
			s.know(target, state.Orders)
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
	s.Decisions.Record(target.ID, "weight", "ordered to load version %d of %s, term %d, order %d", load.Version, load.Model, load.Fence, orders+1)
	err := s.Samplers.Load(ctx, target, load, guard)
	switch {
	case err == nil:
		s.know(target, orders+1)
		return nil
	case errors.Is(err, ErrAlreadyLoaded):
		s.know(target, orders)
		return nil
	default:
		s.mutex.Lock()
		delete(s.orders, target)
		s.mutex.Unlock()
		return err
	}
}

func (s *PoolCoordinator) know(target Target, orders uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.orders[target] = orders
}

// await asks the sampler from the time on at which it should have the version.
func (s *PoolCoordinator) await(ctx context.Context, target Target, load Load, began time.Time) error {
	s.mutex.Lock()
	took := s.took
	s.mutex.Unlock()
	pause.For(ctx, took)
	for wait := askInterval; ; wait = time.Duration(askGrowth * float64(wait)) {
		state, err := s.Samplers.State(ctx, target)
		if err == nil && state.Versions[load.Model] >= load.Version {
			s.mutex.Lock()
			s.took = min(s.took, time.Since(began)-askInterval)
			s.mutex.Unlock()
			return nil
		}
		if !pause.For(ctx, wait) {
			return &platform.UnavailableError{Operation: "load " + target.ID, Cause: ctx.Err()}
		}
	}
}
