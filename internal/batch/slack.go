package batch

import (
	"math"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/occupancy"
)

const (
	// expectedScoreTime is the time from the last event of a text to its score: a call to a plain service of 80 ms, and a wait
	// for its slots.
	expectedScoreTime = 200 * time.Millisecond
	// noSlackLimit is the slack of a batch that is never due.
	noSlackLimit = time.Duration(math.MaxInt64)
	// ampleSlack is the slack from which a step has the smallest weight: about half of the time in which a step is due.
	ampleSlack = 4 * time.Second
	// hopelessSlack is the slack below which a step can't be in time any more. It is below 0, because the expected remaining
	// time is an estimate.
	hopelessSlack = -700 * time.Millisecond
	// maxWeight is the weight of a step without slack, hopelessWeight that of a step that can't be in time any more.
	maxWeight      = 4.0
	hopelessWeight = 0.5
)

// Slack returns the time until the batch is due less the expected remaining time of its longest needed item, which generates
// an event in each gap. A batch that is never due has the largest possible slack.
func (p *Plan) Slack(now clock.Boot, gap time.Duration) time.Duration {
	if p.rules.DueAfter == 0 {
		return noSlackLimit
	}
	var longest time.Duration
	for _, remaining := range p.remainingTimes(gap) {
		longest = max(longest, remaining)
	}
	return p.accepted.Add(p.rules.DueAfter).Sub(now) - longest
}

// remainingTimes returns the expected remaining times of the needed items that are not settled.
func (p *Plan) remainingTimes(gap time.Duration) []time.Duration {
	p.classify()
	var times []time.Duration
	for _, item := range p.items {
		if item.isSpare || item.phase == settled {
			continue
		}
		remaining := time.Duration(0)
		if item.phase == waiting || item.phase == running {
			remaining = time.Duration(p.Remaining(item.index)) * gap
		}
		if item.spec.GetScorer() != nil {
			remaining += expectedScoreTime
		}
		times = append(times, remaining)
	}
	return times
}

// RequiredSlots returns the number of slots that the batch needs to be complete in time; 0 if it is never due or the gap is
// unknown.
func (p *Plan) RequiredSlots(now clock.Boot, gap time.Duration) int {
	if p.rules.DueAfter == 0 || gap == 0 {
		return 0
	}
	return occupancy.RequiredSlots(p.remainingTimes(gap), p.accepted.Add(p.rules.DueAfter).Sub(now), -hopelessSlack)
}

// Weight returns the weight of a step in the division of a pool's slots: 1 with ample slack, up to maxWeight without slack.
func Weight(slack time.Duration) float64 {
	switch {
	case slack < hopelessSlack:
		return hopelessWeight
	case slack >= ampleSlack:
		return 1
	default:
		return min(maxWeight, maxWeight-(maxWeight-1)*float64(slack)/float64(ampleSlack))
	}
}
