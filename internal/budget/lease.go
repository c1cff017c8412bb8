package budget

import (
	"container/list"
	"context"
	"math"
	"time"
)

// state says whether a request may be interrupted.
type state int

const (
	// kept requests are never interrupted.
	kept state = iota
	// receiving requests aren't complete, so that no backend server runs them.
	receiving
	// sending requests wait until their client reads the answer.
	sending
)

// Lease is the part of a budget that one request holds. Its methods do nothing on a nil lease, which has no bound.
// All its bytes are given back by Release, which is called at the end of the request.
type Lease struct {
	budget *Budget

	// The fields below are protected by the budget's mutex.
	held       int64
	account    string
	isAssigned bool
	state      state
	// interrupt ends what the request waits for. It must not block.
	interrupt     func()
	isInterrupted bool
	progressed    time.Time
	element       *list.Element
}

// Grow takes bytes for the request and waits for others that have to yield. The error is an *Error, or that of the
// context.
func (l *Lease) Grow(ctx context.Context, bytes int64) error {
	if l == nil || bytes <= 0 {
		return nil
	}
	return l.budget.grow(ctx, l, bytes)
}

// TryGrow takes bytes if there is room at once.
func (l *Lease) TryGrow(bytes int64) bool {
	if l == nil {
		return true
	}
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	return l.budget.take(l, bytes)
}

// Progress restarts the time without progress of a request that is received.
func (l *Lease) Progress() {
	if l == nil {
		return
	}
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	l.markProgress()
}

// Shrink gives bytes back.
func (l *Lease) Shrink(bytes int64) {
	if l == nil {
		return
	}
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	l.budget.add(l, -min(bytes, l.held))
	l.budget.signalFreed()
}

// Release gives all bytes back. The lease can be used again, for the next request of a connection.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	l.setState(kept, nil)
	if l.held > 0 {
		l.budget.add(l, -l.held)
		l.budget.signalFreed()
	}
	l.account, l.isAssigned = "", false
}

// Assign counts the bytes of the request towards an account.
func (l *Lease) Assign(account string) {
	if l == nil {
		return
	}
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	held := l.held
	l.budget.add(l, -held)
	l.account, l.isAssigned = account, true
	l.budget.add(l, held)
}

// Receive allows others to interrupt the request until Keep is called.
func (l *Lease) Receive(interrupt func()) { l.change(receiving, interrupt) }

// Keep ends the time in which the request may be interrupted. It returns false if the request has been interrupted.
func (l *Lease) Keep() bool {
	if l == nil {
		return true
	}
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	if l.isInterrupted {
		return false
	}
	l.setState(kept, nil)
	return true
}

// Send allows others to interrupt the request if its client leaves the answer unread, until the returned function is
// called.
func (l *Lease) Send(interrupt func()) (done func()) {
	if l == nil {
		return func() {}
	}
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	if l.held == 0 || l.state != kept || l.isInterrupted {
		return func() {}
	}
	l.setState(sending, interrupt)
	return func() { l.Keep() }
}

func (l *Lease) change(next state, interrupt func()) {
	if l == nil {
		return
	}
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	l.setState(next, interrupt)
}

// setState changes the state, and starts the time without progress. The mutex must be held.
func (l *Lease) setState(next state, interrupt func()) {
	if l.element != nil {
		l.budget.interruptible.Remove(l.element)
		l.element = nil
	}
	l.state, l.interrupt, l.isInterrupted = next, interrupt, false
	if next != kept {
		l.progressed = time.Now()
		l.element = l.budget.interruptible.PushBack(l)
	}
}

// markProgress restarts the time without progress. The mutex must be held.
func (l *Lease) markProgress() {
	if l.element != nil {
		l.progressed = time.Now()
		l.budget.interruptible.MoveToBack(l.element)
	}
}

// yieldsTo reports whether a request may be interrupted for one that will hold the given bytes. A large request doesn't
// interrupt smaller ones that make progress: else one that grows in large steps would end all others. The mutex must be
// held.
func (l *Lease) yieldsTo(bytes int64, now time.Time) bool {
	waited := now.Sub(l.progressed)
	if l.state == sending {
		return waited >= unreadTimeout
	}
	return l.held >= bytes || waited >= stallTimeout
}

func (l *Lease) isSameAccount(other *Lease) bool {
	return l.isAssigned && other.isAssigned && l.account == other.account
}

// MaxRequest returns the largest number of bytes that one request can get.
func (l *Lease) MaxRequest() int64 {
	if l == nil {
		return math.MaxInt64
	}
	return l.budget.MaxRequest()
}
