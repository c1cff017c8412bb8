// Package http1 checks the answers of HTTP/1 servers.
//
// net/http is liberal in what it accepts. A status below 100, a blank in a field's name or a second statement of the
// body's length would be passed on, or change where the body ends. This package rejects such answers before net/http
// parses them, so that their connection carries no further request.
package http1

import (
	"errors"
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
	fault   error
}

// NetConn returns the connection that Conn checks.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. The error is a *MalformedAnswerError from the first malformed line on, and a *MemoryError
// after a head for which there is no memory.
func (c *Conn) Read(buffer []byte) (int, error) {
	if fault := c.failure(); fault != nil {
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
func (c *Conn) expect(isHead bool, reserve func(bytes int64) bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.scanner.expect(isHead, reserve)
}

// stopReserving ends the time in which memory is taken for the request.
func (c *Conn) stopReserving() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.scanner.reserve = nil
}

// isHeadComplete reports whether a whole head has arrived since expect.
func (c *Conn) isHeadComplete() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.scanner.isHeadComplete()
}

// fail makes all further reads fail.
func (c *Conn) fail(fault error) {
	c.mutex.Lock()
	isFirst := c.fault == nil
	if isFirst {
		c.fault = fault
	}
	c.mutex.Unlock()
	var malformed *MalformedAnswerError
	if isFirst && c.OnMalformed != nil && errors.As(fault, &malformed) {
		c.OnMalformed(malformed)
	}
}

// failure returns the error of all further reads; nil if there is none.
func (c *Conn) failure() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.fault
}
