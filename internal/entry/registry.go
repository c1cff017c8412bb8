package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	// maxNonIdempotentRuns and maxIdempotentRuns bound the ended runs that are
	// retained. A run takes 520 bytes without its answer.
	maxNonIdempotentRuns = 8192
	maxIdempotentRuns    = 2048
	// maxAnswerBytes bounds the answers' total size, per list of ended runs.
	maxAnswerBytes = 2 << 20
	// abandonTimeout is how long an idempotent run continues without a reader.
	abandonTimeout = 10 * time.Second
)

// registry holds the runs by request ID. Its zero value is ready for use.
type registry struct {
	mutex    sync.Mutex
	runs     map[string]*run
	active   int
	runEnded chan struct{}
	// idempotent and nonIdempotent hold the ended runs, oldest first.
	idempotent    endedList
	nonIdempotent endedList
}

// endedList holds ended runs in the order in which they ended.
type endedList struct {
	runs  []endedRun
	bytes int
}

type endedRun struct {
	run   *run
	time  time.Time
	bytes int
}

// markEnded records that a run has ended.
func (r *registry) markEnded(run *run, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	list := r.listFor(run)
	list.runs = append(list.runs, endedRun{run: run, time: now, bytes: run.size()})
	list.bytes += run.size()
	r.trim()
	r.active--
	r.notify()
}

func (r *registry) find(id string) *run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.runs[id]
}

// isDelivered reports whether the answers of all runs that ended within
// deliveryTimeout were sent.
func (r *registry) isDelivered(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, list := range []*endedList{&r.idempotent, &r.nonIdempotent} {
		for _, ended := range list.runs {
			if now.Sub(ended.time) < deliveryTimeout && !ended.run.isDelivered() {
				return false
			}
		}
	}
	return true
}

// join returns the run with the request's ID. It creates a run if none exists, or if the
// existing run is known not to have run and the request is not a resend. knowsAllRequests
// is true if this process knows every request that its backend server may have received.
func (r *registry) join(request *peerpb.RunRequest, knowsAllRequests bool) (existing *run, isNew bool, refused *refusal.Error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	existing = r.runs[request.GetId()]
	if existing != nil && (request.GetResend() || !existing.isNotRun()) {
		return existing, false, nil
	}
	if refused := r.admit(request, knowsAllRequests); refused != nil {
		return nil, false, refused
	}
	if r.runs == nil {
		r.runs = map[string]*run{}
	}
	created := newRun(request)
	created.mayHaveRun = mayHaveRun(request, knowsAllRequests)
	r.runs[request.GetId()] = created
	r.active++
	return created, true, nil
}

// admit refuses to start a request that the previous process may have run. A sidecar that
// is killed after it forwarded a request restarts without state; the entry's resend would
// run the request twice, or continue one answer with frames of another. Requests with a
// claim pass: the sidecars that recorded the claim check them.
func (r *registry) admit(request *peerpb.RunRequest, knowsAllRequests bool) *refusal.Error {
	switch {
	case mayHaveRun(request, knowsAllRequests) && !request.GetIdempotent() && !isClaimed(request):
		return refusal.Unknown(http.StatusBadGateway, "not_known", "the request was sent before and is not known here")
	case request.GetFrom() > 0:
		return refusal.Unknown(http.StatusBadGateway, "not_known", "the answer to go on with is not known here")
	case !request.GetIdempotent() && len(r.nonIdempotent.runs) >= maxNonIdempotentRuns:
		return refusal.NotRun(http.StatusServiceUnavailable, "memory_full", "too many requests are remembered").WithRetryAfter(retryDelay)
	default:
		return nil
	}
}

// mayHaveRun reports whether an earlier send of a request that this process does not know
// may have run: at the previous process, or in a run that was dropped. Idempotent runs
// are dropped first.
func mayHaveRun(request *peerpb.RunRequest, knowsAllRequests bool) bool {
	return request.GetResend() && (request.GetIdempotent() || !knowsAllRequests)
}

// sweep drops runs that ended longer ago than retention, and cancels abandoned runs.
func (r *registry) sweep(now time.Time, retention time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, list := range []*endedList{&r.idempotent, &r.nonIdempotent} {
		for len(list.runs) > 0 && now.Sub(list.runs[0].time) > retention {
			r.dropOldest(list)
		}
	}
	for _, run := range r.runs {
		if run.isAbandoned(now) {
			run.cancel()
		}
	}
}

// wait blocks until no run is active or the context ends.
func (r *registry) wait(ctx context.Context) error {
	for {
		r.mutex.Lock()
		active := r.active
		if r.runEnded == nil {
			r.runEnded = make(chan struct{})
		}
		runEnded := r.runEnded
		r.mutex.Unlock()
		if active == 0 {
			return nil
		}
		select {
		case <-runEnded:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// dropOldest removes the oldest run of a list.
func (r *registry) dropOldest(list *endedList) {
	oldest := list.runs[0]
	list.runs[0] = endedRun{}
	list.runs = list.runs[1:]
	list.bytes -= oldest.bytes
	if r.runs[oldest.run.id] == oldest.run {
		delete(r.runs, oldest.run.id)
	}
}

func (r *registry) listFor(run *run) *endedList {
	if run.idempotent {
		return &r.idempotent
	}
	return &r.nonIdempotent
}

func (r *registry) notify() {
	if r.runEnded != nil {
		close(r.runEnded)
		r.runEnded = nil
	}
}

// trim keeps ended runs within their bounds. For a non-idempotent run, only the answer is
// dropped: the ID must stay known, so that a resend doesn't run again.
func (r *registry) trim() {
	for len(r.idempotent.runs) > maxIdempotentRuns || r.idempotent.bytes > maxAnswerBytes {
		r.dropOldest(&r.idempotent)
	}
	for i := 0; i < len(r.nonIdempotent.runs) && r.nonIdempotent.bytes > maxAnswerBytes; i++ {
		ended := &r.nonIdempotent.runs[i]
		ended.run.dropAnswer()
		r.nonIdempotent.bytes -= ended.bytes
		ended.bytes = 0
	}
}
