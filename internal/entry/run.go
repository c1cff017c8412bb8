package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	// heldBytes is the most that a run holds of its answer; older frames that
	// a reader has got are dropped first.
	heldBytes = 512 << 10
	// frameBytes is what a frame takes in memory beside its content.
	frameBytes = 256
	// slowest is how long the backend server's answer waits for a reader.
	slowest = 30 * time.Second
)

// run is one request and the frames of its answer.
type run struct {
	id      string
	request *peerpb.RunRequest
	// idempotent is kept apart, since the request is dropped at the end.
	idempotent bool
	// mayHaveRun is true if an earlier send may have run where nobody here knows.
	mayHaveRun bool

	mutex    sync.Mutex
	stop     context.CancelFunc
	stopped  bool
	frames   []*peerpb.Frame
	bytes    int
	first    uint64
	read     uint64
	produced uint64
	passed   bool
	shared   bool
	closed   bool
	refusal  *refusal.Error
	readers  int
	lastRead time.Time
	changed  chan struct{}
}

func newRun(request *peerpb.RunRequest) *run {
	return &run{
		id:         request.GetId(),
		request:    request,
		idempotent: request.GetIdempotent(),
		changed:    make(chan struct{}),
		lastRead:   time.Now(),
	}
}

// add appends a frame; it waits while readers are too far behind.
func (r *run) add(frame *peerpb.Frame) error {
	bound := time.NewTimer(slowest)
	defer bound.Stop()
	for {
		changed, added := r.tryAdd(frame)
		if added {
			return nil
		}
		select {
		case <-changed:
		case <-bound.C:
			return refusal.Unknown(http.StatusBadGateway, "not_read", "the answer was not read for %s", slowest)
		}
	}
}

// cancel stops the run; the backend server's connection is closed. It reports
// whether it does.
//
// A request that may not be repeated and was passed on is left to end: stopped
// in its middle, nobody would know whether it ran, while its answer tells a
// retry with the same key. One that another caller has joined is left too.
func (r *run) cancel() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.shared || r.passed && !r.idempotent {
		return false
	}
	r.stopped = true
	if r.stop != nil {
		r.stop()
	}
	return true
}

// share notes that another caller's request with the same claim has joined.
func (r *run) share() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.shared = true
}

// end closes the run with a whole answer.
func (r *run) end(end *peerpb.End) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	end.SetFrames(r.next())
	r.push(peerpb.Frame_builder{End: end}.Build())
	r.close()
}

// refuse closes the run without an answer.
func (r *run) refuse(refused *refusal.Error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refusal = refused
	r.push(peerpb.Frame_builder{Refusal: refused.ToMessage()}.Build())
	r.close()
}

// after returns the frames from a position on, whether they are the last, and
// a channel that is closed with the next change. It refuses a position whose
// frames are not held any more.
func (r *run) after(position uint64) ([]*peerpb.Frame, bool, <-chan struct{}, *refusal.Error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if position < r.first || position > r.next() {
		return nil, false, nil, refusal.Unknown(http.StatusBadGateway, "frames_dropped", "frame %d of the answer is not held any more", position)
	}
	return r.frames[position-r.first:], r.closed, r.changed, nil
}

// attach counts a reader until detach.
func (r *run) attach() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.readers++
}

func (r *run) detach() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.readers--
	r.lastRead = time.Now()
}

// forget drops the answer and keeps the identity.
func (r *run) forget() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.first = r.next() + 1
	r.frames = nil
	r.bytes = 0
}

// got notes that a reader was sent the frames before a position.
func (r *run) got(position uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if position > r.read {
		r.read = position
		r.notify()
	}
}

func (r *run) isAbandoned(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.idempotent && r.readers == 0 && now.Sub(r.lastRead) > abandonedAfter
}

// isNotRun reports whether the run has ended and was proved not to have run.
func (r *run) isNotRun() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.refusal != nil && r.refusal.Outcome == peerpb.Outcome_OUTCOME_NOT_RUN
}

func (r *run) length() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.frames) + int(r.first)
}

// pass notes that the request is passed on; it reports false if it was cancelled.
func (r *run) pass() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.passed = !r.stopped
	return r.passed
}

// isDelivered reports whether a reader was sent the whole answer.
func (r *run) isDelivered() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.read >= r.next()
}

func (r *run) size() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.bytes
}

func (r *run) start(stop context.CancelFunc) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.stop = stop
	if r.stopped {
		stop()
	}
}

// tokens returns the number of tokens produced so far.
func (r *run) tokens() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.produced
}

func (r *run) tryAdd(frame *peerpb.Frame) (<-chan struct{}, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for r.bytes > heldBytes && r.first < r.read && len(r.frames) > 0 {
		r.bytes -= heldSize(r.frames[0])
		r.frames = r.frames[1:]
		r.first++
	}
	if r.bytes > heldBytes {
		return r.changed, false
	}
	r.push(frame)
	return nil, true
}

// push numbers a frame and binds it to the identity.
func (r *run) push(frame *peerpb.Frame) {
	frame.SetId(r.id)
	frame.SetSeq(r.next())
	r.produced += uint64(len(frame.GetChunk().GetTokens()))
	r.frames = append(r.frames, frame)
	r.bytes += heldSize(frame)
	r.notify()
}

func (r *run) close() {
	r.closed = true
	r.request = nil
}

func (r *run) next() uint64 {
	return r.first + uint64(len(r.frames))
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func heldSize(frame *peerpb.Frame) int {
	return proto.Size(frame) + frameBytes
}
