// Package forward gives a caller's request to a backend server, and to another
// one where that is allowed and of use.
package forward

import (
	"net/http"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
)

// Request is a caller's request on its way. Exported fields are set before it is run.
type Request struct {
	ID     string
	Route  *table.Route
	Host   string
	Method string
	// Target is the path and query.
	Target string
	Header http.Header
	Body   []byte
	// Account is the client account; "" where none is needed.
	Account string
	// Priority from 1, the first, to 9; 0 says nothing.
	Priority int
	// LastEvent is the last event that the caller has of its stream; 0 for none.
	LastEvent uint64
	// Until is when the caller or the route gives the request up.
	Until clock.Boot
	// Failed is called for each answer by which a backend server says that the
	// request failed there; nil is allowed.
	Failed func()
	// Began is called when a backend server has the request for the first time; nil is allowed.
	Began func()
}

// mayRepeat reports whether the request may run more than once.
func (r *Request) mayRepeat() bool {
	return r.Route.Kind == table.Idempotent || r.Route.Kind == table.Stream && r.Route.Resumable
}

// left returns how long the request may still take.
func (r *Request) left() time.Duration { return r.Until.Sub(clock.Now()) }

func (r *Request) send(server string, left, silence time.Duration) backend.Send {
	return backend.Send{
		ID:        r.ID,
		Server:    server,
		Host:      r.Host,
		Method:    r.Method,
		Target:    r.Target,
		Header:    r.Header,
		Body:      r.Body,
		Account:   r.Account,
		Left:      left,
		LastEvent: r.LastEvent,
		Priority:  r.Priority,
		Silence:   silence,
	}
}

// Answer is a backend server's answer to a request.
type Answer struct {
	*backend.Answer

	// Body is what was read of it; Whole says that this is all.
	Body  []byte
	Whole bool
	// Next returns the next part of an answer that comes in events, and io.EOF after
	// the last one; nil where the rest is read from the answer's own body.
	Next func() ([]byte, error)
	// Finish is called once the answer was read or given up.
	Finish func()
}
