package bramleyhatch

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeromicro/go-zero/rest"
)

// healthRoutes returns the routes for the platform's balancer and for Prometheus.
func (p *Process) healthRoutes() []rest.Route {
	metrics := promhttp.HandlerFor(p.Metrics, promhttp.HandlerOpts{})
	return []rest.Route{
		{Method: http.MethodGet, Path: "/healthz", Handler: answerOK},
		{Method: http.MethodGet, Path: "/metrics", Handler: metrics.ServeHTTP},
	}
}

func answerOK(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}
