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

// Reservation is the part of a budget that one request holds. Its methods do nothing on a nil reservation, which has no bound.
// All its bytes are given back by Release, which is called at the end of the request.
type Reservation struct {
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
func (r *Reservation) Grow(ctx context.Context, bytes int64) error {
	if r == nil || bytes <= 0 {
		return nil
	}
	return r.budget.grow(ctx, r, bytes)
}

// TryGrow takes bytes if there is room at once.
func (r *Reservation) TryGrow(bytes int64) bool {
	if r == nil {
		return true
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	return r.budget.take(r, bytes)
}

// Progress restarts the time without progress of a request that is received.
func (r *Reservation) Progress() {
	if r == nil {
		return
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	r.markProgress()
}

// Shrink gives bytes back.
func (r *Reservation) Shrink(bytes int64) {
	if r == nil {
		return
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	r.budget.add(r, -min(bytes, r.held))
	r.budget.signalFreed()
}

// Release gives all bytes back. The reservation can be used again, for the next request of a connection.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	r.setState(kept, nil)
	if r.held > 0 {
		r.budget.add(r, -r.held)
		r.budget.signalFreed()
	}
	r.account, r.isAssigned = "", false
}

// Assign counts the bytes of the request towards an account.
func (r *Reservation) Assign(account string) {
	if r == nil {
		return
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	held := r.held
	r.budget.add(r, -held)
	r.account, r.isAssigned = account, true
	r.budget.add(r, held)
}

// Receive allows others to interrupt the request until Keep is called.
func (r *Reservation) Receive(interrupt func()) { r.change(receiving, interrupt) }

// Keep ends the time in which the request may be interrupted. It returns false if the request has been interrupted.
func (r *Reservation) Keep() bool {
	if r == nil {
		return true
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	if r.isInterrupted {
		return false
	}
	r.setState(kept, nil)
	return true
}

// Send allows others to interrupt the request if its client leaves the answer unread, until the returned function is
// called.
func (r *Reservation) Send(interrupt func()) (done func()) {
	if r == nil {
		return func() {}
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	if r.held == 0 || r.state != kept || r.isInterrupted {
		return func() {}
	}
	r.setState(sending, interrupt)
	return func() { r.Keep() }
}

func (r *Reservation) change(next state, interrupt func()) {
	if r == nil {
		return
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	r.setState(next, interrupt)
}

// setState changes the state, and starts the time without progress. The mutex must be held.
func (r *Reservation) setState(next state, interrupt func()) {
	if r.element != nil {
		r.budget.interruptible.Remove(r.element)
		r.element = nil
	}
	r.state, r.interrupt, r.isInterrupted = next, interrupt, false
	if next != kept {
		r.progressed = time.Now()
		r.element = r.budget.interruptible.PushBack(r)
	}
}

// markProgress restarts the time without progress. The mutex must be held.
func (r *Reservation) markProgress() {
	if r.element != nil {
		r.progressed = time.Now()
		r.budget.interruptible.MoveToBack(r.element)
	}
}

// yieldsTo reports whether a request may be interrupted for one that will hold the given bytes. A large request doesn't
// interrupt smaller ones that make progress: else one that grows in large steps would end all others. The mutex must be
// held.
func (r *Reservation) yieldsTo(bytes int64, now time.Time) bool {
	waited := now.Sub(r.progressed)
	if r.state == sending {
		return waited >= unreadTimeout
	}
	return r.held >= bytes || waited >= stallTimeout
}

func (r *Reservation) isSameAccount(other *Reservation) bool {
	return r.isAssigned && other.isAssigned && r.account == other.account
}

// MaxRequest returns the largest number of bytes that one request can get.
func (r *Reservation) MaxRequest() int64 {
	if r == nil {
		return math.MaxInt64
	}
	return r.budget.MaxRequest()
}
