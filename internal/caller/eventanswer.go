package caller

import (
	"encoding/json"
	"net/http"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// eventAnswer writes an engine's answer as server-sent events.
//
// An answer that is not whole ends with an error event and without [DONE]:
// a caller takes no part of an answer for the whole.
type eventAnswer struct {
	call  *call
	shape shape
	// withUsage asks for a last event with the token counts.
	withUsage bool
	begun     bool
}

var _ answer = &eventAnswer{}

func newEventAnswer(c *call, shape shape, withUsage bool) *eventAnswer {
	return &eventAnswer{call: c, shape: shape, withUsage: withUsage}
}

func (a *eventAnswer) end(end *peerpb.End) error {
	finish := end.GetFinish()
	if err := a.part("", &finish); err != nil {
		return err
	}
	if a.withUsage {
		counts := a.call.newBody("", choice{})
		counts.Object, _ = a.shape.part("", false, nil)
		counts.Choices = []choice{}
		counts.Usage = usageOf(end)
		if err := a.event(counts); err != nil {
			return err
		}
	}
	return a.write("data: [DONE]\n\n")
}

func (a *eventAnswer) fail(refused *refusal.Error) bool {
	if !a.begun {
		return false
	}
	_ = a.event(refused.Body())
	return true
}

func (a *eventAnswer) restart() bool {
	return !a.begun
}

func (a *eventAnswer) take(frame *peerpb.Frame) error {
	return a.part(string(frame.GetChunk().GetData()), nil)
}

func (a *eventAnswer) part(text string, finish *string) error {
	object, one := a.shape.part(text, !a.begun, finish)
	return a.event(a.call.newBody(object, one))
}

func (a *eventAnswer) event(value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return refusal.Unknown(http.StatusInternalServerError, "internal", "the event can't be written")
	}
	return a.write("data: " + string(text) + "\n\n")
}

func (a *eventAnswer) write(text string) error {
	if !a.begun {
		a.begun = true
		a.call.writer.Header().Set("Content-Type", "text/event-stream")
		a.call.writer.Header().Set("Cache-Control", "no-cache")
		a.call.writer.WriteHeader(http.StatusOK)
	}
	return a.call.send([]byte(text))
}
