// Package sidecar speaks to sidecars on behalf of an entry: it places a request
// on a backend server, and follows its answer over as many connections as that takes.
package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc/credentials"

	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

// Sink takes the frames of one answer in order, each once; beats are left out.
type Sink func(*peerpb.Frame) error

// Restart makes a sink forget what it took, so that the request can run again
// elsewhere. It reports false where that can't be.
type Restart func() bool

// Pool holds the connections to sidecars and sends requests to them.
// Exported fields are set before the first request.
type Pool struct {
	Members     *member.Members
	Decisions   *decision.Log
	Credentials credentials.TransportCredentials
	// ReadTimeout is how long a sidecar may send nothing.
	ReadTimeout time.Duration
	// Homes places requests that carry a claim; nil refuses them.
	Homes Homes
	// OnCounts takes the counters that end an answer; nil drops them.
	OnCounts func([]*peerpb.Count)
	// Metrics takes the pool's metrics; nil keeps them to itself.
	Metrics prometheus.Registerer

	once        sync.Once
	connections connections
	directory   directory
	cancels     chan cancellation
	budget      *lockedBudget
	metrics     *metrics
}

// Homes finds the one backend server at which a claim may run.
type Homes interface {
	// Home returns the server of a pool for a claim, and the epoch of the
	// pool's servers by which it was chosen; no server if none is known.
	Home(pool, claim string) (server string, epoch uint64)
}

// Run sends a request to a server of its pool and gives the answer's frames to
// sink. It returns the end frame once the answer is whole, else an error, which
// is a *refusal.Error unless sink failed or the context ended.
func (p *Pool) Run(ctx context.Context, request *peerpb.RunRequest, sink Sink) (*peerpb.End, error) {
	return p.RunRestartable(ctx, request, sink, nil)
}

// RunRestartable is Run for a sink that can forget what it took: an idempotent
// request then runs again elsewhere also after a part of its answer has come.
func (p *Pool) RunRestartable(ctx context.Context, request *peerpb.RunRequest, sink Sink, restart Restart) (*peerpb.End, error) {
	p.once.Do(p.open)
	p.budget.request(time.Now())
	r := &run{pool: p, ctx: ctx, request: request, sink: sink, restart: restart, prefix: prefixOf(request), tried: map[string]bool{}, began: time.Now()}
	return r.follow()
}

// Serve tells sidecars of callers who left, until the context ends.
func (p *Pool) Serve(ctx context.Context) error {
	p.once.Do(p.open)
	var group sync.WaitGroup
	for range cancelWorkers {
		group.Go(func() { p.sendCancels(ctx) })
	}
	group.Wait()
	return nil
}

func (p *Pool) open() {
	p.connections.credentials = p.Credentials
	p.cancels = make(chan cancellation, cancelQueue)
	p.budget = &lockedBudget{}
	p.metrics = newMetrics(p.Metrics)
	self := p.Members.Self()
	p.directory.chooser = &route.Chooser{Region: self.GetRegion(), Zone: self.GetZone()}
	p.directory.members = p.Members
	p.directory.retain = p.connections.retain
}

func (p *Pool) counted(end *peerpb.End) {
	if p.OnCounts != nil && len(end.GetCounts()) > 0 {
		p.OnCounts(end.GetCounts())
	}
}

func (p *Pool) refuse(refused *refusal.Error) *refusal.Error {
	p.metrics.refusals.WithLabelValues(refused.Code).Inc()
	return refused
}
