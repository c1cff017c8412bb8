package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// execute brings a run to its end: a whole answer or a refusal.
func (s *Server) execute(ctx context.Context, run *run) {
	end, err := s.perform(ctx, run)
	if err == nil {
		s.metrics.ended()
		run.end(end)
		s.Decisions.Record(run.id, "backend", "ended, %s, %d tokens", end.GetFinish(), end.GetOutputTokens())
	} else {
		refused := run.classify(err)
		s.metrics.refused(refused)
		run.refuse(refused)
		s.Decisions.Record(run.id, "backend", "refused, %v", refused)
	}
	s.registry.ended(run, time.Now())
	s.Loads.OfferLoad(s.load())
}

// perform waits for a slot and passes the request on.
func (s *Server) perform(ctx context.Context, run *run) (*peerpb.End, error) {
	request := run.request
	began := time.Now()
	share := newShare(request, began.Add(timeLeft(request)))
	if refused := s.gate.enter(ctx, share); refused != nil {
		return nil, refused
	}
	s.metrics.waited(time.Since(began))
	end, err := s.confirmAndPass(ctx, run)
	s.gate.leave(share, trueCost(share, end))
	return end, err
}

// confirmAndPass passes the request on once its claim, if it has one, is kept
// by its witness, or relays the answer of the sidecar that has the claim.
func (s *Server) confirmAndPass(ctx context.Context, run *run) (*peerpb.End, error) {
	if !isClaimed(run.request) {
		return s.pass(ctx, run)
	}
	holder, refused := s.Claims.confirm(ctx, run.request)
	switch {
	case refused != nil:
		return nil, refused
	case holder != nil:
		return s.relay(ctx, run, holder)
	default:
		return s.pass(ctx, run)
	}
}

// pass gives the request to the backend server. That it was passed is noted
// before: a sidecar that noted it afterwards could say "not run" of a request
// that the backend server is running.
func (s *Server) pass(ctx context.Context, run *run) (*peerpb.End, error) {
	if !run.pass() {
		return nil, refusal.NotRun(statusCancelled, "cancelled", "the request was cancelled before it was passed on")
	}
	s.Decisions.Record(run.id, "backend", "passed to %s for %s", s.Name, run.request.GetAccount())
	end, err := s.Backend.Run(ctx, run.request, run.add)
	switch {
	case err == nil:
		end.SetCounts(s.count(run.request, end.GetPromptTokens(), end.GetOutputTokens()))
		return end, nil
	case ctx.Err() != nil && run.tokens() > 0:
		// What the caller got before it gave up was served.
		s.count(run.request, 0, run.tokens())
	}
	return nil, err
}

// count counts a request's usage and returns the counters that changed.
func (s *Server) count(request *peerpb.RunRequest, prompt, output uint64) []*peerpb.Count {
	if s.Counter == nil {
		return nil
	}
	return s.Counter.Add(request.GetAccount(), request.GetPool(), time.Now(), prompt, output)
}

// classify turns an error into a refusal that claims no more than is proved: a
// run whose answer has begun is never "not run", nor is one of which an earlier
// send went to the process before this one. That process may have passed it on;
// the caller would read "not run" and send it again as a new request.
func (r *run) classify(err error) *refusal.Error {
	var refused *refusal.Error
	if !errors.As(err, &refused) {
		refused = refusal.Unknown(http.StatusBadGateway, "failed", "%v", err)
	}
	if r.mayHaveRun || r.length() > 0 {
		return unsure(refused)
	}
	return refused
}

// unsure returns a refusal that doesn't say "not run".
func unsure(refused *refusal.Error) *refusal.Error {
	return refusal.Unknown(refused.Status, refused.Code, "%s", refused.Message).WithRetryAfter(refused.RetryAfter)
}
