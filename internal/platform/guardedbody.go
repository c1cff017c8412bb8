package platform

import (
	"bytes"
	"sync"
)

// guardedBody is the body of an order or report that asks a guard before it is read.
//
// A holder that is paused after it checked its term, and thawed once another
// process holds the duty, would send it all the same. net/http reads the
// body after it has a connection and before it flushes the request, so the
// check is made here: only the write itself comes after it. Headers that went
// out already are nothing, since the body that they announce never comes.
type guardedBody struct {
	text  *bytes.Reader
	guard func() error

	mutex   sync.Mutex
	refused error
}

func newGuardedBody(text []byte, guard func() error) *guardedBody {
	return &guardedBody{text: bytes.NewReader(text), guard: guard}
}

// Read asks the guard each time.
func (g *guardedBody) Read(buffer []byte) (int, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.refused == nil {
		g.refused = g.guard()
	}
	if g.refused != nil {
		return 0, g.refused
	}
	return g.text.Read(buffer)
}

// length returns the number of bytes.
func (g *guardedBody) length() int64 { return g.text.Size() }

// refusal returns the guard's error.
func (g *guardedBody) refusal() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.refused
}
