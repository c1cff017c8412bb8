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

// statusCancelled is the customary status of a request that its caller gave up.
const statusCancelled = 499

// gate lets a bounded number of requests through at the same time, in the order
// of a fair queue. Its zero value lets nothing through until it is opened.
type gate struct {
	mutex   sync.Mutex
	slots   int
	running int
	closed  bool
	queue   fair.Queue[*ticket]
}

// ticket is one waiting request.
type ticket struct {
	granted chan struct{}
	refused chan *refusal.Error
}

func newTicket() *ticket {
	return &ticket{granted: make(chan struct{}), refused: make(chan *refusal.Error, 1)}
}

// close refuses what waits and what comes until open.
func (g *gate) close() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.closed = true
	for _, item := range g.queue.Clear() {
		item.Value().refused <- drainingRefusal()
	}
}

// counts returns the requests passed on and those that wait.
func (g *gate) counts() (running, queued int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.running, g.queue.Len()
}

// enter waits for a slot. Every refusal says "not run": nothing is passed on
// before the slot is there.
func (g *gate) enter(ctx context.Context, share fair.Request) *refusal.Error {
	ticket := newTicket()
	if refused := g.push(share, ticket); refused != nil {
		return refused
	}
	select {
	case <-ticket.granted:
		return nil
	case refused := <-ticket.refused:
		return refused
	case <-ctx.Done():
		return g.give(ctx, ticket, share)
	}
}

func (g *gate) isClosed() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.closed
}

// leave frees a slot.
func (g *gate) leave(share fair.Request, cost float64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running--
	g.queue.Settle(share, cost)
	g.grant(time.Now())
}

// open lets requests through.
func (g *gate) open(slots, size int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.slots = slots
	g.queue.Size = size
	g.closed = false
	g.grant(time.Now())
}

func (g *gate) push(share fair.Request, ticket *ticket) *refusal.Error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return drainingRefusal()
	}
	now := time.Now()
	evicted, err := g.queue.Push(share, ticket, now)
	if err != nil {
		return refuseQueue(err)
	}
	if evicted != nil {
		evicted.Value().refused <- refuseQueue(&fair.FullError{Retry: retryElsewhere})
	}
	g.grant(now)
	return nil
}

func (g *gate) grant(now time.Time) {
	for g.running < g.slots {
		item, late := g.queue.Pop(now)
		for _, missed := range late {
			missed.Value().refused <- refuseQueue(&fair.LateError{})
		}
		if item == nil {
			return
		}
		g.running++
		close(item.Value().granted)
	}
}

// give gives a ticket back whose request has ended while it waited.
func (g *gate) give(ctx context.Context, gone *ticket, share fair.Request) *refusal.Error {
	g.mutex.Lock()
	waited := g.queue.Remove(func(other *ticket) bool { return other == gone })
	g.mutex.Unlock()
	if !waited {
		select {
		case <-gone.granted:
			g.leave(share, 0)
		default:
		}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuseQueue(&fair.LateError{})
	}
	return refusal.NotRun(statusCancelled, "cancelled", "the request was cancelled while it waited")
}

func drainingRefusal() *refusal.Error {
	return refusal.NotRun(http.StatusServiceUnavailable, "draining", "this backend server takes no new work").WithRetryAfter(retryElsewhere)
}

func refuseQueue(err error) *refusal.Error {
	var full *fair.FullError
	if errors.As(err, &full) {
		return refusal.NotRun(http.StatusServiceUnavailable, "queue_full", "%v", err).WithRetryAfter(full.Retry)
	}
	return refusal.NotRun(http.StatusServiceUnavailable, "deadline", "the request's time would end while it waits").WithRetryAfter(retryElsewhere)
}
