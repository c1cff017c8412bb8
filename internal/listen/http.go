// Package listen runs the HTTP and gRPC servers of a process.
//
// It turns off what the libraries decide on their own: go-zero's timeouts,
// body limits, load shedding, circuit breakers and its handling of SIGTERM.
package listen

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/rest"
	"k8s.io/klog/v2"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// never is longer than any process runs. go-zero shuts its servers down one
	// second after SIGTERM and kills the process after 5.5 s, which cuts off long
	// streams; with these times the process ends only by its own drain.
	never = 1000 * time.Hour
)

var setupOnce sync.Once

// Error says that an address can't be listened on.
type Error struct {
	Address string
	Problem string
}

// Error names the address.
func (e *Error) Error() string {
	return "listen on " + e.Address + ": " + e.Problem
}

// HTTP is a server for callers, trainers and operators.
// Exported fields are set before Run.
type HTTP struct {
	// Address is an IP address and port; port 0 lets the system choose.
	Address string
	// Routes are served; another path answers 404.
	Routes []rest.Route
	// NotFound answers paths without a route; nil answers a plain 404.
	NotFound http.Handler
	// NotAllowed answers methods without a route; nil answers a plain 405.
	NotAllowed http.Handler
	// TLS is used where it is not nil; Certificate and Key then name PEM files,
	// without which go-zero would serve plain HTTP whatever TLS says.
	TLS         *tls.Config
	Certificate string
	Key         string
	// Listening is called once with the address in use.
	Listening func(address string)

	mutex  sync.Mutex
	server *http.Server
}

// Run serves until the context ends, then waits for open requests up to grace.
func (h *HTTP) Run(ctx context.Context, grace time.Duration) error {
	server, err := h.build()
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go h.serve(server, failed)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return h.shutdown(grace)
}

func (h *HTTP) build() (*rest.Server, error) {
	setupOnce.Do(setup)
	host, portText, err := net.SplitHostPort(h.Address)
	if err != nil {
		return nil, &Error{Address: h.Address, Problem: err.Error()}
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, &Error{Address: h.Address, Problem: err.Error()}
	}
	options := []rest.RunOption{}
	if h.NotFound != nil {
		options = append(options, rest.WithNotFoundHandler(h.NotFound))
	}
	if h.NotAllowed != nil {
		options = append(options, rest.WithNotAllowedHandler(h.NotAllowed))
	}
	if h.TLS != nil {
		options = append(options, rest.WithTLSConfig(h.TLS))
	}
	conf := rest.RestConf{Host: host, Port: port, CertFile: h.Certificate, KeyFile: h.Key}
	conf.Middlewares = rest.MiddlewaresConf{Recover: true}
	server, err := rest.NewServer(conf, options...)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", h.Address)
	}
	logx.SetWriter(klogWriter{})
	server.AddRoutes(h.Routes)
	return server, nil
}

// serve runs the server; go-zero panics where it can't listen.
func (h *HTTP) serve(server *rest.Server, failed chan<- error) {
	defer func() {
		if fault := recover(); fault != nil {
			failed <- &Error{Address: h.Address, Problem: fmt.Sprint(fault)}
		}
	}()
	server.StartWithOpts(func(s *http.Server) {
		s.ReadHeaderTimeout = headerTimeout
		s.ReadTimeout = 0
		s.WriteTimeout = 0
		s.IdleTimeout = idleTimeout
		s.Handler = withController(s.Handler)
		h.mutex.Lock()
		h.server = s
		h.mutex.Unlock()
		// http.Server hands its listener to BaseContext, the only place that
		// tells the port that the system chose.
		s.BaseContext = func(listener net.Listener) context.Context {
			if h.Listening != nil {
				h.Listening(listener.Addr().String())
			}
			return context.Background()
		}
	})
}

func (h *HTTP) shutdown(grace time.Duration) error {
	h.mutex.Lock()
	server := h.server
	h.mutex.Unlock()
	if server == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	return eris.Wrapf(server.Shutdown(ctx), "shut down %s", h.Address)
}

func setup() {
	proc.Setup(proc.ShutdownConf{WrapUpTime: never, WaitTime: 2 * never})
	logx.DisableStat()
}

// klogWriter sends go-zero's own log lines to klog.
type klogWriter struct{}

var _ logx.Writer = klogWriter{}

func (klogWriter) Alert(v any)                     { klog.Error("rest: ", v) }
func (klogWriter) Close() error                    { return nil }
func (klogWriter) Debug(v any, _ ...logx.LogField) { klog.V(2).Info("rest: ", v) }

// Error keeps httpc's own lines on failed calls out of the normal log: who
// makes a call handles its error and logs that once.
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
