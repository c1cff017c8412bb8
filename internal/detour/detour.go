// Package detour sends requests to the platform's store: directly, or through another
// process of the system while the store rejects this host's requests.
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
	// directCheckInterval is the time between two checks whether the store serves this
	// host again. A check every second costs one call a second during an outage and
	// detects its end that soon.
	directCheckInterval = time.Second
)

// Call is one request to the store.
type Call struct {
	Method string
	// Target is the path and query.
	Target string
	// Body is nil where there is none.
	Body []byte
	// Timeout bounds the wait for the response.
	Timeout time.Duration
	// Probe marks a call that may safely be made twice: such calls check whether the
	// store serves this host again.
	Probe bool
}

// Answer is the store's response.
type Answer struct {
	Status int
	Body   []byte
}

// Peers relays calls through other processes.
type Peers interface {
	// Detour sends the call through another process. It reports whether the call was
	// answered, may have been made without an answer, or was not made.
	Detour(ctx context.Context, call Call) (Answer, RelayResult)
}

// RelayResult is the result of a call that was relayed through another process.
type RelayResult int

// Results of relayed calls.
const (
	// NotSent calls reached no process.
	NotSent RelayResult = iota
	// OutcomeUnknown calls may have been made, or may still be made.
	OutcomeUnknown
	// Answered calls have an answer.
	Answered
)

// OutcomeUnknownError reports a call that was rejected at one attempt and may have been
// made at another.
type OutcomeUnknownError struct {
	Status int
}

func (e *OutcomeUnknownError) Error() string {
	return "turned away with " + strconv.Itoa(e.Status) + " after a try without an answer"
}

// Caller makes calls directly, or through peers while direct calls fail. Exported
// fields are set before the first call. It is safe for concurrent use.
type Caller struct {
	Direct *Direct
	// Peers is nil where there are none.
	Peers Peers
	// Metrics registers the caller's metrics; nil leaves them unregistered.
	Metrics prometheus.Registerer

	once  sync.Once
	calls *prometheus.CounterVec
	mutex sync.Mutex
	// directFailedAt is when direct calls last failed or were last checked; zero while
	// they work.
	directFailedAt clock.Boot
}

// Do makes one call.
//
// The store may reject some hosts while it serves the others. A gateway with direct
// calls only would lose its leases, its batches and updates on withdrawn keys though
// every other gateway could make the calls for it. All writes are conditional, so one
// that was applied without an answer may safely be sent again.
func (c *Caller) Do(ctx context.Context, call Call) (Answer, error) {
	c.once.Do(func() { c.calls = newCallCounter(c.Metrics) })
	isOutcomeUnknown := false
	if c.isDirectDown() {
		if call.Probe && c.claimDirectCheck() {
			go c.checkDirect(context.WithoutCancel(ctx), call)
		}
		answer, result := c.detour(ctx, call)
		if result == Answered {
			return answer, nil
		}
		isOutcomeUnknown = result == OutcomeUnknown
	}
	answer, err := c.direct(ctx, call)
	if err == nil && !platform.IsRejected(answer.Status) {
		c.markReachable()
		return answer, nil
	}
	isOutcomeUnknown = isOutcomeUnknown || err != nil
	var longAnswer *LongAnswerError
	if ctx.Err() != nil || errors.As(err, &longAnswer) {
		return unknownIfRejected(answer, err, isOutcomeUnknown)
	}
	c.markUnreachable(call, answer.Status, err)
	detoured, result := c.detour(ctx, call)
	if result == Answered {
		return unknownIfRejected(detoured, nil, isOutcomeUnknown)
	}
	return unknownIfRejected(answer, err, isOutcomeUnknown || result == OutcomeUnknown)
}

// unknownIfRejected returns OutcomeUnknownError in place of a rejection if another
// attempt may have been made: the caller would conclude that nothing was done, while the
// store applies the call a second later.
func unknownIfRejected(answer Answer, err error, isOutcomeUnknown bool) (Answer, error) {
	if err == nil && isOutcomeUnknown && platform.IsRejected(answer.Status) {
		return Answer{}, &OutcomeUnknownError{Status: answer.Status}
	}
	return answer, err
}

func (c *Caller) direct(ctx context.Context, call Call) (Answer, error) {
	answer, err := c.Direct.Do(ctx, call)
	switch {
	case err != nil:
		c.calls.WithLabelValues(wayDirect, resultNoAnswer).Inc()
	case platform.IsRejected(answer.Status):
		c.calls.WithLabelValues(wayDirect, resultRejected).Inc()
	default:
		c.calls.WithLabelValues(wayDirect, resultAnswered).Inc()
	}
	return answer, err
}

// detour makes a call through another process.
func (c *Caller) detour(ctx context.Context, call Call) (Answer, RelayResult) {
	if c.Peers == nil {
		return Answer{}, NotSent
	}
	answer, result := c.Peers.Detour(ctx, call)
	if result == Answered {
		c.calls.WithLabelValues(wayDetour, resultAnswered).Inc()
	} else {
		c.calls.WithLabelValues(wayDetour, resultNoAnswer).Inc()
	}
	return answer, result
}

func (c *Caller) isDirectDown() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.directFailedAt != 0
}

// claimDirectCheck reports whether a direct check is due, and starts the next interval
// if so.
func (c *Caller) claimDirectCheck() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := clock.Now()
	if now.Sub(c.directFailedAt) < directCheckInterval {
		return false
	}
	c.directFailedAt = now
	return true
}

// checkDirect makes a direct call to check whether the store serves this host again.
//
// It runs in the background: a host that is cut off without an error spends the whole
// timeout on each direct call, and so would callers of its batches.
func (c *Caller) checkDirect(ctx context.Context, call Call) {
	answer, err := c.Direct.exchange(ctx, call)
	if err == nil && !platform.IsRejected(answer.Status) {
		c.markReachable()
	}
}

func (c *Caller) markReachable() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.directFailedAt != 0 {
		klog.InfoS("store: direct calls succeed again")
	}
	c.directFailedAt = 0
}

func (c *Caller) markUnreachable(call Call, status int, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.directFailedAt == 0 {
		klog.InfoS("store: direct calls fail", "call", call.Method+" "+call.Target, "status", status, "err", err)
	}
	c.directFailedAt = clock.Now()
}
