package batch

import "github.com/prometheus/client_golang/prometheus"

// Values of the end label of runs.
const (
	endWhole   = "whole"
	endSlow    = "slow"
	endStopped = "stopped"
	endFailed  = "failed"
	endRefused = "refused"
	endFault   = "fault"
)

// metrics counts batches, runs, outcomes and writes.
type metrics struct {
	accepted  prometheus.Counter
	takeovers prometheus.Counter
	outcomes  *prometheus.CounterVec
	runs      *prometheus.CounterVec
	writes    *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer, open func() float64) *metrics {
	m := &metrics{
		accepted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleyhatch_batch_accepted_total",
			Help: "Batches taken by this process.",
		}),
		takeovers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleyhatch_batch_takeovers_total",
			Help: "Batches taken over from an owner that has gone.",
		}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleyhatch_batch_outcomes_total",
			Help: "Items listed, by whether they are whole or failed.",
		}, []string{"outcome"}),
		runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleyhatch_batch_runs_total",
			Help: "Runs of items at samplers, by how they ended.",
		}, []string{"end"}),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleyhatch_batch_writes_total",
			Help: "Writes of outcomes to the store, by whether it holds them.",
		}, []string{"result"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.accepted, m.takeovers, m.outcomes, m.runs, m.writes, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleyhatch_batch_open",
			Help: "Batches that this process owns and that are not ended.",
		}, open))
	}
	return m
}

// countOutcome counts a listed item.
func (m *metrics) countOutcome(isFailed bool) {
	if isFailed {
		m.outcomes.WithLabelValues(endFailed).Inc()
		return
	}
	m.outcomes.WithLabelValues(endWhole).Inc()
}
