package measure_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/measure"
)

// figures returns the figures of a policy, keyed by name.
func figures(t *testing.T, results []measure.Result, policy string) map[string]float64 {
	t.Helper()
	for _, result := range results {
		if result.Policy != policy {
			continue
		}
		found := map[string]float64{}
		for _, figure := range result.Figures {
			found[figure.Name] = figure.Value
		}
		return found
	}
	t.Fatalf("results have no policy %q", policy)
	return nil
}

func TestRoutingKeepsPrefixes(t *testing.T) {
	results := measure.RoutingToday().Run(1)
	chosen := figures(t, results, "prefix by popularity (chosen)")
	random := figures(t, results, "two random choices")
	must.Greater(t, 2*random["prefix hits"], chosen["prefix hits"])
	must.Less(t, random["first token mean s"]/2, chosen["first token mean s"])
	must.LessEq(t, 1.1*random["first token p99 s"], chosen["first token p99 s"])
}

func TestLimitsAreKeptAndUsed(t *testing.T) {
	results := measure.LimitsToday().Run(1)
	chosen := figures(t, results, "shared by demand (chosen)")
	divided := figures(t, results, "divided evenly")
	must.Less(t, 0.15, chosen["worst overshoot in 5 s"])
	must.Greater(t, 1.5*divided["worst account's share of its due"], chosen["worst account's share of its due"])
}
