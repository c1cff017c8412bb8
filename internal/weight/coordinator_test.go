package weight

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// fakeSamplers simulates the samplers of a model, their load reports and orders.
type fakeSamplers struct {
	mutex   sync.Mutex
	shown   map[string]uint64
	orders  map[string]int
	fences  []uint64
	failing int
}

var (
	_ Directory = &fakeSamplers{}
	_ Orderer   = &fakeSamplers{}
)

func newFakeSamplers(servers ...string) *fakeSamplers {
	samplers := &fakeSamplers{shown: map[string]uint64{}, orders: map[string]int{}}
	for _, server := range servers {
		samplers.shown[server] = 1
	}
	return samplers
}

func (f *fakeSamplers) Processes(peerpb.Role) []*peerpb.Process {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var found []*peerpb.Process
	for server := range f.shown {
		found = append(found, peerpb.Process_builder{Server: server, Pool: "draft", Zone: "1", State: peerpb.State_STATE_LIVE}.Build())
	}
	return found
}

func (f *fakeSamplers) Load(server string) *peerpb.Load {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return peerpb.Load_builder{Server: server, Version: f.shown[server]}.Build()
}

func (f *fakeSamplers) Order(_ context.Context, server string, order *peerpb.OrderRequest) (uint64, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.orders[server]++
	f.fences = append(f.fences, order.GetFence())
	if f.failing > 0 {
		f.failing--
		return 0, errors.New("swap failed")
	}
	f.shown[server] = order.GetVersion()
	return order.GetVersion(), nil
}

func (f *fakeSamplers) awaitVersion(t *testing.T, version uint64) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for {
		f.mutex.Lock()
		behind := 0
		for _, shown := range f.shown {
			if shown != version {
				behind++
			}
		}
		f.mutex.Unlock()
		if behind == 0 {
			return
		}
		must.True(t, time.Now().Before(deadline), must.Sprintf("%d samplers don't show version %d", behind, version))
		time.Sleep(time.Millisecond)
	}
}

// fakeRecord keeps the target version in memory.
type fakeRecord struct {
	mutex         sync.Mutex
	data          []byte
	isUnavailable bool
}

var _ Record = &fakeRecord{}

func (r *fakeRecord) Read(context.Context) ([]byte, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.isUnavailable {
		return nil, errors.New("unavailable")
	}
	return r.data, nil
}

func (r *fakeRecord) Write(_ context.Context, data []byte) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.isUnavailable {
		return errors.New("unavailable")
	}
	r.data = data
	return nil
}

func (r *fakeRecord) setUnavailable(unavailable bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.isUnavailable = unavailable
}

// fakeTerm is a term that is valid unless isOver is set.
type fakeTerm struct {
	fence  uint64
	isOver bool
}

var _ Term = fakeTerm{}

func (f fakeTerm) Fence() uint64        { return f.fence }
func (f fakeTerm) Valid(time.Time) bool { return !f.isOver }

func runCoordinator(t *testing.T, samplers *fakeSamplers, record Record, term fakeTerm) *Coordinator {
	t.Helper()
	coordinator := NewCoordinator("draft")
	coordinator.Record = record
	coordinator.Directory = samplers
	coordinator.Orderer = samplers
	coordinator.Share = 0.5
	coordinator.Timeout = time.Second
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = coordinator.Run(ctx, term) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return coordinator
}

// announce repeats the announcement of version 2 until the store holds it, as
// trainers do.
func announce(t *testing.T, coordinator *Coordinator) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for coordinator.Announce(t.Context(), 2) != nil {
		must.True(t, time.Now().Before(deadline))
		time.Sleep(time.Millisecond)
	}
}

func TestCoordinator(t *testing.T) {
	t.Run("orders all samplers, failed ones again", func(t *testing.T) {
		samplers := newFakeSamplers("a", "b", "c")
		samplers.failing = 2
		coordinator := runCoordinator(t, samplers, &fakeRecord{}, fakeTerm{fence: 7})
		announce(t, coordinator)
		samplers.awaitVersion(t, 2)
		must.Eq(t, 7, samplers.fences[0])
	})
	t.Run("a successor goes on with the version kept", func(t *testing.T) {
		record := &fakeRecord{}
		announce(t, runCoordinator(t, newFakeSamplers(), record, fakeTerm{fence: 1}))
		samplers := newFakeSamplers("a", "b")
		runCoordinator(t, samplers, record, fakeTerm{fence: 2})
		samplers.awaitVersion(t, 2)
	})
	t.Run("a term that is over orders nothing", func(t *testing.T) {
		samplers := newFakeSamplers("a")
		coordinator := runCoordinator(t, samplers, &fakeRecord{}, fakeTerm{fence: 1, isOver: true})
		announce(t, coordinator)
		coordinator.nextServers()
		coordinator.order(t.Context(), fakeTerm{isOver: true}, "a")
		must.MapEmpty(t, samplers.orders)
	})
	t.Run("while the store is unavailable the version is ordered, but not acknowledged", func(t *testing.T) {
		samplers := newFakeSamplers("a")
		record := &fakeRecord{}
		coordinator := runCoordinator(t, samplers, record, fakeTerm{fence: 1})
		announce(t, coordinator)
		record.setUnavailable(true)
		must.Error(t, coordinator.Announce(t.Context(), 3))
		samplers.awaitVersion(t, 3)
	})
}
