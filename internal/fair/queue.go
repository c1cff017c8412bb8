// Package fair orders waiting work so that each client account gets its share.
//
// It implements start-time fair queueing: an item's start tag is the maximum of the queue's virtual
// time and the finish tag of the account's previous item; its finish tag is cost/weight later. The
// item with the smallest start tag is served first. The package does no I/O; callers pass in the
// time.
package fair

import (
	"container/heap"
	"time"
)

// Request describes one item to a Queue.
type Request struct {
	Account string
	// Weight is the account's share relative to other accounts; 0 and below count as 1.
	Weight float64
	// Cost is the expected work, in tokens.
	Cost float64
	// Deadline is the time after which the item is useless; zero means none.
	Deadline time.Time
}

// Item is a waiting unit of work.
type Item[T any] struct {
	value    T
	request  Request
	startTag float64
	sequence uint64
}

// Request returns the request given to Push.
func (i *Item[T]) Request() Request { return i.request }

// Value returns the value given to Push.
func (i *Item[T]) Value() T { return i.value }

// Queue holds waiting work. It is not safe for concurrent use.
// Exported fields are set before the first Push.
type Queue[T any] struct {
	// Size is the maximum number of waiting items.
	Size int

	accounts    map[string]*account[T]
	waiting     accountHeap[T]
	length      int
	virtualTime float64
	sequence    uint64
	rate        rate
}

// account holds the waiting items of one client account.
type account[T any] struct {
	name      string
	weight    float64
	items     []*Item[T]
	finishTag float64
	cost      float64
	index     int
	// tagShift is the correction to add to the start tags of the waiting items.
	tagShift float64
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

// Clear empties the queue and returns its items.
func (q *Queue[T]) Clear() []*Item[T] {
	var items []*Item[T]
	for q.length > 0 {
		items = append(items, q.removeFirst())
	}
	return items
}

// Pop removes and returns the next item to serve, and the items before it whose deadline has
// passed. The item is nil if the queue has no other items.
func (q *Queue[T]) Pop(now time.Time) (item *Item[T], late []*Item[T]) {
	for q.length > 0 {
		if first := q.waiting[0]; isLate(first.items[0], now) {
			late = append(late, q.removeAt(first, 0))
			continue
		}
		q.virtualTime = max(q.virtualTime, q.waiting[0].startTag())
		item := q.removeFirst()
		q.rate.add(now, item.request.Cost)
		return item, late
	}
	return nil, late
}

// Push adds an item, or rejects it with a *FullError or a *LateError. If the queue is full and the
// account has less than its share of the queue, Push evicts the newest item of the account with the
// most items per weight.
func (q *Queue[T]) Push(request Request, value T, now time.Time) (evicted *Item[T], err error) {
	if request.Weight <= 0 {
		request.Weight = 1
	}
	if err := q.checkDeadline(request, now); err != nil {
		return nil, err
	}
	if q.length >= q.Size {
		evicted = q.evictFor(request)
		if evicted == nil {
			return nil, &FullError{Retry: q.retryDelay(request, now)}
		}
	}
	if q.length == 0 {
		q.rate = newRate(now)
	}
	q.add(request, value)
	return evicted, nil
}

// Remove removes the first matching item and reports whether an item matched.
func (q *Queue[T]) Remove(matches func(T) bool) bool {
	for _, account := range q.waiting {
		for i, item := range account.items {
			if matches(item.value) {
				q.removeAt(account, i)
				return true
			}
		}
	}
	return false
}

// Settle corrects the account's tags once the actual cost of an item is known. The start tags of
// the account's waiting items are shifted by the weighted difference.
func (q *Queue[T]) Settle(request Request, cost float64) {
	account := q.accounts[request.Account]
	if account == nil {
		return
	}
	if request.Weight <= 0 {
		request.Weight = 1
	}
	correction := (cost - request.Cost) / request.Weight
	account.finishTag += correction
	account.tagShift += correction
	if account.index != notInHeap {
		heap.Fix(&q.waiting, account.index)
	}
}

func (q *Queue[T]) account(request Request) *account[T] {
	if q.accounts == nil {
		q.accounts = map[string]*account[T]{}
	}
	found := q.accounts[request.Account]
	if found == nil {
		q.pruneAccounts()
		found = &account[T]{name: request.Account, index: notInHeap}
		q.accounts[request.Account] = found
	}
	found.weight = request.Weight
	return found
}

// pruneAccounts deletes accounts without waiting items whose tags are behind the virtual time and
// thus no longer have an effect; otherwise the map would grow with every account.
func (q *Queue[T]) pruneAccounts() {
	for name, account := range q.accounts {
		if len(account.items) == 0 && account.finishTag <= q.virtualTime {
			delete(q.accounts, name)
		}
	}
}

func (q *Queue[T]) add(request Request, value T) {
	account := q.account(request)
	start := max(q.virtualTime, account.finishTag)
	q.sequence++
	item := &Item[T]{value: value, request: request, startTag: start - account.tagShift, sequence: q.sequence}
	account.finishTag = start + item.weightedCost()
	account.cost += request.Cost
	account.items = append(account.items, item)
	q.length++
	if len(account.items) == 1 {
		heap.Push(&q.waiting, account)
	}
}

func (q *Queue[T]) removeFirst() *Item[T] {
	account := q.waiting[0]
	item := account.items[0]
	account.items[0] = nil
	account.items = account.items[1:]
	account.cost -= item.request.Cost
	q.length--
	q.fixHeap(account)
	return item
}

func (q *Queue[T]) removeAt(account *account[T], i int) *Item[T] {
	item := account.items[i]
	account.items = append(account.items[:i], account.items[i+1:]...)
	account.cost -= item.request.Cost
	account.finishTag -= item.weightedCost()
	for _, later := range account.items[i:] {
		later.startTag -= item.weightedCost()
	}
	q.length--
	q.fixHeap(account)
	return item
}

func (q *Queue[T]) fixHeap(account *account[T]) {
	if len(account.items) == 0 {
		heap.Remove(&q.waiting, account.index)
		return
	}
	heap.Fix(&q.waiting, account.index)
}

// startTag returns the start tag of the first waiting item.
func (a *account[T]) startTag() float64 { return a.items[0].startTag + a.tagShift }

func (i *Item[T]) weightedCost() float64 { return i.request.Cost / i.request.Weight }

func isLate[T any](item *Item[T], now time.Time) bool {
	deadline := item.request.Deadline
	return !deadline.IsZero() && !now.Before(deadline)
}
