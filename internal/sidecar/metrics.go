package sidecar

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the counters of a pool.
type metrics struct {
	refusals *prometheus.CounterVec
	dropped  *prometheus.CounterVec
	resumes  prometheus.Counter
	retries  prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleyhatch_route_refusals_total",
			Help: "Requests that no backend server answered, by code of the refusal.",
		}, []string{"code"}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleyhatch_route_dropped_total",
			Help: "Frames and cancellations dropped, by reason.",
		}, []string{"reason"}),
		resumes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleyhatch_route_resumes_total",
			Help: "Answers asked for again from their position on a new stream.",
		}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleyhatch_route_retries_total",
			Help: "Requests sent to another backend server.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.refusals, m.dropped, m.resumes, m.retries)
	}
	return m
}
