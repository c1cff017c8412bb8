package weight

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// steerInterval is the time between two looks at what is to be ordered.
	steerInterval = 50 * time.Millisecond
	// askInterval is the time between two questions whether a load is done. A
	// report is some hundred milliseconds old, so asking more often tells nothing new.
	askInterval = 150 * time.Millisecond
	// firstLoad is how long the first load is expected to take.
	firstLoad = 900 * time.Millisecond
	// patience bounds one load; after that it is ordered again.
	patience = 5 * time.Second
)

// ErrHolds says that a sampler has the version that it was ordered to load.
var ErrHolds = errors.New("weight: the sampler has that version already")

// Target is a sampler that is sent orders.
type Target struct {
	ID      string
	Address string
	// Born is the start of the sampler; a new start has forgotten all orders.
	Born int64
}

// Load is an order to load weights.
type Load struct {
	Model   string
	Version uint64
	Fence   uint64
	// Orders is how many orders the sampler has accepted before.
	Orders uint64
	// Whole lets running generations end first; else they go on under the new version.
	Whole bool
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
	Name   string
	Models []string
	// Whole lets running generations end before new weights are loaded.
	Whole bool
	Seats []Seat
	// Targets by the samplers' identities.
	Targets map[string]Target
}

// Steering brings the versions that trainers name to the samplers of pools
// that several models share, while this process is in charge.
// Exported fields are set before Run.
type Steering struct {
	Samplers Samplers
	// Pools returns the pools as they are now.
	Pools func() []Pool
	// Wanted returns the version that was named last for a model; 0 if none was.
	Wanted func(model string) uint64
	// Loaded is told that a sampler has a version.
	Loaded    func(sampler, model string, version uint64)
	Decisions *decision.Log
	// AtOnce is the most loads at the same time in a pool for each of its samplers.
	AtOnce float64

	mutex    sync.Mutex
	waves    map[string]*Wave
	assigned map[string]map[string]string
	// orders is how many orders a sampler has accepted since its start.
	orders  map[Target]uint64
	loading map[string]bool
	took    time.Duration
	loads   sync.WaitGroup
}

// Run steers until the term ends.
func (s *Steering) Run(ctx context.Context, term Term) error {
	s.mutex.Lock()
	s.waves = map[string]*Wave{}
	s.assigned = map[string]map[string]string{}
	s.orders = map[Target]uint64{}
	s.loading = map[string]bool{}
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
func (s *Steering) steer(ctx context.Context, term Term, pool Pool, cancel context.CancelCauseFunc) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	models := s.trained(pool)
	s.assigned[pool.Name] = Assign(models, pool.Seats, s.assigned[pool.Name])
	now := time.Now()
	room := max(1, int(s.AtOnce*float64(len(pool.Seats)))) - len(s.loading)
	for _, model := range models {
		if room <= 0 {
			return
		}
		wave := s.wave(model)
		wave.Announce(s.Wanted(model))
		wave.Observe(s.members(pool, model), now)
		for _, id := range wave.Next(now) {
			target, ok := pool.Targets[id]
			if !ok || s.loading[id] || room <= 0 {
				wave.Failed(id, now)
				continue
			}
			room--
			s.loading[id] = true
			load := Load{Model: model, Version: wave.Target(), Fence: term.Fence(), Whole: pool.Whole}
			s.loads.Go(func() { s.load(ctx, term, target, load, cancel) })
		}
	}
}

// trained returns the models of a pool for which a version was named.
func (s *Steering) trained(pool Pool) []string {
	var models []string
	for _, model := range pool.Models {
		if s.Wanted(model) > 0 {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	return models
}

func (s *Steering) wave(model string) *Wave {
	if s.waves[model] == nil {
		s.waves[model] = &Wave{Share: 0.5, Lag: DefaultLag}
	}
	return s.waves[model]
}

// members returns the samplers that are a model's part of a pool.
func (s *Steering) members(pool Pool, model string) []Sampler {
	var members []Sampler
	for _, seat := range pool.Seats {
		if s.assigned[pool.Name][seat.ID] == model {
			members = append(members, Sampler{Server: seat.ID, Zone: seat.Zone, Version: seat.Versions[model]})
		}
	}
	return members
}

// load orders one sampler and waits until it has the version.
func (s *Steering) load(ctx context.Context, term Term, target Target, load Load, cancel context.CancelCauseFunc) {
	began := time.Now()
	ctx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	err := s.order(ctx, term, target, load)
	if err == nil {
		err = s.await(ctx, target, load, began)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.loading, target.ID)
	var superseded *platform.ConflictError
	switch {
	case err == nil:
		s.Decisions.Record(target.ID, "weight", "has version %d of %s after %s", load.Version, load.Model, time.Since(began))
		s.waves[load.Model].Done(target.ID, load.Version, time.Now())
		s.Loaded(target.ID, load.Model, load.Version)
	case errors.As(err, &superseded):
		s.Decisions.Record(target.ID, "weight", "a newer holder than term %d has sent it orders", load.Fence)
		cancel(err)
	default:
		s.Decisions.Record(target.ID, "weight", "did not load version %d of %s: %v", load.Version, load.Model, err)
		s.waves[load.Model].Failed(target.ID, time.Now())
	}
}

// order sends the order.
//
// An order without an answer may be accepted seconds later, after a newer one,
// and would set the sampler back. So each names the orders accepted before it,
// and after a lost answer the sampler is asked how many these are.
func (s *Steering) order(ctx context.Context, term Term, target Target, load Load) error {
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
	case errors.Is(err, ErrHolds):
		s.know(target, orders)
		return nil
	default:
		s.mutex.Lock()
		delete(s.orders, target)
		s.mutex.Unlock()
		return err
	}
}

func (s *Steering) know(target Target, orders uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.orders[target] = orders
}

// await asks the sampler from the time on at which it should have the version.
func (s *Steering) await(ctx context.Context, target Target, load Load, began time.Time) error {
	s.mutex.Lock()
	took := s.took
	s.mutex.Unlock()
	pause.For(ctx, took)
	for {
		state, err := s.Samplers.State(ctx, target)
		if err == nil && state.Versions[load.Model] >= load.Version {
			s.mutex.Lock()
			s.took = min(s.took, time.Since(began))
			s.mutex.Unlock()
			return nil
		}
		if !pause.For(ctx, askInterval) {
			return &platform.UnavailableError{Operation: "load " + target.ID, Cause: ctx.Err()}
		}
	}
}
