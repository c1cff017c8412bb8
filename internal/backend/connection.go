package backend

import (
	"net"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/bramleyhatch/bramleyhatch/internal/http1"
)

// maxRecentRequests is how many requests a connection remembers. Only the latest one can be answered a second time where
// the next answer is expected; the others allow for a server that sends second answers later.
const maxRecentRequests = 8

// tracedConn is a connection that counts the bytes that may have been sent, and remembers its latest requests.
type tracedConn struct {
	net.Conn

	sent atomic.Int64
	// isUnanswered is true from a write until bytes are received.
	isUnanswered atomic.Bool

	mutex sync.Mutex
	// recent holds the IDs of the latest requests, oldest first.
	recent []string
	// isAbandoned is true once the connection has sent an answer to another request.
	isAbandoned bool
}

func newTracedConn(conn net.Conn) net.Conn { return &tracedConn{Conn: conn} }

// Write implements net.Conn. Bytes count before they are written, so that a concurrent check never misses any; those
// that were not written are subtracted.
func (c *tracedConn) Write(data []byte) (int, error) {
	c.isUnanswered.Store(true)
	c.sent.Add(int64(len(data)))
	n, err := c.Conn.Write(data)
	c.sent.Add(int64(n - len(data)))
	return n, err
}

// Read implements net.Conn.
func (c *tracedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.isUnanswered.Store(false)
	}
	return n, err
}

// Close implements net.Conn. It resets a connection whose request has no answer yet.
//
// The operating system goes on sending what was written before a close, for minutes if the link is cut. A request that
// was given up would reach its server when the link works again.
func (c *tracedConn) Close() error {
	if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP && c.isUnanswered.Load() {
		_ = tcp.SetLinger(0)
	}
	return c.Conn.Close()
}

// accept records a request that is about to be sent. It returns false if one with the same ID was sent before: a second
// answer to that one could not be distinguished from the answer to this one. It also returns false for an abandoned
// connection, which net/http may hand out before it notices that it is closed.
func (c *tracedConn) accept(id string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isAbandoned || slices.Contains(c.recent, id) {
		return false
	}
	if len(c.recent) == maxRecentRequests {
		c.recent = slices.Delete(c.recent, 0, 1)
	}
	c.recent = append(c.recent, id)
	return true
}

// abandon closes the connection, and keeps further requests off it.
func (c *tracedConn) abandon() {
	c.mutex.Lock()
	c.isAbandoned = true
	c.mutex.Unlock()
	_ = c.Close()
}

// connectionTrace follows the connections of a request. It determines whether any byte of the request may have reached
// a server, and keeps the request off a connection on which it was sent before.
type connectionTrace struct {
	// id is the request's ID; "" if answers name no request.
	id string

	mutex       sync.Mutex
	connections []sentMark
	rejected    bool
}

// sentMark is a connection, and the bytes sent on it before the request.
type sentMark struct {
	conn   net.Conn
	before int64
}

// gotConn records a connection of the request. net/http calls it before it writes to the connection; a connection that
// is closed here sends nothing.
func (t *connectionTrace) gotConn(info httptrace.GotConnInfo) {
	conn := info.Conn
	if checked, isChecked := conn.(*http1.Conn); isChecked {
		conn = checked.NetConn()
	}
	if socket, isSocket := conn.(*http1.Socket); isSocket {
		conn = socket.NetConn()
	}
	mark := sentMark{conn: conn}
	traced, isTraced := conn.(*tracedConn)
	if isTraced {
		mark.before = traced.sent.Load()
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.connections = append(t.connections, mark)
	if isTraced && t.id != "" && !traced.accept(t.id) {
		t.rejected = true
		_ = traced.Close()
	}
}

// isRejected reports whether a connection was closed because the request was sent on it before.
func (t *connectionTrace) isRejected() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.rejected
}

func (t *connectionTrace) abandon() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, mark := range t.connections {
		if traced, isTraced := mark.conn.(*tracedConn); isTraced {
			traced.abandon()
			continue
		}
		_ = mark.conn.Close()
	}
}

func (t *connectionTrace) close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, mark := range t.connections {
		_ = mark.conn.Close()
	}
}

// closeAndCheck closes the connections of a request that has failed, and reports whether a server may have received any
// of it. A full server may reset a connection before the request is written.
//
// A connection is closed before its count is read: a write that starts afterwards sends nothing.
func (t *connectionTrace) closeAndCheck() bool {
	t.close()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	maybeSent := false
	for _, mark := range t.connections {
		traced, isTraced := mark.conn.(*tracedConn)
		maybeSent = maybeSent || !isTraced || traced.sent.Load() != mark.before
	}
	return maybeSent
}
