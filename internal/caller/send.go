package caller

import (
	"net/http"

	"github.com/rotisserie/eris"
)

// send writes a part of the answer through to the caller.
func (c *call) send(data []byte) error {
	//nolint:gosec // The answer is the caller's own, with the content type of its kind.
	if _, err := c.writer.Write(data); err != nil {
		return eris.Wrap(err, "write to the caller")
	}
	if flusher, ok := c.writer.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}
