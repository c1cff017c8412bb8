package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// metrics holds a sidecar's request metrics.
type metrics struct {
	answered prometheus.Counter
	refusals *prometheus.CounterVec
	wait     prometheus.Histogram
}

func newMetrics(server *Server) *metrics {
	m := &metrics{
		answered: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleyhatch_backend_answers_total",
			Help: "Requests that the backend server answered whole.",
		}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleyhatch_backend_refusals_total",
			Help: "Requests that were started and not answered, by code and by what is known of them.",
		}, []string{"code", "outcome"}),
		wait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "bramleyhatch_backend_queue_seconds",
			Help:    "Time that a request waited for a slot.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 18),
		}),
	}
	if server.Metrics != nil {
		server.Metrics.MustRegister(m.answered, m.refusals, m.wait, runningGauge(server), queuedGauge(server))
	}
	return m
}

func runningGauge(server *Server) prometheus.GaugeFunc {
	options := prometheus.GaugeOpts{Name: "bramleyhatch_backend_running", Help: "Requests that the backend server has."}
	return prometheus.NewGaugeFunc(options, func() float64 {
		running, _ := server.limiter.counts()
		return float64(running)
	})
}

func queuedGauge(server *Server) prometheus.GaugeFunc {
	options := prometheus.GaugeOpts{Name: "bramleyhatch_backend_queued", Help: "Requests that wait for a slot."}
	return prometheus.NewGaugeFunc(options, func() float64 {
		_, queued := server.limiter.counts()
		return float64(queued)
	})
}

func (m *metrics) observeAnswer() { m.answered.Inc() }

func (m *metrics) observeRefusal(refused *refusal.Error) {
	m.refusals.WithLabelValues(refused.Code, refused.OutcomeText()).Inc()
}

func (m *metrics) observeWait(wait time.Duration) { m.wait.Observe(wait.Seconds()) }
