package caller

import (
	"net/http"
	"net/textproto"
	"strconv"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// maxBufferedBytes is how much of a response is buffered, so that most responses
// are written only when they are complete.
const maxBufferedBytes = 1 << 20

const maxStatus = 599

// plainResponse writes the response of a plain service.
//
// A response of up to maxBufferedBytes is written when it is complete, with its
// length. A longer response is streamed; if it is truncated, the connection is
// closed, so that the caller's library reports an incomplete body.
type plainResponse struct {
	call    *call
	head    *peerpb.Head
	buffer  []byte
	started bool
}

var _ response = &plainResponse{}

func (r *plainResponse) finish(*peerpb.End) error {
	if r.head == nil {
		return refusal.Unknown(http.StatusBadGateway, "no_head", "the answer has no status")
	}
	if r.started {
		return nil
	}
	if r.hasBody() {
		r.call.writer.Header().Set("Content-Length", strconv.Itoa(len(r.buffer)))
	}
	r.writeHeader()
	if !r.hasBody() {
		return nil
	}
	return r.call.send(r.buffer)
}

// fail aborts the connection of a started response: the chunked body then lacks
// its end, which is HTTP's only sign of a truncated response.
func (r *plainResponse) fail(*refusal.Error) bool {
	if r.started {
		panic(http.ErrAbortHandler)
	}
	return false
}

func (r *plainResponse) reset() bool {
	if r.started {
		return false
	}
	r.head, r.buffer = nil, nil
	return true
}

func (r *plainResponse) writeFrame(frame *peerpb.Frame) error {
	if frame.WhichPart() == peerpb.Frame_Head_case {
		return r.setHead(frame.GetHead())
	}
	if r.head == nil {
		return refusal.Unknown(http.StatusBadGateway, "no_head", "the answer has no status")
	}
	data := frame.GetChunk().GetData()
	// Without memory for the buffer, the response is streamed.
	if !r.started && len(r.buffer)+len(data) <= maxBufferedBytes && listen.ReservationOf(r.call.ctx).TryGrow(2*int64(len(data))) {
		r.buffer = append(r.buffer, data...)
		return nil
	}
	if !r.started {
		r.writeHeader()
		if err := r.call.send(r.buffer); err != nil {
			return err
		}
		r.buffer = nil
	}
	return r.call.send(data)
}

// setHead rejects a status that is not final: net/http panics on some of these
// statuses and treats others as informational or as a protocol switch.
func (r *plainResponse) setHead(head *peerpb.Head) error {
	if head.GetStatus() < http.StatusOK || head.GetStatus() > maxStatus {
		return refusal.Unknown(http.StatusBadGateway, "bad_status", "the service answered with status %d", head.GetStatus())
	}
	r.head = head
	return nil
}

// hasBody reports whether a response to this method with this status has a body.
func (r *plainResponse) hasBody() bool {
	return r.call.request.Method != http.MethodHead &&
		r.head.GetStatus() != http.StatusNoContent && r.head.GetStatus() != http.StatusNotModified
}

func (r *plainResponse) writeHeader() {
	r.started = true
	header := r.call.writer.Header()
	for _, field := range r.head.GetHeaders() {
		if name := textproto.CanonicalMIMEHeaderKey(field.GetName()); returnedHeaders[name] {
			header.Add(name, field.GetValue())
		}
	}
	r.call.status = int(r.head.GetStatus())
	r.call.writer.WriteHeader(r.call.status)
}
