package caller

import (
	"net/http"
	"net/textproto"
	"strconv"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// heldBytes of an answer are kept back, so that most answers are written only
// once they are whole.
const heldBytes = 1 << 20

const maxStatus = 599

// plainAnswer writes the answer of a plain service.
//
// Up to heldBytes are written when the answer is whole, with its length. A
// longer answer is written as it comes; if it is cut, the connection is closed,
// so that the caller's library reports an incomplete body.
type plainAnswer struct {
	call  *call
	head  *peerpb.Head
	held  []byte
	begun bool
}

var _ answer = &plainAnswer{}

func (a *plainAnswer) end(*peerpb.End) error {
	if a.head == nil {
		return refusal.Unknown(http.StatusBadGateway, "no_head", "the answer has no status")
	}
	if a.begun {
		return nil
	}
	if a.hasBody() {
		a.call.writer.Header().Set("Content-Length", strconv.Itoa(len(a.held)))
	}
	a.begin()
	if !a.hasBody() {
		return nil
	}
	return a.call.send(a.held)
}

// fail aborts the connection of an answer that has begun: the chunked body then
// lacks its end, which is the only sign that HTTP has for a cut answer.
func (a *plainAnswer) fail(*refusal.Error) bool {
	if a.begun {
		panic(http.ErrAbortHandler)
	}
	return false
}

func (a *plainAnswer) restart() bool {
	if a.begun {
		return false
	}
	a.head, a.held = nil, nil
	return true
}

func (a *plainAnswer) take(frame *peerpb.Frame) error {
	if frame.WhichPart() == peerpb.Frame_Head_case {
		return a.takeHead(frame.GetHead())
	}
	if a.head == nil {
		return refusal.Unknown(http.StatusBadGateway, "no_head", "the answer has no status")
	}
	data := frame.GetChunk().GetData()
	if !a.begun && len(a.held)+len(data) <= heldBytes {
		a.held = append(a.held, data...)
		return nil
	}
	if !a.begun {
		a.begin()
		if err := a.call.send(a.held); err != nil {
			return err
		}
		a.held = nil
	}
	return a.call.send(data)
}

// takeHead refuses a status that is no final one: net/http panics on some of
// them, and would take others for the start of a longer exchange.
func (a *plainAnswer) takeHead(head *peerpb.Head) error {
	if head.GetStatus() < http.StatusOK || head.GetStatus() > maxStatus {
		return refusal.Unknown(http.StatusBadGateway, "bad_status", "the service answered with status %d", head.GetStatus())
	}
	a.head = head
	return nil
}

// hasBody reports whether an answer of this status and method has a body.
func (a *plainAnswer) hasBody() bool {
	return a.call.request.Method != http.MethodHead &&
		a.head.GetStatus() != http.StatusNoContent && a.head.GetStatus() != http.StatusNotModified
}

func (a *plainAnswer) begin() {
	a.begun = true
	header := a.call.writer.Header()
	for _, one := range a.head.GetHeaders() {
		if name := textproto.CanonicalMIMEHeaderKey(one.GetName()); returnedHeaders[name] {
			header.Add(name, one.GetValue())
		}
	}
	a.call.status = int(a.head.GetStatus())
	a.call.writer.WriteHeader(a.call.status)
}
