package listen

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a client that reads a little now and then, and so keeps its answer for ever.
func TestSlowReaderIsCut(t *testing.T) {
	const writeTimeout, pause, maxWrites = 400 * time.Millisecond, 200 * time.Millisecond, 10
	server, client := net.Pipe()
	defer func() { _ = client.Close() }()
	c := &conn{Conn: server, listener: &listener{limits: Limits{WriteTimeout: writeTimeout}}}
	go func() {
		part := make([]byte, 1)
		for {
			time.Sleep(pause)
			if _, err := io.ReadFull(client, part); err != nil {
				return
			}
		}
	}()
	var err error
	for range maxWrites {
		if _, err = c.Write([]byte("x")); err != nil {
			break
		}
	}
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against a request that runs although its connection was closed for another one.
func TestEvictedRequestDoesNotRun(t *testing.T) {
	newConn := func() *conn {
		server, client := net.Pipe()
		t.Cleanup(func() { _ = client.Close() })
		l := &listener{limits: (&Limits{}).withDefaults(), conns: map[*conn]bool{}}
		return &conn{Conn: server, listener: l, reservation: l.limits.Budget.NewReservation()}
	}
	t.Run("before its handler", func(t *testing.T) {
		c := newConn()
		must.True(t, c.evict())
		c.beginRequest()
		must.Error(t, c.accountForHead(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil)))
	})
	t.Run("with a body", func(t *testing.T) {
		c := newConn()
		c.beginRequest()
		reader := &bodyReader{conn: c}
		reader.begin(time.Time{})
		must.True(t, c.evict())
		must.False(t, reader.end())
	})
	t.Run("once it runs", func(t *testing.T) {
		c := newConn()
		c.beginRequest()
		must.False(t, c.evict())
	})
}
