// Package entry serves entries on a sidecar: it takes their requests, queues
// them, passes each to the backend server once and streams the answer.
//
// A request is known by its identity from its first send until a while after
// its end. An entry that lost a connection sends it again under the same
// identity and joins the run that is there; it is never passed on twice.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	// retryElsewhere is when a request that another server can take should come back.
	retryElsewhere = time.Second
	// sweepInterval is the time between two looks at ended and abandoned runs.
	sweepInterval = time.Second
	// longestRun bounds requests that come without a time left.
	longestRun = 10 * time.Minute
)

// Backend passes requests to the backend server.
type Backend interface {
	// Run passes a request once. It returns the end of a whole answer or an
	// error, which is a *refusal.Error unless sink failed.
	Run(ctx context.Context, request *peerpb.RunRequest, sink backend.Sink) (*peerpb.End, error)
	// Version returns the newest weight version that the backend server showed.
	Version() uint64
}

// UsageCounter counts usage and returns the counters that changed.
type UsageCounter interface {
	Add(account, pool string, now time.Time, prompt, output uint64) []*peerpb.Count
}

// LoadReporter takes the server's own load for other processes.
type LoadReporter interface {
	OfferLoad(load *peerpb.Load)
}

// Server is the gRPC service for entries and other sidecars.
// Exported fields are set before Serve.
type Server struct {
	peerpb.UnimplementedSidecarServer

	// Name is the identity of the backend server, Pool what it serves.
	Name string
	Pool string

	Backend   Backend
	Decisions *decision.Log
	// Metrics may be nil.
	Metrics prometheus.Registerer
	Loads   LoadReporter
	// Claims keeps the claims of idempotency keys; without it requests that come
	// with one are refused.
	Claims *Claims
	// Counter may be nil.
	Counter UsageCounter
	// OnDraining is told when an order starts or ends a drain; it may be nil.
	OnDraining func(draining bool)
	// MaxRunning are the requests passed to the backend server at the same time.
	MaxRunning int
	// MaxQueued is the most requests that wait.
	MaxQueued int
	// Retention is how long a finished request stays known.
	Retention time.Duration
	// HeartbeatInterval is the longest time without a frame on a stream.
	HeartbeatInterval time.Duration

	gate     gate
	registry registry
	loads    loadSequence
	orders   orders
	metrics  *metrics
}

var _ peerpb.SidecarServer = &Server{}

// Cancel ends a request and stops it at the backend server.
func (s *Server) Cancel(_ context.Context, request *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	run := s.registry.find(request.GetId())
	if run == nil {
		return &peerpb.CancelReply{}, nil
	}
	isStopped := run.cancel()
	s.Decisions.Record(request.GetId(), "backend", "given up by its caller, stopped %t: %s", isStopped, request.GetReason())
	return peerpb.CancelReply_builder{Known: true}.Build(), nil
}

// Claim keeps a claim as the witness of another server's request.
func (s *Server) Claim(_ context.Context, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	if s.Claims == nil {
		return refuseClaim("no_claims", "%s keeps no claims", s.Name), nil
	}
	reply := s.Claims.witness(request, s.registry.find)
	s.Decisions.Record(request.GetId(), "backend", "claim for %s witnessed here: new %t, held by %s", request.GetServer(), reply.GetRecorded(), reply.GetId())
	return reply, nil
}

// Recall returns the claims that are kept here.
func (s *Server) Recall(_ context.Context, request *peerpb.RecallRequest) (*peerpb.RecallReply, error) {
	if s.Claims == nil || request.GetPool() != s.Pool {
		refused := refusal.NotRun(http.StatusServiceUnavailable, "no_claims", "%s keeps no claims of %s", s.Name, request.GetPool())
		return peerpb.RecallReply_builder{Refusal: refused.ToMessage()}.Build(), nil
	}
	return s.Claims.all(time.Now()), nil
}

// Run starts a request, or joins the one known under its identity, and streams
// its frames from a position.
func (s *Server) Run(request *peerpb.RunRequest, stream grpc.ServerStreamingServer[peerpb.Frame]) error {
	reader := s.newReader(request, stream)
	run, err := s.join(request)
	if err != nil {
		if mayHaveRun(request, s.remembersAll(time.Now())) {
			err = unsure(err)
		}
		s.metrics.refused(err)
		return reader.refuse(err)
	}
	return reader.follow(run)
}

// Maintain forgets old runs and ends abandoned ones until the context ends.
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

// check refuses what this server can't run at all.
func (s *Server) check(request *peerpb.RunRequest) *refusal.Error {
	switch {
	case request.GetId() == "":
		return refusal.NotRun(http.StatusBadRequest, "no_id", "the request has no identity")
	case isClaimed(request) && s.Claims == nil:
		return refusal.NotRun(http.StatusServiceUnavailable, "no_claims", "%s keeps no claims", s.Name)
	case request.GetPool() != s.Pool:
		return refusal.NotRun(http.StatusServiceUnavailable, "wrong_pool", "%s serves %s", s.Name, s.Pool).WithRetryAfter(retryElsewhere)
	default:
		return nil
	}
}

// join returns the run of the request's identity or claim and starts it if it is new.
func (s *Server) join(request *peerpb.RunRequest) (*run, *refusal.Error) {
	if refused := s.check(request); refused != nil {
		return nil, refused
	}
	if !isClaimed(request) {
		return s.joinIdentity(request)
	}
	s.Claims.mutex.Lock()
	defer s.Claims.mutex.Unlock()
	return s.joinClaim(request)
}

// joinClaim returns the run that has the request's claim. The same key sent
// twice at once finds the first run here, whichever entry it came through.
func (s *Server) joinClaim(request *peerpb.RunRequest) (*run, *refusal.Error) {
	if known := s.registry.find(request.GetId()); known != nil && !known.isNotRun() {
		return s.joinIdentity(request)
	}
	run, refused := s.Claims.hold(request, s.registry.find)
	switch {
	case refused != nil:
		s.Decisions.Record(request.GetId(), "backend", "refused, %v", refused)
		return nil, refused
	case run != nil:
		run.share()
		s.Decisions.Record(request.GetId(), "backend", "joined %s by its claim", run.id)
		return run, nil
	default:
		return s.joinIdentity(request)
	}
}

func (s *Server) joinIdentity(request *peerpb.RunRequest) (*run, *refusal.Error) {
	run, isNew, refused := s.registry.join(request, s.remembersAll(time.Now()))
	if refused != nil {
		s.Decisions.Record(request.GetId(), "backend", "refused, %v", refused)
		return nil, refused
	}
	if !isNew {
		s.Decisions.Record(request.GetId(), "backend", "joined from frame %d", request.GetFrom())
		return run, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeLeft(request))
	run.start(cancel)
	go func() {
		defer cancel()
		s.execute(ctx, run)
	}()
	return run, nil
}

// remembersAll reports whether this process knows every request that its backend
// server may have got and that may still be sent again: no process was before
// it, or it is older than any request.
func (s *Server) remembersAll(now time.Time) bool {
	return s.Claims != nil && (s.Claims.Members.IsFirstProcess() || now.Sub(s.Claims.Started) >= longestRun)
}

func timeLeft(request *peerpb.RunRequest) time.Duration {
	if !request.HasTimeout() {
		return longestRun
	}
	return min(request.GetTimeout().AsDuration(), longestRun)
}
