// Package http1 checks the answers of HTTP/1 servers.
//
// net/http is liberal in what it accepts. A status below 100, a blank in a field's name or a second statement of the
// body's length would be passed on, or change where the body ends. This package rejects such answers before net/http
// parses them, so that their connection carries no further request.
package http1

import (
	"net"
	"sync"
)

// Conn is a client's connection that fails once the server sends a malformed answer. Exported fields are set before the
// first use.
type Conn struct {
	net.Conn

	// OnMalformed, if not nil, is called at most once, with the fault.
	OnMalformed func(*MalformedAnswerError)

	mutex   sync.Mutex
	scanner scanner
	fault   *MalformedAnswerError
}

// NetConn returns the connection that Conn checks.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. The error is a *MalformedAnswerError from the first malformed line on.
func (c *Conn) Read(buffer []byte) (int, error) {
	if fault := c.malformed(); fault != nil {
		return 0, fault
	}
	n, err := c.Conn.Read(buffer)
	if n == 0 {
		return n, err
	}
	c.mutex.Lock()
	valid, fault := c.scanner.scan(buffer[:n])
	c.mutex.Unlock()
	if fault == nil {
		return n, err
	}
	c.fail(fault)
	return valid, fault
}

// expect starts the check of the answer to a request that is about to be sent.
func (c *Conn) expect(isHead bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.scanner.expect(isHead)
}

// isHeadComplete reports whether a whole head has arrived since expect.
func (c *Conn) isHeadComplete() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.scanner.isHeadComplete()
}

// fail makes all further reads fail.
func (c *Conn) fail(fault *MalformedAnswerError) {
	c.mutex.Lock()
	isFirst := c.fault == nil
	if isFirst {
		c.fault = fault
	}
	c.mutex.Unlock()
	if isFirst && c.OnMalformed != nil {
		c.OnMalformed(fault)
	}
}

// malformed returns the fault of the answer; nil if none was found.
func (c *Conn) malformed() *MalformedAnswerError {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.fault
}
