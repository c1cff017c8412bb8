package admission

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// minReturnedPart is the least Retry-After as a part of the route's timeout. It is above returnedPart.
const minReturnedPart = 0.11

// RetryAfter spreads the return of refused callers over the time in which they can be served.
type RetryAfter struct {
	admitted counter
	refused  counter
}

// RecordDecision counts a decision.
func (r *RetryAfter) RecordDecision(isAdmitted bool, now clock.Boot) {
	if isAdmitted {
		r.admitted.add(now)
	} else {
		r.refused.add(now)
	}
}

// Draw returns when a refused caller should come back, for a random number in [0, 1). The queues of the
// servers can change within the least time, and after it the caller is recognized as one that was
// refused before. A caller waits for a third of its time left at most, so that it can still be served.
func (r *RetryAfter) Draw(request Request, random float64, now clock.Boot) time.Duration {
	lowest := max(request.Target/3, time.Duration(minReturnedPart*float64(request.Timeout)))
	// Both counters have the same time constant, so their ratio is that of the rates.
	backlog := time.Duration(r.refused.value(now) / max(1, r.admitted.value(now)) * float64(counterTime))
	highest := max(0, min(max(lowest, backlog), request.Left/3))
	lowest = min(lowest, highest)
	return lowest + time.Duration(random*float64(highest-lowest))
}

// arrivalRate returns the requests in a second.
func (r *RetryAfter) arrivalRate(now clock.Boot) float64 {
	return (r.admitted.value(now) + r.refused.value(now)) / counterTime.Seconds()
}
