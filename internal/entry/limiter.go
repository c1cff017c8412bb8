package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/fair"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// statusCancelled is the conventional (nginx) status of a request that its caller cancelled.
const statusCancelled = 499

// limiter bounds the number of concurrent requests and queues the others fairly. Its zero
// value admits no requests until it is opened.
type limiter struct {
	mutex   sync.Mutex
	slots   int
	running int
	closed  bool
	queue   fair.Queue[*waiter]
}

// waiter is a queued request.
type waiter struct {
	granted chan struct{}
	refused chan *refusal.Error
}

func newWaiter() *waiter {
	return &waiter{granted: make(chan struct{}), refused: make(chan *refusal.Error, 1)}
}

// close refuses queued requests, and new requests until open is called.
func (l *limiter) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	for _, item := range l.queue.Clear() {
		item.Value().refused <- refuseDraining()
	}
}

// counts returns the numbers of running and queued requests.
func (l *limiter) counts() (running, queued int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.running, l.queue.Len()
}

// acquire waits for a slot. Every refusal is "not run", since a request is
// forwarded only with a slot.
func (l *limiter) acquire(ctx context.Context, request fair.Request) *refusal.Error {
	waiting := newWaiter()
	if refused := l.enqueue(request, waiting); refused != nil {
		return refused
	}
	select {
	case <-waiting.granted:
		return nil
	case refused := <-waiting.refused:
		return refused
	case <-ctx.Done():
		return l.abandon(ctx, waiting, request)
	}
}

func (l *limiter) isClosed() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.closed
}

// release frees a slot and settles the request's actual cost.
func (l *limiter) release(request fair.Request, cost float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.running--
	l.queue.Settle(request, cost)
	l.grantSlots(time.Now())
}

// open starts to admit requests.
func (l *limiter) open(slots, size int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.slots = slots
	l.queue.Size = size
	l.closed = false
	l.grantSlots(time.Now())
}

func (l *limiter) enqueue(request fair.Request, waiting *waiter) *refusal.Error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return refuseDraining()
	}
	now := time.Now()
	evicted, err := l.queue.Push(request, waiting, now)
	if err != nil {
		return refuseQueue(err)
	}
	if evicted != nil {
		evicted.Value().refused <- refuseQueue(&fair.FullError{Retry: retryDelay})
	}
	l.grantSlots(now)
	return nil
}

func (l *limiter) grantSlots(now time.Time) {
	for l.running < l.slots {
		item, expired := l.queue.Pop(now)
		for _, expiredItem := range expired {
			expiredItem.Value().refused <- refuseQueue(&fair.LateError{})
		}
		if item == nil {
			return
		}
		l.running++
		close(item.Value().granted)
	}
}

// abandon removes a waiter whose context has ended, or frees the slot that it was granted.
func (l *limiter) abandon(ctx context.Context, abandoned *waiter, request fair.Request) *refusal.Error {
	l.mutex.Lock()
	removed := l.queue.Remove(func(other *waiter) bool { return other == abandoned })
	l.mutex.Unlock()
	if !removed {
		select {
		case <-abandoned.granted:
			l.release(request, 0)
		default:
		}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuseQueue(&fair.LateError{})
	}
	return refusal.NotRun(statusCancelled, "cancelled", "the request was cancelled while it waited")
}

func refuseDraining() *refusal.Error {
	return refusal.NotRun(http.StatusServiceUnavailable, "draining", "this backend server takes no new work").WithRetryAfter(retryDelay)
}

func refuseQueue(err error) *refusal.Error {
	var full *fair.FullError
	if errors.As(err, &full) {
		return refusal.NotRun(http.StatusServiceUnavailable, "queue_full", "%v", err).WithRetryAfter(full.Retry)
	}
	return refusal.NotRun(http.StatusServiceUnavailable, "deadline", "the request's time would end while it waits").WithRetryAfter(retryDelay)
}
