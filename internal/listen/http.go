// Package listen runs the HTTP and gRPC servers of a process.
//
// It disables library defaults: go-zero's timeouts, body limits, load shedding, circuit
// breakers and SIGTERM handling.
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

	_ "github.com/bramleyhatch/bramleyhatch/internal/stop" // handles SIGTERM and SIGINT in place of go-zero
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
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
	// TLS enables TLS if it is not nil; Certificate and Key are then PEM file names,
	// without which go-zero would serve plain HTTP regardless of TLS.
	TLS         *tls.Config
	Certificate string
	Key         string
	// OnListening is called once with the actual address.
	OnListening func(address string)

	mutex  sync.Mutex
	server *http.Server
}

// Run serves until the context ends, then waits for open requests for up to grace.
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

// serve runs the server. go-zero panics if it cannot listen; serve sends the panic as an
// error.
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
		// http.Server passes its listener to BaseContext, the only way to get the port that
		// the system chose.
		s.BaseContext = func(listener net.Listener) context.Context {
			if h.OnListening != nil {
				h.OnListening(listener.Addr().String())
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
