package occupancy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// minLateSteps is the number of late steps in a row from which a model takes precedence: a single
// late step has causes that don't concern its trainer.
const minLateSteps = 2

// Step is the need of a trainer's step.
type Step struct {
	// Required is the number of slots that the step needs to be complete in time; see RequiredSlots.
	Required int
	// Late is the number of the trainer's steps directly before this one that weren't complete in
	// time.
	Late int
}

// RequiredSlots returns the number of slots on which generations of these lengths end within the time
// that is left. Lengths that exceed it by more than the grace are left out: they end late whatever
// they get.
//
// The longest generations start first. On n slots, a generation starts about when the n-th part of
// the work of all longer ones is done, which must be early enough for its own length.
func RequiredSlots(lengths []time.Duration, left, grace time.Duration) int {
	sorted := slices.DeleteFunc(slices.Clone(lengths), func(length time.Duration) bool { return length > left+grace })
	slices.SortFunc(sorted, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	required := 0
	var longer time.Duration
	for i, length := range sorted {
		slots := i + 1
		if latestStart := left - length; latestStart > 0 {
			slots = min(slots, max(1, int(math.Ceil(float64(longer)/float64(latestStart)))))
		}
		required = max(required, slots)
		longer += length
	}
	return required
}

// required returns the slots that the model's steps need to be complete in time, at most its demand.
func (d ModelDemand) required() int {
	required := 0
	for _, step := range d.Steps {
		required += step.Required
	}
	return min(required, d.total())
}

// lateSteps returns the number of late steps in a row that gives the model precedence, 0 if there are
// too few.
func (d ModelDemand) lateSteps() int {
	late := 0
	for _, step := range d.Steps {
		late = max(late, step.Late)
	}
	if late < minLateSteps {
		return 0
	}
	return late
}
