package duty

import (
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// Term is the time during which a process holds a duty.
// It is safe for concurrent use.
type Term struct {
	fence uint64
	// boot reads the clock that counts suspensions.
	boot func() clock.Boot

	mutex sync.Mutex
	until time.Time
	// at and booted are one moment on both clocks.
	at     time.Time
	booted clock.Boot
}

// NewTerm returns a term with a fencing number that ends at a time.
func NewTerm(fence uint64, until time.Time) *Term {
	return newTerm(fence, until, time.Now(), clock.Now)
}

func newTerm(fence uint64, until, now time.Time, boot func() clock.Boot) *Term {
	return &Term{fence: fence, until: until, boot: boot, at: now, booted: boot()}
}

// End ends the term now and for good.
func (t *Term) End() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.until = time.Time{}
}

// Fence returns the fencing number, higher than that of every earlier holder.
func (t *Term) Fence() uint64 { return t.fence }

// Until returns when the term ends; zero once it was ended.
func (t *Term) Until() time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.until
}

// Valid reports whether the duty is held at a time that time.Now returned.
//
// The monotonic clock stands still while the host is suspended, and the term
// would seem to go on after it had ended in the store; what the boot clock
// counts in addition is taken off. The time of day can't be used for that: it
// jumps by seconds on hosts where it is corrected, and would end a good term or
// lengthen a lapsed one.
func (t *Term) Valid(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !t.until.IsZero() && now.Add(t.suspended(now)).Before(t.until)
}

// suspended returns how long the host has stood still since the term began.
func (t *Term) suspended(now time.Time) time.Duration {
	return max(0, t.boot().Sub(t.booted)-now.Sub(t.at))
}

// extend moves the end to a time counted from now; a term that was ended stays so.
func (t *Term) extend(until time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	if !t.until.IsZero() && until.After(t.until) {
		// A suspension before this moment shortens no lease that is renewed after it;
		// one between the renewal's sending and now is in neither, so it stays counted.
		t.until = until.Add(t.suspended(now))
	}
}
