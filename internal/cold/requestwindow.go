package cold

import "github.com/bramleyhatch/bramleyhatch/internal/clock"

// maxSent is the greatest number of requests that Sent counts.
const maxSent = 32

// RequestWindow counts the requests that a process has recently sent to a server. Its zero value is
// empty.
type RequestWindow struct {
	times [maxSent]clock.Boot
	count int
}

// Add records a request.
func (s *RequestWindow) Add(now clock.Boot) {
	s.times[s.count%maxSent] = now
	s.count++
}

// Allows reports whether fewer than limit requests were sent within Span up to now.
func (s *RequestWindow) Allows(limit int, now clock.Boot) bool {
	limit = min(limit, maxSent)
	if limit <= 0 {
		return false
	}
	if s.count < limit {
		return true
	}
	return now.Sub(s.times[(s.count-limit)%maxSent]) >= Window
}
