// Package detour makes calls of the platform's store: directly, or through
// another process of the system while the store turns this host away.
package detour

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// directAgain is the time between two looks whether the store serves this host
	// again. A look every second costs a call a second during an outage and finds
	// its end that soon.
	directAgain = time.Second
)

// Call is one call of the store.
type Call struct {
	Method string
	// Target is the path and query.
	Target string
	// Body is nil for none.
	Body []byte
	// Timeout bounds the wait for the answer.
	Timeout time.Duration
	// Probe marks a call that does no harm when it is made twice: such calls find
	// out whether the store serves this host again.
	Probe bool
}

// Answer is the store's answer.
type Answer struct {
	Status int
	Body   []byte
}

// Peers makes calls through other processes.
type Peers interface {
	// Detour makes the call through another process. It reports a call that was
	// answered, one that may have been made without an answer, or none.
	Detour(ctx context.Context, call Call) (Answer, RelayResult)
}

// RelayResult says what became of a call that was given to another process.
type RelayResult int

// What became of it.
const (
	// NotSent calls reached no process.
	NotSent RelayResult = iota
	// OutcomeUnknown calls may have been made, or may be made later.
	OutcomeUnknown
	// Answered calls have their answer.
	Answered
)

// OutcomeUnknownError says that a call was turned away on one way and may have been made
// on another.
type OutcomeUnknownError struct {
	Status int
}

// Error names the status.
func (e *OutcomeUnknownError) Error() string {
	return "turned away with " + strconv.Itoa(e.Status) + " after a try without an answer"
}

// Caller makes calls directly, or through peers while that fails.
// Exported fields are set before the first call. It is safe for concurrent use.
type Caller struct {
	Direct *Direct
	// Peers is nil where there are none.
	Peers Peers
	// Metrics takes the caller's metrics; nil keeps them to itself.
	Metrics prometheus.Registerer

	once  sync.Once
	calls *prometheus.CounterVec
	mutex sync.Mutex
	// away is when the direct way was looked at last while it failed; zero while it works.
	away clock.Boot
}

// Do makes one call.
//
// The store may turn some hosts away and serve the others. A gateway that only
// asked directly would lose its leases, its batches and the view of withdrawn
// keys though every other gateway could ask for it. All changes are conditional,
// so one that was done without an answer and is sent again does no harm.
func (c *Caller) Do(ctx context.Context, call Call) (Answer, error) {
	c.once.Do(func() { c.calls = newCalls(c.Metrics) })
	isUnsure := false
	if c.isAway() {
		if call.Probe && c.isDue() {
			go c.look(context.WithoutCancel(ctx), call)
		}
		answer, made := c.detour(ctx, call)
		if made == Answered {
			return answer, nil
		}
		isUnsure = made == OutcomeUnknown
	}
	answer, err := c.direct(ctx, call)
	if err == nil && !platform.IsRejected(answer.Status) {
		c.reached()
		return answer, nil
	}
	isUnsure = isUnsure || err != nil
	var long *LongAnswerError
	if ctx.Err() != nil || errors.As(err, &long) {
		return sure(answer, err, isUnsure)
	}
	c.turnedAway(call, answer.Status, err)
	detoured, made := c.detour(ctx, call)
	if made == Answered {
		return sure(detoured, nil, isUnsure)
	}
	return sure(answer, err, isUnsure || made == OutcomeUnknown)
}

// sure keeps a refusal from standing for a call of which another try may have
// been made: the caller would take it that nothing was done, while the store
// does it a second later.
func sure(answer Answer, err error, isUnsure bool) (Answer, error) {
	if err == nil && isUnsure && platform.IsRejected(answer.Status) {
		return Answer{}, &OutcomeUnknownError{Status: answer.Status}
	}
	return answer, err
}

func (c *Caller) direct(ctx context.Context, call Call) (Answer, error) {
	answer, err := c.Direct.Do(ctx, call)
	switch {
	case err != nil:
		c.calls.WithLabelValues(wayDirect, resultNone).Inc()
	case platform.IsRejected(answer.Status):
		c.calls.WithLabelValues(wayDirect, resultAway).Inc()
	default:
		c.calls.WithLabelValues(wayDirect, resultDone).Inc()
	}
	return answer, err
}

// detour makes a call through another process.
func (c *Caller) detour(ctx context.Context, call Call) (Answer, RelayResult) {
	if c.Peers == nil {
		return Answer{}, NotSent
	}
	answer, made := c.Peers.Detour(ctx, call)
	if made == Answered {
		c.calls.WithLabelValues(wayDetour, resultDone).Inc()
	} else {
		c.calls.WithLabelValues(wayDetour, resultNone).Inc()
	}
	return answer, made
}

func (c *Caller) isAway() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.away != 0
}

// isDue reports whether the direct way is to be looked at, and counts the look.
func (c *Caller) isDue() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := clock.Now()
	if now.Sub(c.away) < directAgain {
		return false
	}
	c.away = now
	return true
}

// look makes a call directly to find out whether the store serves this host again.
//
// Nothing waits for it. A host that is cut off without an error waits out its
// whole timeout on each direct call, and callers of its batches would with it.
func (c *Caller) look(ctx context.Context, call Call) {
	answer, err := c.Direct.ask(ctx, call)
	if err == nil && !platform.IsRejected(answer.Status) {
		c.reached()
	}
}

func (c *Caller) reached() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.away != 0 {
		klog.InfoS("store: regained")
	}
	c.away = 0
}

func (c *Caller) turnedAway(call Call, status int, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.away == 0 {
		klog.InfoS("store: lost", "call", call.Method+" "+call.Target, "status", status, "err", err)
	}
	c.away = clock.Now()
}
