package backend

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// resetDelay is the time in which a reset arrives over loopback.
const resetDelay = 50 * time.Millisecond

// slowConn waits before it writes, so that a reset arrives first.
type slowConn struct{ net.Conn }

func (c slowConn) Write(data []byte) (int, error) {
	time.Sleep(resetDelay)
	return c.Conn.Write(data)
}

// startResetting starts a server that reads a number of bytes of each connection and then resets it.
func startResetting(t *testing.T, readBytes int64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, conn, readBytes)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against two wrong answers about a server that resets connections over its limit: 502 for a posting of which
// nothing was sent, which its caller can't repeat, and "not run" for one that the server may have received.
func TestResetConnection(t *testing.T) {
	for name, test := range map[string]struct {
		readBytes int64
		outcome   string
		status    int
	}{
		"before the request was sent":   {0, "not run", http.StatusServiceUnavailable},
		"after a part of it was sent":   {1, "outcome unknown", http.StatusBadGateway},
		"after most of it was received": {100, "outcome unknown", http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := &Server{Address: startResetting(t, test.readBytes), Name: "s1"}
			client := listen.ClientWithOptions("s1", listen.ClientOptions{WrapConn: func(conn net.Conn) net.Conn {
				return newTracedConn(slowConn{conn})
			}})
			server.client.Store(&client)
			_, err := server.exchange(t.Context(), call{
				method: http.MethodPost, path: "/x", header: http.Header{}, body: []byte("text"), noRepeat: true, readTimeout: time.Minute,
			})
			must.Eq(t, test.outcome, refusal.Of(err).OutcomeText(), must.Sprint(err))
			must.Eq(t, test.status, refusal.Of(err).Status)
		})
	}
}

// failingConn writes some bytes and fails.
type failingConn struct {
	net.Conn

	written int
}

func (c failingConn) Write([]byte) (int, error) { return c.written, io.ErrClosedPipe }
func (c failingConn) Close() error              { return nil }

func TestTracedConn(t *testing.T) {
	for name, test := range map[string]struct {
		written int
		want    int64
	}{"nothing is written": {0, 0}, "a part is written": {3, 3}} {
		t.Run(name, func(t *testing.T) {
			conn := &tracedConn{Conn: failingConn{written: test.written}}
			_, err := conn.Write([]byte("text"))
			must.Error(t, err)
			must.Eq(t, test.want, conn.sent.Load())
		})
	}
}

// Guards against a request that ends as "can't be reached" because net/http hands out a connection that was closed after
// a foreign answer.
func TestAbandonedConnectionTakesNoRequest(t *testing.T) {
	conn := &tracedConn{Conn: failingConn{}}
	must.True(t, conn.accept("r1"))
	conn.abandon()
	must.False(t, conn.accept("r2"))
}
