package backend

import (
	"bufio"
	"errors"
	"io"

	"github.com/bramleyhatch/bramleyhatch/internal/budget"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

// maxEventBytes limits the size of a server-sent event.
const maxEventBytes = 256 << 10

const (
	// eventByteCost is the memory for each byte of an event: it is copied while it grows, and its data apart from it.
	eventByteCost = 4
	// freeEventBytes is the memory of an event for which none is taken. Hardly any event needs more.
	freeEventBytes = 16 << 10
	// eventReserveStep is how much memory is taken at a time.
	eventReserveStep = 16 << 10
)

var (
	// errLongEvent means that an event exceeds maxEventBytes.
	errLongEvent = errors.New("backend: event is too long")
	// errNoEventMemory means that the request has no memory for an event.
	errNoEventMemory = errors.New("backend: no memory for an event")
)

// eventLines reads the lines of server-sent events.
//
// A faulty server may send bytes without end, in one line or in lines that are no event. So each
// line counts while it is read, and all lines up to the end of an event count together.
//
// For the same reason, only events restart the read timeout.
type eventLines struct {
	reader   *bufio.Reader
	watchdog *watchdog
	// size is the number of bytes since the last event.
	size int
	// memory is that of the client's request; nil has no bound. reserved is what the present event has taken.
	memory   *budget.Reservation
	reserved int64
}

func newEventLines(body io.Reader, watchdog *watchdog) *eventLines {
	watchdog.ignoreBytes()
	return &eventLines{reader: bufio.NewReaderSize(body, 4096), watchdog: watchdog, memory: listen.ReservationOf(watchdog.ctx)}
}

// next returns the next line with its end. After an error, other than errLongEvent and errNoEventMemory, it returns what
// precedes the error.
func (l *eventLines) next() (string, error) {
	var line []byte
	for {
		part, err := l.reader.ReadSlice('\n')
		l.size += len(part)
		if l.size > maxEventBytes {
			return "", errLongEvent
		}
		if !l.hasMemory() {
			return "", errNoEventMemory
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return string(line), err
		}
	}
}

// endEvent starts the next event.
func (l *eventLines) endEvent() {
	l.size = 0
	if l.reserved > 0 {
		l.memory.Shrink(l.reserved)
		l.reserved = 0
	}
	l.watchdog.reset()
}

// hasMemory takes memory for an event that has grown. It returns false if there is none.
func (l *eventLines) hasMemory() bool {
	for int64(l.size)*eventByteCost > freeEventBytes+l.reserved {
		if !l.memory.TryGrow(eventReserveStep) {
			return false
		}
		l.reserved += eventReserveStep
	}
	return true
}
