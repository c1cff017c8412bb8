package usage_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
	"github.com/bramleyhatch/bramleyhatch/internal/usage"
)

var errUnreachable = &platform.UnavailableError{Operation: "call", Cause: errors.New("gone")}

// fleet fakes the processes that hold counters, and the platform.
type fleet struct {
	platformtest.Store

	mutex     sync.Mutex
	processes []*peerpb.Process
	ledgers   map[string]*usage.Ledger
	dead      map[string]bool
	reports   []platform.Usage
	// loseReports is the number of reports whose response is lost.
	loseReports int
	// counters are the counters of sidecars; collected is the number of counters sent
	// to reporters.
	counters  map[string]*usage.Counter
	collected int
}

func newFleet(processes ...*peerpb.Process) *fleet {
	fleet := &fleet{processes: processes, ledgers: map[string]*usage.Ledger{}, dead: map[string]bool{}}
	for _, process := range processes {
		fleet.ledgers[process.GetName()] = &usage.Ledger{}
	}
	return fleet
}

func entry(name, zone string) *peerpb.Process {
	return peerpb.Process_builder{Name: name, Zone: zone, Role: peerpb.Role_ROLE_ENTRY, State: peerpb.State_STATE_LIVE}.Build()
}

func (f *fleet) Collect(ctx context.Context, process *peerpb.Process, request *peerpb.CollectRequest) (*peerpb.CollectReply, error) {
	if f.isDead(process.GetName()) {
		return nil, errUnreachable
	}
	server := &usage.Server{Ledger: f.ledgers[process.GetName()], Counter: f.counters[process.GetName()]}
	reply, err := server.Collect(ctx, request)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.collected += len(reply.GetCounts())
	return reply, err
}

func (f *fleet) Fact(string) *peerpb.Fact { return nil }

func (f *fleet) Keep(_ context.Context, process *peerpb.Process, counts []*peerpb.Count) error {
	if f.isDead(process.GetName()) {
		return errUnreachable
	}
	f.ledgers[process.GetName()].Merge(counts)
	return nil
}

func (f *fleet) Processes(role peerpb.Role) []*peerpb.Process {
	var found []*peerpb.Process
	for _, process := range f.processes {
		if process.GetRole() == role {
			found = append(found, process)
		}
	}
	return found
}

func (f *fleet) Report(_ context.Context, usage platform.Usage, guard func() error) error {
	if err := guard(); err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.reports = append(f.reports, usage)
	if f.loseReports > 0 {
		f.loseReports--
		return errUnreachable
	}
	return nil
}

func (f *fleet) Self() *peerpb.Process { return f.processes[0] }

func (f *fleet) isDead(name string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.dead[name]
}

func (f *fleet) kill(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.dead[name] = true
}

func (f *fleet) revive(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.dead[name] = false
}

// receivedReports returns a copy of the received reports.
func (f *fleet) receivedReports() []platform.Usage {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]platform.Usage{}, f.reports...)
}

// crashingPlatform is the platform of a reporter that crashes at a step, before or after a call takes effect.
type crashingPlatform struct {
	*fleet

	step    int
	crashAt int
	cancel  context.CancelFunc
	crashed bool
}

func (c *crashingPlatform) advance() bool {
	c.step++
	if c.step == c.crashAt {
		c.crashed = true
		c.cancel()
	}
	return c.crashed
}

// call runs a call between two steps.
func (c *crashingPlatform) call(operation func() error) error {
	if c.advance() {
		return errUnreachable
	}
	err := operation()
	if c.advance() {
		return errUnreachable
	}
	return err
}

func (c *crashingPlatform) Get(ctx context.Context, key string) (value platform.Value, err error) {
	err = c.call(func() error {
		value, err = c.fleet.Get(ctx, key)
		return err
	})
	return value, err
}

func (c *crashingPlatform) List(ctx context.Context, prefix string) (reply platform.ListReply, err error) {
	err = c.call(func() error {
		reply, err = c.fleet.List(ctx, prefix)
		return err
	})
	return reply, err
}

func (c *crashingPlatform) Report(ctx context.Context, usage platform.Usage, guard func() error) error {
	return c.call(func() error { return c.fleet.Report(ctx, usage, guard) })
}

func (c *crashingPlatform) CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease uint64) (revision uint64, err error) {
	err = c.call(func() error {
		revision, err = c.fleet.CompareAndSwap(ctx, key, expect, data, lease)
		return err
	})
	return revision, err
}

const (
	length        = time.Minute
	settle        = 5 * time.Second
	lease         = 10 * time.Second
	reportTimeout = 2 * time.Second
)

func newReporter(fleet *fleet, platform usage.Platform, name string) *usage.Reporter {
	return &usage.Reporter{
		Process:         name,
		Platform:        platform,
		Collector:       &usage.Collector{Directory: fleet, Peers: fleet},
		Offer:           func(*peerpb.Fact) bool { return true },
		Window:          length,
		Settle:          settle,
		MaxLateness:     10 * length,
		WindowRetention: time.Hour,
		Interval:        time.Second,
		Lease:           lease,
		ReportTimeout:   reportTimeout,
	}
}
