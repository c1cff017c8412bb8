package cold

import "github.com/bramleyhatch/bramleyhatch/internal/clock"

// mostSent is the greatest number of requests that Sent counts.
const mostSent = 32

// RequestWindow counts the requests that a process has sent to a server of late. Its zero
// value has none.
type RequestWindow struct {
	times [mostSent]clock.Boot
	count int
}

// Add notes a request.
func (s *RequestWindow) Add(now clock.Boot) {
	s.times[s.count%mostSent] = now
	s.count++
}

// Allows reports whether fewer than most requests were sent within Span up to now.
func (s *RequestWindow) Allows(most int, now clock.Boot) bool {
	most = min(most, mostSent)
	if most <= 0 {
		return false
	}
	if s.count < most {
		return true
	}
	return now.Sub(s.times[(s.count-most)%mostSent]) >= Window
}
