package fair

import (
	"fmt"
	"time"
)

// leastRetry is the shortest time to come back that a refusal names.
const leastRetry = time.Second

// FullError says that the queue has no room for the account.
type FullError struct {
	// Retry is when room is expected.
	Retry time.Duration
}

// Error names the time to come back.
func (e *FullError) Error() string {
	return fmt.Sprintf("queue is full, room is expected in %s", e.Retry)
}

// LateError says that an item would be served after its deadline.
type LateError struct {
	// Wait is how long the item would have to wait.
	Wait time.Duration
}

// Error names the expected wait.
func (e *LateError) Error() string {
	return fmt.Sprintf("expected to wait %s, longer than the deadline allows", e.Wait)
}

func (q *Queue[T]) checkDeadline(request Request, now time.Time) error {
	if request.Deadline.IsZero() {
		return nil
	}
	wait := q.ahead(request, now)
	if now.Add(wait).Before(request.Deadline) {
		return nil
	}
	return &LateError{Wait: wait}
}

// ahead estimates how long an item pushed now would wait: the work with lower
// tags over the rate at which work was taken out lately; 0 if that is not known.
func (q *Queue[T]) ahead(request Request, now time.Time) time.Duration {
	rate := q.rate.perSecond(now)
	if rate <= 0 || q.length == 0 {
		return 0
	}
	start := q.virtual
	if own := q.accounts[request.Account]; own != nil {
		start = max(start, own.finish)
	}
	work := 0.0
	for _, account := range q.heads {
		served := (start - account.start()) * account.weight
		work += min(max(served, 0), account.cost)
	}
	return seconds(work / rate)
}

// wait estimates when the account's next item would find room.
func (q *Queue[T]) wait(request Request, now time.Time) time.Duration {
	rate := q.rate.perSecond(now)
	if rate <= 0 {
		return leastRetry
	}
	work := request.Cost
	if own := q.accounts[request.Account]; own != nil {
		work += own.cost
	}
	share := request.Weight / max(q.weights(request), request.Weight)
	return max(leastRetry, seconds(work/(rate*share)))
}

// evictFor makes room for an account that has less than its share of the
// queue. A greedy account fills the queue while others are idle; without the
// eviction the others would then be refused until it has drained.
func (q *Queue[T]) evictFor(request Request) *Item[T] {
	weights := q.weights(request)
	own := 0
	if account := q.accounts[request.Account]; account != nil {
		own = len(account.items)
	}
	if float64(own+1) > float64(q.Size)*request.Weight/weights {
		return nil
	}
	greediest := q.greediest(request.Account)
	if greediest == nil {
		return nil
	}
	return q.drop(greediest, len(greediest.items)-1)
}

// greediest returns the account with the most items for its weight, or nil.
func (q *Queue[T]) greediest(except string) *account[T] {
	var found *account[T]
	most := 0.0
	for _, account := range q.heads {
		held := float64(len(account.items)) / account.weight
		if account.name != except && held > most {
			found, most = account, held
		}
	}
	return found
}

// weights sums the weights of the accounts that wait, the asking one included.
func (q *Queue[T]) weights(request Request) float64 {
	sum := request.Weight
	for _, account := range q.heads {
		if account.name != request.Account {
			sum += account.weight
		}
	}
	return sum
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
