package detour

import "github.com/prometheus/client_golang/prometheus"

// Ways of calls, and their results.
const (
	wayDirect  = "direct"
	wayDetour  = "detour"
	resultDone = "answered"
	resultAway = "turned_away"
	resultNone = "no_answer"
)

func newCalls(registerer prometheus.Registerer) *prometheus.CounterVec {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bramleyhatch_store_calls_total",
		Help: "Calls of the platform's store by way, directly or through another gateway, and result.",
	}, []string{"way", "result"})
	if registerer != nil {
		registerer.MustRegister(calls)
	}
	return calls
}
