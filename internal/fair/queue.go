// Package fair orders waiting work so that each client account gets its share.
//
// It is start-time fair queueing: an item's start tag is the later of the
// queue's virtual time and the finish tag of the account's item before it; its
// finish tag lies cost/weight further on. The item with the least start tag is
// served first. The package does no input or output and has no clock of its own.
package fair

import (
	"container/heap"
	"time"
)

// Request describes one item to a Queue.
type Request struct {
	Account string
	// Weight is the account's share against others; 0 and below count as 1.
	Weight float64
	// Cost is the expected work, in tokens.
	Cost float64
	// Deadline is when the item is of no use any more; zero sets none.
	Deadline time.Time
}

// Item is one piece of waiting work.
type Item[T any] struct {
	value   T
	request Request
	start   float64
	order   uint64
}

// Request returns what was asked for.
func (i *Item[T]) Request() Request { return i.request }

// Value returns the work itself.
func (i *Item[T]) Value() T { return i.value }

// Queue holds waiting work. It is not safe for concurrent use.
// Exported fields are set before the first Push.
type Queue[T any] struct {
	// Size is the most items that wait.
	Size int

	accounts map[string]*account[T]
	heads    heads[T]
	length   int
	virtual  float64
	order    uint64
	rate     rate
}

// account holds the waiting items of one client account.
type account[T any] struct {
	name   string
	weight float64
	items  []*Item[T]
	finish float64
	cost   float64
	index  int
	// shift is added to the tags of the waiting items.
	shift float64
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

// Clear empties the queue and returns what waited.
func (q *Queue[T]) Clear() []*Item[T] {
	var items []*Item[T]
	for q.length > 0 {
		items = append(items, q.take())
	}
	return items
}

// Pop returns the next item to serve and those whose deadline has passed
// before it; item is nil if none is left.
func (q *Queue[T]) Pop(now time.Time) (item *Item[T], late []*Item[T]) {
	for q.length > 0 {
		if first := q.heads[0]; isLate(first.items[0], now) {
			late = append(late, q.drop(first, 0))
			continue
		}
		q.virtual = max(q.virtual, q.heads[0].start())
		item := q.take()
		q.rate.add(now, item.request.Cost)
		return item, late
	}
	return nil, late
}

// Push adds an item, or refuses it with a *FullError or a *LateError. Where the
// queue is full and the account has less than its share of it, the newest item
// of the account furthest above its share is evicted in its place.
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
			return nil, &FullError{Retry: q.wait(request, now)}
		}
	}
	if q.length == 0 {
		q.rate = newRate(now)
	}
	q.add(request, value)
	return evicted, nil
}

// Remove takes an item out before it is served and reports whether it waited.
func (q *Queue[T]) Remove(matches func(T) bool) bool {
	for _, account := range q.heads {
		for i, item := range account.items {
			if matches(item.value) {
				q.drop(account, i)
				return true
			}
		}
	}
	return false
}

// Settle corrects the account's tags once the true cost of its item is known;
// what waits already is served later or sooner by the difference.
func (q *Queue[T]) Settle(request Request, cost float64) {
	account := q.accounts[request.Account]
	if account == nil {
		return
	}
	if request.Weight <= 0 {
		request.Weight = 1
	}
	correction := (cost - request.Cost) / request.Weight
	account.finish += correction
	account.shift += correction
	if account.index != absent {
		heap.Fix(&q.heads, account.index)
	}
}

func (q *Queue[T]) account(request Request) *account[T] {
	if q.accounts == nil {
		q.accounts = map[string]*account[T]{}
	}
	found := q.accounts[request.Account]
	if found == nil {
		q.forget()
		found = &account[T]{name: request.Account, index: absent}
		q.accounts[request.Account] = found
	}
	found.weight = request.Weight
	return found
}

// forget drops accounts without waiting work whose tags lie behind the virtual
// time, since they say nothing any more; else the map would grow with each name.
func (q *Queue[T]) forget() {
	for name, account := range q.accounts {
		if len(account.items) == 0 && account.finish <= q.virtual {
			delete(q.accounts, name)
		}
	}
}

func (q *Queue[T]) add(request Request, value T) {
	account := q.account(request)
	start := max(q.virtual, account.finish)
	q.order++
	item := &Item[T]{value: value, request: request, start: start - account.shift, order: q.order}
	account.finish = start + item.work()
	account.cost += request.Cost
	account.items = append(account.items, item)
	q.length++
	if len(account.items) == 1 {
		heap.Push(&q.heads, account)
	}
}

func (q *Queue[T]) take() *Item[T] {
	account := q.heads[0]
	item := account.items[0]
	account.items[0] = nil
	account.items = account.items[1:]
	account.cost -= item.request.Cost
	q.length--
	q.reorder(account)
	return item
}

func (q *Queue[T]) drop(account *account[T], i int) *Item[T] {
	item := account.items[i]
	account.items = append(account.items[:i], account.items[i+1:]...)
	account.cost -= item.request.Cost
	account.finish -= item.work()
	for _, later := range account.items[i:] {
		later.start -= item.work()
	}
	q.length--
	q.reorder(account)
	return item
}

func (q *Queue[T]) reorder(account *account[T]) {
	if len(account.items) == 0 {
		heap.Remove(&q.heads, account.index)
		return
	}
	heap.Fix(&q.heads, account.index)
}

// start returns the start tag of the first waiting item.
func (a *account[T]) start() float64 { return a.items[0].start + a.shift }

func (i *Item[T]) work() float64 { return i.request.Cost / i.request.Weight }

func isLate[T any](item *Item[T], now time.Time) bool {
	deadline := item.request.Deadline
	return !deadline.IsZero() && !now.Before(deadline)
}
