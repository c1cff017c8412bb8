// Package entry implements the service of a sidecar for entries: it queues their
// requests, forwards each request to the backend server once and streams the answer.
//
// A request is known by its ID from its first send until some time after its end. An
// entry that lost a connection resends the request with the same ID and joins the
// existing run; a known request is never forwarded twice.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/budget"
	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	// retryDelay is the retry delay of a refused request that another server can take.
	retryDelay = time.Second
	// sweepInterval is the time between sweeps of ended and abandoned runs.
	sweepInterval = time.Second
	// maxRunTime is the upper bound of a request's timeout, and the default.
	maxRunTime = 10 * time.Minute
)

// Backend forwards requests to the backend server.
type Backend interface {
	// Run forwards a request once. It returns the end of a complete answer or an
	// error, which is a *refusal.Error unless sink failed.
	Run(ctx context.Context, request *peerpb.RunRequest, sink backend.Sink) (*peerpb.End, error)
	// Version returns the newest weight version that the backend server reported.
	Version() uint64
}

// UsageCounter adds usage and returns the counters that changed.
type UsageCounter interface {
	Add(account, pool string, now time.Time, prompt, output uint64) []*peerpb.Count
}

// LoadReporter publishes the server's load to other processes.
type LoadReporter interface {
	OfferLoad(load *peerpb.Load)
}

// Server is the gRPC service for entries and other sidecars.
// Exported fields must be set before Init.
type Server struct {
	peerpb.UnimplementedSidecarServer

	// Name is the ID of the backend server, Pool the pool that it serves.
	Name string
	Pool string

	Backend   Backend
	Decisions *decision.Log
	// Metrics may be nil.
	Metrics prometheus.Registerer
	Loads   LoadReporter
	// Claims records the claims of idempotency keys. If it is nil, non-idempotent
	// requests with a claim are refused.
	Claims *Claims
	// Counter may be nil.
	Counter UsageCounter
	// OnDraining is called when an order starts or ends a drain; it may be nil.
	OnDraining func(draining bool)
	// Memory bounds what requests hold until they end; nil sets no bound.
	Memory *budget.Budget
	// MaxRunning is the maximum number of concurrent requests to the backend server.
	MaxRunning int
	// MaxQueued is the maximum number of queued requests.
	MaxQueued int
	// Retention is how long an ended request stays known.
	Retention time.Duration
	// HeartbeatInterval is the longest time without a frame on a stream.
	HeartbeatInterval time.Duration

	limiter      limiter
	registry     registry
	loadSequence loadSequence
	orders       orderState
	metrics      *metrics
}

var _ peerpb.SidecarServer = &Server{}

// Cancel stops a request, also at the backend server. Forwarded non-idempotent requests
// and runs that another caller has joined continue.
func (s *Server) Cancel(_ context.Context, request *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	run := s.registry.find(request.GetId())
	if run == nil {
		return &peerpb.CancelReply{}, nil
	}
	isStopped := run.cancel()
	s.Decisions.Record(request.GetId(), "backend", "given up by its caller, stopped %t: %s", isStopped, request.GetReason())
	return peerpb.CancelReply_builder{Known: true}.Build(), nil
}

// Claim records a claim as the witness of another server's request.
func (s *Server) Claim(_ context.Context, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	if s.Claims == nil {
		return refuseClaim("no_claims", "%s keeps no claims", s.Name), nil
	}
	reply := s.Claims.witnessClaim(request, s.registry.find)
	s.Decisions.Record(request.GetId(), "backend", "claim for %s witnessed here: new %t, held by %s", request.GetServer(), reply.GetRecorded(), reply.GetId())
	return reply, nil
}

// Recall returns the claims recorded here.
func (s *Server) Recall(_ context.Context, request *peerpb.RecallRequest) (*peerpb.RecallReply, error) {
	if s.Claims == nil || request.GetPool() != s.Pool {
		refused := refusal.NotRun(http.StatusServiceUnavailable, "no_claims", "%s keeps no claims of %s", s.Name, request.GetPool())
		return peerpb.RecallReply_builder{Refusal: refused.ToMessage()}.Build(), nil
	}
	return s.Claims.newRecallReply(time.Now()), nil
}

// Run starts a request, or joins the run with its ID or claim, and streams the
// frames from a position.
func (s *Server) Run(request *peerpb.RunRequest, stream grpc.ServerStreamingServer[peerpb.Frame]) error {
	reader := s.newReader(request, stream)
	run, err := s.join(request)
	if err != nil {
		if mayHaveRun(request, s.knowsAllRequests(time.Now())) {
			err = toUnknown(err)
		}
		s.metrics.observeRefusal(err)
		return reader.refuse(err)
	}
	return reader.follow(run)
}

// Maintain sweeps runs and publishes the server's load until the context ends.
func (s *Server) Maintain(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.registry.sweep(now, s.Retention)
			s.Loads.OfferLoad(s.load())
		}
	}
}

// check refuses requests that this server can't run.
func (s *Server) check(request *peerpb.RunRequest) *refusal.Error {
	switch {
	case request.GetId() == "":
		return refusal.NotRun(http.StatusBadRequest, "no_id", "the request has no identity")
	case isClaimed(request) && s.Claims == nil:
		return refusal.NotRun(http.StatusServiceUnavailable, "no_claims", "%s keeps no claims", s.Name)
	case request.GetPool() != s.Pool:
		return refusal.NotRun(http.StatusServiceUnavailable, "wrong_pool", "%s serves %s", s.Name, s.Pool).WithRetryAfter(retryDelay)
	default:
		return nil
	}
}

// join returns the run with the request's ID or claim and starts it if it is new.
func (s *Server) join(request *peerpb.RunRequest) (*run, *refusal.Error) {
	if refused := s.check(request); refused != nil {
		return nil, refused
	}
	if !isClaimed(request) {
		return s.joinByID(request)
	}
	s.Claims.mutex.Lock()
	defer s.Claims.mutex.Unlock()
	return s.joinByClaim(request)
}

// joinByClaim returns the run that holds the request's claim. Concurrent requests
// with the same key share one run, whichever entries they came through.
func (s *Server) joinByClaim(request *peerpb.RunRequest) (*run, *refusal.Error) {
	if known := s.registry.find(request.GetId()); known != nil && !known.isNotRun() {
		return s.joinByID(request)
	}
	run, refused := s.Claims.acquire(request, s.registry.find)
	switch {
	case refused != nil:
		s.Decisions.Record(request.GetId(), "backend", "refused, %v", refused)
		return nil, refused
	case run != nil:
		run.markShared()
		s.Decisions.Record(request.GetId(), "backend", "joined %s by its claim", run.id)
		return run, nil
	default:
		return s.joinByID(request)
	}
}

func (s *Server) joinByID(request *peerpb.RunRequest) (*run, *refusal.Error) {
	run, isNew, refused := s.registry.join(request, s.knowsAllRequests(time.Now()))
	if refused != nil {
		s.Decisions.Record(request.GetId(), "backend", "refused, %v", refused)
		return nil, refused
	}
	if !isNew {
		s.Decisions.Record(request.GetId(), "backend", "joined from frame %d", request.GetFrom())
		return run, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeLeft(request))
	run.setStop(cancel)
	go func() {
		defer cancel()
		s.execute(ctx, run)
	}()
	return run, nil
}

// knowsAllRequests reports whether this process knows every request that its backend
// server may have received and that may still be resent: it is the first process, or has
// run for longer than any request.
func (s *Server) knowsAllRequests(now time.Time) bool {
	return s.Claims != nil && (s.Claims.Members.IsFirstProcess() || now.Sub(s.Claims.Started) >= maxRunTime)
}

func timeLeft(request *peerpb.RunRequest) time.Duration {
	if !request.HasTimeout() {
		return maxRunTime
	}
	return min(request.GetTimeout().AsDuration(), maxRunTime)
}
