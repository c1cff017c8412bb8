package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/budget"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// requestOverheadBytes is the memory of a request beside its message.
const requestOverheadBytes = 16 << 10

// execute runs a request and ends its run with a complete answer or a refusal.
func (s *Server) execute(ctx context.Context, run *run) {
	end, err := s.runInSlot(ctx, run)
	if err == nil {
		s.metrics.observeAnswer()
		run.end(end)
		s.Decisions.Record(run.id, "backend", "ended, %s, %d tokens", end.GetFinish(), end.GetOutputTokens())
	} else {
		refused := run.toRefusal(err)
		s.metrics.observeRefusal(refused)
		run.refuse(refused)
		s.Decisions.Record(run.id, "backend", "refused, %v", refused)
	}
	s.registry.markEnded(run, time.Now())
	s.Loads.OfferLoad(s.load())
}

// runInSlot waits for a slot and forwards the request.
func (s *Server) runInSlot(ctx context.Context, run *run) (*peerpb.End, error) {
	request := run.request
	reservation, refused := s.takeMemory(request)
	if refused != nil {
		return nil, refused
	}
	defer reservation.Release()
	start := time.Now()
	queueRequest := newQueueRequest(request, start.Add(timeLeft(request)))
	if refused := s.limiter.acquire(ctx, queueRequest); refused != nil {
		return nil, refused
	}
	s.metrics.observeWait(time.Since(start))
	end, err := s.confirmAndForward(ctx, run)
	s.limiter.release(queueRequest, actualCost(queueRequest, end))
	return end, err
}

// takeMemory takes the memory of a request. Entries bound what they send, but many of them may send to one sidecar.
func (s *Server) takeMemory(request *peerpb.RunRequest) (*budget.Reservation, *refusal.Error) {
	if s.Memory == nil {
		return nil, nil
	}
	reservation := s.Memory.NewReservation()
	reservation.Assign(request.GetAccount())
	if !reservation.TryGrow(int64(proto.Size(request)) + requestOverheadBytes) {
		return nil, refusal.NotRun(http.StatusServiceUnavailable, "no_memory", "other requests hold the memory of %s", s.Name).WithRetryAfter(retryDelay)
	}
	return reservation, nil
}

// confirmAndForward forwards the request to the backend server. The witness must first
// record the request's claim, if it has one; if another sidecar holds the claim, that
// sidecar's answer is relayed instead.
func (s *Server) confirmAndForward(ctx context.Context, run *run) (*peerpb.End, error) {
	if !isClaimed(run.request) {
		return s.forward(ctx, run)
	}
	holder, refused := s.Claims.confirm(ctx, run.request)
	switch {
	case refused != nil:
		return nil, refused
	case holder != nil:
		return s.relay(ctx, run, holder)
	default:
		return s.forward(ctx, run)
	}
}

// forward sends the request to the backend server. The run is marked as
// forwarded first: a later mark would allow the outcome "not run" for a request
// that the backend server is running.
func (s *Server) forward(ctx context.Context, run *run) (*peerpb.End, error) {
	if !run.markForwarded() {
		return nil, refusal.NotRun(statusCancelled, "cancelled", "the request was cancelled before it was passed on")
	}
	s.Decisions.Record(run.id, "backend", "passed to %s for %s", s.Name, run.request.GetAccount())
	end, err := s.Backend.Run(ctx, run.request, run.add)
	switch {
	case err == nil:
		end.SetCounts(s.addUsage(run.request, end.GetPromptTokens(), end.GetOutputTokens()))
		return end, nil
	case ctx.Err() != nil && run.tokens() > 0:
		// Tokens sent before the caller cancelled count as usage.
		s.addUsage(run.request, 0, run.tokens())
	}
	return nil, err
}

// addUsage adds a request's usage and returns the counters that changed.
func (s *Server) addUsage(request *peerpb.RunRequest, prompt, output uint64) []*peerpb.Count {
	if s.Counter == nil {
		return nil
	}
	return s.Counter.Add(request.GetAccount(), request.GetPool(), time.Now(), prompt, output)
}

// toRefusal converts an error into a refusal. The outcome is never "not run" once the
// answer has begun or if an earlier send may have reached the previous process: that
// process may have forwarded the request, and a caller that reads "not run" would send it
// again as a new request.
func (r *run) toRefusal(err error) *refusal.Error {
	var refused *refusal.Error
	if !errors.As(err, &refused) {
		refused = refusal.Unknown(http.StatusBadGateway, "failed", "%v", err)
	}
	if r.mayHaveRun || r.frameCount() > 0 {
		return toUnknown(refused)
	}
	return refused
}

// toUnknown returns the refusal with the outcome "unknown".
func toUnknown(refused *refusal.Error) *refusal.Error {
	return refusal.Unknown(refused.Status, refused.Code, "%s", refused.Message).WithRetryAfter(refused.RetryAfter)
}
