package fleet_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bramleyhatch/bramleyhatch/internal/fleet"
)

func newSizer() *fleet.Sizer {
	return &fleet.Sizer{Min: 2, Max: 20, Target: 0.7, ScaleDownDelay: 10 * time.Minute, Slack: 0.3}
}

// decideFor calls Decide every ten seconds for a duration and returns the last decision.
func decideFor(sizer *fleet.Sizer, now *time.Time, length time.Duration, running float64) int {
	wanted := 0
	for end := now.Add(length); now.Before(end); *now = now.Add(10 * time.Second) {
		wanted = sizer.Decide(*now, fleet.Need{Running: running, Slots: 10})
	}
	return wanted
}

func TestSizer(t *testing.T) {
	sizer, now := newSizer(), time.Unix(0, 0)
	must.Eq(t, 2, decideFor(sizer, &now, time.Minute, 0))
	must.Eq(t, 10, decideFor(sizer, &now, 30*time.Minute, 70))
	t.Run("keeps servers while the need comes and goes", func(t *testing.T) {
		must.Eq(t, 10, decideFor(sizer, &now, 5*time.Minute, 10))
	})
	t.Run("stops them after the delay", func(t *testing.T) {
		must.Eq(t, 2, decideFor(sizer, &now, 30*time.Minute, 10))
	})
	t.Run("keeps a few too many", func(t *testing.T) {
		must.Eq(t, 10, decideFor(sizer, &now, time.Minute, 70))
		must.Eq(t, 10, decideFor(sizer, &now, 30*time.Minute, 56))
	})
	t.Run("never passes its bounds", func(t *testing.T) {
		must.Eq(t, 20, decideFor(sizer, &now, 30*time.Minute, 10000))
	})
}

func TestSpread(t *testing.T) {
	must.Eq(t, map[string]int{"a": 3, "b": 2, "c": 2}, fleet.Spread(7, map[string]int{"a": 0, "b": 0, "c": 0}))
	must.Eq(t, map[string]int{"a": 2, "b": 2, "c": 3}, fleet.Spread(7, map[string]int{"a": 2, "b": 2, "c": 5}))
	must.Eq(t, map[string]int{"a": 4, "c": 3}, fleet.Spread(7, map[string]int{"a": 2, "c": 2}))
}

func TestSpreadIsEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(0, 1000).Draw(t, "servers")
		present := rapid.MapOfN(rapid.StringMatching("[a-g]"), rapid.IntRange(0, 200), 1, 7).Draw(t, "present")
		sum, low, high := 0, servers, 0
		for _, share := range fleet.Spread(servers, present) {
			sum += share
			low, high = min(low, share), max(high, share)
		}
		if sum != servers || high-low > 1 {
			t.Fatalf("%d servers in %d zones: sum %d, from %d to %d", servers, len(present), sum, low, high)
		}
	})
}
