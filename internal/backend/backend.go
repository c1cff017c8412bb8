// Package backend speaks HTTP to the backend server beside a sidecar: to model
// engines and to plain services.
//
// Each request is sent once. What is sent is built from what is allowed, so
// that nothing of the caller's own headers reaches the backend server by chance.
package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// retryElsewhere is when a refused request should come back; another backend
// server may take it at once.
const retryElsewhere = time.Second

// Sink takes the parts of an answer in order; it numbers them itself.
type Sink func(*peerpb.Frame) error

// Codes of refusals after which a generation may be resumed.
const (
	codeCut    = "backend_cut"
	codeSilent = "backend_silent"
)

// ReadTimeoutError says that the backend server sent nothing for too long.
type ReadTimeoutError struct {
	Timeout time.Duration
}

// Error names the bound.
func (e *ReadTimeoutError) Error() string {
	return fmt.Sprintf("nothing was sent for %s", e.Timeout)
}

// Server is what both kinds of backend server share.
// Exported fields are set before the first call.
type Server struct {
	// Address is the base URL.
	Address string
	// Name is the identity of the backend server.
	Name string
	// ReadTimeout is how long the backend server may send nothing.
	ReadTimeout time.Duration
	// Idle is how long a connection is kept without requests; 0 takes the client's own.
	Idle time.Duration

	client atomic.Pointer[httpc.Service]
}

// answer is a response whose body ends with an error once the backend server
// sends nothing for too long.
type answer struct {
	*http.Response

	watch *watch
}

// call is one request to the backend server.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
	// host is the caller's; "" takes the server's address.
	host string
	// once keeps net/http from repeating requests that have no body.
	once bool
	// silence is how long the backend server may send nothing.
	silence time.Duration
}

// exchange sends one request. The error is a *refusal.Error; it says "not run"
// only where no connection to the backend server was got, so that no byte of
// the request can have reached it.
func (s *Server) exchange(ctx context.Context, call call) (*answer, error) {
	target, err := s.target(call.path)
	if err != nil {
		return nil, refusal.NotRun(http.StatusBadRequest, "bad_path", "%v", err)
	}
	ctx, watch := newWatch(ctx, call.silence)
	connected := &atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, call.method, target.String(), http.NoBody)
	if err != nil {
		watch.stop()
		return nil, refusal.NotRun(http.StatusBadRequest, "bad_request", "%v", err)
	}
	request.Header = call.header
	request.Host = call.host
	if !call.once {
		request.Header.Del("Idempotency-Key")
		request.Header.Del("X-Idempotency-Key")
	}
	setBody(request, call.body)
	if call.once && len(call.body) == 0 {
		request.Body = io.NopCloser(emptyBody{})
	}
	response, err := s.service().DoRequest(request) //nolint:bodyclose // closed through answer
	if err != nil {
		defer watch.stop()
		return nil, s.refuse(watch.cause(err), connected.Load())
	}
	response.Body = &watchedBody{ReadCloser: response.Body, watch: watch}
	return &answer{Response: response, watch: watch}, nil
}

// setBody sets a body that can be read once. net/http sends a request again on
// a new connection when it can get the body anew (GetBody), or when there is no
// body and an Idempotency-Key header; the caller would see one answer while a
// posting ran twice. Without these it never does.
func setBody(request *http.Request, body []byte) {
	if len(body) == 0 {
		return
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.ContentLength = int64(len(body))
	request.GetBody = nil
}

// emptyBody is a body without bytes that net/http doesn't know to be empty: it
// repeats a GET without a body by itself when a kept connection dies, whatever
// the request may do; one with a body it can't read again it never repeats.
type emptyBody struct{}

// Read returns the end of the body.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// target joins the base URL with a path and query; the path names no other host.
func (s *Server) target(path string) (*url.URL, error) {
	base, err := url.Parse(s.Address)
	if err != nil {
		return nil, err
	}
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

func (s *Server) service() httpc.Service {
	for {
		if known := s.client.Load(); known != nil {
			return *known
		}
		service := listen.ClientWithOptions("backend-"+s.Name, listen.ClientOptions{Idle: s.Idle})
		s.client.CompareAndSwap(nil, &service)
	}
}

// refuse turns a failed exchange into a refusal.
//
// After silence it drops the client with its idle connections. Whatever lost
// track of the connection may have lost the idle ones as well, and they report
// no error: a resumed generation would take one of them and be silent again.
func (s *Server) refuse(err error, connected bool) *refusal.Error {
	if !connected {
		return refusal.NotRun(http.StatusServiceUnavailable, "backend_unreachable", "%s can't be reached", s.Name).WithRetryAfter(retryElsewhere)
	}
	var silent *ReadTimeoutError
	switch {
	case errors.As(err, &silent):
		s.client.Store(nil)
		return refusal.Unknown(http.StatusGatewayTimeout, codeSilent, "%s: %v", s.Name, silent)
	case errors.Is(err, context.DeadlineExceeded):
		return refusal.Unknown(http.StatusGatewayTimeout, "timeout", "%s had not answered when the request's time ended", s.Name)
	case errors.Is(err, context.Canceled):
		return refusal.Unknown(statusCancelled, "cancelled", "the request was cancelled while %s ran it", s.Name)
	default:
		return refusal.Unknown(http.StatusBadGateway, codeCut, "%s ended the connection before its answer was whole", s.Name)
	}
}

// statusCancelled is the customary status of a request that its caller gave up.
const statusCancelled = 499
