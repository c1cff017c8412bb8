package forward

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// minTargetMultiple times the target latency is the least time before an attempt is
// abandoned for another: requests rarely take twice the target, and a server that sends
// nothing for so long is mostly down.
const minTargetMultiple = 2

// policy decides on the attempts of one request. It does no I/O.
type policy struct {
	// maxAttempts is the maximum number of servers that may run the request.
	maxAttempts int
	// repeatable is true if the request may run more than once.
	repeatable    bool
	latencyTarget time.Duration

	// executions counts the servers that may have run it.
	executions int
	// mayHaveRun is true once a server may have run it.
	mayHaveRun bool
}

// readTimeout returns how long the next attempt may go without an answer. The last attempt
// gets all the remaining time; an earlier one leaves a share for the others.
func (p *policy) readTimeout(left time.Duration) time.Duration {
	attemptsLeft := p.maxAttempts - p.executions
	if attemptsLeft <= 1 || !p.repeatable {
		return left
	}
	return min(left, max(minTargetMultiple*p.latencyTarget, left/time.Duration(attemptsLeft)))
}

// recordFailure records an attempt without an answer, and reports whether another one is
// allowed.
//
// An attempt that certainly did not run is not counted, and the request may always go to
// another server. If it may have run, it goes only if it is repeatable: otherwise a
// posting could be made twice.
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
