package listentest

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// segmentBytes and receiveBytes are those of LimitBuffers.
	segmentBytes, receiveBytes = 1460, 16 << 10
)

// UploadBytes is the size of a request that doesn't fit into the buffers of LimitBuffers.
const UploadBytes = 192 << 10

// LimitBuffers gives the connections that a listener accepts from now on the segments of a network and a small receive
// buffer. Loopback has large segments, to which the kernel fits the client's send buffer: megabytes of a request are
// written although no server reads them.
func LimitBuffers(listener net.Listener) error {
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var segmentErr, receiveErr error
	err = raw.Control(func(descriptor uintptr) {
		segmentErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
		receiveErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
	})
	return errors.Join(err, segmentErr, receiveErr)
}

// Ending is how a server ends the connection of an answer that it sends before it has read the whole request.
type Ending int

// Endings.
const (
	// Reset resets the connection.
	Reset Ending = iota
	// CloseUnread closes the connection while bytes of the request are unread, which resets it.
	CloseUnread
	// EndSide ends the server's side and reads the rest of the request: the answer is whole.
	EndSide
	// EndSideAndReset ends the server's side, and resets the connection at once: the answer is whole.
	EndSideAndReset
	// EndWithoutAlert is like EndSide, but with TLS without the alert that protects the end.
	EndWithoutAlert
)

// CutEndings are the endings that cut an answer without a length, by their names.
func CutEndings() map[string]Ending {
	return map[string]Ending{"reset": Reset, "close with unread bytes": CloseUnread}
}

// SoundEndings are the endings that leave an answer without a length whole, by their names.
func SoundEndings() map[string]Ending {
	return map[string]Ending{"the server ends its side": EndSide, "the server ends its side and resets the upload": EndSideAndReset}
}

const (
	// endTimeout bounds the wait for a client.
	endTimeout = 10 * time.Second
	// resetDelay is long enough for a client to read what was sent, and to fill the connection's buffers: a reset then
	// wakes both its read and its write.
	resetDelay = 5 * time.Millisecond
)

// End ends the connection of an answer that was sent. With TLS, a cut comes without an alert.
func (e Ending) End(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	inner := conn
	if secured, isTLS := conn.(*tls.Conn); isTLS {
		inner = secured.NetConn()
	}
	tcp, isTCP := inner.(*net.TCPConn)
	if !isTCP {
		return
	}
	switch e {
	case CloseUnread:
		awaitUnread(tcp)
		time.Sleep(resetDelay)
		_ = tcp.Close()
	case Reset:
		time.Sleep(resetDelay)
		reset(tcp)
	case EndSide, EndSideAndReset, EndWithoutAlert:
		if secured, isTLS := conn.(*tls.Conn); isTLS && e != EndWithoutAlert {
			_ = secured.CloseWrite()
		}
		_ = tcp.CloseWrite()
		if e == EndSideAndReset {
			reset(tcp)
			return
		}
		_ = tcp.SetReadDeadline(time.Now().Add(endTimeout))
		_, _ = io.Copy(io.Discard, tcp)
	}
}

// AnswerEarly returns a handler that sends a text in place of an answer, before the request's body is read, and ends the
// connection.
func AnswerEarly(text string, ending Ending) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		ending.End(conn)
	}
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// awaitUnread waits until the kernel holds bytes that were not read.
func awaitUnread(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(endTimeout))
	_ = raw.Read(func(descriptor uintptr) bool {
		_, _, err := syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK)
		return !errors.Is(err, syscall.EAGAIN)
	})
}
