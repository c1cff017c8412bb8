package duty

import (
	"sync"
	"time"
)

// Term is the time during which a process holds a duty.
// It is safe for concurrent use.
type Term struct {
	fence uint64

	mutex sync.Mutex
	until time.Time
}

// NewTerm returns a term with a fencing number that ends at a time.
func NewTerm(fence uint64, until time.Time) *Term {
	return &Term{fence: fence, until: until}
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
// Both clocks must agree. The monotonic clock does not follow steps of the wall
// clock, but stands still while a virtual machine is suspended; the wall clock
// shows that once it has been corrected. Neither stands still under SIGSTOP.
func (t *Term) Valid(now time.Time) bool {
	until := t.Until()
	return now.Before(until) && now.Round(0).Before(until.Round(0))
}

// extend moves the end; a term that was ended stays so.
func (t *Term) extend(until time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.until.IsZero() && until.After(t.until) {
		t.until = until
	}
}
