package limit

import "slices"

// floorRatio is the part of a limit reserved for entries whose demand is not known yet.
const floorRatio = 0.1

// Share returns this entry's share of a limit.
//
// The allocation is max-min fair: demands are satisfied in increasing order, so that a batch job at
// one entry can't starve a small caller at another entry. The unused remainder is divided evenly
// among all entries.
//
// own is the demand that this entry has published, settled the part of own that all entries have
// had time to receive, and others the demands that this entry has received. If all entries have
// received the same demands, their shares add up to at most the limit plus the part given by
// floorRatio: an entry whose demand increases waits until the entries whose shares decrease have
// received the increased demand.
func Share(limit, settled, own float64, others []float64, entries int) float64 {
	floor := floorRatio * limit / float64(entries)
	total := own
	for _, demand := range others {
		total += demand
	}
	if total <= limit {
		return max(floor, settled+(limit-total)/float64(entries))
	}
	return max(floor, min(settled, waterLevel(limit, own, others)))
}

// waterLevel returns the cap on each demand at which the capped demands use up the limit.
func waterLevel(limit, own float64, others []float64) float64 {
	demands := append(slices.Clone(others), own)
	slices.Sort(demands)
	remaining := limit
	for i, demand := range demands {
		level := remaining / float64(len(demands)-i)
		if demand > level {
			return level
		}
		remaining -= demand
	}
	return limit
}
