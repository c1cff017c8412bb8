package measure

import (
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/rollout"
)

// announceEvery is the time between two versions in the staleness experiment.
const announceEvery = 70 * time.Second

// Staleness measures stopping attempts that are doomed, with weights that
// change every announceEvery, whatever the trainer does.
func Staleness() Experiment {
	policies := []stragglerPolicy{
		{name: "stopped once doomed", every: announceEvery},
		{name: "checked at the end", every: announceEvery, late: true},
	}
	return Experiment{Name: "Staleness", Run: func(seed uint64) []Result {
		var results []Result
		for _, policy := range policies {
			results = append(results, newStragglerRun(policy, seed).run())
		}
		return results
	}}
}

// isDoomed tells an attempt that is stopped as stale from one whose slot is filled.
func isDoomed(one *stragglerAttempt) bool {
	return slices.ContainsFunc(one.step.StaleAttempts(), func(doomed rollout.Attempt) bool { return doomed.ID() == one.attempt.ID() })
}
