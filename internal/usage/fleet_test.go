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

var errGone = &platform.UnavailableError{Operation: "call", Cause: errors.New("gone")}

// fleet is the processes that hold counters, and the platform.
type fleet struct {
	platformtest.Store

	mutex     sync.Mutex
	processes []*peerpb.Process
	ledgers   map[string]*usage.Ledger
	dead      map[string]bool
	reports   []platform.Usage
	// loseReports loses answers of reports.
	loseReports int
	// counters are those of sidecars; collected counts what was sent to reporters.
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
		return nil, errGone
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
		return errGone
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
		return errGone
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

// sent returns the reports that arrived.
func (f *fleet) sent() []platform.Usage {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]platform.Usage{}, f.reports...)
}

// mortal is a reporter's way to the platform; it ends at a step, before or after the call takes effect.
type mortal struct {
	*fleet

	steps  int
	dieAt  int
	killed context.CancelFunc
	gone   bool
}

func (m *mortal) step() bool {
	m.steps++
	if m.steps == m.dieAt {
		m.gone = true
		m.killed()
	}
	return m.gone
}

// call makes a call between two steps.
func (m *mortal) call(effect func() error) error {
	if m.step() {
		return errGone
	}
	err := effect()
	if m.step() {
		return errGone
	}
	return err
}

func (m *mortal) Get(ctx context.Context, key string) (value platform.Value, err error) {
	err = m.call(func() error {
		value, err = m.fleet.Get(ctx, key)
		return err
	})
	return value, err
}

func (m *mortal) List(ctx context.Context, prefix string) (reply platform.ListReply, err error) {
	err = m.call(func() error {
		reply, err = m.fleet.List(ctx, prefix)
		return err
	})
	return reply, err
}

func (m *mortal) Report(ctx context.Context, usage platform.Usage, guard func() error) error {
	return m.call(func() error { return m.fleet.Report(ctx, usage, guard) })
}

func (m *mortal) CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease uint64) (revision uint64, err error) {
	err = m.call(func() error {
		revision, err = m.fleet.CompareAndSwap(ctx, key, expect, data, lease)
		return err
	})
	return revision, err
}

const (
	length = time.Minute
	settle = 5 * time.Second
	lease  = 10 * time.Second
	bound  = 2 * time.Second
)

func newReporter(fleet *fleet, platform usage.Platform, name string) *usage.Reporter {
	return &usage.Reporter{
		Process:   name,
		Platform:  platform,
		Collector: &usage.Collector{Directory: fleet, Peers: fleet},
		Offer:     func(*peerpb.Fact) bool { return true },
		Window:    length,
		Settle:    settle,
		Retain:    10 * length,
		Keep:      time.Hour,
		Interval:  time.Second,
		Lease:     lease,
		ReportTimeout:     bound,
	}
}
