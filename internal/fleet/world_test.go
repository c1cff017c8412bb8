package fleet_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

var errCut = &platform.UnavailableError{Operation: "call", Cause: errors.New("connection cut")}

// world is a platform in memory: its store with leases, its intake of orders
// and a record of all orders that arrived.
type world struct {
	mutex    sync.Mutex
	revision uint64
	next     uint64
	values   map[string]platform.Value
	leases   map[uint64]time.Time
	servers  map[string]platform.Server
	hosts    []platform.Host
	arrived  []platform.Order
	fence    uint64
	// checksFence and checksTime are what the receiver of orders checks.
	checksFence bool
	checksTime  bool
	down        bool
	// calls are those of the key-value service.
	calls int
	// loseOrders loses answers of orders, cutOrders the orders themselves.
	loseOrders int
	cutOrders  int
	// exposed is set if a process was paused between its last check and its write.
	exposed bool
}

func newWorld() *world {
	return &world{values: map[string]platform.Value{}, leases: map[uint64]time.Time{}, servers: map[string]platform.Server{}}
}

func (w *world) lapse() {
	for key, value := range w.values {
		if value.Lease != 0 && !time.Now().Before(w.leases[value.Lease]) {
			w.revision++
			delete(w.values, key)
		}
	}
}

func (w *world) do(call func() error) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.calls++
	if w.down {
		return errCut
	}
	w.lapse()
	return call()
}

func (w *world) set(change func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	change()
}

// take records an order that arrives, and runs it if the receiver accepts it.
func (w *world) take(order platform.Order) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.cutOrders > 0 {
		w.cutOrders--
		return errCut
	}
	if w.checksFence && order.Fence < w.fence {
		return &platform.ConflictError{Key: order.ID}
	}
	if w.checksTime && time.Now().UnixMilli() >= order.NotAfter {
		return &platform.ConflictError{Key: order.ID}
	}
	w.fence = max(w.fence, order.Fence)
	w.arrived = append(w.arrived, order)
	w.run(order)
	if w.loseOrders > 0 {
		w.loseOrders--
		return errCut
	}
	return nil
}

func (w *world) run(order platform.Order) {
	if order.Action == "stop" {
		delete(w.servers, order.Server)
		return
	}
	w.servers[order.Server] = platform.Server{ID: order.Server, Pool: order.Pool, Zone: order.Zone, State: "live"}
}

func (w *world) count() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.calls
}

// orders returns the record.
func (w *world) orders() []platform.Order {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]platform.Order{}, w.arrived...)
}

// process is one process's way to the world. All its steps stand still while
// it is frozen, whatever its timers and contexts say.
type process struct {
	*world

	mutex sync.Mutex
	steps int
	// at is the step at which the process is frozen, and length for how long.
	at     int
	length time.Duration
	until  time.Time
	// loses are the steps whose answer is lost after they took effect.
	loses map[int]bool
}

// step stands still while the process is frozen and returns the step's number.
func (p *process) step() int {
	p.mutex.Lock()
	p.steps++
	step := p.steps
	if step == p.at {
		p.until = time.Now().Add(p.length)
	}
	until := p.until
	p.mutex.Unlock()
	time.Sleep(time.Until(until))
	return step
}

// call makes a call with a step before it takes effect and one after.
func (p *process) call(effect func() error) error {
	step := p.step()
	err := p.do(effect)
	p.step()
	if p.loses[step] && err == nil {
		return errCut
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
	p.step()
	if err := guard(); err != nil {
		return err
	}
	if p.step() == p.at {
		p.set(func() { p.exposed = true })
	}
	return p.take(order)
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
