package bramleyhatch

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeromicro/go-zero/rest"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// metricsOptions bound the requests that encode metrics at the same time.
var metricsOptions = promhttp.HandlerOpts{MaxRequestsInFlight: 4}

// healthRoutes returns the routes for the platform's load balancer and for Prometheus.
func (e *Entry) healthRoutes() []rest.Route {
	metrics := promhttp.HandlerFor(e.Metrics, metricsOptions)
	return []rest.Route{
		{Method: http.MethodGet, Path: "/healthz", Handler: answerOK},
		{Method: http.MethodGet, Path: "/readyz", Handler: e.answerReady},
		{Method: http.MethodGet, Path: "/metrics", Handler: metrics.ServeHTTP},
	}
}

func answerOK(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// answerReady answers the load balancer's readiness check.
func (e *Entry) answerReady(w http.ResponseWriter, _ *http.Request) {
	if reason := e.unreadyReason(time.Now()); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// unreadyReason returns why the load balancer should send no callers here; "" if it should.
func (e *Entry) unreadyReason(now time.Time) string {
	config, _ := e.view.Config()
	switch {
	case e.members.Self().GetState() != peerpb.State_STATE_LIVE:
		return "draining"
	case config == nil:
		return "no configuration yet"
	case e.members.Replaced():
		return "a later process has this process's name"
	case e.members.IsIsolated(now):
		return "isolated: neither the store nor most processes of the region answer"
	default:
		return ""
	}
}
