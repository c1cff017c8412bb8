// Package http1 checks the answers of HTTP/1 servers.
//
// net/http is liberal in what it accepts. A status below 100, a blank in a field's name or a second statement of the
// body's length would be passed on, or change where the body ends. This package rejects such answers before net/http
// parses them, so that their connection carries no further request. It also tells a connection that broke from one that
// the server has ended, which ends a body without a length.
package http1

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// errNoAlert means that a connection with TLS ended without an alert.
var errNoAlert = errors.New("TLS ended without an alert of the server")

// Conn is a client's connection that fails once the server sends a malformed answer. Exported fields are set before the
// first use.
type Conn struct {
	net.Conn

	// OnMalformed, if not nil, is called with each fault.
	OnMalformed func(*MalformedAnswerError)

	mutex sync.Mutex
	// answer is the one that is due, or the latest one; nil before the first request.
	answer *answer
	// fault is the error of all further reads.
	fault error
	// ended is closed once a read has failed, or the connection was closed; nil until it is needed.
	ended chan struct{}
	once  sync.Once
}

// answer is the check of the answer to one request. net/http hands a connection out for the next request before it delivers
// an answer without a body, so each request has its own. The connection's mutex protects the fields.
type answer struct {
	conn    *Conn
	scanner scanner
	fault   error
}

// NetConn returns the connection that Conn checks.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. The error is a *MalformedAnswerError from the first malformed line on, a *MemoryError after a
// head for which there is no memory, and a *CutError where TLS ends without an alert in a body that ends with its
// connection.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.read(buffer)
	if err != nil {
		c.end()
	}
	return n, err
}

// Write implements net.Conn. An error of the kernel waits for the end of the reads: net/http closes the connection after a
// failed write, but the kernel may hold an answer that the server sent before it reset the upload. Other errors don't end
// the reads.
func (c *Conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	var reported syscall.Errno
	if errors.As(err, &reported) {
		<-c.readsEnded()
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.end()
	return c.Conn.Close()
}

// end marks that no more is read.
func (c *Conn) end() {
	ended := c.readsEnded()
	c.once.Do(func() { close(ended) })
}

// readsEnded returns a channel that is closed once no more is read.
func (c *Conn) readsEnded() chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ended == nil {
		c.ended = make(chan struct{})
	}
	return c.ended
}

func (c *Conn) read(buffer []byte) (int, error) {
	if fault := c.failure(); fault != nil {
		return 0, fault
	}
	n, err := c.Conn.Read(buffer)
	valid, fault := c.scan(buffer[:n])
	if fault != nil {
		return valid, fault
	}
	if errors.Is(err, io.EOF) && c.isTruncated() {
		return n, &CutError{Cause: errNoAlert}
	}
	return n, err
}

// isTruncated reports whether the answer that is due would end with its connection, but TLS has ended without the server's
// alert (close_notify). Package tls returns io.EOF for both, as many servers leave the alert out; only the end of such an
// answer depends on it.
func (c *Conn) isTruncated() bool {
	secured, isTLS := c.Conn.(*tls.Conn)
	if !isTLS {
		return false
	}
	socket, isSocket := secured.NetConn().(*Socket)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return isSocket && socket.isEnded() && c.answer != nil && c.answer.scanner.endsWithConn
}

// failure returns the error of all further reads; nil if there is none.
func (c *Conn) failure() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.fault
}

// scan checks bytes of the answer that is due.
func (c *Conn) scan(data []byte) (valid int, fault error) {
	c.mutex.Lock()
	if c.answer == nil {
		c.mutex.Unlock()
		return len(data), nil
	}
	valid, fault = c.answer.scanner.scan(data)
	c.answer.fault, c.fault = fault, fault
	c.mutex.Unlock()
	c.report(fault)
	return valid, fault
}

func (c *Conn) report(fault error) {
	var malformed *MalformedAnswerError
	if errors.As(fault, &malformed) && c.OnMalformed != nil {
		c.OnMalformed(malformed)
	}
}

// expect starts the check of the answer to a request that is about to be sent. reserve takes memory for its heads; nil
// takes none.
func (c *Conn) expect(isHead bool, reserve func(bytes int64) bool) *answer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answer = &answer{conn: c, scanner: newScanner(isHead, reserve)}
	return c.answer
}

// endHead ends the time in which memory is taken for the heads, and returns the fault of an answer that net/http has
// parsed: its head may have begun to arrive before its request was sent.
func (a *answer) endHead(isParsed bool) error {
	a.conn.mutex.Lock()
	a.scanner.reserve = nil
	isEarly := isParsed && a.fault == nil && !a.scanner.isHeadComplete()
	if isEarly {
		a.fault = newFault("it began before its request was sent", "")
		a.conn.fault = a.fault
	}
	fault := a.fault
	a.conn.mutex.Unlock()
	if isEarly {
		a.conn.report(fault)
	}
	return fault
}

// failure returns the fault of the answer; nil if none was found.
func (a *answer) failure() error {
	a.conn.mutex.Lock()
	defer a.conn.mutex.Unlock()
	return a.fault
}
