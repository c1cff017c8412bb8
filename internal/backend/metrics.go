package backend

import "github.com/prometheus/client_golang/prometheus"

// Values of the label claim: what an answer to another request states.
const (
	claimRun    = "run"
	claimNotRun = "not_run"
)

// Metrics counts the answers of backend servers that belong to another request.
type Metrics struct {
	foreign *prometheus.CounterVec
}

// NewMetrics registers the metrics of all backend servers of a process.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		foreign: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleyhatch_backend_foreign_answers_total",
			Help: "Answers of backend servers that belong to another request, by whether they state that it was not run.",
		}, []string{"claim"}),
	}
	registerer.MustRegister(m.foreign)
	return m
}

func (m *Metrics) countForeignAnswer(isNotRun bool) {
	if m == nil {
		return
	}
	claim := claimRun
	if isNotRun {
		claim = claimNotRun
	}
	m.foreign.WithLabelValues(claim).Inc()
}
