package listentest

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdTimeout bounds how long a client of a crowd sends.
	crowdTimeout = 20 * time.Second
	// receiveBuffer is the receive buffer of a client that reads nothing.
	receiveBuffer = 4096
)

// Send writes what a client of a crowd sends. An error ends the client's part; its connection stays open.
type Send func(conn net.Conn) error

// Crowd is a number of clients of one address that don't behave. Their connections stay open until Leave is called
// or the server closes them. They read nothing.
type Crowd struct {
	clients sync.WaitGroup
	leave   chan struct{}
	once    sync.Once
}

// Join starts a crowd of the given size. Each client connects to the address and sends.
func Join(t testing.TB, address string, size int, send Send) *Crowd {
	t.Helper()
	c := &Crowd{leave: make(chan struct{})}
	var sending sync.WaitGroup
	for range size {
		sending.Add(1)
		c.clients.Go(func() {
			c.run(address, send, sending.Done)
		})
	}
	t.Cleanup(c.Leave)
	sending.Wait()
	return c
}

func (c *Crowd) run(address string, send Send, done func()) {
	conn, err := (&net.Dialer{Timeout: crowdTimeout}).Dial("tcp", address)
	if err != nil {
		done()
		return
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(receiveBuffer)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(crowdTimeout))
	_ = send(conn)
	done()
	<-c.leave
}

// Leave closes the connections of the crowd.
func (c *Crowd) Leave() {
	c.once.Do(func() { close(c.leave) })
	c.clients.Wait()
}

// Repeat sends a text a number of times after a head.
func Repeat(head, text string, times int) Send {
	return func(conn net.Conn) error {
		if _, err := conn.Write([]byte(head)); err != nil {
			return err
		}
		// Few large writes: one system call a text would take most of the time of the test.
		const maxWrite = 64 << 10
		part := max(1, min(times, maxWrite/len(text)))
		block := bytes.Repeat([]byte(text), part)
		for left := times; left > 0; left -= part {
			if _, err := conn.Write(block[:min(left, part)*len(text)]); err != nil {
				return err
			}
		}
		return nil
	}
}

// Body sends a request with a body of the given length, of which the last missing bytes never come.
func Body(head string, length, missing int) Send {
	return Repeat(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, length), "x", length-missing)
}

// Chunks sends a request with a body in chunks of the given size, without the last chunk.
func Chunks(head string, length, size int) Send {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return Repeat(head+"Transfer-Encoding: chunked\r\n\r\n", chunk, length/size)
}
