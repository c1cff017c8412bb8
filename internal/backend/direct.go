package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// Codes of refusals that say what became of a request at one server.
const (
	// CodeFailed says that the server answered that its run failed.
	CodeFailed = "server_failed"
	// CodeWrongRequest says that the answer belongs to another request.
	CodeWrongRequest = "foreign_answer"
	// CodeFull says that the server had no room and ran nothing.
	CodeFull = "server_full"
	// CodeWrongServer says that another server than the one meant is at the address.
	CodeWrongServer = "other_server"
)

// Request is one request as it is sent to one backend server.
type Request struct {
	// ID is the request's identity, under which the server answers.
	ID string
	// Server is the identity of the only server that may run it.
	Server string
	// Host is the caller's.
	Host   string
	Method string
	// Target is the path and query.
	Target string
	// Header is the caller's, without what concerns one connection; it is copied.
	Header http.Header
	// Body is sent with its length; nil for none.
	Body []byte
	// Account is the client account; "" for requests without one.
	Account string
	// ReadTimeout is how long the server may send nothing.
	ReadTimeout time.Duration
	// TimeLeft is how long the caller will wait from now on; 0 if it doesn't say.
	TimeLeft time.Duration
	// LastEvent is the last event that the caller has of its stream; 0 for none.
	LastEvent uint64
	// Priority from 1, the first, to 9; 0 says nothing.
	Priority int
}

// Wire knows how backend servers are told what concerns a request, and what
// their answers say of it.
type Wire interface {
	// Prepare sets what the system says of a request in its header.
	Prepare(header http.Header, send Request)
	// IsAnswerTo reports whether an answer belongs to a request.
	IsAnswerTo(answer *http.Response, id string) bool
	// IsNotRun reports whether the server says that it ran nothing.
	IsNotRun(answer *http.Response) bool
	// IsWrongServer reports whether another server than the one meant has answered.
	IsWrongServer(answer *http.Response) bool
	// FormatVersionLine returns the line of an event that announces a weight version.
	FormatVersionLine(version uint64) string
	// ParseVersionLine returns the weight version that a line of an event announces.
	ParseVersionLine(line string) (uint64, bool)
	// Proof returns the server's proof of its answer.
	Proof(answer *http.Response) string
	// Version returns the weight version of an answer's first event; 0 if it doesn't say.
	Version(answer *http.Response) uint64
}

// Direct speaks to a backend server that the system reaches without a process
// beside it. Its requests and answers pass unchanged but for what Wire sets.
// Exported fields are set before the first call.
type Direct struct {
	Server

	Wire Wire
}

// Answer is a backend server's answer, whose body is read and closed by the caller.
type Answer struct {
	*http.Response

	direct *Direct
	watch  *watch
}

// Do sends a request once. The error is a *refusal.Error that says "not run"
// only where that is proved. An answer that isn't of a success is returned too,
// unless the server says that it ran nothing.
func (d *Direct) Do(ctx context.Context, send Request) (*Answer, error) {
	header := send.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	d.Wire.Prepare(header, send)
	// Without this net/http adds an encoding of its own; the bytes would not be the server's.
	if header.Get("Accept-Encoding") == "" {
		header.Set("Accept-Encoding", "identity")
	}
	answer, err := d.exchange(ctx, call{
		method:  send.Method,
		host:    send.Host,
		path:    send.Target,
		header:  header,
		body:    send.Body,
		once:    true,
		silence: send.ReadTimeout,
	})
	if err != nil {
		return nil, err
	}
	if d.Wire.IsNotRun(answer.Response) {
		defer d.discard(answer.Response)
		code := CodeFull
		if d.Wire.IsWrongServer(answer.Response) {
			code = CodeWrongServer
		}
		return nil, refusal.NotRun(http.StatusServiceUnavailable, code, "%s answered %d and ran nothing", d.Name, answer.StatusCode).WithRetryAfter(retryElsewhere)
	}
	if !d.Wire.IsAnswerTo(answer.Response, send.ID) {
		// An answer that stands where this one is due belongs to another request:
		// given on, a caller would get another caller's bytes.
		_ = answer.Body.Close()
		return nil, refusal.Unknown(http.StatusBadGateway, CodeWrongRequest, "%s answered another request", d.Name)
	}
	return &Answer{Response: answer.Response, direct: d, watch: answer.watch}, nil
}

// ReadAll reads the body whole, up to a size. It reports false if the answer is
// larger; what was read is returned then, and the rest can be read on.
func (a *Answer) ReadAll(most int64) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(a.Body, most+1))
	if err != nil {
		return nil, false, a.Interrupted()
	}
	return body, int64(len(body)) <= most, nil
}

// SetReadTimeout bounds from now on how long the server may send nothing.
func (a *Answer) SetReadTimeout(silence time.Duration) { a.watch.bound(silence) }

// Interrupted returns the refusal for an answer that ended before it was whole.
func (a *Answer) Interrupted() error {
	var silent *ReadTimeoutError
	if errors.As(context.Cause(a.watch.ctx), &silent) {
		return a.direct.refuse(silent, true)
	}
	return a.direct.refuse(io.ErrUnexpectedEOF, true)
}

// discard reads the rest of a short answer, so that its connection can be used again.
func (d *Direct) discard(answer *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxDiscardBytes))
	_ = answer.Body.Close()
}

// maxDiscardBytes is the most of an unwanted answer that is read to keep its connection.
const maxDiscardBytes = 4 << 10
