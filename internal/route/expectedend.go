package route

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lastingRatio is the ratio of usual gaps from which the servers of a pool differ, and from which a server of such a
	// pool is slow. Healthy servers of one kind differ by less than a third.
	lastingRatio = 1.4
	// minUsualRatio and maxUsualRatio bound the ratio of the present gap of a server at its usual speed to its usual one. Beyond
	// them a fault lasts or has just ended, and the usual gap may be partly that of the fault.
	minUsualRatio = 0.8
	maxUsualRatio = 1.4
	// gapSteps divides the gaps for comparison: gaps that differ by less than 1/gapSteps of the fast gap are equal, so that
	// noise of the measurement doesn't send all work to a few servers.
	gapSteps = 4
)

// Gaps are intervals between events of a generation at a server; 0 if unknown.
type Gaps struct {
	// Usual is the interval without faults.
	Usual time.Duration
	// Present is the interval of the last events.
	Present time.Duration
}

// Expected returns the gap that a new generation will have; 0 if unknown.
func (g Gaps) Expected() time.Duration { return max(g.Usual, g.Present) }

// isAtUsual reports whether the usual gap is known and the server is at its usual speed, as far as known.
func (g Gaps) isAtUsual() bool {
	if g.Usual == 0 || g.Present == 0 {
		return g.Usual > 0
	}
	ratio := float64(g.Present) / float64(g.Usual)
	return ratio >= minUsualRatio && ratio <= maxUsualRatio
}

// FastGap returns the usual gap of the fastest quarter of a pool's servers if they differ lastingly: the gap of the slowest
// quarter is above lastingRatio times that of the fastest. Otherwise it returns 0.
func FastGap(servers []Gaps) time.Duration {
	fast, slow := QuarterGaps(servers)
	if float64(slow) <= lastingRatio*float64(fast) {
		return 0
	}
	return fast
}

// QuarterGaps returns the median usual gaps of the fastest and of the slowest quarter of a pool's servers; 0 if unknown.
//
// Servers that aren't at their usual speed are left out, because a fault that lasts raises the usual gap too: half of a pool
// of equal servers, slowed for 20 s, must not look like servers of another kind.
func QuarterGaps(servers []Gaps) (fast, slow time.Duration) {
	usual := make([]time.Duration, 0, len(servers))
	for _, gaps := range servers {
		if gaps.isAtUsual() {
			usual = append(usual, gaps.Usual)
		}
	}
	if len(usual) == 0 {
		return 0, 0
	}
	slices.Sort(usual)
	middle := (max(1, len(usual)/4) - 1) / 2
	return usual[middle], usual[len(usual)-1-middle]
}

// RoundGap returns a gap by which the servers of a pool are compared, given the pool's fast gap. A server of unknown gap
// counts as fast: otherwise it would get no work and stay unknown.
func RoundGap(gap, fast time.Duration) time.Duration {
	step := max(1, fast/gapSteps)
	return max(fast, (gap+step/2)/step*step)
}

// IsSlowGap reports whether a gap is that of a slow server, given the pool's fast gap.
func IsSlowGap(gap, fast time.Duration) bool {
	return fast > 0 && float64(gap) > lastingRatio*float64(fast)
}

// compareGaps orders candidates by their expected gap. Candidates without one are equal.
func compareGaps(a, b Candidate) int {
	if a.Gap == 0 || b.Gap == 0 {
		return 0
	}
	return cmp.Compare(a.Gap, b.Gap)
}
