package fair

import (
	"math"
	"time"
)

// rateWindow is the time over which a rate is smoothed.
const rateWindow = 5 * time.Second

// rate is the exponentially weighted rate at which work is served while the queue isn't empty. It
// restarts after the queue was empty, since the rate of an idle server says nothing about its
// capacity.
type rate struct {
	sum   float64
	since time.Time
	last  time.Time
}

func newRate(now time.Time) rate {
	return rate{since: now, last: now}
}

func (r *rate) add(now time.Time, work float64) {
	r.decay(now)
	r.sum += work
}

func (r *rate) decay(now time.Time) {
	if elapsed := now.Sub(r.last); elapsed > 0 {
		r.sum *= math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
		r.last = now
	}
}

// perSecond returns the rate, or 0 during the first second.
func (r *rate) perSecond(now time.Time) float64 {
	if r.since.IsZero() || now.Sub(r.since) < time.Second {
		return 0
	}
	r.decay(now)
	age := now.Sub(r.since).Seconds() / rateWindow.Seconds()
	return r.sum / (rateWindow.Seconds() * (1 - math.Exp(-age)))
}
