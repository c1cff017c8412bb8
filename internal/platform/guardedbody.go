package platform

import (
	"bytes"
	"sync"
)

// guardedBody is the body of an order or report that calls a guard before each read.
//
// A duty holder that is suspended after checking its term, and resumes when another process holds
// the duty, would otherwise still send the request. net/http reads the body after it has a
// connection and before it flushes the request, so only the write to the connection follows the
// guard's check. Headers that were already sent have no effect, because the announced body never
// arrives.
type guardedBody struct {
	reader *bytes.Reader
	guard  func() error

	mutex    sync.Mutex
	guardErr error
}

func newGuardedBody(text []byte, guard func() error) *guardedBody {
	return &guardedBody{reader: bytes.NewReader(text), guard: guard}
}

// Read calls the guard and returns its error, if any, in this and all later calls.
func (g *guardedBody) Read(buffer []byte) (int, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.guardErr == nil {
		g.guardErr = g.guard()
	}
	if g.guardErr != nil {
		return 0, g.guardErr
	}
	return g.reader.Read(buffer)
}

// length returns the body length in bytes.
func (g *guardedBody) length() int64 { return g.reader.Size() }

// guardError returns the error of the guard, or nil.
func (g *guardedBody) guardError() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.guardErr
}
