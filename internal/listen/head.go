package listen

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/budget"
)

// addHead accounts for bytes of a head. The error is a *headError or a *budget.Error.
func (c *conn) addHead(n int) error {
	limit := c.listener.limits.maxHeaderBytes() + bufferBytes
	if c.isTLS {
		limit += tlsBytes
	}
	c.mutex.Lock()
	isFirst := c.headBytes == 0
	c.headBytes += int64(n)
	isTooLarge := c.headBytes > limit
	if isFirst {
		c.headStart, c.since = time.Now(), time.Now()
		_ = c.applyReadDeadline()
	}
	c.mutex.Unlock()
	if isTooLarge {
		return &headError{limit: limit}
	}
	if isFirst {
		c.reservation.Receive(func() { _ = c.Close() })
	}
	return c.reservation.Grow(context.Background(), headCost*int64(n))
}

// headError means that a head is larger than the limit.
type headError struct{ limit int64 }

func (e *headError) Error() string { return fmt.Sprintf("head of more than %d bytes", e.limit) }

// rejectHead answers a request whose head can't be read.
func (c *conn) rejectHead(err error) {
	status, retry := http.StatusServiceUnavailable, "Retry-After: 1\r\n"
	var large *headError
	if errors.As(err, &large) {
		status, retry = http.StatusRequestHeaderFieldsTooLarge, ""
	}
	c.listener.countRejected(status)
	if c.isTLS {
		return
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retry)
}

// takenForHead returns what the head of the request took from the budget while it was read.
func (c *conn) takenForHead() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return headCost * c.headBytes
}

// accountForHead takes the memory of a request and its parsed head, and gives back what the head took while it was read.
func (c *conn) accountForHead(w http.ResponseWriter, r *http.Request) error {
	if c == nil {
		return nil
	}
	c.answerHeader = w.Header()
	if c.hasBeenInterrupted() {
		return &budget.Error{Reason: budget.Interrupted}
	}
	parsed, taken := parsedBytes(r), c.takenForHead()
	c.reservation.Shrink(max(0, taken-parsed))
	return c.reservation.Grow(r.Context(), requestBytes+max(0, parsed-taken))
}

// parsedBytes returns the memory of a parsed head and its copy for the backend server.
func parsedBytes(r *http.Request) int64 {
	const lineBytes, valueBytes = 320, 48
	size := int64(4 * len(r.RequestURI))
	for name, values := range r.Header {
		size += int64(len(name)) + lineBytes
		for _, value := range values {
			size += int64(len(value)) + valueBytes
		}
	}
	return size
}
