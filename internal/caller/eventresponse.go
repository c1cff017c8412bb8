package caller

import (
	"encoding/json"
	"net/http"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// eventResponse writes an engine's response as server-sent events.
//
// An incomplete response ends with an error event and without [DONE], so that a
// caller does not mistake it for a complete one.
type eventResponse struct {
	call   *call
	format responseFormat
	// includeUsage adds a final event with the token counts.
	includeUsage bool
	started      bool
}

var _ response = &eventResponse{}

func newEventResponse(c *call, format responseFormat, includeUsage bool) *eventResponse {
	return &eventResponse{call: c, format: format, includeUsage: includeUsage}
}

func (r *eventResponse) finish(end *peerpb.End) error {
	finish := end.GetFinish()
	if err := r.writeChunk("", &finish); err != nil {
		return err
	}
	if r.includeUsage {
		usageChunk := r.call.newResponseBody("", choice{})
		usageChunk.Object, _ = r.format.chunk("", false, nil)
		usageChunk.Choices = []choice{}
		usageChunk.Usage = usageOf(end)
		if err := r.writeEvent(usageChunk); err != nil {
			return err
		}
	}
	return r.write("data: [DONE]\n\n")
}

func (r *eventResponse) fail(refused *refusal.Error) bool {
	if !r.started {
		return false
	}
	_ = r.writeEvent(refused.Body())
	return true
}

func (r *eventResponse) reset() bool {
	return !r.started
}

func (r *eventResponse) writeFrame(frame *peerpb.Frame) error {
	return r.writeChunk(string(frame.GetChunk().GetData()), nil)
}

func (r *eventResponse) writeChunk(text string, finish *string) error {
	object, choice := r.format.chunk(text, !r.started, finish)
	return r.writeEvent(r.call.newResponseBody(object, choice))
}

func (r *eventResponse) writeEvent(value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return refusal.Unknown(http.StatusInternalServerError, "internal", "the event can't be written")
	}
	return r.write("data: " + string(text) + "\n\n")
}

func (r *eventResponse) write(text string) error {
	if !r.started {
		r.started = true
		r.call.writer.Header().Set("Content-Type", "text/event-stream")
		r.call.writer.Header().Set("Cache-Control", "no-cache")
		r.call.writer.WriteHeader(http.StatusOK)
	}
	return r.call.send([]byte(text))
}
