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
	// maxPostings is the most ended runs known that may not be repeated,
	// maxAnswers of the others. One takes 520 bytes without its answer
	// (BenchmarkRememberedRun).
	maxPostings = 8192
	maxAnswers  = 2048
	// answerBytes is the most that ended runs hold of their answers together.
	answerBytes = 2 << 20
	// abandonedAfter is how long an idempotent run goes on without a reader.
	abandonedAfter = 10 * time.Second
)

// registry knows the runs by their identity. Its zero value is ready for use.
type registry struct {
	mutex  sync.Mutex
	runs   map[string]*run
	active int
	left   chan struct{}
	// answers are ended idempotent runs, postings the others; oldest first.
	answers  endedList
	postings endedList
}

// endedList holds ended runs in the order of their end.
type endedList struct {
	runs  []endedRun
	bytes int
}

type endedRun struct {
	run  *run
	time time.Time
	held int
}

// ended notes that a run has ended.
func (r *registry) ended(run *run, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	list := r.list(run)
	list.runs = append(list.runs, endedRun{run: run, time: now, held: run.size()})
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

// isDelivered reports whether the answers of runs that ended lately were sent.
func (r *registry) isDelivered(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, list := range []*endedList{&r.answers, &r.postings} {
		for _, ended := range list.runs {
			if now.Sub(ended.time) < lingerTime && !ended.run.isDelivered() {
				return false
			}
		}
	}
	return true
}

// join returns the run with the request's identity; a new one if there is none
// or if the one there was proved not to have run. All is true if this process
// knows every request that its backend server may have got before.
func (r *registry) join(request *peerpb.RunRequest, all bool) (known *run, isNew bool, refused *refusal.Error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known = r.runs[request.GetId()]
	if known != nil && (request.GetResend() || !known.isNotRun()) {
		return known, false, nil
	}
	if refused := r.admit(request, all); refused != nil {
		return nil, false, refused
	}
	if r.runs == nil {
		r.runs = map[string]*run{}
	}
	started := newRun(request)
	started.mayHaveRun = mayHaveRun(request, all)
	r.runs[request.GetId()] = started
	r.active++
	return started, true, nil
}

// admit refuses to start what may have run before this process knew of it. A
// sidecar that was killed after it had passed a request on comes back without
// memory; the entry's resend would then run the request a second time, or join
// two different answers at a position. A claim is left to the others that keep it.
func (r *registry) admit(request *peerpb.RunRequest, all bool) *refusal.Error {
	switch {
	case mayHaveRun(request, all) && !request.GetIdempotent() && !isClaimed(request):
		return refusal.Unknown(http.StatusBadGateway, "not_known", "the request was sent before and is not known here")
	case request.GetFrom() > 0:
		return refusal.Unknown(http.StatusBadGateway, "not_known", "the answer to go on with is not known here")
	case !request.GetIdempotent() && len(r.postings.runs) >= maxPostings:
		return refusal.NotRun(http.StatusServiceUnavailable, "memory_full", "too many requests are remembered").WithRetryAfter(retryElsewhere)
	default:
		return nil
	}
}

// mayHaveRun reports whether an earlier send of a request that isn't known may
// have run: at the process before this one, or so that its run is forgotten,
// as happens to idempotent requests first.
func mayHaveRun(request *peerpb.RunRequest, all bool) bool {
	return request.GetResend() && (request.GetIdempotent() || !all)
}

// sweep forgets runs that ended longer ago than remember and cancels abandoned ones.
func (r *registry) sweep(now time.Time, remember time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, list := range []*endedList{&r.answers, &r.postings} {
		for len(list.runs) > 0 && now.Sub(list.runs[0].time) > remember {
			r.drop(list)
		}
	}
	for _, run := range r.runs {
		if run.isAbandoned(now) {
			run.cancel()
		}
	}
}

// wait returns once no run is active, or with the context's error.
func (r *registry) wait(ctx context.Context) error {
	for {
		r.mutex.Lock()
		active := r.active
		if r.left == nil {
			r.left = make(chan struct{})
		}
		left := r.left
		r.mutex.Unlock()
		if active == 0 {
			return nil
		}
		select {
		case <-left:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// drop forgets the oldest run of a list.
func (r *registry) drop(list *endedList) {
	oldest := list.runs[0]
	list.runs[0] = endedRun{}
	list.runs = list.runs[1:]
	list.bytes -= oldest.held
	if r.runs[oldest.run.id] == oldest.run {
		delete(r.runs, oldest.run.id)
	}
}

func (r *registry) list(run *run) *endedList {
	if run.idempotent {
		return &r.answers
	}
	return &r.postings
}

func (r *registry) notify() {
	if r.left != nil {
		close(r.left)
		r.left = nil
	}
}

// trim keeps ended runs within their bounds. Of a run that may not be repeated
// only the answer is dropped: its identity has to stay known.
func (r *registry) trim() {
	for len(r.answers.runs) > maxAnswers || r.answers.bytes > answerBytes {
		r.drop(&r.answers)
	}
	for i := 0; i < len(r.postings.runs) && r.postings.bytes > answerBytes; i++ {
		ended := &r.postings.runs[i]
		ended.run.forget()
		r.postings.bytes -= ended.held
		ended.held = 0
	}
}
