package backend

import (
	"bufio"
	"errors"
	"io"
)

// maxEventBytes limits the size of a server-sent event.
const maxEventBytes = 256 << 10

// errLongEvent means that an event exceeds maxEventBytes.
var errLongEvent = errors.New("backend: event is too long")

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
}

func newEventLines(body io.Reader, watchdog *watchdog) *eventLines {
	watchdog.ignoreBytes()
	return &eventLines{reader: bufio.NewReaderSize(body, 4096), watchdog: watchdog}
}

// next returns the next line with its end. After an error, other than errLongEvent, it returns what
// precedes the error.
func (l *eventLines) next() (string, error) {
	var line []byte
	for {
		part, err := l.reader.ReadSlice('\n')
		l.size += len(part)
		if l.size > maxEventBytes {
			return "", errLongEvent
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
	l.watchdog.reset()
}
