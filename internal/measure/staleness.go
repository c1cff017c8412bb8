package measure

import (
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/rollout"
)

// announceInterval is the time between versions in the staleness experiment.
const announceInterval = 70 * time.Second

// Staleness compares stopping attempts as soon as their samples would be stale with checking
// samples only at the end of attempts. Weights change every announceInterval, independently of the
// trainer.
func Staleness() Experiment {
	policies := []stragglerPolicy{
		{name: "stopped once doomed", announceInterval: announceInterval},
		{name: "checked at the end", announceInterval: announceInterval, checksAtEnd: true},
	}
	return Experiment{Name: "Staleness", Run: func(seed uint64) []Result {
		var results []Result
		for _, policy := range policies {
			results = append(results, newStragglerRun(policy, seed).run())
		}
		return results
	}}
}

// isStale reports whether an attempt was stopped as stale, not because its slot is filled.
func isStale(running *stragglerAttempt) bool {
	return slices.ContainsFunc(running.step.StaleAttempts(), func(stale rollout.Attempt) bool { return stale.ID() == running.attempt.ID() })
}
