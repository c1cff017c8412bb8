package admission

import (
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

const (
	// usualSamples is the number of last answers of a route whose median and upper quartile are its
	// usual times. They keep a few odd answers, such as early errors, from making all others look delayed.
	usualSamples = 16
	// usualRise is the relative rise of the low usual time in a second. An overload of 10 s changes it
	// by a fifth, while a route that becomes slower for good is known after about half a minute.
	usualRise = 0.02
	// minUsualRisePart is the part of the latency target to which usualRise applies at least. Relative to a route
	// that answered in 1 ms the rise to 60 ms would take minutes, in which an idle pool refuses requests.
	minUsualRisePart = 1.0 / 12
	// usualHighTime is the time constant of the high usual time.
	usualHighTime = 30 * time.Second
	// maxUsualStep bounds the time for which one answer counts.
	maxUsualStep = time.Second
)

// usualTime holds the usual times of a route. The low one follows the median downwards at
// once and upwards slowly. The high one is the mean of the upper quartile over the last half minute
// without overload, and at least the low one.
type usualTime struct {
	last      []time.Duration
	low, high time.Duration
	// firstAt and at are the times of the first and the last answer.
	firstAt, at clock.Boot
	count       int
}

func (u *usualTime) record(took, target time.Duration, isOverloaded bool, now clock.Boot) {
	if len(u.last) == usualSamples {
		u.last = slices.Delete(u.last, 0, 1)
	}
	u.last = append(u.last, took)
	sorted := slices.Sorted(slices.Values(u.last))
	low, high := sorted[len(sorted)/2], sorted[len(sorted)*3/4]
	step := min(now.Sub(u.at), maxUsualStep)
	u.at = now
	u.count++
	if u.count == 1 {
		u.firstAt, u.high = now, took
	}
	if age := min(usualHighTime, now.Sub(u.firstAt)); !isOverloaded && age > 0 {
		// The mean is over time and not over answers, of which a burst has many.
		u.high += time.Duration(float64(high-u.high) * min(1, step.Seconds()/age.Seconds()))
	}
	if u.count <= usualSamples {
		// A gateway with few callers gets most of its first answers in a burst, when all are late; the
		// mean over time keeps those from before it.
		u.low = min(low, u.high)
	} else {
		rise := usualRise * max(float64(u.low), minUsualRisePart*float64(target))
		u.low = min(low, u.low+time.Duration(rise*step.Seconds()))
	}
	u.high = max(u.high, u.low)
}
