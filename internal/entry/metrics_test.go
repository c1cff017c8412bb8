package entry_test

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"
)

func TestMetrics(t *testing.T) {
	service := newService(t, false, answerPosting)
	server := newServer(service.URL)
	registry := prometheus.NewRegistry()
	server.Metrics = registry
	client := serve(t, server)
	mustBeComplete(t, postingAnswer, send(client, posting("r1")))
	other := posting("r2")
	other.SetPool("other")
	mustBeRefused(t, notRun, "wrong_pool", send(client, other))
	must.Eq(t, 1, gather(t, registry, "bramleyhatch_backend_answers_total"))
	must.Eq(t, 1, gather(t, registry, "bramleyhatch_backend_refusals_total"))
	must.Eq(t, 0, gather(t, registry, "bramleyhatch_backend_running"))
}

// gather returns the value of a metric that has at most one set of labels.
func gather(t *testing.T, registry *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := registry.Gather()
	must.NoError(t, err)
	for _, family := range families {
		if family.GetName() == name {
			metric := family.GetMetric()[0]
			return metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
		}
	}
	t.Fatalf("metric %s is not registered", name)
	return 0
}
