// Package budget bounds the memory that clients make a process hold.
//
// Whoever holds bytes for a client takes them from the budget first. If there is no room, requests that are still being
// received yield to others; complete requests don't, since a backend server may already run them.
package budget

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// SmallRequest is the size up to which a request may use the reserve of the budget.
	SmallRequest = 128 << 10
	// reserveShare is the divisor of the budget that only small requests may use.
	reserveShare = 8
	// accountShare is the divisor of the budget that all requests of an account together may use, unless there is only one.
	accountShare = 2
	// stallTimeout is how long a request may be received without progress before a smaller one may interrupt it.
	stallTimeout = time.Second
	// unreadTimeout is how long a client may leave its answer unread before other requests may interrupt it.
	unreadTimeout = 5 * time.Second
	// progressBytes is the smallest growth that counts as progress, so that bytes sent one by one don't.
	progressBytes = 4 << 10
	// evictionTimeout bounds the wait until interrupted requests have given their bytes back.
	evictionTimeout = time.Second
)

// Budget is a number of bytes that requests share. Exported fields are set before the first use.
type Budget struct {
	// Bytes is the size of the budget.
	Bytes int64

	mutex    sync.Mutex
	held     int64
	accounts map[string]int64
	// interruptible holds the reservations that may be interrupted, the one without progress for the longest time first.
	interruptible list.List
	// freed is closed when bytes are given back; nil if nobody waits.
	freed     chan struct{}
	refused   [reasonCount]uint64
	evictions uint64
}

// NewReservation returns a reservation without bytes.
func (b *Budget) NewReservation() *Reservation { return &Reservation{budget: b} }

// MaxRequest returns the largest number of bytes that one request can get.
func (b *Budget) MaxRequest() int64 { return b.Bytes - b.Bytes/reserveShare }

// Held returns the number of bytes in use.
func (b *Budget) Held() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.held
}

// limitFor returns the part of the budget that a request of the given size may fill.
func (b *Budget) limitFor(size int64) int64 {
	if size <= SmallRequest {
		return b.Bytes
	}
	return b.MaxRequest()
}

// take gives bytes to a reservation if there is room. The mutex must be held.
func (b *Budget) take(r *Reservation, bytes int64) bool {
	if b.held+bytes > b.limitFor(r.held+bytes) || !b.isWithinShare(r, bytes) {
		return false
	}
	b.add(r, bytes)
	return true
}

// isWithinShare reports whether the reservation's account may hold that many bytes more. The mutex must be held.
func (b *Budget) isWithinShare(r *Reservation, bytes int64) bool {
	if !r.isAssigned {
		return true
	}
	others := b.accounts[r.account] - r.held
	return others == 0 || others+r.held+bytes <= b.Bytes/accountShare
}

// add changes the bytes of a reservation. The mutex must be held.
func (b *Budget) add(r *Reservation, bytes int64) {
	b.held += bytes
	r.held += bytes
	if !r.isAssigned {
		return
	}
	if b.accounts == nil {
		b.accounts = map[string]int64{}
	}
	b.accounts[r.account] += bytes
	if b.accounts[r.account] == 0 {
		delete(b.accounts, r.account)
	}
}

// signalFreed wakes those who wait for bytes. The mutex must be held.
func (b *Budget) signalFreed() {
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// awaitFreed returns a channel that is closed when bytes are given back. The mutex must be held.
func (b *Budget) awaitFreed() <-chan struct{} {
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed
}

// grow gives bytes to a reservation, and interrupts other requests if there is no room without that.
func (b *Budget) grow(ctx context.Context, r *Reservation, bytes int64) error {
	timer := time.NewTimer(evictionTimeout)
	defer timer.Stop()
	for {
		b.mutex.Lock()
		if r.isInterrupted {
			b.mutex.Unlock()
			return &Error{Reason: Interrupted}
		}
		if b.take(r, bytes) {
			if bytes >= progressBytes {
				r.markProgress()
			}
			b.mutex.Unlock()
			return nil
		}
		if r.held+bytes > b.MaxRequest() {
			return b.refuse(TooLarge)
		}
		victims, enough := b.chooseVictims(r, bytes, time.Now())
		if !enough {
			return b.refuse(Full)
		}
		interrupts := make([]func(), 0, len(victims))
		for _, victim := range victims {
			victim.isInterrupted = true
			interrupts = append(interrupts, victim.interrupt)
		}
		if len(victims) > 0 {
			b.evictions += uint64(len(victims))
			// A victim may itself be waiting for bytes.
			b.signalFreed()
		}
		freed := b.awaitFreed()
		b.mutex.Unlock()
		for _, interrupt := range interrupts {
			interrupt()
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			b.mutex.Lock()
			return b.refuse(Full)
		}
	}
}

// refuse counts a refusal and releases the mutex.
func (b *Budget) refuse(reason Reason) error {
	b.refused[reason]++
	b.mutex.Unlock()
	return &Error{Reason: reason}
}

// chooseVictims returns the requests to interrupt so that a reservation can get bytes, and whether these and those that are
// already interrupted are enough. The mutex must be held.
func (b *Budget) chooseVictims(r *Reservation, bytes int64, now time.Time) (victims []*Reservation, enough bool) {
	wanted := r.held + bytes
	missing := b.held + bytes - b.limitFor(wanted)
	others := int64(0)
	if r.isAssigned {
		others = b.accounts[r.account] - r.held
	}
	exceedsShare := func() bool { return others > 0 && others+wanted > b.Bytes/accountShare }
	yield := func(victim *Reservation) {
		missing -= victim.held
		if victim.isSameAccount(r) {
			others -= victim.held
		}
	}
	for element := b.interruptible.Front(); element != nil; element = element.Next() {
		if victim, _ := element.Value.(*Reservation); victim.isInterrupted {
			yield(victim)
		}
	}
	for element := b.interruptible.Front(); element != nil && (missing > 0 || exceedsShare()); element = element.Next() {
		victim, _ := element.Value.(*Reservation)
		helps := victim.held > 0 && (missing > 0 || victim.isSameAccount(r))
		if victim == r || victim.isInterrupted || !helps || !victim.yieldsTo(wanted, now) {
			continue
		}
		victims = append(victims, victim)
		yield(victim)
	}
	if missing > 0 || exceedsShare() {
		return nil, false
	}
	return victims, true
}

// Describe implements prometheus.Collector.
func (b *Budget) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- sizeMetric
	descriptions <- heldMetric
	descriptions <- refusedMetric
	descriptions <- evictionsMetric
}

// Collect implements prometheus.Collector.
func (b *Budget) Collect(metrics chan<- prometheus.Metric) {
	b.mutex.Lock()
	held, refused, evictions := b.held, b.refused, b.evictions
	b.mutex.Unlock()
	metrics <- prometheus.MustNewConstMetric(sizeMetric, prometheus.GaugeValue, float64(b.Bytes))
	metrics <- prometheus.MustNewConstMetric(heldMetric, prometheus.GaugeValue, float64(held))
	metrics <- prometheus.MustNewConstMetric(evictionsMetric, prometheus.CounterValue, float64(evictions))
	for _, reason := range []Reason{Full, TooLarge} {
		metrics <- prometheus.MustNewConstMetric(refusedMetric, prometheus.CounterValue, float64(refused[reason]), reason.String())
	}
}

var (
	sizeMetric      = prometheus.NewDesc("bramleyhatch_memory_budget_bytes", "Memory that requests of clients may use.", nil, nil)
	heldMetric      = prometheus.NewDesc("bramleyhatch_memory_held_bytes", "Memory that requests of clients use.", nil, nil)
	refusedMetric   = prometheus.NewDesc("bramleyhatch_memory_refused_total", "Requests that were refused for lack of memory, by reason.", []string{"reason"}, nil)
	evictionsMetric = prometheus.NewDesc("bramleyhatch_memory_interrupted_total", "Requests that were interrupted for others while they were received, or whose answers weren't read.", nil, nil)
)
