package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleyhatch/bramleyhatch/internal/admission"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// AdmissionCollector exports the state of the pools that take part in admission. Exported fields are set before the
// first collection.
type AdmissionCollector struct {
	Controller *admission.Controller
}

var _ prometheus.Collector = &AdmissionCollector{}

var (
	dropProbability = prometheus.NewDesc("bramleyhatch_admission_drop_probability",
		"Drop probability of callers of the highest priority; 0 while the pool isn't overloaded.", []string{"pool"}, nil)
	admissionDelay = prometheus.NewDesc("bramleyhatch_admission_delay_seconds",
		"Estimated queueing delay of the pool's servers.", []string{"pool"}, nil)
	admissionScorerWindow = prometheus.NewDesc("bramleyhatch_admission_scorer_window",
		"Calls of scorers that this gateway may send to the pool concurrently; 0 before the first.", []string{"pool"}, nil)
)

// Describe implements prometheus.Collector.
func (c *AdmissionCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- dropProbability
	descriptions <- admissionDelay
	descriptions <- admissionScorerWindow
}

// Collect implements prometheus.Collector.
func (c *AdmissionCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, state := range c.Controller.Pools(clock.Now()) {
		metrics <- prometheus.MustNewConstMetric(dropProbability, prometheus.GaugeValue, state.Probability, state.Pool)
		metrics <- prometheus.MustNewConstMetric(admissionDelay, prometheus.GaugeValue, state.Delay.Seconds(), state.Pool)
		metrics <- prometheus.MustNewConstMetric(admissionScorerWindow, prometheus.GaugeValue, float64(state.ScorerWindow), state.Pool)
	}
}
