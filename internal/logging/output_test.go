package logging

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// safeBuffer is a buffer that is safe for concurrent use.
type safeBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.buffer.Write(p)
}

func (s *safeBuffer) String() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.buffer.String()
}

// Guards against requests that hang on logging: the collector of a gateway's log stops
// reading, the pipe fills, and each write of a line blocks forever.
func TestStoppedReader(t *testing.T) {
	reader, writer := io.Pipe()
	t.Cleanup(func() { _ = reader.Close() })
	output := NewOutput(writer)
	go output.run()
	began := time.Now()
	for i := range 2 * maxQueuedLines {
		_, err := fmt.Fprintf(output, "E line %d\n", i)
		must.NoError(t, err)
	}
	must.Less(t, time.Second, time.Since(began))
	must.GreaterEq(t, uint64(maxQueuedLines-1), output.Dropped())
}

// A fault repeats thousands of times per second. Excess lines must be dropped and
// counted, and lines of refused requests must still be written.
func TestTooManyLines(t *testing.T) {
	written := &safeBuffer{}
	output := NewOutput(written)
	for i := range maxBurstLines + 500 {
		_, err := fmt.Fprintf(output, "I line %d\n", i)
		must.NoError(t, err)
	}
	_, err := output.Write([]byte("I caller: refused id=7\n"))
	must.NoError(t, err)
	must.GreaterEq(t, uint64(400), output.Dropped())
	go output.run()
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool {
			return strings.Contains(written.String(), "id=7") && strings.Contains(written.String(), "lines were dropped")
		}),
		wait.Timeout(5*time.Second),
	))
	output.stop()
}

// Guards against lines that quote long paths or identities of clients, and fill the queue with megabytes.
func TestLongLine(t *testing.T) {
	written := &safeBuffer{}
	output := NewOutput(written)
	_, err := fmt.Fprintf(output, "E path=%s\n", strings.Repeat("x", 10*maxLineBytes))
	must.NoError(t, err)
	go output.run()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return strings.HasSuffix(written.String(), "x...\n") }), wait.Timeout(5*time.Second)))
	must.Eq(t, maxLineBytes, len(written.String()))
	output.stop()
}
