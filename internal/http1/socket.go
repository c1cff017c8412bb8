package http1

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// errEnded is the error of a write after the server has ended the connection.
var errEnded = errors.New("the server has ended the connection")

// Socket is a client's connection, below TLS, whose reads return io.EOF only if the server has ended the connection.
//
// The kernel reports a reset or a timeout once. If a write gets the error, the read after it returns io.EOF, which is also
// how an answer without a length ends. Socket records the errors of writes and returns them in place of io.EOF.
type Socket struct {
	net.Conn

	// writing is locked for reading during each write.
	writing sync.RWMutex

	mutex sync.Mutex
	// failure is the first error that shows that the connection broke.
	failure  error
	hasEnded bool
}

// NetConn returns the connection that Socket reads from.
func (s *Socket) NetConn() net.Conn { return s.Conn }

// Read implements net.Conn. Its error at the end of a connection that broke is a *CutError. At the end it stops the write
// in progress, since that write may have got an error which it has not recorded yet. The request is of no use from then
// on: its answer has ended.
func (s *Socket) Read(buffer []byte) (int, error) {
	n, err := s.Conn.Read(buffer)
	if !errors.Is(err, io.EOF) {
		s.record(err)
		return n, err
	}
	s.endWrites()
	if failure := s.brokenBy(); failure != nil {
		err = &CutError{Cause: failure}
	}
	return n, err
}

// endWrites stops the writes in progress, waits for them, and prevents others.
func (s *Socket) endWrites() {
	s.mutex.Lock()
	s.hasEnded = true
	s.mutex.Unlock()
	if s.SetWriteDeadline(time.Unix(1, 0)) != nil {
		_ = s.Close()
	}
	s.writing.Lock()
	defer s.writing.Unlock()
}

// Write implements net.Conn.
func (s *Socket) Write(data []byte) (int, error) {
	s.writing.RLock()
	defer s.writing.RUnlock()
	if s.isEnded() {
		return 0, errEnded
	}
	n, err := s.Conn.Write(data)
	s.record(err)
	return n, err
}

// record keeps the first error that shows that the connection broke.
func (s *Socket) record(err error) {
	if !isBreak(err) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failure == nil {
		s.failure = err
	}
}

func (s *Socket) brokenBy() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failure
}

func (s *Socket) isEnded() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.hasEnded
}

// isBreak reports whether an error shows that a connection broke before the server had ended it. A reset after that end
// is EPIPE. So is any write after another one that got the error, which comes first.
func isBreak(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded)
}
