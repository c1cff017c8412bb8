package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// callNames are the values of the label call.
var callNames = map[CallKind]string{CallRun: "run", CallRead: "read", CallEnd: "end", CallItem: "item"}

// metrics counts requests. Labels hold only kinds and statuses, so that callers cannot
// create new series.
type metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleyhatch_gateway_requests_total",
			Help: "Requests of callers and trainers by what they asked and HTTP status; status 0 is an answer that was cut off.",
		}, []string{"call", "status"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bramleyhatch_gateway_request_duration_seconds",
			Help:    "Time from a request's arrival to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 14),
		}, []string{"call"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.duration)
	}
	return m
}

// statusRecorder records the status of a response.
type statusRecorder struct {
	http.ResponseWriter

	// isStopping reports whether the process stops. Callers are then asked to send no more requests on their connection.
	isStopping func() bool
	status     int
}

// Flush implements http.Flusher.
func (s *statusRecorder) Flush() {
	if flusher, ok := s.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
}

// WriteHeader records the status.
func (s *statusRecorder) WriteHeader(status int) {
	s.status = status
	if s.isStopping() {
		s.Header().Set("Connection", "close")
	}
	s.ResponseWriter.WriteHeader(status)
}

func (m *metrics) observe(kind CallKind, status int, began clock.Boot) {
	name := callNames[kind]
	m.requests.WithLabelValues(name, strconv.Itoa(status)).Inc()
	m.duration.WithLabelValues(name).Observe(time.Duration(clock.Now() - began).Seconds())
}
