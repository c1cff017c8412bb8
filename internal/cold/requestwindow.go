package cold

import "github.com/bramleyhatch/bramleyhatch/internal/clock"

// maxCounted is the maximum number of requests that a RequestWindow counts.
const maxCounted = 32

// RequestWindow counts the requests that a process has recently sent to a server. Its zero
// value is empty.
type RequestWindow struct {
	times [maxCounted]clock.Boot
	count int
}

// Add records a request.
func (w *RequestWindow) Add(now clock.Boot) {
	w.times[w.count%maxCounted] = now
	w.count++
}

// Allows reports whether fewer than limit requests were sent within Window up to now.
func (w *RequestWindow) Allows(limit int, now clock.Boot) bool {
	limit = min(limit, maxCounted)
	if limit <= 0 {
		return false
	}
	if w.count < limit {
		return true
	}
	return now.Sub(w.times[(w.count-limit)%maxCounted]) >= Window
}
