package weight

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

func newSamplers(count int) []SamplerState {
	var all []SamplerState
	for i := range count {
		all = append(all, SamplerState{ID: fmt.Sprintf("s%02d", i), Zone: string(rune('a' + i%4)), Slots: 8, Versions: map[string]uint64{}})
	}
	return all
}

// fakePool simulates a pool of samplers whose loads take a second.
type fakePool struct {
	mutex      sync.Mutex
	versions   map[string]uint64
	orders     map[string]uint64
	loading    map[string]bool
	maxLoading int
	fences     []uint64
	// loseAnswer makes the next order take effect without an answer.
	loseAnswer bool
	// isSuperseded makes samplers reject orders as if a newer holder had sent some.
	isSuperseded bool
	// target is the target version.
	target uint64
}

func newFakePool() *fakePool {
	return &fakePool{versions: map[string]uint64{}, orders: map[string]uint64{}, loading: map[string]bool{}, target: 2}
}

func (f *fakePool) Load(_ context.Context, sampler SamplerInstance, load Load, guard func() error) error {
	if err := guard(); err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case f.isSuperseded:
		return &platform.ConflictError{Key: sampler.ID}
	case f.loading[sampler.ID] || load.Orders != f.orders[sampler.ID]:
		return &platform.UnavailableError{Operation: "load", Status: 409}
	}
	f.fences = append(f.fences, load.Fence)
	f.orders[sampler.ID]++
	f.loading[sampler.ID] = true
	f.maxLoading = max(f.maxLoading, len(f.loading))
	time.AfterFunc(time.Second, func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		delete(f.loading, sampler.ID)
		f.versions[sampler.ID] = load.Version
	})
	if f.loseAnswer {
		f.loseAnswer = false
		return &platform.UnavailableError{Operation: "load"}
	}
	return nil
}

func (f *fakePool) State(_ context.Context, sampler SamplerInstance) (State, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return State{IsLoading: f.loading[sampler.ID], Orders: f.orders[sampler.ID], Versions: map[string]uint64{"m": f.versions[sampler.ID]}}, nil
}

func (f *fakePool) pools() []Pool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	pool := Pool{Name: "lm", Demand: []Demand{{Model: "m", NewestVersion: f.target, MinVersion: f.target, NextMinVersion: f.target}}, Instances: map[string]SamplerInstance{}}
	for _, sampler := range newSamplers(6) {
		sampler.Versions["m"] = max(1, f.versions[sampler.ID])
		pool.Samplers = append(pool.Samplers, sampler)
		pool.Instances[sampler.ID] = SamplerInstance{ID: sampler.ID}
	}
	return []Pool{pool}
}

type term struct{ hasEnded bool }

func (term) Fence() uint64          { return 7 }
func (t term) Valid(time.Time) bool { return !t.hasEnded }

// runPool runs a PoolCoordinator for a duration of fake time.
func runPool(t *testing.T, f *fakePool, length time.Duration) error {
	t.Helper()
	return runPoolInTerm(t, f, term{}, length)
}

func runPoolInTerm(t *testing.T, f *fakePool, during term, length time.Duration) error {
	t.Helper()
	coordinator := &PoolCoordinator{
		Samplers: f, Pools: f.pools, Share: 0.34,
		OnLoaded: func(string, string, uint64) {},
	}
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	return coordinator.Run(ctx, during)
}

func TestPoolCoordinator(t *testing.T) {
	t.Run("all load, a few at a time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFakePool()
			must.NoError(t, runPool(t, f, 20*time.Second))
			must.MapLen(t, 6, f.versions)
			must.SliceLen(t, 6, f.fences)
			must.LessEq(t, 2, f.maxLoading)
		})
	})
	// The answer to an order is lost although the order takes effect. The order is resent only with
	// the number of orders that the sampler has accepted, so that a late order can't revert the
	// sampler to an older version.
	t.Run("an answer is lost", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFakePool()
			f.loseAnswer = true
			must.NoError(t, runPool(t, f, 30*time.Second))
			must.MapLen(t, 6, f.versions)
		})
	})
	// A holder is suspended for longer than its lease and then resumes with an order to send.
	// Another process may hold the duty by then.
	t.Run("the term has ended", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFakePool()
			must.NoError(t, runPoolInTerm(t, f, term{hasEnded: true}, 3*time.Second))
			must.SliceEmpty(t, f.fences)
		})
	})
	// An unanswered order may be accepted seconds later. A sampler detects a late order by the
	// number of orders accepted before it, so each order must carry that number: an order with a
	// wrong number is rejected, and the second version is never loaded.
	t.Run("each order names those before it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFakePool()
			time.AfterFunc(10*time.Second, func() {
				f.mutex.Lock()
				defer f.mutex.Unlock()
				f.target = 3
			})
			must.NoError(t, runPool(t, f, 20*time.Second))
			for _, version := range f.versions {
				must.Eq(t, 3, version)
			}
			must.MapLen(t, 6, f.versions)
		})
	})
	// A suspended holder resumes after samplers have accepted orders of a newer holder: the former
	// holder must stop at once and send nothing more.
	t.Run("a newer holder", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFakePool()
			f.isSuperseded = true
			must.Error(t, runPool(t, f, 10*time.Second))
			must.SliceEmpty(t, f.fences)
		})
	})
}

// slowPool answers orders late, and notes whether an order was cancelled.
type slowPool struct {
	*fakePool

	underWay    atomic.Int32
	isCancelled atomic.Bool
}

func (s *slowPool) Load(ctx context.Context, sampler SamplerInstance, load Load, guard func() error) error {
	s.underWay.Add(1)
	defer s.underWay.Add(-1)
	select {
	case <-ctx.Done():
		s.isCancelled.Store(true)
		return ctx.Err()
	case <-time.After(300 * time.Millisecond):
		return s.fakePool.Load(ctx, sampler, load, guard)
	}
}

// Guards against an order of the former holder that a sampler accepts after the duty was released.
func TestRunWaitsForOrdersUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		samplers := &slowPool{fakePool: newFakePool()}
		coordinator := &PoolCoordinator{Samplers: samplers, Pools: samplers.pools, Share: 0.34, OnLoaded: func(string, string, uint64) {}}
		ctx, cancel := context.WithTimeout(t.Context(), scheduleInterval+100*time.Millisecond)
		defer cancel()
		must.NoError(t, coordinator.Run(ctx, term{}))
		must.Eq(t, 0, samplers.underWay.Load())
		must.False(t, samplers.isCancelled.Load())
		must.SliceNotEmpty(t, samplers.fences)
	})
}
