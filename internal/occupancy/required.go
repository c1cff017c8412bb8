package occupancy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

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
