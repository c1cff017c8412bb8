package fair

import (
	"fmt"
	"time"
)

// minRetry is the minimum retry delay of a FullError.
const minRetry = time.Second

// FullError reports that the queue is full and the account may not evict an item.
type FullError struct {
	// Retry is the expected time until the queue can accept an item of the account.
	Retry time.Duration
}

// Error returns a message with the retry delay.
func (e *FullError) Error() string {
	return fmt.Sprintf("queue is full, room is expected in %s", e.Retry)
}

// LateError reports that an item would be served after its deadline.
type LateError struct {
	// Wait is the expected wait of the item.
	Wait time.Duration
}

// Error returns a message with the expected wait.
func (e *LateError) Error() string {
	return fmt.Sprintf("expected to wait %s, longer than the deadline allows", e.Wait)
}

func (q *Queue[T]) checkDeadline(request Request, now time.Time) error {
	if request.Deadline.IsZero() {
		return nil
	}
	wait := q.expectedWait(request, now)
	if now.Add(wait).Before(request.Deadline) {
		return nil
	}
	return &LateError{Wait: wait}
}

// expectedWait estimates how long an item pushed now would wait: the waiting work with lower tags
// divided by the recent service rate; 0 if that rate is unknown.
func (q *Queue[T]) expectedWait(request Request, now time.Time) time.Duration {
	rate := q.rate.perSecond(now)
	if rate <= 0 || q.length == 0 {
		return 0
	}
	start := q.virtualTime
	if known := q.accounts[request.Account]; known != nil {
		start = max(start, known.finishTag)
	}
	work := 0.0
	for _, account := range q.waiting {
		served := (start - account.startTag()) * account.weight
		work += min(max(served, 0), account.cost)
	}
	return durationOfSeconds(work / rate)
}

// retryDelay estimates the time until the queue can accept the account's next item.
func (q *Queue[T]) retryDelay(request Request, now time.Time) time.Duration {
	rate := q.rate.perSecond(now)
	if rate <= 0 {
		return minRetry
	}
	work := request.Cost
	if known := q.accounts[request.Account]; known != nil {
		work += known.cost
	}
	share := request.Weight / max(q.totalWeight(request), request.Weight)
	return max(minRetry, durationOfSeconds(work/(rate*share)))
}

// evictFor evicts an item if the requesting account has less than its share of the queue, and
// returns the evicted item, or nil. Without eviction, items of other accounts would be rejected
// after one account has filled the queue, until its items have been served.
func (q *Queue[T]) evictFor(request Request) *Item[T] {
	total := q.totalWeight(request)
	held := 0
	if account := q.accounts[request.Account]; account != nil {
		held = len(account.items)
	}
	if float64(held+1) > float64(q.Size)*request.Weight/total {
		return nil
	}
	victim := q.findVictim(request.Account)
	if victim == nil {
		return nil
	}
	return q.removeAt(victim, len(victim.items)-1)
}

// findVictim returns the account with the most items per weight, excluding the account named
// except, or nil if no other account has waiting items.
func (q *Queue[T]) findVictim(except string) *account[T] {
	var found *account[T]
	maxRatio := 0.0
	for _, account := range q.waiting {
		ratio := float64(len(account.items)) / account.weight
		if account.name != except && ratio > maxRatio {
			found, maxRatio = account, ratio
		}
	}
	return found
}

// totalWeight sums the weights of the waiting accounts and of the requesting account.
func (q *Queue[T]) totalWeight(request Request) float64 {
	sum := request.Weight
	for _, account := range q.waiting {
		if account.name != request.Account {
			sum += account.weight
		}
	}
	return sum
}

func durationOfSeconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
