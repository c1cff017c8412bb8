package caller

import (
	"net/http"
	"strings"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// maxResponseBytes limits a response that is buffered until it is complete.
const maxResponseBytes = 64 << 20

// jsonResponse buffers an engine's response and writes it when it is complete.
type jsonResponse struct {
	call   *call
	format responseFormat
	text   strings.Builder
}

var _ response = &jsonResponse{}

func (r *jsonResponse) finish(end *peerpb.End) error {
	finish := end.GetFinish()
	object, choice := r.format.full(r.text.String(), &finish)
	body := r.call.newResponseBody(object, choice)
	body.Usage = usageOf(end)
	return writeJSON(r.call.writer, body)
}

func (r *jsonResponse) fail(*refusal.Error) bool { return false }

func (r *jsonResponse) reset() bool {
	r.text.Reset()
	return true
}

func (r *jsonResponse) writeFrame(frame *peerpb.Frame) error {
	if r.text.Len()+len(frame.GetChunk().GetData()) > maxResponseBytes {
		return refusal.Unknown(http.StatusBadGateway, "answer_too_large", "the answer is larger than %d bytes", maxResponseBytes)
	}
	r.text.Write(frame.GetChunk().GetData())
	return nil
}
