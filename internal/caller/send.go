package caller

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

const (
	// sendTimeout is how long a caller may leave a part of its answer unread.
	sendTimeout = 30 * time.Second
	// endTimeout is how long the last words of an ended call may take.
	endTimeout = time.Second
)

// send writes a part of the answer through to the caller.
//
// A caller that stops reading would hold the write, and with it the request at
// the backend server, for good: the server has no write timeout, since answers
// may be long. Each write has a bound of its own instead.
func (c *call) send(data []byte) error {
	c.limitWrite()
	//nolint:gosec // The answer is the caller's own, with the content type of its kind.
	if _, err := c.writer.Write(data); err != nil {
		return eris.Wrap(err, "write to the caller")
	}
	if flusher, ok := c.writer.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}

func (c *call) limitWrite() {
	controller := listen.Controller(c.request.Context())
	if controller == nil {
		return
	}
	timeout := sendTimeout
	if c.ctx.Err() != nil {
		timeout = endTimeout
	}
	// A connection without deadlines is that of a test.
	_ = controller.SetWriteDeadline(time.Now().Add(timeout))
}

// withdraw ends the call, also one that waits for its caller to read.
func (c *call) withdraw() {
	c.cancel(errWithdrawn)
	c.limitWrite()
}
