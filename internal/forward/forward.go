package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/admission"
	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/poison"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
)

const (
	// maxBufferedBytes limits how much of an answer is buffered until it is complete, so
	// that an interrupted answer can be requested from another server. Typical answers have
	// 1 KB.
	maxBufferedBytes = 256 << 10
	// fullRetryAfter is the Retry-After of requests that found no free capacity: about the
	// time in which some slots of a pool become free.
	fullRetryAfter = 100 * time.Millisecond
	// noServerRetryAfter is the Retry-After if the pool has no known server: about the time
	// in which a server registers.
	noServerRetryAfter = time.Second
	// streamReadTimeout is the read timeout of a stream that can resume on another server:
	// callers disconnect after two seconds at the earliest.
	streamReadTimeout = 1500 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of requests that a stopping process refuses: other processes serve them.
	stoppingRetryAfter = 50 * time.Millisecond
	// retryDelay is the delay before servers without free capacity are asked again.
	retryDelay = 15 * time.Millisecond
)

// Forwarder sends callers' requests to backend servers. Exported fields are set before the
// first request.
type Forwarder struct {
	Roster *roster.Roster
	// Quarantine refuses requests that crash backend servers; nil refuses none.
	Quarantine *poison.Quarantine
	// Admission refuses requests to overloaded pools; nil refuses none.
	Admission Admission
	// IsPlainPool reports whether a pool has no models. Only such pools take part in admission; with nil all do.
	IsPlainPool func(pool string) bool
	// Metrics registers the metrics of admission; nil leaves them unregistered.
	Metrics prometheus.Registerer

	once    sync.Once
	metrics *metrics
}

// Run sends a request until a backend server has answered it. The error is a
// *refusal.Error; its outcome is "not run" only if the request certainly did not run.
func (f *Forwarder) Run(ctx context.Context, request *Request) (*Answer, error) {
	run := &run{
		forwarder: f,
		request:   request,
		pool:      request.Route.Pool(rand.Float64()),
		policy:    policy{maxAttempts: request.Route.MaxAttempts, repeatable: request.isRepeatable(), latencyTarget: request.Route.LatencyTarget},
		tried:     map[string]bool{},
		tracker:   f.track(request),
	}
	run.gate = f.newGate(request, run.pool)
	ctx, cancel := context.WithTimeout(ctx, request.left())
	answer, err := run.execute(ctx)
	if err != nil {
		cancel()
		run.tracker.Close()
		return nil, err
	}
	finish := answer.Finish
	answer.Finish = func() { finish(); cancel(); run.tracker.Close() }
	return answer, nil
}

// track returns the tracker of a request. Scorers' requests belong to items of batches, which never crash servers by
// themselves, and without a score the item is never listed.
func (f *Forwarder) track(request *Request) *poison.Tracker {
	quarantine := f.Quarantine
	if request.Class == admission.Scorers {
		quarantine = nil
	}
	return quarantine.Track(request.ID, request.identity())
}

// run is the state of one request across its attempts.
type run struct {
	forwarder *Forwarder
	request   *Request
	pool      string
	policy    policy
	tried     map[string]bool
	tracker   *poison.Tracker
	gate      *gate
	received  bool
}

func (r *run) execute(ctx context.Context) (*Answer, error) {
	if err := r.gate.admit(); err != nil {
		r.forwarder.Roster.RecordNoRoom(r.pool)
		return nil, err
	}
	var last error
	for {
		if err := r.request.checkStop(); err != nil {
			return nil, r.refuse(ctx, err)
		}
		server, reason := r.forwarder.Roster.Choose(r.pool, r.tried)
		if server == nil {
			if retry, err := r.resetTried(ctx, last); !retry {
				return nil, err
			}
			continue
		}
		if err := r.tracker.Admit(ctx); err != nil {
			r.forwarder.Roster.Finish(server)
			return nil, r.refuse(ctx, err)
		}
		klog.InfoS("route: server chosen", "id", r.request.ID, "route", r.request.Route.Name, "server", server.Name(), "running", r.forwarder.Roster.Running(server), "reason", reason, "tried", len(r.tried), "left", r.request.left())
		r.tried[server.Name()] = true
		answer, err := r.tryServer(ctx, server)
		if err == nil {
			return answer, nil
		}
		r.forwarder.Roster.Finish(server)
		r.recordFailure(ctx, server, err)
		last = err
		if ctx.Err() != nil || !r.policy.recordFailure(err, r.request.left()) || !r.mayRetry() {
			return nil, r.refuse(ctx, err)
		}
		klog.InfoS("route: retrying on another server", "id", r.request.ID, "server", server.Name(), "after", err.Error(), "left", r.request.left())
	}
}

// mayRetry reports whether admission allows a further attempt.
func (r *run) mayRetry() bool {
	return r.gate == nil || r.gate.mayRetry(r.forwarder.Roster.HasOpen(r.pool, r.tried))
}

// resetTried makes all servers eligible again after a delay. It returns false and the
// refusal if the pool has no server or is overloaded, the request may have run, or its
// deadline is near.
func (r *run) resetTried(ctx context.Context, last error) (bool, error) {
	if last == nil {
		klog.InfoS("route: no server available", "id", r.request.ID, "pool", r.pool)
		r.forwarder.Roster.RecordNoRoom(r.pool)
		return false, refusal.NotRun(http.StatusServiceUnavailable, "no_server", "no backend server of the pool gets work").WithRetryAfter(noServerRetryAfter)
	}
	if !refusal.IsNotRun(last) || r.request.left() < 2*retryDelay || !r.gate.mayAskAgain() {
		return false, r.refuse(ctx, last)
	}
	if !pause.For(ctx, retryDelay) {
		return false, r.refuse(ctx, last)
	}
	clear(r.tried)
	return true, nil
}

// tryServer sends the request to one server. An answer with an error status counts as a
// failure of the request and is passed on to the caller.
func (r *run) tryServer(ctx context.Context, server *roster.Server) (*Answer, error) {
	left := r.request.left()
	if left <= 0 {
		return nil, refusal.NotRun(http.StatusServiceUnavailable, "no_time", "the request's time was over before it was sent").WithRetryAfter(fullRetryAfter)
	}
	answer, err := r.send(ctx, server)
	if err != nil {
		return nil, err
	}
	return r.readAnswer(ctx, server, answer)
}

func (r *run) send(ctx context.Context, server *roster.Server) (*backend.Answer, error) {
	left, start := r.request.left(), clock.Now()
	answer, err := server.Direct().Do(ctx, r.request.forServer(server.Name(), left, r.readTimeout(left)))
	if err == nil || !refusal.IsNotRun(err) {
		r.markReceived()
	}
	if err == nil {
		took := clock.Now().Sub(start)
		r.forwarder.Roster.RecordAnswer(server)
		if target := r.request.Route.LatencyTarget; target > 0 {
			r.forwarder.Roster.RecordLatency(server, took > target)
		}
		r.gate.recordAnswer(answer.StatusCode, took)
	}
	return answer, err
}

// readTimeout returns the longest time without data from a server. For a stream that can
// resume on another server it is at most the time that callers wait between two events.
func (r *run) readTimeout(left time.Duration) time.Duration {
	if r.request.Route.Kind == table.Stream && r.policy.repeatable {
		return min(left, streamReadTimeout)
	}
	return r.policy.readTimeout(left)
}

func (r *run) markReceived() {
	if r.received {
		return
	}
	r.received = true
	if r.request.OnReceived != nil {
		r.request.OnReceived()
	}
}

// readAnswer reads an answer completely if it is short and not a stream.
func (r *run) readAnswer(ctx context.Context, server *roster.Server, answer *backend.Answer) (*Answer, error) {
	result := &Answer{Answer: answer, Finish: func() {
		_ = answer.Body.Close()
		r.forwarder.Roster.Finish(server)
	}}
	if r.request.Route.Kind == table.Stream && answer.StatusCode < http.StatusMultipleChoices {
		if r.policy.repeatable {
			resumable := newStream(ctx, r, server, answer)
			result.Next, result.Finish = resumable.Next, resumable.close
			return result, nil
		}
		r.observeBody(ctx, server, answer)
		return result, nil
	}
	body, complete, err := answer.ReadAll(maxBufferedBytes, r.request.Memory.TryGrow)
	if err != nil {
		_ = answer.Body.Close()
		return nil, err
	}
	if answer.StatusCode == http.StatusInternalServerError && r.request.OnFailed != nil {
		r.request.OnFailed()
	}
	if answer.StatusCode >= http.StatusInternalServerError && r.policy.repeatable && r.policy.executions+1 < r.policy.maxAttempts {
		return nil, r.rejectFailure(server, answer)
	}
	result.Body, result.Complete = body, complete
	if complete {
		r.recordAnswer(answer)
	} else {
		r.observeBody(ctx, server, answer)
	}
	return result, nil
}

// checkResumed returns an error unless an answer is the rest of a resumed stream. The body of any other answer may look
// like the end of the stream.
func (r *run) checkResumed(server *roster.Server, answer *backend.Answer) error {
	if answer.StatusCode == http.StatusOK {
		return nil
	}
	if _, _, err := answer.ReadAll(maxBufferedBytes, r.request.Memory.TryGrow); err != nil {
		_ = answer.Body.Close()
		return err
	}
	return r.rejectFailure(server, answer)
}

// rejectFailure returns the error of an attempt whose answer was read and reports a failure.
func (r *run) rejectFailure(server *roster.Server, answer *backend.Answer) error {
	_ = answer.Body.Close()
	r.recordAnswer(answer)
	return refusal.Unknown(http.StatusBadGateway, backend.CodeFailed, "%s answered %d", server.Name(), answer.StatusCode)
}

// recordAnswer reports an answer that was read to its end.
func (r *run) recordAnswer(answer *backend.Answer) {
	if answer.IsFramed() {
		r.tracker.RecordAnswer(answer.StatusCode)
	}
}

// observeBody records how the rest of an answer ends that the caller reads directly.
func (r *run) observeBody(ctx context.Context, server *roster.Server, answer *backend.Answer) {
	answer.Body = &observedBody{ReadCloser: answer.Body, onEnd: func(err error) {
		if errors.Is(err, io.EOF) {
			r.recordAnswer(answer)
			return
		}
		failure := answer.Interrupted()
		r.tracker.RecordFailure(ctx, server.Instance(), failure)
		if ctx.Err() == nil && isCut(failure) {
			RecordFailure(ctx, r.forwarder.Roster, server, failure)
		}
	}}
}

// isCut reports whether the server ended an answer early. A read timeout of a body that is passed on may be due to a caller
// that reads slowly.
func isCut(failure error) bool {
	code := refusal.Of(failure).Code
	return code == backend.CodeInterrupted || code == backend.CodeMalformed
}

func (r *run) recordFailure(ctx context.Context, server *roster.Server, err error) {
	RecordFailure(ctx, r.forwarder.Roster, server, err)
	r.tracker.RecordFailure(ctx, server.Instance(), err)
	r.gate.recordFailure(err)
}

// RecordFailure reports a failed attempt to the roster. An attempt that ended because its
// caller disconnected does not count against the server.
func RecordFailure(ctx context.Context, servers *roster.Roster, server *roster.Server, err error) {
	refused := refusal.Of(err)
	switch {
	case refused.Code == backend.CodeWrongServer:
		servers.RecordReplaced(server)
	case refused.Code == backend.CodeFull:
		servers.RecordFull(server)
	case refused.Code == backend.CodeFailed, refused.Code == backend.CodeWrongRequest, refused.Code == backend.CodeNoAnswerMemory:
	case ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
	default:
		servers.RecordFailure(server, refused.Code)
	}
}

// refuse returns the refusal that ends the request. Once any server may have run the
// request, the outcome is unknown, whatever the last server reported.
func (r *run) refuse(ctx context.Context, err error) error {
	refused := *refusal.Of(err)
	if r.policy.mayHaveRun {
		refused.Outcome = peerpb.Outcome_OUTCOME_UNKNOWN
		if refused.Status == http.StatusServiceUnavailable {
			refused.Status = http.StatusBadGateway
		}
	} else if refused.RetryAfter == 0 {
		refused.RetryAfter = fullRetryAfter
	}
	if ctx.Err() != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) && r.policy.mayHaveRun {
		refused.Status = http.StatusGatewayTimeout
	}
	if refused.Code == backend.CodeFull {
		r.forwarder.Roster.RecordNoRoom(r.pool)
	}
	if !r.policy.mayHaveRun {
		r.gate.refine(&refused)
	}
	klog.InfoS("route: request refused", "id", r.request.ID, "status", refused.Status, "code", refused.Code, "tried", len(r.tried), "left", r.request.left(), "at", clock.Now())
	return &refused
}
