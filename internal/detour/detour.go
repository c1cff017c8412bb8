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
	// host again. One check per second costs one call per second during an outage and
	// detects the end of the outage within a second.
	directCheckInterval = time.Second
)

// Call is one request to the store.
type Call struct {
	Method string
	// Target is the path and query.
	Target string
	// Body is nil if the call has no body.
	Body []byte
	// Timeout bounds the wait for the response.
	Timeout time.Duration
	// Repeatable marks a call that may safely be made twice: such calls check whether the
	// store serves this host again.
	Repeatable bool
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

// OutcomeUnknownError reports a call that was rejected in one attempt and may have been
// applied in another.
type OutcomeUnknownError struct {
	Status int
}

func (e *OutcomeUnknownError) Error() string {
	return "turned away with " + strconv.Itoa(e.Status) + " after a try without an answer"
}

// Transport makes calls directly, or through peers while direct calls fail. Exported
// fields are set before the first call. It is safe for concurrent use.
type Transport struct {
	Direct *Direct
	// Peers is nil if there are no peers.
	Peers Peers
	// Metrics registers the transport's metrics; nil leaves them unregistered.
	Metrics prometheus.Registerer

	once  sync.Once
	calls *prometheus.CounterVec
	mutex sync.Mutex
	// directFailedAt is when direct calls last failed or were last checked; zero while
	// they succeed.
	directFailedAt clock.Boot
}

// Do makes one call.
//
// The store may reject some hosts while it serves the others. If a rejected gateway
// made only direct calls, it would lose its leases and batches and miss withdrawals of
// keys, although every other gateway could relay its calls. All writes are conditional,
// so a write that was applied without an answer may safely be sent again.
func (t *Transport) Do(ctx context.Context, call Call) (Answer, error) {
	t.once.Do(func() { t.calls = newCallCounter(t.Metrics) })
	isOutcomeUnknown := false
	if t.isDirectDown() {
		if call.Repeatable && t.claimDirectCheck() {
			go t.checkDirect(context.WithoutCancel(ctx), call)
		}
		answer, result := t.detour(ctx, call)
		if result == Answered {
			return answer, nil
		}
		isOutcomeUnknown = result == OutcomeUnknown
	}
	answer, err := t.direct(ctx, call)
	if err == nil && !platform.IsRejected(answer.Status) {
		t.markReachable()
		return answer, nil
	}
	isOutcomeUnknown = isOutcomeUnknown || err != nil
	var longAnswer *LongAnswerError
	if ctx.Err() != nil || errors.As(err, &longAnswer) {
		return unknownIfRejected(answer, err, isOutcomeUnknown)
	}
	t.markUnreachable(call, answer.Status, err)
	detoured, result := t.detour(ctx, call)
	if result == Answered {
		return unknownIfRejected(detoured, nil, isOutcomeUnknown)
	}
	return unknownIfRejected(answer, err, isOutcomeUnknown || result == OutcomeUnknown)
}

// unknownIfRejected returns OutcomeUnknownError in place of a rejection if another
// attempt may still take effect. From a rejection, the caller would conclude that the
// call has no effect, although the store may apply the other attempt a second later.
func unknownIfRejected(answer Answer, err error, isOutcomeUnknown bool) (Answer, error) {
	if err == nil && isOutcomeUnknown && platform.IsRejected(answer.Status) {
		return Answer{}, &OutcomeUnknownError{Status: answer.Status}
	}
	return answer, err
}

func (t *Transport) direct(ctx context.Context, call Call) (Answer, error) {
	answer, err := t.Direct.Do(ctx, call)
	switch {
	case err != nil:
		t.calls.WithLabelValues(wayDirect, resultNoAnswer).Inc()
	case platform.IsRejected(answer.Status):
		t.calls.WithLabelValues(wayDirect, resultRejected).Inc()
	default:
		t.calls.WithLabelValues(wayDirect, resultAnswered).Inc()
	}
	return answer, err
}

// detour makes a call through another process.
func (t *Transport) detour(ctx context.Context, call Call) (Answer, RelayResult) {
	if t.Peers == nil {
		return Answer{}, NotSent
	}
	answer, result := t.Peers.Detour(ctx, call)
	if result == Answered {
		t.calls.WithLabelValues(wayDetour, resultAnswered).Inc()
	} else {
		t.calls.WithLabelValues(wayDetour, resultNoAnswer).Inc()
	}
	return answer, result
}

func (t *Transport) isDirectDown() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.directFailedAt != 0
}

// claimDirectCheck reports whether a direct check is due, and starts the next interval
// if so.
func (t *Transport) claimDirectCheck() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := clock.Now()
	if now.Sub(t.directFailedAt) < directCheckInterval {
		return false
	}
	t.directFailedAt = now
	return true
}

// checkDirect makes a direct call to check whether the store serves this host again.
//
// The check runs in the background: if packets to the store are lost without an error,
// a direct call lasts its whole timeout, and requests for batches would wait for it.
func (t *Transport) checkDirect(ctx context.Context, call Call) {
	answer, err := t.Direct.exchange(ctx, call)
	if err == nil && !platform.IsRejected(answer.Status) {
		t.markReachable()
	}
}

func (t *Transport) markReachable() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.directFailedAt != 0 {
		klog.InfoS("store: direct calls succeed again")
	}
	t.directFailedAt = 0
}

func (t *Transport) markUnreachable(call Call, status int, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.directFailedAt == 0 {
		klog.InfoS("store: direct calls fail", "call", call.Method+" "+call.Target, "status", status, "err", err)
	}
	t.directFailedAt = clock.Now()
}
