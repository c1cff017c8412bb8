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
	// maxHeldBytes bounds the size of the frames that a run buffers. Beyond this size,
	// the oldest frames that were already sent to a reader are dropped.
	maxHeldBytes = 512 << 10
	// frameOverheadBytes is the memory of a frame besides its content.
	frameOverheadBytes = 256
	// maxReadDelay is how long a frame of the backend server waits for readers to catch up.
	maxReadDelay = 30 * time.Second
)

// run is a request and the frames of its answer.
type run struct {
	id      string
	request *peerpb.RunRequest
	// idempotent is copied from the request, which is dropped when the run ends.
	idempotent bool
	// mayHaveRun is true if an earlier send that this process does not know may have run.
	mayHaveRun bool

	mutex      sync.Mutex
	stop       context.CancelFunc
	stopped    bool
	frames     []*peerpb.Frame
	bytes      int
	firstSeq   uint64
	sentSeq    uint64
	tokenCount uint64
	forwarded  bool
	shared     bool
	closed     bool
	refusal    *refusal.Error
	readers    int
	lastRead   time.Time
	changed    chan struct{}
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

// add appends a frame. It blocks while the buffer is full and readers lag behind.
func (r *run) add(frame *peerpb.Frame) error {
	timer := time.NewTimer(maxReadDelay)
	defer timer.Stop()
	for {
		changed, added := r.tryAdd(frame)
		if added {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return refusal.Unknown(http.StatusBadGateway, "not_read", "the answer was not read for %s", maxReadDelay)
		}
	}
}

// cancel stops the run and closes its connection to the backend server. It returns false
// if the run continues.
//
// A forwarded non-idempotent request continues: if it were stopped, its outcome would be
// unknown, while its answer can serve a retry with the same key. A run that another
// caller has joined continues too.
func (r *run) cancel() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.shared || r.forwarded && !r.idempotent {
		return false
	}
	r.stopped = true
	if r.stop != nil {
		r.stop()
	}
	return true
}

// markShared records that another request with the same claim has joined.
func (r *run) markShared() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.shared = true
}

// end closes the run with a complete answer.
func (r *run) end(end *peerpb.End) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	end.SetFrames(r.nextSeq())
	r.appendFrame(peerpb.Frame_builder{End: end}.Build())
	r.close()
}

// refuse closes the run without an answer.
func (r *run) refuse(refused *refusal.Error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refusal = refused
	r.appendFrame(peerpb.Frame_builder{Refusal: refused.ToMessage()}.Build())
	r.close()
}

// framesFrom returns the frames from a position on, whether they include the last frame,
// and a channel that is closed on the next change. It refuses a position whose frames
// were dropped or that is past the next frame.
func (r *run) framesFrom(position uint64) ([]*peerpb.Frame, bool, <-chan struct{}, *refusal.Error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if position < r.firstSeq || position > r.nextSeq() {
		return nil, false, nil, refusal.Unknown(http.StatusBadGateway, "frames_dropped", "frame %d of the answer is not held any more", position)
	}
	return r.frames[position-r.firstSeq:], r.closed, r.changed, nil
}

// attach registers a reader until detach.
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

// dropAnswer drops the frames; the run stays known by its ID.
func (r *run) dropAnswer() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.firstSeq = r.nextSeq() + 1
	r.frames = nil
	r.bytes = 0
}

// markSent records that a reader was sent the frames before a position.
func (r *run) markSent(position uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if position > r.sentSeq {
		r.sentSeq = position
		r.notify()
	}
}

func (r *run) isAbandoned(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.idempotent && r.readers == 0 && now.Sub(r.lastRead) > abandonTimeout
}

// isNotRun reports whether the run has ended with the outcome "not run".
func (r *run) isNotRun() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.refusal != nil && r.refusal.Outcome == peerpb.Outcome_OUTCOME_NOT_RUN
}

func (r *run) frameCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.frames) + int(r.firstSeq)
}

// markForwarded marks the request as forwarded, or reports false if it was cancelled.
func (r *run) markForwarded() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.forwarded = !r.stopped
	return r.forwarded
}

// isDelivered reports whether a reader was sent all frames of the answer.
func (r *run) isDelivered() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.sentSeq >= r.nextSeq()
}

func (r *run) size() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.bytes
}

func (r *run) setStop(stop context.CancelFunc) {
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
	return r.tokenCount
}

func (r *run) tryAdd(frame *peerpb.Frame) (<-chan struct{}, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for r.bytes > maxHeldBytes && r.firstSeq < r.sentSeq && len(r.frames) > 0 {
		r.bytes -= frameSize(r.frames[0])
		r.frames = r.frames[1:]
		r.firstSeq++
	}
	if r.bytes > maxHeldBytes {
		return r.changed, false
	}
	r.appendFrame(frame)
	return nil, true
}

// appendFrame sets a frame's sequence number and request ID and appends it.
func (r *run) appendFrame(frame *peerpb.Frame) {
	frame.SetId(r.id)
	frame.SetSeq(r.nextSeq())
	r.tokenCount += uint64(len(frame.GetChunk().GetTokens()))
	r.frames = append(r.frames, frame)
	r.bytes += frameSize(frame)
	r.notify()
}

func (r *run) close() {
	r.closed = true
	r.request = nil
}

func (r *run) nextSeq() uint64 {
	return r.firstSeq + uint64(len(r.frames))
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func frameSize(frame *peerpb.Frame) int {
	return proto.Size(frame) + frameOverheadBytes
}
