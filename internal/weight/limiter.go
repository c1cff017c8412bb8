package weight

import (
	"math"
	"slices"
	"time"
)

const (
	// initialShare is the initial limit as a share of the maximum limit, and minInitialLimit the
	// smallest initial limit.
	initialShare    = 0.125
	minInitialLimit = 2
	// minQueued and maxQueued bound the share of the loads in progress that queue at the weight
	// store.
	minQueued = 0.2
	maxQueued = 0.5
	// maxSmallLimit is the largest limit at which a single load makes up at least the share
	// minQueued.
	maxSmallLimit = 5
	// probePeriod is the number of loads after which a small limit is raised by one as a
	// probe.
	probePeriod = 10
	// capacitySamples is the number of most recent loads from which the store's capacity is
	// estimated: the loads of a few seconds, so that one slow sampler doesn't determine the
	// estimate.
	capacitySamples = 6
	// growthPerRound is how much the limit grows per round once loads have queued. A round is as
	// many completed loads as are in progress.
	growthPerRound = 8
	// shrinkPerRound is how much the limit shrinks per round while loads queue at the store.
	shrinkPerRound = 24
)

// limiter adapts the number of concurrent loads to the capacity of the weight store, as delay-based
// congestion control does: a load that takes longer than the fastest load so far has queued at the
// store, and more concurrent loads only take more samplers out of service without finishing
// earlier.
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

// recordLoad updates the limit from the duration of a load and the mean number of loads in progress
// during it.
func (l *limiter) recordLoad(duration time.Duration, inFlight float64) {
	if duration <= 0 {
		return
	}
	if l.fastest == 0 || duration < l.fastest {
		l.fastest = duration
	}
	queued := 1 - float64(l.fastest)/float64(duration)
	if l.current <= maxSmallLimit {
		l.recordAtSmallLimit(queued, inFlight)
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

// recordAtSmallLimit updates a limit of at most maxSmallLimit, where each load is a large part of
// the limit.
//
// At a store with a capacity of two, three concurrent loads each take 1.5 times as long: the
// throughput is the same, and each load ends later. Each load yields an estimate of the capacity:
// the number of loads in progress, reduced by the share of its duration that the load queued. The
// limit is the highest of the last few estimates, since a slow sampler says nothing about the
// store. Every probePeriod loads, the limit is raised by one as a probe.
func (l *limiter) recordAtSmallLimit(queued, inFlight float64) {
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

// recordFailure updates the limit from the duration of a failed load: a long load has queued at the
// store, a load that failed at once says nothing about the store.
func (l *limiter) recordFailure(duration time.Duration) {
	if l.fastest > 0 && 1-float64(l.fastest)/float64(duration) > maxQueued {
		l.hasQueued = true
		l.current = max(1, l.current-shrinkPerRound/l.current)
	}
}
