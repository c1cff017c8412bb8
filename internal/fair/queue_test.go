package fair_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/fair"
)

var start = time.Unix(1_000_000, 0)

func push(t *testing.T, queue *fair.Queue[string], account string, weight, cost float64, count int) {
	t.Helper()
	for range count {
		_, err := queue.Push(fair.Request{Account: account, Weight: weight, Cost: cost}, account, start)
		must.NoError(t, err)
	}
}

// costByAccount pops a number of items and returns their total cost by account.
func costByAccount(queue *fair.Queue[string], count int) map[string]float64 {
	work := map[string]float64{}
	for range count {
		if item, _ := queue.Pop(start); item != nil {
			work[item.Value()] += item.Request().Cost
		}
	}
	return work
}

// Guards against starvation: when one account has filled the queue, another account's request must
// be served after at most one request of the first account.
func TestSmallAccountIsNotStarved(t *testing.T) {
	queue := &fair.Queue[string]{Size: 200}
	push(t, queue, "greedy", 1, 100, 150)
	push(t, queue, "small", 1, 100, 1)
	must.MapContainsKey(t, costByAccount(queue, 2), "small")
}

func TestSharesFollowWeights(t *testing.T) {
	queue := &fair.Queue[string]{Size: 1000}
	push(t, queue, "one", 1, 10, 300)
	push(t, queue, "two", 2, 20, 300)
	push(t, queue, "three", 3, 5, 400)
	work := costByAccount(queue, 300)
	must.InDelta(t, 2, work["two"]/work["one"], 0.1)
	must.InDelta(t, 3, work["three"]/work["one"], 0.1)
}

// An account understates its cost by half. Once the actual cost is settled, the account must get no
// more than the other account, although many of its requests are already queued.
func TestSettleChargesTrueCost(t *testing.T) {
	queue := &fair.Queue[string]{Size: 1000}
	work := map[string]float64{}
	for range 300 {
		push(t, queue, "understating", 1, 10, 1)
		push(t, queue, "honest", 1, 20, 1)
	}
	for range 200 {
		item, _ := queue.Pop(start)
		work[item.Value()] += 20
		queue.Settle(item.Request(), 20)
		push(t, queue, item.Value(), 1, item.Request().Cost, 1)
	}
	must.InDelta(t, 1, work["understating"]/work["honest"], 0.1)
}

// The queue is full of one account's requests when another account sends requests. The new requests
// must be accepted, and the first account's newest requests evicted.
func TestFullQueueEvicts(t *testing.T) {
	queue := &fair.Queue[string]{Size: 10}
	push(t, queue, "greedy", 1, 1, 10)
	for range 5 {
		evicted, err := queue.Push(fair.Request{Account: "small", Weight: 1, Cost: 1}, "small", start)
		must.NoError(t, err)
		must.Eq(t, "greedy", evicted.Value())
	}
	_, err := queue.Push(fair.Request{Account: "small", Weight: 1, Cost: 1}, "small", start)
	var full *fair.FullError
	must.True(t, errors.As(err, &full))
	must.Eq(t, 10, queue.Len())
}

// newBusyQueue returns a queue that is served at 10 tokens per second.
func newBusyQueue(t *testing.T) (*fair.Queue[string], time.Time) {
	t.Helper()
	queue := &fair.Queue[string]{Size: 50}
	push(t, queue, "a", 1, 10, 50)
	now := start
	for range 20 {
		now = now.Add(time.Second)
		_, _ = queue.Pop(now)
	}
	return queue, now
}

// A request that can't be served before its deadline must be rejected at once with the expected
// wait, not queued until the deadline.
func TestDeadlineIsCheckedAtOnce(t *testing.T) {
	queue, now := newBusyQueue(t)
	_, err := queue.Push(fair.Request{Account: "a", Cost: 10, Deadline: now.Add(10 * time.Second)}, "a", now)
	var late *fair.LateError
	must.True(t, errors.As(err, &late))
	must.Between(t, 20*time.Second, late.Wait, 40*time.Second)
	_, err = queue.Push(fair.Request{Account: "a", Cost: 10, Deadline: now.Add(time.Minute)}, "a", now)
	must.NoError(t, err)
	_, err = queue.Push(fair.Request{Account: "b", Cost: 10, Deadline: now.Add(10 * time.Second)}, "b", now)
	must.NoError(t, err)
}

func TestRetryFollowsDrainRate(t *testing.T) {
	queue, now := newBusyQueue(t)
	for range 20 {
		_, err := queue.Push(fair.Request{Account: "a", Cost: 10}, "a", now)
		must.NoError(t, err)
	}
	_, err := queue.Push(fair.Request{Account: "a", Cost: 10}, "a", now)
	var full *fair.FullError
	must.True(t, errors.As(err, &full))
	must.Between(t, 30*time.Second, full.Retry, 70*time.Second)
}

func TestPopDropsLate(t *testing.T) {
	queue := &fair.Queue[string]{Size: 10}
	_, err := queue.Push(fair.Request{Account: "a", Cost: 1, Deadline: start.Add(time.Second)}, "late", start)
	must.NoError(t, err)
	push(t, queue, "a", 1, 1, 1)
	item, late := queue.Pop(start.Add(2 * time.Second))
	must.Eq(t, "a", item.Value())
	must.Len(t, 1, late)
}

func ExampleQueue() {
	queue := &fair.Queue[string]{Size: 16}
	now := time.Unix(0, 0)
	for _, name := range []string{"large 1", "large 2", "large 3"} {
		_, _ = queue.Push(fair.Request{Account: "large", Weight: 1, Cost: 100}, name, now)
	}
	_, _ = queue.Push(fair.Request{Account: "small", Weight: 1, Cost: 100}, "small 1", now)
	for queue.Len() > 0 {
		item, _ := queue.Pop(now)
		fmt.Println(item.Value())
	}
	// Output:
	// large 1
	// small 1
	// large 2
	// large 3
}

func BenchmarkPushPop(b *testing.B) {
	queue := &fair.Queue[int]{Size: 256}
	accounts := make([]fair.Request, 8)
	for i := range accounts {
		accounts[i] = fair.Request{Account: fmt.Sprintf("account-%d", i), Weight: 1, Cost: 100, Deadline: start.Add(time.Hour)}
	}
	for i := range 128 {
		_, _ = queue.Push(accounts[i%8], i, start)
	}
	b.ReportAllocs()
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		_, _ = queue.Push(accounts[i%8], i, now)
		_, _ = queue.Pop(now)
	}
}
