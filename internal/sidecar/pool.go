// Package sidecar is the entry's client for sidecars: it chooses a backend server for a
// request, and receives the answer over as many connections as necessary.
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

// Sink receives the frames of one answer in order, each once, without heartbeats.
type Sink func(*peerpb.Frame) error

// Restart discards the frames that a sink received, so that the request can run again on
// another server. It returns false if that is not possible.
type Restart func() bool

// Pool holds the connections to sidecars and sends requests to them. Exported fields are
// set before the first request.
type Pool struct {
	Members     *member.Members
	Decisions   *decision.Log
	Credentials credentials.TransportCredentials
	// ReadTimeout is the longest time without a frame from a sidecar.
	ReadTimeout time.Duration
	// Homes finds the servers for requests with a claim; if nil, these are refused.
	Homes Homes
	// OnCounts, if not nil, receives the usage counters at the end of an answer.
	OnCounts func([]*peerpb.Count)
	// Metrics registers the pool's metrics; nil leaves them unregistered.
	Metrics prometheus.Registerer

	setupOnce   sync.Once
	connections connections
	directory   directory
	cancels     chan cancellation
	budget      *lockedBudget
	metrics     *metrics
}

// Homes finds the only backend server that may run a claim.
type Homes interface {
	// Home returns a claim's server in a pool, and the epoch of the fleet that determined
	// it; server is empty if none is known.
	Home(pool, claim string) (server string, epoch uint64)
}

// Run sends a request to a server of its pool and passes the answer's frames to sink. It
// returns the end frame if the answer is complete. Otherwise it returns an error, which is
// a *refusal.Error unless sink failed or the context ended.
func (p *Pool) Run(ctx context.Context, request *peerpb.RunRequest, sink Sink) (*peerpb.End, error) {
	return p.RunRestartable(ctx, request, sink, nil)
}

// RunRestartable is Run for a sink that can discard the frames that it received: an
// idempotent request can then run again on another server after a part of its answer was
// received.
func (p *Pool) RunRestartable(ctx context.Context, request *peerpb.RunRequest, sink Sink, restart Restart) (*peerpb.End, error) {
	p.setupOnce.Do(p.setup)
	p.budget.addRequest(time.Now())
	r := &run{pool: p, ctx: ctx, request: request, sink: sink, restart: restart, prefix: prefixOf(request), tried: map[string]bool{}, start: time.Now()}
	return r.execute()
}

// SendCancellations sends cancellations to sidecars until the context ends.
func (p *Pool) SendCancellations(ctx context.Context) error {
	p.setupOnce.Do(p.setup)
	var group sync.WaitGroup
	for range cancelWorkers {
		group.Go(func() { p.runCancelWorker(ctx) })
	}
	group.Wait()
	return nil
}

func (p *Pool) setup() {
	p.connections.credentials = p.Credentials
	p.cancels = make(chan cancellation, cancelQueueSize)
	p.budget = &lockedBudget{}
	p.metrics = newMetrics(p.Metrics)
	self := p.Members.Self()
	p.directory.chooser = &route.Chooser{Region: self.GetRegion(), Zone: self.GetZone()}
	p.directory.members = p.Members
	p.directory.closeUnused = p.connections.closeUnused
}

func (p *Pool) reportCounts(end *peerpb.End) {
	if p.OnCounts != nil && len(end.GetCounts()) > 0 {
		p.OnCounts(end.GetCounts())
	}
}

// countRefusal counts a refusal and returns it.
func (p *Pool) countRefusal(refused *refusal.Error) *refusal.Error {
	p.metrics.refusals.WithLabelValues(refused.Code).Inc()
	return refused
}
