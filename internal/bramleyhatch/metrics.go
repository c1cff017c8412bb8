package bramleyhatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// addMetrics adds the figures of the whole process.
func (e *Entry) addMetrics() {
	e.Metrics.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleyhatch_lists_revision",
			Help: "Revision of the lists and keys in force here.",
		}, func() float64 {
			_, revision := e.view.Config()
			return float64(revision)
		}),
		e.processGauge("entry", peerpb.Role_ROLE_ENTRY),
		e.processGauge("sidecar", peerpb.Role_ROLE_SIDECAR),
	)
}

func (e *Entry) processGauge(role string, number peerpb.Role) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name:        "bramleyhatch_member_processes",
		Help:        "Processes known here that have not failed or left.",
		ConstLabels: prometheus.Labels{"role": role},
	}, func() float64 { return float64(len(e.members.Processes(number))) })
}
