package caller

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

const (
	// writeTimeout is how long a caller may leave a part of its response unread.
	writeTimeout = 30 * time.Second
	// endedWriteTimeout limits the writes of a call whose context has ended.
	endedWriteTimeout = time.Second
)

// send writes a part of the response to the caller and flushes it.
//
// Each write has its own deadline, since a caller that stops reading would block
// the write, and the request at the backend server, forever: the HTTP server has
// no write timeout, since responses may take a long time.
func (c *call) send(data []byte) error {
	c.setWriteDeadline()
	//nolint:gosec // The response is for the caller's own request and has a matching content type.
	if _, err := c.writer.Write(data); err != nil {
		return eris.Wrap(err, "write to the caller")
	}
	if flusher, ok := c.writer.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}

func (c *call) setWriteDeadline() {
	controller := listen.Controller(c.request.Context())
	if controller == nil {
		return
	}
	timeout := writeTimeout
	if c.ctx.Err() != nil {
		timeout = endedWriteTimeout
	}
	// SetWriteDeadline fails only on connections of tests, which have no deadlines.
	_ = controller.SetWriteDeadline(time.Now().Add(timeout))
}

// withdraw ends the call, even while a write is blocked because its caller does not read.
func (c *call) withdraw() {
	c.cancel(errWithdrawn)
	c.setWriteDeadline()
}
