package caller

import (
	"net/http"
	"strings"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// maxAnswerBytes bounds an answer that is kept until it is whole.
const maxAnswerBytes = 64 << 20

// jsonAnswer keeps an engine's answer and writes it whole.
type jsonAnswer struct {
	call  *call
	shape shape
	text  strings.Builder
}

var _ answer = &jsonAnswer{}

func (a *jsonAnswer) end(end *peerpb.End) error {
	finish := end.GetFinish()
	object, one := a.shape.whole(a.text.String(), &finish)
	whole := a.call.newBody(object, one)
	whole.Usage = usageOf(end)
	return writeJSON(a.call.writer, whole)
}

func (a *jsonAnswer) fail(*refusal.Error) bool { return false }

func (a *jsonAnswer) restart() bool {
	a.text.Reset()
	return true
}

func (a *jsonAnswer) take(frame *peerpb.Frame) error {
	if a.text.Len()+len(frame.GetChunk().GetData()) > maxAnswerBytes {
		return refusal.Unknown(http.StatusBadGateway, "answer_too_large", "the answer is larger than %d bytes", maxAnswerBytes)
	}
	a.text.Write(frame.GetChunk().GetData())
	return nil
}
