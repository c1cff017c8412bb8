package backend

import (
	"errors"
	"io"
	"strconv"
	"strings"

	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const idPrefix = "id:"

// Event is a server-sent event.
type Event struct {
	// Number is the event's sequence number, starting at 1.
	Number uint64
	Data   string
	// Version is the weight version that produced the event; 0 if unknown.
	Version uint64
	// Raw holds the event's bytes, including the terminating empty line.
	Raw []byte
}

// Events reads the events of an answer.
type Events struct {
	answer  *Answer
	lines   *eventLines
	version uint64
}

// Events returns a reader of the answer's events.
func (a *Answer) Events() *Events {
	return &Events{answer: a, lines: newEventLines(a.Body, a.watchdog), version: a.direct.Wire.Version(a.Response)}
}

// Version returns the weight version of the next event; 0 if unknown.
func (e *Events) Version() uint64 { return e.version }

// Next returns the next event, or io.EOF after the last event of a complete answer. If the
// answer ends within an event or with an error, Next returns the error of
// Answer.Interrupted.
func (e *Events) Next() (Event, error) {
	event := Event{}
	started, hasData := false, false
	for {
		line, err := e.lines.next()
		if errors.Is(err, errLongEvent) {
			return Event{}, refusal.Unknown(502, "bad_event", "%s sent an event of more than %d bytes", e.answer.direct.Name, maxEventBytes)
		}
		if errors.Is(err, errNoEventMemory) {
			return Event{}, refusal.Unknown(502, CodeNoAnswerMemory, "other requests hold the memory for an event of %s", e.answer.direct.Name)
		}
		if err != nil {
			if errors.Is(err, io.EOF) && !started && line == "" {
				return Event{}, io.EOF
			}
			return Event{}, e.answer.Interrupted()
		}
		event.Raw = append(event.Raw, line...)
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "" && !started:
			event.Raw = event.Raw[:0]
			continue
		case line == "":
			e.lines.endEvent()
			event.Version = e.version
			if event.Number == 0 || !hasData {
				return Event{}, refusal.Unknown(502, "bad_event", "%s sent an event without number or data", e.answer.direct.Name)
			}
			return event, nil
		}
		started = true
		hasData = e.parseLine(&event, line) || hasData
	}
}

// parseLine parses one line of an event and reports whether it was a data line.
func (e *Events) parseLine(event *Event, line string) bool {
	if version, ok := e.answer.direct.Wire.ParseVersionLine(line); ok {
		e.version = version
		return false
	}
	if text, ok := strings.CutPrefix(line, idPrefix); ok {
		number, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
		if err == nil {
			event.Number = number
		}
		return false
	}
	if text, ok := strings.CutPrefix(line, dataPrefix); ok {
		text = strings.TrimPrefix(text, " ")
		if event.Data != "" {
			event.Data += "\n"
		}
		event.Data += text
		return true
	}
	return false
}
