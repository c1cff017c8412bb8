package soak_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// mode is what a link does with what passes.
type mode int32

const (
	open mode = iota
	// slow delays each part.
	slow
	// silent takes and gives nothing, without an error.
	silent
	// oneWay gives no answers back.
	oneWay
)

// link is a proxy on loopback between two processes.
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
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		l.mutex.Lock()
		l.conns[near], l.conns[far] = true, true
		l.mutex.Unlock()
		go l.pass(far, near, silent)
		go l.pass(near, far, oneWay)
	}
}

// pass gives on what comes, unless the mode is one that stops this direction.
func (l *link) pass(to, from net.Conn, stop mode) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			for now := mode(l.mode.Load()); now == silent || now == stop; now = mode(l.mode.Load()) {
				time.Sleep(5 * time.Millisecond)
			}
			if mode(l.mode.Load()) == slow {
				time.Sleep(40 * time.Millisecond)
			}
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reset ends all connections with a reset.
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
