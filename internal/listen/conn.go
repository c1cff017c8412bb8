package listen

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/budget"
)

const (
	// bufferBytes is the size of net/http's read buffer. A read for a head may return as many bytes of what follows.
	bufferBytes = 4 << 10
	// tlsBytes is what a connection with TLS may read beyond a head: the handshake and the rest of a record.
	tlsBytes = 32 << 10
	// writeBytes is the part of an answer that has to be written within the write timeout.
	writeBytes = 64 << 10
	// minWriteRate is the rate in bytes a second at which a client has to read an answer.
	minWriteRate = 8 << 10
)

// conn is a client's connection. It bounds the heads of its requests, and accounts for them.
type conn struct {
	net.Conn

	listener    *listener
	reservation *budget.Reservation
	isTLS       bool
	once        sync.Once
	// answerHeader is the header of the answer to the request that runs.
	answerHeader http.Header

	mutex sync.Mutex
	// isBusy is true from the end of a request's head until its answer is sent. A busy connection whose request is being
	// received isn't needed by any backend server yet. since is the last progress.
	isBusy      bool
	isReceiving bool
	isReceived  bool
	since       time.Time
	// headBytes were read since the end of the last request, the first of them at headStart.
	headBytes int64
	headStart time.Time
	// readDeadline and writeDeadline are those that net/http and handlers have set.
	readDeadline  time.Time
	writeDeadline time.Time
	isInterrupted bool
	// written is the size of the answer so far, and blocked the time for which its writes have waited.
	written int64
	blocked time.Duration
	// isVersion10 is true during a request of HTTP/1.0, and hasAnswered once its handler has returned.
	isVersion10 bool
	hasAnswered bool
}

type connKey struct{}

// connOf returns the connection of a request, or nil outside a server of this package.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// unwrap returns the conn beneath TLS.
func unwrap(outer net.Conn) *conn {
	if secured, ok := outer.(*tls.Conn); ok {
		outer = secured.NetConn()
	}
	c, _ := outer.(*conn)
	return c
}

// ReservationOf returns the memory that a request holds. It is nil, which has no bound, outside an HTTP server of this package.
func ReservationOf(ctx context.Context) *budget.Reservation {
	if c := connOf(ctx); c != nil {
		return c.reservation
	}
	return nil
}

// Read reads from the client. Bytes of a head are taken from the budget before they are parsed.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 || !c.isReadingHead() {
		return n, err
	}
	if refused := c.addHead(n); refused != nil {
		c.rejectHead(refused)
		return 0, io.EOF
	}
	return n, err
}

func (c *conn) isReadingHead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.isBusy
}

// Write writes to the client. It fails if a part, or all writes of an answer together, wait for the client for too long.
func (c *conn) Write(data []byte) (int, error) {
	defer c.reservation.Send(c.cut)()
	written := 0
	for {
		part := data[written:min(len(data), written+writeBytes)]
		n, err := c.writePart(part)
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

func (c *conn) writePart(part []byte) (int, error) {
	began := time.Now()
	if err := c.beginWrite(began, len(part)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(part)
	c.mutex.Lock()
	c.blocked += time.Since(began)
	isCut := err != nil && c.isVersion10
	c.mutex.Unlock()
	if isCut {
		c.cut()
	}
	return n, err
}

// beginWrite sets the deadline of a write.
func (c *conn) beginWrite(now time.Time, length int) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.written += int64(length)
	timeout := c.listener.limits.WriteTimeout
	deadline := now.Add(min(timeout, timeout+time.Duration(c.written/minWriteRate)*time.Second-c.blocked))
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
		deadline = c.writeDeadline
	}
	return c.Conn.SetWriteDeadline(deadline)
}

// SetWriteDeadline sets the deadline of writes, also of one that has begun.
func (c *conn) SetWriteDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writeDeadline = deadline
	return c.Conn.SetWriteDeadline(deadline)
}

// SetDeadline sets the deadline of reads and writes.
func (c *conn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// SetReadDeadline sets the deadline of reads. That of a head that has begun stays.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readDeadline = deadline
	return c.applyReadDeadline()
}

// applyReadDeadline applies the earliest deadline of reads. The mutex must be held.
func (c *conn) applyReadDeadline() error {
	deadline := c.readDeadline
	if !c.isBusy && c.headBytes > 0 {
		end := c.headStart.Add(c.listener.limits.headerTimeout())
		if deadline.IsZero() || end.Before(deadline) {
			deadline = end
		}
	}
	if c.isInterrupted {
		deadline = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// interrupt ends the read of a body.
func (c *conn) interrupt() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isInterrupted = true
	_ = c.applyReadDeadline()
}

func (c *conn) hasBeenInterrupted() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.isInterrupted
}

// setState follows the states of net/http.
func (c *conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.beginRequest()
	case http.StateIdle:
		c.endRequest()
	case http.StateClosed, http.StateHijacked:
		c.reservation.Release()
		c.listener.remove(c)
	case http.StateNew:
	}
}

// beginRequest ends the head of a request.
func (c *conn) beginRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isBusy, c.since = true, time.Now()
	_ = c.applyReadDeadline()
	c.reservation.Keep()
}

// endRequest gives back all that a request held.
func (c *conn) endRequest() {
	c.reservation.Release()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isBusy, c.isReceiving, c.isReceived, c.headBytes, c.since = false, false, false, 0, time.Now()
	c.written, c.blocked = 0, 0
	if c.isVersion10 {
		c.isVersion10 = false
		c.setLinger(systemLinger)
	}
}

const (
	// resetLinger makes a close reset the connection, also that of the kernel when the process ends.
	resetLinger = 0
	// systemLinger makes a close end the connection once all data was sent.
	systemLinger = -1
)

// beginVersion10 makes each close of the connection reset it until the answer to a request of HTTP/1.0 was written. An
// answer without a length ends with the connection there, so a close would make a part of it look whole.
func (c *conn) beginVersion10() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isVersion10, c.hasAnswered = true, false
	c.setLinger(resetLinger)
}

// endVersion10 marks that the handler of a request has returned. net/http writes the rest of the answer.
func (c *conn) endVersion10() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.hasAnswered = true
}

// cut closes the connection within an answer, and resets it if the request is one of HTTP/1.0. It does so beneath TLS, which
// would send the alert that protects the end of an answer.
func (c *conn) cut() {
	c.mutex.Lock()
	c.hasAnswered = false
	c.mutex.Unlock()
	_ = c.Close()
}

// setLinger sets what a close does. The mutex must be held.
func (c *conn) setLinger(seconds int) {
	if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(seconds)
	}
}

// beginBody marks that the body of a request is being received.
func (c *conn) beginBody() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isReceiving, c.since = true, time.Now()
}

// touch marks that the client makes progress.
func (c *conn) touch() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.since = time.Now()
}

// endBody marks that the body of a request has been received. It returns false if the connection was closed for others
// before.
func (c *conn) endBody() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isInterrupted {
		return false
	}
	c.isReceiving, c.isReceived = false, true
	return true
}

func (c *conn) hasWholeBody() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.isReceived
}

// idleSince returns since when the connection waits for its client; ok is false while a request runs.
func (c *conn) idleSince() (since time.Time, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.since, !c.isBusy || c.isReceiving
}

// evict closes the connection if it still waits for its client. No request that it has received runs then.
func (c *conn) evict() bool {
	c.mutex.Lock()
	if c.isBusy && !c.isReceiving {
		c.mutex.Unlock()
		return false
	}
	c.isInterrupted = true
	c.mutex.Unlock()
	_ = c.Close()
	return true
}

// Close closes the connection. Within the answer to a request of HTTP/1.0 it resets the connection.
func (c *conn) Close() error {
	c.once.Do(func() { c.listener.remove(c) })
	c.mutex.Lock()
	if c.isVersion10 && c.hasAnswered {
		c.setLinger(systemLinger)
	}
	c.mutex.Unlock()
	return c.Conn.Close()
}
