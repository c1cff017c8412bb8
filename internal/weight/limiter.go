package weight

import (
	"math"
	"slices"
	"time"
)

const (
	// initialShare is the part of the maximum limit with which the limit starts, and
	// minInitialLimit its minimum.
	initialShare    = 0.125
	minInitialLimit = 2
	// minQueued and maxQueued bound the share of the loads in progress that only wait for the
	// weight store.
	minQueued = 0.2
	maxQueued = 0.5
	// maxSmallLimit is the largest limit of which one load is more than minQueued.
	maxSmallLimit = 5
	// probePeriod is the number of loads after which a small limit is raised by one as a
	// probe.
	probePeriod = 10
	// capacitySamples is the number of last loads from which the store's capacity is
	// estimated: those of a few seconds, so that one slow sampler doesn't decide.
	capacitySamples = 6
	// growthPerRound is how much the limit grows in a round, once loads have queued; in a
	// round, as many loads end as are in progress.
	growthPerRound = 8
	// shrinkPerRound is how much it shrinks in a round while loads queue at the store.
	shrinkPerRound = 24
)

// limiter adapts the number of concurrent loads to the capacity of the weight store, as
// delay-based congestion control does: a load that takes longer than the fastest one seen has
// queued at the store, and more concurrent loads only take more samplers out of service
// without finishing earlier.
type limiter struct {
	current   float64
	fastest   time.Duration
	hasQueued bool
	// capacities are the capacity estimates of the last loads, loads counts them.
	capacities [capacitySamples]float64
	loads      int
}

// limit returns the current limit, at most maxLimit.
func (l *limiter) limit(maxLimit int) int {
	if l.current == 0 {
		l.current = max(minInitialLimit, initialShare*float64(maxLimit))
	}
	l.current = min(l.current, float64(maxLimit))
	return max(1, int(l.current))
}

// recordLoad updates the limit by the duration of a load and the mean number of loads in
// progress meanwhile.
func (l *limiter) recordLoad(duration time.Duration, inFlight float64) {
	if duration <= 0 {
		return
	}
	if l.fastest == 0 || duration < l.fastest {
		l.fastest = duration
	}
	queued := 1 - float64(l.fastest)/float64(duration)
	if l.current <= maxSmallLimit {
		l.recordSmall(queued, inFlight)
		return
	}
	switch {
	case queued > maxQueued:
		l.hasQueued = true
		l.current = max(1, l.current-shrinkPerRound/l.current)
	case queued > minQueued:
		l.hasQueued = true
	case l.hasQueued:
		l.current += growthPerRound / l.current
	default:
		l.current++
	}
}

// recordSmall updates a small limit, of which one load is a large part.
//
// At a store with a capacity of two, three concurrent loads take half as long again: as many
// end per second, and each ends later. Each load yields an estimate of the capacity: the
// number of loads in progress, less the part of its time that it queued. The highest of the
// last few estimates counts, since a sampler that is slow by itself says nothing about the
// store. A higher limit is probed now and then.
func (l *limiter) recordSmall(queued, inFlight float64) {
	l.capacities[l.loads%len(l.capacities)] = inFlight * (1 - queued)
	l.loads++
	l.hasQueued = l.hasQueued || queued > minQueued
	if !l.hasQueued {
		l.current++
		return
	}
	l.current = max(1, math.Round(slices.Max(l.capacities[:])))
	if l.loads%probePeriod == 0 {
		l.current++
	}
}

// recordFailure updates the limit by the duration of a failed load: a long one has queued at
// the store, one that failed at once says nothing about it.
func (l *limiter) recordFailure(duration time.Duration) {
	if l.fastest > 0 && 1-float64(l.fastest)/float64(duration) > maxQueued {
		l.hasQueued = true
		l.current = max(1, l.current-shrinkPerRound/l.current)
	}
}
