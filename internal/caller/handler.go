// Package caller serves client accounts over HTTP: completions and chat
// completions of the OpenAI protocol, and plain services, each under its own path.
//
// It never forwards a caller's key: forwarded requests are built only from the
// allowed fields and headers.
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeromicro/go-zero/rest"

	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/sidecar"
)

// HeaderRequest is the response header with the ID of the request.
const HeaderRequest = "X-Request-Id"

// Grants looks up the account and plan that a key gives access to.
type Grants interface {
	Grant(hash string) (lists.Grant, bool)
	// HasConfig reports whether the configuration that holds the grants is known.
	HasConfig() bool
	OnWithdrawal(hash string, end func()) (stop func())
}

var _ Grants = &lists.View{}

// Runner runs requests on backend servers.
type Runner interface {
	RunRestartable(ctx context.Context, request *peerpb.RunRequest, sink sidecar.Sink, restart sidecar.Restart) (*peerpb.End, error)
}

var _ Runner = &sidecar.Pool{}

// Handler serves callers. Exported fields are set before the first request.
type Handler struct {
	Grants Grants
	Runner Runner
	// Admission enforces the limits of plans; nil means no limits.
	Admission *Admission
	// IsIsolated reports whether this process receives no changes from the store
	// and its peers, such as withdrawn keys, and therefore must accept no new
	// work; nil means never.
	IsIsolated func(now time.Time) bool
	Decisions  *decision.Log
	Metrics    prometheus.Registerer
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// BodyTimeout is the time in which a body has to arrive; 0 means Timeout.
	BodyTimeout time.Duration
	// Stopping ends when the process stops and requests that still run must be answered; its cause is a *refusal.Error. nil
	// means that it never does.
	Stopping context.Context
	// Timeout limits the duration of a request.
	Timeout time.Duration

	metrics *metrics
}

// RegisterMetrics registers the metrics. It is called once, before the first request.
func (h *Handler) RegisterMetrics() {
	h.metrics = newMetrics(h.Metrics)
}

// NotAllowed responds to a method that a path does not support.
func (h *Handler) NotAllowed(w http.ResponseWriter, r *http.Request) {
	refusal.Write(w, refusal.NotRun(http.StatusMethodNotAllowed, "method_not_allowed", "%s has no method %s", r.URL.Path, r.Method))
}

// NotFound serves the paths without a route. It also serves plain services, since
// the router has no pattern for paths of any depth.
func (h *Handler) NotFound(w http.ResponseWriter, r *http.Request) {
	if isService(r.URL.Path) {
		h.handle(h.plain)(w, r)
		return
	}
	refusal.Write(w, refusal.NotRun(http.StatusNotFound, "not_found", "no such path: %s", r.URL.Path))
}

// Routes returns the routes for callers.
func (h *Handler) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/completions", Handler: h.handle(h.completion)},
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: h.handle(h.chat)},
		{Method: http.MethodGet, Path: "/v1/models", Handler: h.handle(h.models)},
	}
}

// handle wraps the handler of one kind of request with the request ID,
// authorization, the timeout, refusals and metrics.
func (h *Handler) handle(serve func(*call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := newCall(h, w, r)
		w.Header().Set(HeaderRequest, c.id)
		ctx, cancel := context.WithTimeout(r.Context(), h.Timeout)
		defer cancel()
		err := c.serveAuthorized(ctx, serve)
		if err != nil {
			c.refuse(err)
		}
		h.metrics.observe(c)
	}
}

func (h *Handler) bodyTimeout() time.Duration {
	if h.BodyTimeout > 0 {
		return h.BodyTimeout
	}
	return h.Timeout
}

func newID() string {
	return uuid.NewString()
}
