package duty

import (
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// moment is one time on both clocks. The monotonic clock of time.Time stops while the host is suspended.
type moment struct {
	at   time.Time
	boot clock.Boot
}

// suspended returns how long the host was suspended between m and a later moment.
func (m moment) suspended(later moment) time.Duration {
	return max(0, later.boot.Sub(m.boot)-later.at.Sub(m.at))
}

// Term is the time during which a process holds a duty.
// It is safe for concurrent use.
type Term struct {
	fence uint64
	// readBoot reads the clock that counts suspensions.
	readBoot func() clock.Boot

	mutex sync.Mutex
	until time.Time
	// start is the moment from which on suspensions count.
	start moment
}

// NewTerm returns a term with a fencing token that ends at a time.
func NewTerm(fence uint64, until time.Time) *Term {
	return newTerm(fence, until, time.Now(), clock.Now)
}

func newTerm(fence uint64, until, now time.Time, boot func() clock.Boot) *Term {
	return newTermSince(fence, until, moment{at: now, boot: boot()}, boot)
}

// newTermSince returns a term whose end was computed at an earlier moment, such as before a call to the store was sent:
// a suspension during the call counts.
func newTermSince(fence uint64, until time.Time, start moment, boot func() clock.Boot) *Term {
	return &Term{fence: fence, until: until, readBoot: boot, start: start}
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
	return t.isValid(moment{at: now, boot: t.readBoot()})
}

func (t *Term) isValid(now moment) bool {
	return !t.until.IsZero() && now.at.Add(t.start.suspended(now)).Before(t.until)
}

// extend moves the end of the term to a later time, which was computed when the renewal was sent.
//
// A suspension before the renewal was sent doesn't shorten the renewed lease; a later one does. A term that has run out
// isn't extended: the renewal may have been answered before a suspension in which the lease expired.
func (t *Term) extend(until time.Time, sent moment) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.isValid(moment{at: time.Now(), boot: t.readBoot()}) {
		return
	}
	if until = until.Add(t.start.suspended(sent)); until.After(t.until) {
		t.until = until
	}
}
