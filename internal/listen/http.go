// Package listen runs the HTTP and gRPC servers of a process.
//
// It disables library defaults: go-zero's timeouts, body limits, load shedding, circuit
// breakers and SIGTERM handling.
package listen

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/handler"
	"github.com/zeromicro/go-zero/rest/router"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	_ "github.com/bramleyhatch/bramleyhatch/internal/stop" // handles SIGTERM and SIGINT in place of go-zero
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// noMemoryRetryAfter is the Retry-After of requests that find no memory: requests that are being received yield at
	// once, and most others end within some tenths of a second.
	noMemoryRetryAfter = 500 * time.Millisecond
	// maxProcessTime is longer than the lifetime of any process. By default go-zero shuts
	// its servers down one second after SIGTERM and kills the process after 5.5 s, which
	// interrupts long streams; with this value only the drain of the process itself ends
	// it.
	maxProcessTime = 1000 * time.Hour
)

func init() {
	// go-zero's handler of signals reads these times without a lock.
	proc.Setup(proc.ShutdownConf{WrapUpTime: maxProcessTime, WaitTime: 2 * maxProcessTime})
	logx.DisableStat()
	logx.SetWriter(klogWriter{})
}

// Error means that listening on an address failed.
type Error struct {
	Address string
	Problem string
}

// Error names the address and the problem.
func (e *Error) Error() string {
	return "listen on " + e.Address + ": " + e.Problem
}

// HTTP is the server for callers, trainers and operators. Exported fields are set before
// Run.
type HTTP struct {
	// Address is an IP address and port; with port 0 the system chooses the port.
	Address string
	// Routes are the served routes; other paths answer 404.
	Routes []rest.Route
	// NotFound answers paths without a route; nil means a plain 404.
	NotFound http.Handler
	// NotAllowed answers methods without a route; nil means a plain 405.
	NotAllowed http.Handler
	// TLS enables TLS if it is not nil; Certificate and Key are then PEM file names.
	TLS         *tls.Config
	Certificate string
	Key         string
	// OnListening is called once with the actual address.
	OnListening func(address string)

	// Limits bound what clients make the process hold.
	Limits Limits
	// Metrics counts what the server rejects; nil counts nothing.
	Metrics *Metrics
	// Refuse answers requests for which there is no memory; nil means refusal.Write.
	Refuse func(http.ResponseWriter, error)
}

// Run serves until the context ends, then waits for open requests for up to grace.
func (h *HTTP) Run(ctx context.Context, grace time.Duration) error {
	handler, err := h.handler()
	if err != nil {
		return err
	}
	inner, err := listenTCP(ctx, h.Address)
	if err != nil {
		return &Error{Address: h.Address, Problem: err.Error()}
	}
	server := h.newServer(handler)
	listener := newListener(inner, h.Limits.withDefaults(), h.TLS != nil, h.Metrics)
	if h.OnListening != nil {
		h.OnListening(inner.Addr().String())
	}
	failed := make(chan error, 1)
	go func() { failed <- h.serve(server, listener) }()
	select {
	case err := <-failed:
		return &Error{Address: h.Address, Problem: err.Error()}
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	return eris.Wrapf(server.Shutdown(ctx), "shut down %s", h.Address)
}

// handler returns the router of the routes. go-zero's own server can't bound its connections.
func (h *HTTP) handler() (http.Handler, error) {
	logx.SetWriter(klogWriter{})
	routes := router.NewRouter()
	for _, route := range h.Routes {
		if err := routes.Handle(route.Method, route.Path, handler.RecoverHandler(route.Handler)); err != nil {
			return nil, eris.Wrapf(err, "listen on %s: route %s %s", h.Address, route.Method, route.Path)
		}
	}
	if h.NotFound != nil {
		routes.SetNotFoundHandler(h.NotFound)
	}
	if h.NotAllowed != nil {
		routes.SetNotAllowedHandler(h.NotAllowed)
	}
	return routes, nil
}

func (h *HTTP) newServer(next http.Handler) *http.Server {
	// HTTP/2 has its own buffers, streams and heads, which Limits don't bound.
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           withReset(h.withLimits(next)),
		TLSConfig:         h.TLS,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          newErrorLog(),
		ConnContext: func(ctx context.Context, outer net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, unwrap(outer))
		},
		ConnState: func(outer net.Conn, state http.ConnState) { unwrap(outer).setState(state) },
	}
}

func (h *HTTP) serve(server *http.Server, listener net.Listener) error {
	if h.TLS == nil {
		return server.Serve(listener)
	}
	return server.ServeTLS(listener, h.Certificate, h.Key)
}

// withLimits accounts for each request, and gives handlers a response controller.
func (h *HTTP) withLimits(next http.Handler) http.Handler {
	refuse := h.Refuse
	if refuse == nil {
		refuse = refusal.Write
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), controllerKey{}, http.NewResponseController(w))
		r = r.WithContext(ctx)
		c := connOf(ctx)
		defer c.boundDiscard(r)
		if err := c.accountForHead(w, r); err != nil {
			w.Header().Set("Connection", "close")
			refuse(w, refuseNoMemory())
			return
		}
		next.ServeHTTP(w, r)
	})
}

// withReset resets the connection of an answer to a request of HTTP/1.0 whose handler panics, as handlers do to cut an
// answer.
func withReset(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		c := connOf(r.Context())
		c.beginVersion10()
		hasReturned := false
		defer func() {
			if hasReturned {
				c.endVersion10()
				return
			}
			c.cut()
		}()
		next.ServeHTTP(w, r)
		hasReturned = true
	})
}

// newErrorLog returns a log for what net/http reports of its connections.
func newErrorLog() *log.Logger { return log.New(errorLogWriter{}, "", 0) }

// errorLogWriter writes net/http's lines to klog. Clients cause most of them.
type errorLogWriter struct{}

// Write writes one line.
func (errorLogWriter) Write(line []byte) (int, error) {
	klog.InfoS("listen: net/http reports", "message", strings.TrimSpace(string(line)))
	return len(line), nil
}

// klogWriter writes go-zero's log lines to klog.
type klogWriter struct{}

var _ logx.Writer = klogWriter{}

func (klogWriter) Alert(v any)                     { klog.Error("rest: ", v) }
func (klogWriter) Close() error                    { return nil }
func (klogWriter) Debug(v any, _ ...logx.LogField) { klog.V(2).Info("rest: ", v) }

// Error logs httpc's lines on failed calls at level 1 only, since the caller handles the
// error and logs it once.
func (klogWriter) Error(v any, _ ...logx.LogField) {
	if text, ok := v.(string); ok && strings.HasPrefix(text, "[HTTP]") {
		klog.V(1).Info("rest: ", text)
		return
	}
	klog.Error("rest: ", v)
}

func (klogWriter) Info(v any, _ ...logx.LogField) { klog.V(1).Info("rest: ", v) }
func (klogWriter) Severe(v any)                   { klog.Error("rest: ", v) }
func (klogWriter) Slow(v any, _ ...logx.LogField) { klog.V(1).Info("rest: ", v) }
func (klogWriter) Stack(v any)                    { klog.Error("rest: ", v) }
func (klogWriter) Stat(v any, _ ...logx.LogField) { klog.V(2).Info("rest: ", v) }
