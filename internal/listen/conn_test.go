package listen

import (
	"io"
	"net"
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
