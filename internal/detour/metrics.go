package detour

import "github.com/prometheus/client_golang/prometheus"

// Values of the labels way and result.
const (
	wayDirect      = "direct"
	wayDetour      = "detour"
	resultAnswered = "answered"
	resultRejected = "turned_away"
	resultNoAnswer = "no_answer"
)

func newCallCounter(registerer prometheus.Registerer) *prometheus.CounterVec {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bramleyhatch_store_calls_total",
		Help: "Calls of the platform's store by way, directly or through another gateway, and result.",
	}, []string{"way", "result"})
	if registerer != nil {
		registerer.MustRegister(calls)
	}
	return calls
}
