package caller

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics counts requests. Labels hold only configured names and fixed codes, so
// that callers can't create new label values.
type metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleyhatch_caller_requests_total",
			Help: "Requests of callers by model or service, HTTP status and code of the refusal.",
		}, []string{"pool", "status", "code"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bramleyhatch_caller_request_duration_seconds",
			Help:    "Time from a request's arrival to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 18),
		}, []string{"pool"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.duration)
	}
	return m
}

func (m *metrics) observe(c *call) {
	m.requests.WithLabelValues(c.pool, strconv.Itoa(c.status), c.code).Inc()
	m.duration.WithLabelValues(c.pool).Observe(time.Since(c.start).Seconds())
}
