package caller

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/budget"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// maxResponseBytes limits a response that is buffered until it is complete.
const maxResponseBytes = 64 << 20

const (
	// responseCopies is how often the text of a response is held at most: in a buffer that has grown, and encoded.
	responseCopies = 4
	// memoryTimeout bounds the wait for memory, and memoryRetryInterval is the time between two tries.
	memoryTimeout       = 5 * time.Second
	memoryRetryInterval = 50 * time.Millisecond
)

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

// takeMemory takes memory for a part of the response. It waits for some time if there is none: the engine has made the
// part already.
func (r *jsonResponse) takeMemory(bytes int64) error {
	ctx, cancel := context.WithTimeout(r.call.ctx, memoryTimeout)
	defer cancel()
	for {
		err := listen.ReservationOf(ctx).Grow(ctx, responseCopies*bytes)
		var memory *budget.Error
		isFull := errors.As(err, &memory) && memory.Reason == budget.Full
		if err == nil {
			return nil
		}
		if !isFull || !pause.For(ctx, memoryRetryInterval) {
			return refusal.Unknown(http.StatusBadGateway, "answer_too_large", "this process has no memory for the answer")
		}
	}
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
	if err := r.takeMemory(int64(len(frame.GetChunk().GetData()))); err != nil {
		return err
	}
	r.text.Write(frame.GetChunk().GetData())
	return nil
}
