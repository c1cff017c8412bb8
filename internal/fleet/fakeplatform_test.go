package fleet_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

var errConnectionLost = &platform.UnavailableError{Operation: "call", Cause: errors.New("connection cut")}

// fakePlatform is an in-memory platform: a store with leases, a receiver of orders
// and a record of all orders that arrived.
type fakePlatform struct {
	mutex    sync.Mutex
	revision uint64
	next     uint64
	values   map[string]platform.Value
	leases   map[uint64]time.Time
	servers  map[string]platform.Server
	hosts    []platform.Host
	arrived  []platform.Order
	fence    uint64
	// checksFence and checksTime make the receiver of orders check fencing tokens and expiry times.
	checksFence bool
	checksTime  bool
	isDown      bool
	// calls counts the calls to the key-value service.
	calls int
	// lostOrderAnswers is the number of next orders whose answers are lost, lostOrders the number
	// of next orders that are lost in transit.
	lostOrderAnswers int
	lostOrders       int
	// pausedBeforeWrite is set if a process was paused between its last check and its write.
	pausedBeforeWrite bool
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{values: map[string]platform.Value{}, leases: map[uint64]time.Time{}, servers: map[string]platform.Server{}}
}

func (f *fakePlatform) expireLeases() {
	for key, value := range f.values {
		if value.Lease != 0 && !time.Now().Before(f.leases[value.Lease]) {
			f.revision++
			delete(f.values, key)
		}
	}
}

func (f *fakePlatform) withLock(call func() error) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls++
	if f.isDown {
		return errConnectionLost
	}
	f.expireLeases()
	return call()
}

func (f *fakePlatform) change(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

// receiveOrder records and executes an arriving order if the receiver accepts it.
func (f *fakePlatform) receiveOrder(order platform.Order) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.lostOrders > 0 {
		f.lostOrders--
		return errConnectionLost
	}
	if f.checksFence && order.Fence < f.fence {
		return &platform.ConflictError{Key: order.ID}
	}
	if f.checksTime && time.Now().UnixMilli() >= order.NotAfter {
		return &platform.ConflictError{Key: order.ID}
	}
	f.fence = max(f.fence, order.Fence)
	f.arrived = append(f.arrived, order)
	f.execute(order)
	if f.lostOrderAnswers > 0 {
		f.lostOrderAnswers--
		return errConnectionLost
	}
	return nil
}

func (f *fakePlatform) execute(order platform.Order) {
	if order.Action == "stop" {
		delete(f.servers, order.Server)
		return
	}
	f.servers[order.Server] = platform.Server{ID: order.Server, Pool: order.Pool, Zone: order.Zone, State: "live"}
}

func (f *fakePlatform) callCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.calls
}

// arrivedOrders returns a copy of the orders that arrived.
func (f *fakePlatform) arrivedOrders() []platform.Order {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]platform.Order{}, f.arrived...)
}

// process is the connection of a process to the platform. All steps of the process block while it
// is frozen, regardless of its timers and contexts.
type process struct {
	*fakePlatform

	mutex sync.Mutex
	steps int
	// freezeStep is the step at which the process freezes, freezeTime the duration of the freeze.
	freezeStep  int
	freezeTime  time.Duration
	frozenUntil time.Time
	// lostAnswers holds the steps whose answer is lost although they took effect.
	lostAnswers map[int]bool
}

// nextStep blocks while the process is frozen and returns the number of the step.
func (p *process) nextStep() int {
	p.mutex.Lock()
	p.steps++
	step := p.steps
	if step == p.freezeStep {
		p.frozenUntil = time.Now().Add(p.freezeTime)
	}
	until := p.frozenUntil
	p.mutex.Unlock()
	time.Sleep(time.Until(until))
	return step
}

// call makes a call, with one step before and one step after the call takes effect.
func (p *process) call(effect func() error) error {
	step := p.nextStep()
	err := p.withLock(effect)
	p.nextStep()
	if p.lostAnswers[step] && err == nil {
		return errConnectionLost
	}
	return err
}

func (p *process) Delete(_ context.Context, key string, expect uint64) error {
	return p.call(func() error {
		if p.values[key].Revision != expect {
			return &platform.ConflictError{Key: key}
		}
		p.revision++
		delete(p.values, key)
		return nil
	})
}

func (p *process) Get(_ context.Context, key string) (platform.Value, error) {
	var value platform.Value
	err := p.call(func() error {
		value = p.values[key]
		if value.Revision == 0 {
			return &platform.NotFoundError{Key: key}
		}
		return nil
	})
	return value, err
}

func (p *process) GrantLease(_ context.Context, length time.Duration) (uint64, error) {
	var lease uint64
	err := p.call(func() error {
		p.next++
		lease = p.next
		p.leases[lease] = time.Now().Add(length)
		return nil
	})
	return lease, err
}

func (p *process) Hosts(context.Context) ([]platform.Host, error) {
	var hosts []platform.Host
	err := p.call(func() error {
		p.calls--
		hosts = append(hosts, p.hosts...)
		return nil
	})
	return hosts, err
}

func (p *process) Order(_ context.Context, order platform.Order, guard func() error) error {
	p.nextStep()
	if err := guard(); err != nil {
		return err
	}
	if p.nextStep() == p.freezeStep {
		p.change(func() { p.pausedBeforeWrite = true })
	}
	return p.receiveOrder(order)
}

func (p *process) RenewLease(_ context.Context, lease uint64, length time.Duration) error {
	return p.call(func() error {
		if !time.Now().Before(p.leases[lease]) {
			return &platform.NotFoundError{Key: "lease"}
		}
		p.leases[lease] = time.Now().Add(length)
		return nil
	})
}

func (p *process) Servers(_ context.Context, zone string) ([]platform.Server, error) {
	var servers []platform.Server
	err := p.call(func() error {
		p.calls--
		for _, server := range p.servers {
			if server.Zone == zone {
				servers = append(servers, server)
			}
		}
		return nil
	})
	return servers, err
}

func (p *process) CompareAndSwap(_ context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error) {
	var revision uint64
	err := p.call(func() error {
		if p.values[key].Revision != expect {
			return &platform.ConflictError{Key: key, Revision: p.values[key].Revision}
		}
		if lease != 0 && !time.Now().Before(p.leases[lease]) {
			return &platform.ConflictError{Key: key}
		}
		p.revision++
		revision = p.revision
		p.values[key] = platform.Value{Key: key, Data: data, Revision: revision, Lease: lease}
		return nil
	})
	return revision, err
}
