package limit

import "slices"

// floorPart of a limit is kept for entries whose demand nobody has heard of yet.
const floorPart = 0.1

// Share returns this entry's share of a limit.
//
// The demands of all entries are served from the smallest up, so that a batch
// job at one entry can't starve a phone at another. What none demands is
// lent, to all entries alike.
//
// own is the demand that this entry has told, settled the part of it that all
// entries have had time to hear, others what this entry has heard. Where the
// entries have heard the same, their shares add up to no more than the limit
// and its floor: one that wants more waits until those that lend know of it.
func Share(limit, settled, own float64, others []float64, entries int) float64 {
	floor := floorPart * limit / float64(entries)
	total := own
	for _, demand := range others {
		total += demand
	}
	if total <= limit {
		return max(floor, settled+(limit-total)/float64(entries))
	}
	return max(floor, min(settled, waterLevel(limit, own, others)))
}

// waterLevel returns the level at which the demands, each cut to it, use up the limit.
func waterLevel(limit, own float64, others []float64) float64 {
	demands := append(slices.Clone(others), own)
	slices.Sort(demands)
	left := limit
	for i, demand := range demands {
		level := left / float64(len(demands)-i)
		if demand > level {
			return level
		}
		left -= demand
	}
	return limit
}
