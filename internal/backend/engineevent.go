package backend

import (
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	dataPrefix = "data:"
	doneMarker = "[DONE]"
)

// errDone reports the engine's end marker of a complete answer.
var errDone = errors.New("done")

// engineEvent is a server-sent event of an engine.
type engineEvent struct {
	Choices []choice `json:"choices"`
	Version uint64   `json:"weight_version"`
	Usage   *usage   `json:"usage"`
	// Error is sent by some engines in the middle of an answer.
	Error json.RawMessage `json:"error"`
}

type choice struct {
	Text  string `json:"text"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	Tokens   []int32   `json:"token_ids"`
	Logprobs []float32 `json:"logprobs"`
	Finish   string    `json:"finish_reason"`
}

type usage struct {
	Prompt uint64 `json:"prompt_tokens"`
	Cached uint64 `json:"cached_tokens"`
	Output uint64 `json:"completion_tokens"`
}

// toChunk returns the event's chunk of the answer, or nil if the event has no chunk.
func (e *engineEvent) toChunk() *peerpb.Chunk {
	if len(e.Choices) == 0 {
		return nil
	}
	first := e.Choices[0]
	text := first.Text + first.Delta.Content
	if text == "" && len(first.Tokens) == 0 {
		return nil
	}
	return peerpb.Chunk_builder{
		Data:     []byte(text),
		Tokens:   first.Tokens,
		Version:  e.Version,
		Logprobs: first.Logprobs,
	}.Build()
}

// fillEnd copies the event's finish reason and token usage into end.
func (e *engineEvent) fillEnd(end *peerpb.End) {
	if len(e.Choices) > 0 && e.Choices[0].Finish != "" {
		end.SetFinish(e.Choices[0].Finish)
	}
	if e.Usage != nil {
		end.SetPromptTokens(e.Usage.Prompt)
		end.SetCachedTokens(e.Usage.Cached)
		end.SetOutputTokens(e.Usage.Output)
	}
}

// engineEvents reads server-sent events.
type engineEvents struct {
	lines *eventLines
}

func newEngineEvents(body io.Reader, watchdog *watchdog) *engineEvents {
	return &engineEvents{lines: newEventLines(body, watchdog)}
}

// next returns the next event, errDone at the end marker of a complete answer, or
// io.ErrUnexpectedEOF if the answer ends without it.
func (e *engineEvents) next() (*engineEvent, error) {
	for {
		line, err := e.lines.next()
		data, isData := strings.CutPrefix(line, dataPrefix)
		switch {
		case isData && (err == nil || errors.Is(err, io.EOF)):
			e.lines.endEvent()
			return parseEvent(strings.TrimSpace(data))
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

// parseEvent returns the event with this data, or errDone.
func parseEvent(data string) (*engineEvent, error) {
	if data == doneMarker {
		return nil, errDone
	}
	parsed := &engineEvent{}
	if err := json.Unmarshal([]byte(data), parsed); err != nil {
		return nil, eris.Wrap(err, "parse engine event")
	}
	if hasError(parsed.Error) {
		return nil, eris.Errorf("engine reported an error in the middle of its answer: %s", errorText(parsed.Error))
	}
	return parsed, nil
}

func hasError(raw json.RawMessage) bool {
	return len(raw) > 0 && string(raw) != "null"
}
