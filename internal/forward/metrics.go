package forward

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleyhatch/bramleyhatch/internal/admission"
)

// classNames are the values of the label class.
var classNames = map[admission.Class]string{admission.Callers: "callers", admission.Scorers: "scorers"}

// metrics counts refusals by admission. Labels hold only pools of the configuration and fixed names, so that callers
// cannot create new series.
type metrics struct {
	refused *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleyhatch_admission_refused_total",
			Help: "Requests to an overloaded plain service that were refused, or that were not sent to a further server, by reason.",
		}, []string{"pool", "class", "reason"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.refused)
	}
	return m
}

func (m *metrics) countRefused(pool string, class admission.Class, reason string) {
	m.refused.WithLabelValues(pool, classNames[class], reason).Inc()
}
