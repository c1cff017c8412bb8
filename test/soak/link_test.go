package soak_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// linkMode is how a link treats the data that it forwards.
type linkMode int32

const (
	open linkMode = iota
	// slow delays each chunk.
	slow
	// silent forwards nothing in either direction, without an error.
	silent
	// oneWay forwards requests but no responses.
	oneWay
)

// link is a loopback proxy between two processes.
type link struct {
	address string
	target  string
	mode    atomic.Int32

	mutex sync.Mutex
	conns map[net.Conn]bool
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{address: listener.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	go l.serve(listener)
	t.Cleanup(func() {
		_ = listener.Close()
		l.reset()
	})
	return l
}

func (l *link) serve(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		l.mutex.Lock()
		l.conns[client], l.conns[server] = true, true
		l.mutex.Unlock()
		go l.forward(server, client, silent)
		go l.forward(client, server, oneWay)
	}
}

// forward copies data from one connection to the other, and holds the data back while the link's
// mode is silent or equals blocked.
func (l *link) forward(to, from net.Conn, blocked linkMode) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			for current := linkMode(l.mode.Load()); current == silent || current == blocked; current = linkMode(l.mode.Load()) {
				time.Sleep(5 * time.Millisecond)
			}
			if linkMode(l.mode.Load()) == slow {
				time.Sleep(40 * time.Millisecond)
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reset closes all connections with a TCP reset.
func (l *link) reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	l.conns = map[net.Conn]bool{}
}
