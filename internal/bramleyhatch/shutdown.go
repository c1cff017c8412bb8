package bramleyhatch

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	// answerShare is the divisor of the grace period for the time at its end in which requests that still run are answered.
	answerShare = 8
	// maxAnswerTime bounds that time.
	maxAnswerTime = 250 * time.Millisecond
)

// errStopping is the answer of requests that may run when the grace period is over.
var errStopping = refusal.Unknown(http.StatusBadGateway, "stopping", "this process stops before the request has ended")

// shutdown is the planned end of a process. Supervisors kill a process that outlives its grace period, and the requests
// that it has not answered end with it.
type shutdown struct {
	grace time.Duration

	// isStopping is true once the process is asked to stop.
	isStopping atomic.Bool
	// end is when the grace period is over; nil before the process is asked to stop.
	end    atomic.Pointer[time.Time]
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// init must be called before the other methods.
func (s *shutdown) init(grace time.Duration) {
	s.grace = grace
	s.ctx, s.cancel = context.WithCancelCause(context.Background())
}

// begin starts the grace period.
func (s *shutdown) begin() {
	end := time.Now().Add(s.grace)
	s.end.Store(&end)
	s.isStopping.Store(true)
	time.AfterFunc(s.grace-s.answerTime(), func() { s.cancel(errStopping) })
}

func (s *shutdown) answerTime() time.Duration { return min(s.grace/answerShare, maxAnswerTime) }

// Context ends when requests that still run must be answered. Its cause is a *refusal.Error.
func (s *shutdown) Context() context.Context { return s.ctx }

// TimeLeft returns how much longer requests may run; ok is false unless the process stops.
func (s *shutdown) TimeLeft() (left time.Duration, ok bool) {
	end := s.end.Load()
	if end == nil {
		return 0, false
	}
	return max(0, time.Until(*end)-s.answerTime()), true
}

// drainDeadline is when drains have to end, so that servers and tasks end within the grace period.
func (s *shutdown) drainDeadline() time.Time { return s.end.Load().Add(-s.answerTime()) }

// await waits for a number of results, until the grace period is over if the process stops. It returns their errors.
func (s *shutdown) await(count int, what string, results <-chan error) error {
	var timeout <-chan time.Time
	if end := s.end.Load(); end != nil {
		timeout = time.After(time.Until(*end))
	}
	var failures error
	for range count {
		select {
		case err := <-results:
			failures = errors.Join(failures, err)
		case <-timeout:
			klog.InfoS("process: the grace period is over", "grace", s.grace, "running", what)
			return failures
		}
	}
	return failures
}
