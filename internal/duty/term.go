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
	// readBoot reads the clock that counts suspensions.
	readBoot func() clock.Boot

	mutex sync.Mutex
	until time.Time
	// startedAt and startedBoot are the same moment on both clocks.
	startedAt   time.Time
	startedBoot clock.Boot
}

// NewTerm returns a term with a fencing token that ends at a time.
func NewTerm(fence uint64, until time.Time) *Term {
	return newTerm(fence, until, time.Now(), clock.Now)
}

func newTerm(fence uint64, until, now time.Time, boot func() clock.Boot) *Term {
	return &Term{fence: fence, until: until, readBoot: boot, startedAt: now, startedBoot: boot()}
}

// End ends the term permanently.
func (t *Term) End() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.until = time.Time{}
}

// Fence returns the fencing token, higher than that of every earlier holder.
func (t *Term) Fence() uint64 { return t.fence }

// Until returns the end of the term, the zero time after End.
func (t *Term) Until() time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.until
}

// Valid reports whether the duty is held at now, a time returned by time.Now.
//
// The monotonic clock stops while the host is suspended, and the term would seem to continue after
// it had ended in the store, so Valid adds the time that only the boot clock has counted. The wall
// clock is unsuitable: on hosts where it is corrected, it jumps by seconds and would end a valid
// term or extend an expired one.
func (t *Term) Valid(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !t.until.IsZero() && now.Add(t.suspended(now)).Before(t.until)
}

// suspended returns how long the host has been suspended since the term began.
func (t *Term) suspended(now time.Time) time.Duration {
	return max(0, t.readBoot().Sub(t.startedBoot)-now.Sub(t.startedAt))
}

// extend moves the end of the term to a later time, unless the term has ended.
func (t *Term) extend(until time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	if !t.until.IsZero() && until.After(t.until) {
		// A suspension before the renewal was sent doesn't shorten the renewed lease; a suspension
		// between sending the renewal and now must still be counted.
		t.until = until.Add(t.suspended(now))
	}
}
