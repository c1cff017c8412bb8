package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/http1"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// Refusal codes for the end of a request at one server.
const (
	// CodeFailed means that the server reported a failed run.
	CodeFailed = "server_failed"
	// CodeWrongRequest means that the answer belongs to another request.
	CodeWrongRequest = "foreign_answer"
	// CodeFull means that the server had no free capacity and ran nothing.
	CodeFull = "server_full"
	// CodeWrongServer means that a server other than the intended one answered at the address.
	CodeWrongServer = "other_server"
)

// Request is a request to one backend server.
type Request struct {
	// ID identifies the request; the server's answer repeats it.
	ID string
	// Server is the name of the only server that may run the request.
	Server string
	// Host is the Host header sent by the caller.
	Host   string
	Method string
	// Target is the path and query.
	Target string
	// Header holds the caller's header without hop-by-hop fields; Do sends a copy.
	Header http.Header
	// Body is sent with a Content-Length; nil means no body.
	Body []byte
	// Account is the client account; "" for requests without one.
	Account string
	// ReadTimeout is the longest time without data from the server, or without an event where
	// events are read.
	ReadTimeout time.Duration
	// TimeLeft is how much longer the caller waits; 0 if unknown.
	TimeLeft time.Duration
	// LastEvent is the number of the last event that the caller received; 0 if none.
	LastEvent uint64
	// Priority ranges from 1 (highest) to 9; 0 means unspecified.
	Priority int
}

// Wire encodes request metadata into headers for backend servers, and decodes the metadata
// of their answers.
type Wire interface {
	// Prepare sets the request's metadata in its header.
	Prepare(header http.Header, request Request)
	// IsAnswerTo reports whether an answer belongs to the request with this ID.
	IsAnswerTo(answer *http.Response, id string) bool
	// AnswerID returns the ID of the request that an answer belongs to; "" if unspecified.
	AnswerID(answer *http.Response) string
	// IsNotRun reports whether the answer states that the server ran nothing.
	IsNotRun(answer *http.Response) bool
	// IsWrongServer reports whether the answer comes from a server other than the intended
	// one.
	IsWrongServer(answer *http.Response) bool
	// FormatVersionLine returns the event line that announces a weight version.
	FormatVersionLine(version uint64) string
	// ParseVersionLine returns the weight version that an event line announces.
	ParseVersionLine(line string) (uint64, bool)
	// Proof returns the server's signature of its answer.
	Proof(answer *http.Response) string
	// Version returns the weight version of an answer's first event; 0 if unspecified.
	Version(answer *http.Response) uint64
}

// Direct is the client for a backend server without a sidecar. Requests and answers pass
// through unchanged except for the headers that Wire sets. Exported fields are set before
// the first call.
type Direct struct {
	Server

	Wire Wire
	// Metrics counts answers to other requests; nil counts none.
	Metrics *Metrics
}

// Answer is a backend server's answer. The caller reads and closes its body.
type Answer struct {
	*http.Response

	direct   *Direct
	watchdog *watchdog
}

// Do sends a request once. The error is a *refusal.Error whose outcome is "not run" only if
// the request certainly did not run. Do also returns answers with an error status, unless
// the server states that it ran nothing.
//
// A server may answer a request a second time, where the answer to the next request on the
// connection is expected. Such an answer states nothing about that request.
func (d *Direct) Do(ctx context.Context, request Request) (*Answer, error) {
	header := request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	d.Wire.Prepare(header, request)
	// Without this header net/http requests compression and changes the bytes of the
	// answer.
	if header.Get("Accept-Encoding") == "" {
		header.Set("Accept-Encoding", "identity")
	}
	answer, err := d.exchange(ctx, call{
		method:      request.Method,
		host:        request.Host,
		path:        request.Target,
		header:      header,
		body:        request.Body,
		id:          request.ID,
		noRepeat:    true,
		readTimeout: request.ReadTimeout,
	})
	if err != nil {
		return nil, err
	}
	if !d.Wire.IsAnswerTo(answer.Response, request.ID) {
		return nil, d.rejectForeign(request, answer)
	}
	if d.Wire.IsNotRun(answer.Response) {
		defer answer.discard()
		code := CodeFull
		if d.Wire.IsWrongServer(answer.Response) {
			code = CodeWrongServer
		}
		return nil, refusal.NotRun(http.StatusServiceUnavailable, code, "%s answered %d and ran nothing", d.Name, answer.StatusCode).WithRetryAfter(retryAfter)
	}
	return &Answer{Response: answer.Response, direct: d, watchdog: answer.watchdog}, nil
}

// rejectForeign returns the refusal for an answer to another request. Passing it on would leak another caller's data.
func (d *Direct) rejectForeign(request Request, answer *watchedResponse) error {
	isNotRun := d.Wire.IsNotRun(answer.Response)
	d.Metrics.countForeignAnswer(isNotRun)
	klog.InfoS("backend: the answer belongs to another request", "id", request.ID, "server", d.Name, "answered", d.Wire.AnswerID(answer.Response), "status", answer.StatusCode, "notRun", isNotRun)
	_ = answer.Body.Close()
	// An answer without a body leaves the connection open, and the request's own answer would be taken for that of the
	// next request.
	answer.abandonConnection()
	return refusal.Unknown(http.StatusBadGateway, CodeWrongRequest, "%s answered another request", d.Name)
}

// ReadAll reads the body up to limit bytes, for which it takes memory with reserve; nil takes none. It returns false if
// the body is larger or there is no memory for it; the body then holds the bytes read so far, and the rest can still be
// read from the answer. The read timeout applies to the body as a whole, or to the bytes up to the limit.
func (a *Answer) ReadAll(limit int64, reserve func(bytes int64) bool) (body []byte, complete bool, err error) {
	a.watchdog.ignoreBytes()
	body, complete, err = readUpTo(a.Body, limit, reserve)
	if err != nil {
		return nil, false, a.Interrupted()
	}
	a.watchdog.acceptBytes()
	return body, complete, nil
}

// readUpTo reads up to limit bytes and one more, which shows that there are more.
func readUpTo(source io.Reader, limit int64, reserve func(bytes int64) bool) (read []byte, complete bool, err error) {
	const firstBytes = 1 << 10
	for {
		if len(read) == cap(read) {
			size := min(max(firstBytes, 2*int64(cap(read))), limit+1)
			if int64(len(read)) > limit || reserve != nil && !reserve(size) {
				return read, false, nil
			}
			larger := make([]byte, len(read), size)
			copy(larger, read)
			read = larger
		}
		n, err := source.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		if errors.Is(err, io.EOF) {
			return read, int64(len(read)) <= limit, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}

// IsFramed reports whether the end of the body shows that it is whole. A body without a length or chunks ends with its
// connection, also if the server crashes.
func (a *Answer) IsFramed() bool { return a.ContentLength >= 0 || len(a.TransferEncoding) > 0 }

// SetReadTimeout sets the read timeout for the rest of the answer.
func (a *Answer) SetReadTimeout(timeout time.Duration) { a.watchdog.setTimeout(timeout) }

// Interrupted returns the refusal for an answer that ended early.
func (a *Answer) Interrupted() error {
	cause := context.Cause(a.watchdog.ctx)
	var timeout *ReadTimeoutError
	var malformed *http1.MalformedAnswerError
	var refused *refusal.Error
	if errors.As(cause, &timeout) || errors.As(cause, &malformed) || errors.As(cause, &refused) {
		return a.direct.refuse(cause, true)
	}
	return a.direct.refuse(io.ErrUnexpectedEOF, true)
}

const (
	// maxDiscardBytes limits how much of an unwanted answer is drained to reuse its
	// connection.
	maxDiscardBytes = 4 << 10
	// discardTimeout limits how long that takes: a new connection costs less than a wait.
	discardTimeout = 50 * time.Millisecond
)

// discard drains a short answer so that its connection can be reused. It closes the connection of a
// long or slow one.
func (r *watchedResponse) discard() {
	timer := time.AfterFunc(discardTimeout, r.watchdog.stop)
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardBytes))
	timer.Stop()
	_ = r.Body.Close()
}
