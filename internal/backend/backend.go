// Package backend is the HTTP client for backend servers: model engines and plain
// services.
//
// Each request is sent once. Outgoing headers and bodies are built from allow lists, so
// that no other header of the caller reaches the backend server.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/http1"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// retryAfter is the delay after which a refused client may retry; another backend server
// may accept the request immediately.
const retryAfter = time.Second

// Sink receives the frames of an answer in order and numbers them itself.
type Sink func(*peerpb.Frame) error

// Refusal codes after which a generation may be resumed.
const (
	// CodeInterrupted means that the connection ended before the answer was whole, as it does when a server crashes.
	CodeInterrupted = "backend_cut"
	// CodeUnreachable means that no connection to the server was obtained, or that it ended before the request was sent.
	CodeUnreachable = "backend_unreachable"
	// CodeMalformed means that the server sent what is no valid answer.
	CodeMalformed = "malformed_answer"
	// CodeNoAnswerMemory means that this process had no memory for the answer.
	CodeNoAnswerMemory = "no_answer_memory"
	codeReadTimeout    = "backend_silent"
)

// ReadTimeoutError reports that the backend server sent nothing for the whole read timeout, or
// bytes that make up no event or answer.
type ReadTimeoutError struct {
	Timeout time.Duration
}

// Error names the read timeout.
func (e *ReadTimeoutError) Error() string {
	return fmt.Sprintf("no progress for %s", e.Timeout)
}

// Server is the part of the client common to both kinds of backend server. Exported fields
// are set before the first call.
type Server struct {
	// Address is the base URL.
	Address string
	// Name identifies the backend server.
	Name string
	// ReadTimeout is the longest time without data from the backend server.
	ReadTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept; 0 means the client's default.
	IdleTimeout time.Duration

	client atomic.Pointer[httpc.Service]
}

// watchedResponse is a response whose body returns an error once the backend server sends
// nothing for the read timeout.
type watchedResponse struct {
	*http.Response

	watchdog *watchdog
	trace    *connectionTrace
}

func (r *watchedResponse) abandonConnection() { r.trace.abandon() }

// decode decodes a JSON body of up to maxEventBytes, which must arrive within the read timeout.
func (r *watchedResponse) decode(message any) error {
	r.watchdog.ignoreBytes()
	r.watchdog.reset()
	return json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxEventBytes)).Decode(message)
}

// call is one request to the backend server.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
	// id is the request's ID that the answer repeats; "" if answers name no request.
	id string
	// host is the Host header sent by the caller; "" means the server's address.
	host string
	// noRepeat prevents net/http from repeating requests that have no body.
	noRepeat bool
	// readTimeout is the longest time without data from the backend server.
	readTimeout time.Duration
}

// exchange sends one request. The error is a *refusal.Error; its outcome is "not run" only
// if no byte of the request can have reached the backend server: no connection was obtained,
// or it ended before anything was written to it.
func (s *Server) exchange(ctx context.Context, call call) (*watchedResponse, error) {
	base, err := url.Parse(s.Address)
	if err != nil {
		klog.InfoS("backend: the address of a server can't be used", "server", s.Name, "err", err.Error())
		return nil, s.refuse(err, false)
	}
	target, err := targetURL(base, call.path)
	if err != nil {
		return nil, refusal.NotRun(http.StatusBadRequest, "bad_path", "%v", err)
	}
	ctx, watchdog := newWatchdog(ctx, call.readTimeout)
	for {
		trace := &connectionTrace{id: call.id}
		request, err := newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: trace.gotConn}), target, call)
		if err != nil {
			watchdog.stop()
			return nil, refusal.NotRun(http.StatusBadRequest, "bad_request", "%v", err)
		}
		response, err := s.httpClient(call.id != "").DoRequest(request) //nolint:bodyclose // closed through watchedResponse
		if err == nil {
			response.Body = &watchedBody{ReadCloser: response.Body, watchdog: watchdog}
			return &watchedResponse{Response: response, watchdog: watchdog, trace: trace}, nil
		}
		mayHaveReceived := trace.closeAndCheck()
		if trace.isRejected() && !mayHaveReceived && ctx.Err() == nil {
			continue
		}
		refused := s.refuse(watchdog.cause(err), mayHaveReceived)
		watchdog.stop()
		return nil, refused
	}
}

func newRequest(ctx context.Context, target *url.URL, call call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.method, target.String(), http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Header = call.header
	request.Host = call.host
	if !call.noRepeat {
		request.Header.Del("Idempotency-Key")
		request.Header.Del("X-Idempotency-Key")
	}
	setBody(request, call.body)
	if call.noRepeat && len(call.body) == 0 {
		request.Body = io.NopCloser(emptyBody{})
	}
	return request, nil
}

// setBody sets a body that can be read only once. net/http repeats a request on a new
// connection if it can obtain the body again (GetBody), or if the request has no body and
// an Idempotency-Key header; a posting could then run twice while the caller sees one
// answer. net/http never repeats other requests.
func setBody(request *http.Request, body []byte) {
	if len(body) == 0 {
		return
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.ContentLength = int64(len(body))
	request.GetBody = nil
}

// emptyBody is an empty body that net/http does not recognize as empty. When a kept-alive
// connection breaks, net/http repeats a GET without a body, even if the GET is not
// idempotent; it never repeats a request whose body it cannot read again.
type emptyBody struct{}

// Read returns io.EOF.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// targetURL joins the base URL with a path and query, and rejects paths that contain a host.
func targetURL(base *url.URL, path string) (*url.URL, error) {
	if len(path) == 0 || path[0] != '/' {
		return nil, errors.New("path doesn't start with a slash")
	}
	parsed, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, errors.New("path can't be parsed")
	}
	if parsed.Host != "" || parsed.User != nil || parsed.Scheme != "" {
		return nil, errors.New("path names a host")
	}
	base.Path, base.RawPath, base.RawQuery = parsed.Path, parsed.RawPath, parsed.RawQuery
	base.User = nil
	return base, nil
}

// httpClient returns the client of the server. Connections are reused only if answers name their request: a second
// answer to an earlier request could not be distinguished from the answer to the next one.
func (s *Server) httpClient(isAnswerNamed bool) httpc.Service {
	for {
		if client := s.client.Load(); client != nil {
			return *client
		}
		service := listen.ClientWithOptions("backend-"+s.Name, listen.ClientOptions{IdleTimeout: s.IdleTimeout, OneRequestPerConn: !isAnswerNamed, WrapConn: newTracedConn})
		s.client.CompareAndSwap(nil, &service)
	}
}

// refuse converts the error of an exchange, or the cause of its context's end, into a refusal.
//
// After a read timeout it drops the client with its idle connections. A device on the
// network path that lost track of the connection may also have lost the idle connections,
// which report no error: a resumed generation would use one of these and time out again.
func (s *Server) refuse(err error, mayHaveReceived bool) *refusal.Error {
	if !mayHaveReceived {
		return refusal.NotRun(http.StatusServiceUnavailable, CodeUnreachable, "%s can't be reached", s.Name).WithRetryAfter(retryAfter)
	}
	var timeout *ReadTimeoutError
	var malformed *http1.MalformedAnswerError
	var noMemory *http1.MemoryError
	var cause *refusal.Error
	switch {
	case errors.As(err, &cause):
		// The request's context ended with a refusal, which other requests share.
		refused := *cause
		return &refused
	case errors.As(err, &timeout):
		s.client.Store(nil)
		return refusal.Unknown(http.StatusGatewayTimeout, codeReadTimeout, "%s: %v", s.Name, timeout)
	case errors.As(err, &malformed):
		return refusal.Unknown(http.StatusBadGateway, CodeMalformed, "%s sent a malformed answer: %s", s.Name, malformed.Problem)
	case errors.As(err, &noMemory):
		return refusal.Unknown(http.StatusBadGateway, CodeNoAnswerMemory, "other requests hold the memory for the answer of %s", s.Name)
	case errors.Is(err, context.DeadlineExceeded):
		return refusal.Unknown(http.StatusGatewayTimeout, "timeout", "%s had not answered when the request's time ended", s.Name)
	case errors.Is(err, context.Canceled):
		return refusal.Unknown(statusCancelled, "cancelled", "the request was cancelled while %s ran it", s.Name)
	default:
		return refusal.Unknown(http.StatusBadGateway, CodeInterrupted, "%s ended the connection before its answer was whole", s.Name)
	}
}

// statusCancelled is the non-standard status 499, commonly used when the client closed the
// request.
const statusCancelled = 499
