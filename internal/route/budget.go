package route

import "time"

const (
	// retryShare of the requests may be tried elsewhere.
	retryShare = 0.1
	// retryFloor more may be, so that an entry with few requests can retry at all.
	retryFloor = 10
	// retryWindow is the time over which both are counted.
	retryWindow = 30 * time.Second
)

// Budget bounds how many requests are tried elsewhere: over one to two windows
// at most a tenth of the requests and a small constant. Its zero value is ready.
// It is not safe for concurrent use.
//
// Without a bound, a fleet too slow for its load gets each request several
// times, which makes it slower; the bound holds however many fail.
type Budget struct {
	began    time.Time
	requests [2]float64
	retries  [2]float64
}

// Request counts a request of a caller.
func (b *Budget) Request(now time.Time) {
	b.turn(now)
	b.requests[0]++
}

// Retry reports whether one more retry fits, and counts it if so.
func (b *Budget) Retry(now time.Time) bool {
	b.turn(now)
	if b.retries[0]+b.retries[1]+1 > retryFloor+retryShare*(b.requests[0]+b.requests[1]) {
		return false
	}
	b.retries[0]++
	return true
}

func (b *Budget) turn(now time.Time) {
	passed := now.Sub(b.began)
	if passed < retryWindow {
		return
	}
	b.requests[1], b.retries[1] = b.requests[0], b.retries[0]
	if passed >= 2*retryWindow {
		b.requests[1], b.retries[1] = 0, 0
	}
	b.requests[0], b.retries[0] = 0, 0
	b.began = now
}
