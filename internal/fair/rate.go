package fair

import (
	"math"
	"time"
)

// rateSpan is the time over which a rate is smoothed.
const rateSpan = 5 * time.Second

// rate is an exponentially weighted sum of work taken out while some waited.
// It starts anew with each time that the queue was empty: the rate of an idle
// server says nothing of what it can do.
type rate struct {
	sum   float64
	since time.Time
	last  time.Time
}

func newRate(now time.Time) rate {
	return rate{since: now, last: now}
}

func (r *rate) add(now time.Time, work float64) {
	r.fade(now)
	r.sum += work
}

func (r *rate) fade(now time.Time) {
	if passed := now.Sub(r.last); passed > 0 {
		r.sum *= math.Exp(-passed.Seconds() / rateSpan.Seconds())
		r.last = now
	}
}

// perSecond returns the rate; 0 until a second's worth is known.
func (r *rate) perSecond(now time.Time) float64 {
	if r.since.IsZero() || now.Sub(r.since) < time.Second {
		return 0
	}
	r.fade(now)
	age := now.Sub(r.since).Seconds() / rateSpan.Seconds()
	return r.sum / (rateSpan.Seconds() * (1 - math.Exp(-age)))
}
