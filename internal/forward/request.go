// Package forward sends callers' requests to backend servers, and retries them on another
// server if a retry is safe and useful.
package forward

import (
	"net/http"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/admission"
	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/budget"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/poison"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
)

// Request is a caller's request. Exported fields are set before it is run.
type Request struct {
	// Request is sent to each backend server; Server, TimeLeft and ReadTimeout are set for
	// each attempt.
	backend.Request

	// Memory is taken for what is buffered of an answer; it may be nil.
	Memory *budget.Reservation
	Route  *table.Route
	// Class is the kind of sender.
	Class admission.Class
	// Deadline is the deadline of the caller or the route.
	Deadline clock.Boot
	// StopsIn returns how much longer this process answers requests; isStopping is false unless it stops. nil means that it
	// never does.
	StopsIn func() (left time.Duration, isStopping bool)
	// OnFailed, if not nil, is called for each answer in which a backend server reports that
	// the request failed there.
	OnFailed func()
	// OnReceived, if not nil, is called when the first backend server has received the request.
	OnReceived func()
}

// identity returns what the copies of the request have in common.
func (r *Request) identity() poison.Identity {
	return poison.Identity{Account: r.Account, Method: r.Method, Host: r.Host, Target: r.Target, Body: r.Body}
}

// isRepeatable reports whether the request may run more than once.
func (r *Request) isRepeatable() bool {
	return r.Route.Kind == table.Idempotent || r.Route.Kind == table.Stream && r.Route.Resumable
}

// checkStop returns the refusal of a request that this process must not send any more, since it stops before the request can
// end.
func (r *Request) checkStop() error {
	if r.StopsIn == nil {
		return nil
	}
	if left, isStopping := r.StopsIn(); !isStopping || r.mayEndWithin(left) {
		return nil
	}
	return refusal.NotRun(http.StatusServiceUnavailable, "stopping", "this process stops before the request can end").WithRetryAfter(stoppingRetryAfter)
}

// mayEndWithin reports whether the request is worth sending if this process answers no longer than for the given time. A
// request that may run once needs all the time that its caller allows: its outcome would stay unknown. Another one is
// expected to take a multiple of its target latency; the rest of a stream can be resumed elsewhere.
func (r *Request) mayEndWithin(available time.Duration) bool {
	needed := r.left()
	if target := r.Route.LatencyTarget; target > 0 && r.isRepeatable() {
		needed = min(needed, minTargetMultiple*target)
	}
	return available > 0 && needed <= available
}

// left returns the time until the deadline.
func (r *Request) left() time.Duration { return r.Deadline.Sub(clock.Now()) }

// forServer returns a copy of the request for one server.
func (r *Request) forServer(server string, left, readTimeout time.Duration) backend.Request {
	request := r.Request
	request.Server, request.TimeLeft, request.ReadTimeout = server, left, readTimeout
	return request
}

// Answer is a backend server's answer to a request.
type Answer struct {
	*backend.Answer

	// Body is the part read so far; Complete is true if Body is the whole body.
	Body     []byte
	Complete bool
	// Next returns the next part of an event stream, and io.EOF after the last part; if
	// nil, the rest is read from the answer's body.
	Next func() ([]byte, error)
	// Finish is called once the answer was read or abandoned.
	Finish func()
}
