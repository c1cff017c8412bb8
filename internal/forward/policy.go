package forward

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// usualShare is how many times the target latency a try may take before it is
// given up for another one: work of twice the target is rare, and a server that
// is silent that long has mostly gone.
const usualShare = 2

// policy decides on the tries of one request. It does no input or output.
type policy struct {
	// attempts is the most servers that the request may run at.
	attempts int
	// repeats says that it may run more than once.
	repeats bool
	target  time.Duration

	// sent counts the servers that may have run it.
	sent int
	// ran is true once a server may have run it.
	ran bool
}

// silence returns how long the next try may go without an answer. The last try
// takes all the time that is left; one before it leaves the others their part.
func (p *policy) silence(left time.Duration) time.Duration {
	rest := p.attempts - p.sent
	if rest <= 1 || !p.repeats {
		return left
	}
	return min(left, max(usualShare*p.target, left/time.Duration(rest)))
}

// failed notes a try that gave no answer, and reports whether there may be another.
//
// One that was proved not to run costs no attempt and may always go elsewhere.
// One that may have run goes only if it may run again: sent once more, a posting
// would be made twice.
func (p *policy) failed(err error, left time.Duration) bool {
	if !refusal.IsNotRun(err) {
		p.sent++
		p.ran = true
	}
	if left <= 0 {
		return false
	}
	if p.ran && !p.repeats {
		return false
	}
	return p.sent < p.attempts
}
