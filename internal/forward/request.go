// Package forward gives a caller's request to a backend server, and to another
// one where that is allowed and of use.
package forward

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
)

// Request is a caller's request on its way. Exported fields are set before it is run.
type Request struct {
	// Send is what each backend server is sent, but for Server, Left and Silence,
	// which differ from try to try.
	backend.Request

	Route *table.Route
	// Deadline is when the caller or the route gives the request up.
	Deadline clock.Boot
	// OnFailed is called for each answer by which a backend server says that the
	// request failed there; nil is allowed.
	OnFailed func()
	// OnBegan is called when a backend server has the request for the first time; nil is allowed.
	OnBegan func()
}

// mayRepeat reports whether the request may run more than once.
func (r *Request) mayRepeat() bool {
	return r.Route.Kind == table.Idempotent || r.Route.Kind == table.Stream && r.Route.Resumable
}

// left returns how long the request may still take.
func (r *Request) left() time.Duration { return r.Deadline.Sub(clock.Now()) }

// to returns what one server is sent.
func (r *Request) to(server string, left, silence time.Duration) backend.Request {
	send := r.Request
	send.Server, send.TimeLeft, send.ReadTimeout = server, left, silence
	return send
}

// Answer is a backend server's answer to a request.
type Answer struct {
	*backend.Answer

	// Body is what was read of it; Whole says that this is all.
	Body  []byte
	Complete bool
	// Next returns the next part of an answer that comes in events, and io.EOF after
	// the last one; nil where the rest is read from the answer's own body.
	Next func() ([]byte, error)
	// Finish is called once the answer was read or given up.
	Finish func()
}
