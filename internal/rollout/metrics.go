package rollout

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts what happens to steps; nil counts nothing.
type Metrics struct {
	attempts *prometheus.GaugeVec
	places   *prometheus.GaugeVec
	lag      prometheus.Histogram
}

// NewMetrics registers the metrics of steps.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		attempts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bramleyhatch_step_attempts",
			Help: "Attempts of the open step by what became of them.",
		}, []string{"trainer", "outcome"}),
		places: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bramleyhatch_step_places",
			Help: "Slots of the open step that have a place, on the process that holds the step.",
		}, []string{"trainer"}),
		lag: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "bramleyhatch_sample_staleness_versions",
			Help:    "Versions that a sample lagged behind when it was handed over.",
			Buckets: []float64{0, 1, 2, 4, 8, 16},
		}),
	}
	registerer.MustRegister(m.attempts, m.places, m.lag)
	return m
}

func (m *Metrics) observe(step *Step) {
	if m == nil {
		return
	}
	trainer, counts := step.open.GetTrainer(), step.Counts()
	m.places.WithLabelValues(trainer).Set(float64(step.bound))
	for outcome, count := range map[string]uint64{
		"started":  counts.Started(),
		"second":   counts.SecondRuns(),
		"failed":   counts.Failed(),
		"refused":  counts.Refused(),
		"stale":    counts.Stale(),
		"lost":     counts.Lost(),
		"wasted":   counts.Wasted(),
		"accepted": counts.Accepted(),
	} {
		m.attempts.WithLabelValues(trainer, outcome).Set(float64(count))
	}
}

// forget removes the figures of a trainer whose steps another process holds.
func (m *Metrics) forget(trainer string) {
	if m == nil {
		return
	}
	m.attempts.DeletePartialMatch(prometheus.Labels{"trainer": trainer})
	m.places.DeletePartialMatch(prometheus.Labels{"trainer": trainer})
}

func (m *Metrics) handedOver(lag uint64) {
	if m != nil {
		m.lag.Observe(float64(lag))
	}
}
