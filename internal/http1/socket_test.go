package http1_test

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/http1"
)

var (
	errReset     = &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
	errTimedOut  = &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ETIMEDOUT)}
	errPipe      = &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)}
	errLater     = &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EHOSTUNREACH)}
	errReadReset = &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
)

// fakeConn is a connection whose calls return what a test gives them.
type fakeConn struct {
	net.Conn

	// reads and writes return the errors that are sent here. A write without an error waits for one, or until it is stopped.
	reads, writes chan error
	// started receives a value for each write that has begun.
	started chan struct{}
	// stoppedWrite is the error of a write that is stopped.
	stoppedWrite error
	deadlineErr  error

	once    sync.Once
	stopped chan struct{}
}

func newFakeConn() *fakeConn {
	return &fakeConn{reads: make(chan error, 10), writes: make(chan error, 10), started: make(chan struct{}, 10), stoppedWrite: os.ErrDeadlineExceeded, stopped: make(chan struct{})}
}

func (c *fakeConn) Read([]byte) (int, error) { return 0, <-c.reads }

func (c *fakeConn) Write(data []byte) (int, error) {
	c.started <- struct{}{}
	select {
	case err := <-c.writes:
		if err != nil {
			return 0, err
		}
		return len(data), nil
	case <-c.stopped:
		return 0, c.stoppedWrite
	}
}

func (c *fakeConn) SetWriteDeadline(time.Time) error {
	if c.deadlineErr == nil {
		c.stop()
	}
	return c.deadlineErr
}

func (c *fakeConn) Close() error {
	c.stop()
	return nil
}

func (c *fakeConn) stop() { c.once.Do(func() { close(c.stopped) }) }

// startWrite starts a write that has begun when startWrite returns; its error arrives on the channel.
func startWrite(c *fakeConn, socket *http1.Socket) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := socket.Write([]byte("upload"))
		ended <- err
	}()
	<-c.started
	return ended
}

// mustBeCut checks that a read at the end reports what broke the connection.
func mustBeCut(t *testing.T, socket *http1.Socket, cause error) {
	t.Helper()
	_, err := socket.Read(make([]byte, 1))
	var cut *http1.CutError
	must.True(t, errors.As(err, &cut), must.Sprint(err))
	must.ErrorIs(t, err, cause)
}

// mustBeEnd checks that a read returns the end of a sound connection.
func mustBeEnd(t *testing.T, socket *http1.Socket) {
	t.Helper()
	_, err := socket.Read(make([]byte, 1))
	must.EqOp(t, io.EOF, err)
}

// Guards against the end of a broken connection that looks like the end of an answer, since a write got the only report
// of the error.
func TestFailedWriteCutsAnswer(t *testing.T) {
	for name, failure := range map[string]error{"reset": errReset, "timeout": errTimedOut} {
		t.Run(name+" before the end is read", func(t *testing.T) {
			conn := newFakeConn()
			socket := &http1.Socket{Conn: conn}
			conn.writes <- failure
			must.ErrorIs(t, <-startWrite(conn, socket), failure)
			conn.reads <- io.EOF
			mustBeCut(t, socket, failure)
		})
		t.Run(name+" in a write that returns after the end is read", func(t *testing.T) {
			conn := newFakeConn()
			conn.stoppedWrite = failure
			socket := &http1.Socket{Conn: conn}
			ended := startWrite(conn, socket)
			conn.reads <- io.EOF
			mustBeCut(t, socket, failure)
			must.ErrorIs(t, <-ended, failure)
		})
		t.Run(name+" in an earlier write", func(t *testing.T) {
			conn := newFakeConn()
			socket := &http1.Socket{Conn: conn}
			for _, err := range []error{nil, failure, errPipe, errLater} {
				conn.writes <- err
				must.EqOp(t, err, <-startWrite(conn, socket))
			}
			conn.reads <- io.EOF
			mustBeCut(t, socket, failure)
		})
		t.Run(name+" in one of two writes at the same time", func(t *testing.T) {
			conn := newFakeConn()
			socket := &http1.Socket{Conn: conn}
			first := startWrite(conn, socket)
			second := startWrite(conn, socket)
			conn.writes <- failure
			conn.reads <- io.EOF
			mustBeCut(t, socket, failure)
			must.True(t, errors.Is(<-first, failure) != errors.Is(<-second, failure))
		})
	}
	t.Run("reset in a read", func(t *testing.T) {
		conn := newFakeConn()
		socket := &http1.Socket{Conn: conn}
		conn.reads <- errReadReset
		_, err := socket.Read(make([]byte, 1))
		must.EqOp[error](t, errReadReset, err)
		conn.reads <- io.EOF
		mustBeCut(t, socket, errReadReset)
	})
}

// Guards against a sound answer that is called cut, since its server ends the connection before the upload, and resets
// the rest of it.
func TestEndBeforeUploadIsSound(t *testing.T) {
	t.Run("all writes ended before", func(t *testing.T) {
		conn := newFakeConn()
		socket := &http1.Socket{Conn: conn}
		conn.writes <- nil
		must.NoError(t, <-startWrite(conn, socket))
		conn.reads <- io.EOF
		mustBeEnd(t, socket)
	})
	t.Run("a write is in progress", func(t *testing.T) {
		conn := newFakeConn()
		socket := &http1.Socket{Conn: conn}
		ended := startWrite(conn, socket)
		conn.reads <- io.EOF
		mustBeEnd(t, socket)
		must.ErrorIs(t, <-ended, os.ErrDeadlineExceeded)
	})
	for name, failure := range map[string]error{"the upload is reset after the end": errPipe, "the client has closed": net.ErrClosed} {
		t.Run(name+", before the end is read", func(t *testing.T) {
			conn := newFakeConn()
			socket := &http1.Socket{Conn: conn}
			conn.writes <- failure
			must.ErrorIs(t, <-startWrite(conn, socket), failure)
			conn.reads <- io.EOF
			mustBeEnd(t, socket)
		})
		t.Run(name+", after the end is read", func(t *testing.T) {
			conn := newFakeConn()
			conn.stoppedWrite = failure
			socket := &http1.Socket{Conn: conn}
			startWrite(conn, socket)
			conn.reads <- io.EOF
			mustBeEnd(t, socket)
		})
	}
}

// Guards against a read that waits for a write without end.
func TestEndStopsWrites(t *testing.T) {
	t.Run("without deadlines", func(t *testing.T) {
		conn := newFakeConn()
		conn.deadlineErr = os.ErrNoDeadline
		socket := &http1.Socket{Conn: conn}
		ended := startWrite(conn, socket)
		conn.reads <- io.EOF
		mustBeEnd(t, socket)
		must.Error(t, <-ended)
	})
	t.Run("a later write", func(t *testing.T) {
		conn := newFakeConn()
		socket := &http1.Socket{Conn: conn}
		conn.reads <- io.EOF
		mustBeEnd(t, socket)
		n, err := socket.Write([]byte("upload"))
		must.Error(t, err)
		must.Zero(t, n)
		must.Zero(t, len(conn.started))
	})
}

// Guards against an answer that is lost since net/http closes the connection after a failed write, and against a write that
// never ends.
func TestWriteErrorWaitsForReads(t *testing.T) {
	start := func(t *testing.T) (fake *fakeConn, conn *http1.Conn, written <-chan error) {
		t.Helper()
		fake = newFakeConn()
		conn = &http1.Conn{Conn: &http1.Socket{Conn: fake}}
		ended := make(chan error, 1)
		fake.writes <- errPipe
		go func() {
			_, err := conn.Write([]byte("upload"))
			ended <- err
		}()
		fake.reads <- nil
		_, err := conn.Read(make([]byte, 1))
		must.NoError(t, err)
		select {
		case <-ended:
			t.Fatal("the write ended before the reads")
		case <-time.After(20 * time.Millisecond):
		}
		return fake, conn, ended
	}
	t.Run("end", func(t *testing.T) {
		fake, conn, written := start(t)
		fake.reads <- io.EOF
		_, err := conn.Read(make([]byte, 1))
		must.EqOp(t, io.EOF, err)
		must.ErrorIs(t, <-written, errPipe)
	})
	t.Run("failed read", func(t *testing.T) {
		fake, conn, written := start(t)
		fake.reads <- errReadReset
		_, err := conn.Read(make([]byte, 1))
		must.ErrorIs(t, err, errReadReset)
		must.ErrorIs(t, <-written, errPipe)
	})
	t.Run("close", func(t *testing.T) {
		_, conn, written := start(t)
		must.NoError(t, conn.Close())
		must.ErrorIs(t, <-written, errPipe)
		must.NoError(t, conn.Close())
	})
	for name, failure := range map[string]error{"sound writes don't wait": nil, "errors that don't end the reads don't wait": io.ErrShortWrite} {
		t.Run(name, func(t *testing.T) {
			fake := newFakeConn()
			conn := &http1.Conn{Conn: &http1.Socket{Conn: fake}}
			fake.writes <- failure
			_, err := conn.Write([]byte("upload"))
			must.EqOp(t, failure, err)
		})
	}
}
