package weight

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

func seats(count int) []SamplerState {
	var all []SamplerState
	for i := range count {
		all = append(all, SamplerState{ID: fmt.Sprintf("s%02d", i), Zone: string(rune('a' + i%4)), Slots: 8, Versions: map[string]uint64{}})
	}
	return all
}

// fleet is a pool of samplers that load for a second.
type fleet struct {
	mutex    sync.Mutex
	versions map[string]uint64
	orders   map[string]uint64
	loading  map[string]bool
	most     int
	fences   []uint64
	// lose makes the next order take effect without an answer.
	lose bool
	// newer makes samplers refuse orders as old.
	newer bool
	// named is the version that is wanted.
	named uint64
}

func newFleet() *fleet {
	return &fleet{versions: map[string]uint64{}, orders: map[string]uint64{}, loading: map[string]bool{}, named: 2}
}

func (f *fleet) Load(_ context.Context, sampler Target, load Load, guard func() error) error {
	if err := guard(); err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case f.newer:
		return &platform.ConflictError{Key: sampler.ID}
	case f.loading[sampler.ID] || load.Orders != f.orders[sampler.ID]:
		return &platform.UnavailableError{Operation: "load", Status: 409}
	}
	f.fences = append(f.fences, load.Fence)
	f.orders[sampler.ID]++
	f.loading[sampler.ID] = true
	f.most = max(f.most, len(f.loading))
	time.AfterFunc(time.Second, func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		delete(f.loading, sampler.ID)
		f.versions[sampler.ID] = load.Version
	})
	if f.lose {
		f.lose = false
		return &platform.UnavailableError{Operation: "load"}
	}
	return nil
}

func (f *fleet) State(_ context.Context, sampler Target) (State, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return State{IsLoading: f.loading[sampler.ID], Orders: f.orders[sampler.ID], Versions: map[string]uint64{"m": f.versions[sampler.ID]}}, nil
}

func (f *fleet) pools() []Pool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	pool := Pool{Name: "lm", Demand: []Demand{{Model: "m", NewestVersion: f.named, MinVersion: f.named, NextMinVersion: f.named}}, Targets: map[string]Target{}}
	for _, seat := range seats(6) {
		seat.Versions["m"] = max(1, f.versions[seat.ID])
		pool.Samplers = append(pool.Samplers, seat)
		pool.Targets[seat.ID] = Target{ID: seat.ID}
	}
	return []Pool{pool}
}

type term struct{ ended bool }

func (term) Fence() uint64          { return 7 }
func (t term) Valid(time.Time) bool { return !t.ended }

// steer runs a steering for a while of fake time.
func steer(t *testing.T, f *fleet, length time.Duration) error {
	t.Helper()
	return steerIn(t, f, term{}, length)
}

func steerIn(t *testing.T, f *fleet, during term, length time.Duration) error {
	t.Helper()
	steering := &PoolCoordinator{
		Samplers: f, Pools: f.pools, Share: 0.34,
		Loaded: func(string, string, uint64) {},
	}
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	return steering.Run(ctx, during)
}

func TestSteering(t *testing.T) {
	t.Run("all load, a few at a time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet()
			must.NoError(t, steer(t, f, 20*time.Second))
			must.MapLen(t, 6, f.versions)
			must.SliceLen(t, 6, f.fences)
			must.LessEq(t, 2, f.most)
		})
	})
	// The answer to an order is lost, and the order is carried out all the same. It
	// is sent again only with the number of orders that the sampler has accepted, so
	// that it can't be set back by one that comes late.
	t.Run("an answer is lost", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet()
			f.lose = true
			must.NoError(t, steer(t, f, 30*time.Second))
			must.MapLen(t, 6, f.versions)
		})
	})
	// A holder stands still for longer than its lease and goes on where it was: with
	// an order to send. Another one may hold the duty by then.
	t.Run("the term has ended", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet()
			must.NoError(t, steerIn(t, f, term{ended: true}, 3*time.Second))
			must.SliceEmpty(t, f.fences)
		})
	})
	// An order that got no answer may be accepted seconds later. A sampler tells it
	// by the number of orders before it, so each order must name that number: one
	// that names another is refused, and the second version never comes.
	t.Run("each order names those before it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet()
			time.AfterFunc(10*time.Second, func() {
				f.mutex.Lock()
				defer f.mutex.Unlock()
				f.named = 3
			})
			must.NoError(t, steer(t, f, 20*time.Second))
			for _, version := range f.versions {
				must.Eq(t, 3, version)
			}
			must.MapLen(t, 6, f.versions)
		})
	})
	// A holder that was suspended wakes, and samplers have had orders of a newer
	// one: it must stop at once, and send nothing more.
	t.Run("a newer holder", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet()
			f.newer = true
			must.Error(t, steer(t, f, 10*time.Second))
			must.SliceEmpty(t, f.fences)
		})
	})
}
