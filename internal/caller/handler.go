// Package caller serves client accounts over HTTP: completions and chat
// completions as clients of the OpenAI protocol send them, and plain services
// under a path of their own.
//
// A caller's key ends here. What goes on is built from the fields and headers
// that are allowed, and nothing else of the request is passed on.
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

// HeaderRequest carries the identity of a request to the caller.
const HeaderRequest = "X-Request-Id"

// Grants tells what keys allow.
type Grants interface {
	Grant(hash string) (lists.Grant, bool)
	UntilWithdrawn(hash string, end func()) (stop func())
}

var _ Grants = &lists.View{}

// Runner runs requests at backend servers.
type Runner interface {
	RunRestartable(ctx context.Context, request *peerpb.RunRequest, sink sidecar.Sink, restart sidecar.Restart) (*peerpb.End, error)
}

var _ Runner = &sidecar.Pool{}

// Handler serves callers. Exported fields are set before the first request.
type Handler struct {
	Grants Grants
	Runner Runner
	// Admission keeps the limits of plans; nil sets none.
	Admission *Admission
	// Isolated reports whether this process can't know what changes elsewhere,
	// as a withdrawn key, and so takes no new work; nil never does.
	Isolated  func(now time.Time) bool
	Decisions *decision.Log
	Metrics   prometheus.Registerer
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes int64
	// Timeout is the longest time for one request.
	Timeout time.Duration

	metrics *metrics
}

// RegisterMetrics registers the metrics. It is called once, before the first request.
func (h *Handler) RegisterMetrics() {
	h.metrics = newMetrics(h.Metrics)
}

// NotAllowed answers a method that a path does not have.
func (h *Handler) NotAllowed(w http.ResponseWriter, r *http.Request) {
	refusal.Write(w, refusal.NotRun(http.StatusMethodNotAllowed, "method_not_allowed", "%s has no method %s", r.URL.Path, r.Method))
}

// NotFound answers the paths without a route. Those of plain services are among
// them, since the router has no pattern for a path of any depth.
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

// handle wraps one kind of request: identity, key, time limit and refusal.
func (h *Handler) handle(serve func(*call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := newCall(h, w, r)
		w.Header().Set(HeaderRequest, c.id)
		w.Header().Del("Traceparent")
		ctx, cancel := context.WithTimeout(r.Context(), h.Timeout)
		defer cancel()
		err := c.admit(ctx, serve)
		if err != nil {
			c.refuse(err)
		}
		h.metrics.observe(c)
	}
}

func newID() string {
	return uuid.NewString()
}
