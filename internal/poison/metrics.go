package poison

import "github.com/prometheus/client_golang/prometheus"

// metrics counts crashes and refusals.
type metrics struct {
	crashes prometheus.Counter
	refused prometheus.Counter
	trials  prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, quarantined func() float64) *metrics {
	m := &metrics{
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleyhatch_poison_crashes_total",
			Help: "Backend servers that crashed while they ran a request of this process, once per request and start of a server.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleyhatch_poison_refused_total",
			Help: "Requests that were not sent because copies of them have crashed backend servers.",
		}),
		trials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleyhatch_poison_trials_total",
			Help: "Copies of quarantined requests that this process sent on trial.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.crashes, m.refused, m.trials, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleyhatch_poison_quarantined",
			Help: "Requests that are quarantined because they have crashed backend servers.",
		}, quarantined))
	}
	return m
}
