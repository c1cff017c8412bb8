package route

import "time"

const (
	// maxRetryRatio is the share of requests that may be retried on another server.
	maxRetryRatio = 0.1
	// minRetries is the number of retries allowed in addition, so that an entry with few requests
	// can retry at all.
	minRetries = 10
	// retryWindow is the length of a counting window.
	retryWindow = 30 * time.Second
)

// Budget limits retries on other servers: over one to two windows, to a tenth of
// the requests plus a small constant. The zero value is ready to use.
// It is not safe for concurrent use.
//
// Without a limit, an overloaded fleet receives each request several times, which slows the fleet
// down further. The limit holds however many requests fail.
type Budget struct {
	windowStart time.Time
	requests    [2]float64
	retries     [2]float64
}

// CountRequest counts the initial attempt of a request.
func (b *Budget) CountRequest(now time.Time) {
	b.rotate(now)
	b.requests[0]++
}

// AllowRetry reports whether one more retry is within the budget, and counts it if so.
func (b *Budget) AllowRetry(now time.Time) bool {
	b.rotate(now)
	if b.retries[0]+b.retries[1]+1 > minRetries+maxRetryRatio*(b.requests[0]+b.requests[1]) {
		return false
	}
	b.retries[0]++
	return true
}

func (b *Budget) rotate(now time.Time) {
	elapsed := now.Sub(b.windowStart)
	if elapsed < retryWindow {
		return
	}
	b.requests[1], b.retries[1] = b.requests[0], b.retries[0]
	if elapsed >= 2*retryWindow {
		b.requests[1], b.retries[1] = 0, 0
	}
	b.requests[0], b.retries[0] = 0, 0
	b.windowStart = now
}
