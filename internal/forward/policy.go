package forward

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// minTargetMultiple is the minimum timeout of an attempt that another attempt may follow,
// as a multiple of the target latency: requests rarely take twice the target, and a server
// that sends nothing for so long is mostly down.
const minTargetMultiple = 2

// policy decides on the attempts of one request. It does no I/O.
type policy struct {
	// maxAttempts is the maximum number of servers that may run the request.
	maxAttempts int
	// repeatable is true if the request may run more than once.
	repeatable    bool
	latencyTarget time.Duration

	// executions counts the servers that may have run the request.
	executions int
	// mayHaveRun is true once a server may have run the request.
	mayHaveRun bool
}

// readTimeout returns how long the next attempt may take without an answer. The last
// attempt gets all the remaining time; earlier attempts leave a share for the later ones.
func (p *policy) readTimeout(left time.Duration) time.Duration {
	attemptsLeft := p.maxAttempts - p.executions
	if attemptsLeft <= 1 || !p.repeatable {
		return left
	}
	return min(left, max(minTargetMultiple*p.latencyTarget, left/time.Duration(attemptsLeft)))
}

// recordFailure records an attempt without an answer, and reports whether another attempt
// is allowed.
//
// An attempt that certainly did not run is not counted, and the request may go to another
// server. A request that may have run goes to another server only if it is repeatable:
// otherwise a posting could be made twice.
func (p *policy) recordFailure(err error, left time.Duration) bool {
	if !refusal.IsNotRun(err) {
		p.executions++
		p.mayHaveRun = true
	}
	if left <= 0 {
		return false
	}
	if p.mayHaveRun && !p.repeatable {
		return false
	}
	return p.executions < p.maxAttempts
}
