package listen

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/budget"
)

const (
	// firstBodyBytes is the first size of the buffer of a body without a length.
	firstBodyBytes = 4 << 10
	// knownBodyBytes is how much of a body has to arrive before a buffer of its whole length is taken. A client could
	// else take much of the budget with a head.
	knownBodyBytes = 1 << 20
	// progressBytes is how much of a body has to arrive to count as progress.
	progressBytes = 64 << 10
	// discardTimeout bounds how long the rest of a body is read that no handler wants, before the answer is sent. The
	// connection can be used again if it ends in time.
	discardTimeout = time.Second
)

// BodyProblem is why a body can't be read.
type BodyProblem int

// Problems of bodies.
const (
	// BodyTooLarge means that the body is larger than the limit, or than the process can ever hold.
	BodyTooLarge BodyProblem = iota
	// BodyCut means that the body ended before it was whole.
	BodyCut
	// BodyLate means that the body wasn't whole at its deadline.
	BodyLate
	// BodyNoMemory means that other requests hold the memory. A later try may succeed.
	BodyNoMemory
)

// BodyError means that a body can't be read.
type BodyError struct {
	Problem BodyProblem
	// MaxBytes is the limit on the body.
	MaxBytes int64
}

// Error describes the problem.
func (e *BodyError) Error() string {
	switch e.Problem {
	case BodyTooLarge:
		return fmt.Sprintf("the body has more than %d bytes", e.MaxBytes)
	case BodyLate:
		return "the body wasn't whole in time"
	case BodyNoMemory:
		return "there is no memory for the body now"
	case BodyCut:
	}
	return "the body ended before it was whole"
}

// ReadBody reads a request's body of at most maxBytes until the deadline. The error is a *BodyError; the connection is
// then closed after the answer.
func ReadBody(r *http.Request, maxBytes int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 || r.Body == nil {
		return nil, nil
	}
	body, err := readBody(r, min(maxBytes, ReservationOf(r.Context()).MaxRequest()), deadline)
	if c := connOf(r.Context()); err != nil && c != nil {
		c.answerHeader.Set("Connection", "close")
	}
	return body, err
}

func readBody(r *http.Request, maxBytes int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength > maxBytes {
		return nil, &BodyError{Problem: BodyTooLarge, MaxBytes: maxBytes}
	}
	reader := &bodyReader{ctx: r.Context(), source: r.Body, length: r.ContentLength, maxBytes: maxBytes, conn: connOf(r.Context())}
	reader.begin(deadline)
	err := reader.readAll()
	if err == nil && !reader.end() {
		err = &budget.Error{Reason: budget.Interrupted}
	}
	if err != nil {
		reader.discard()
		return nil, reader.problem(err)
	}
	return reader.buffer, nil
}

// boundDiscard bounds how long net/http reads the rest of a body that no handler wants.
func (c *conn) boundDiscard(r *http.Request) {
	if c == nil || r.ContentLength == 0 || c.hasWholeBody() {
		return
	}
	c.beginBody()
	c.reservation.Receive(c.cut)
	_ = c.SetReadDeadline(time.Now().Add(discardTimeout))
}

// bodyReader reads a body into a buffer that is taken from the budget before it is allocated.
type bodyReader struct {
	ctx    context.Context
	source io.Reader
	// length is -1 if it isn't known.
	length   int64
	maxBytes int64
	conn     *conn
	buffer   []byte
	// held is what the buffer takes from the budget.
	held int64
}

func (b *bodyReader) reservation() *budget.Reservation {
	if b.conn == nil {
		return nil
	}
	return b.conn.reservation
}

func (b *bodyReader) begin(deadline time.Time) {
	if b.conn == nil {
		return
	}
	b.conn.beginBody()
	b.reservation().Receive(b.conn.interrupt)
	_ = b.conn.SetReadDeadline(deadline)
}

// end returns false if the request was interrupted. net/http removes the deadline once the body is whole.
func (b *bodyReader) end() bool {
	if b.conn == nil {
		return true
	}
	if !b.reservation().Keep() || !b.conn.endBody() {
		return false
	}
	return true
}

func (b *bodyReader) readAll() error {
	for marked := 0; ; {
		if len(b.buffer) == cap(b.buffer) {
			if err := b.grow(); err != nil {
				return err
			}
		}
		n, err := b.source.Read(b.buffer[len(b.buffer):cap(b.buffer)])
		b.buffer = b.buffer[:len(b.buffer)+n]
		if int64(len(b.buffer)) > b.maxBytes {
			return &BodyError{Problem: BodyTooLarge, MaxBytes: b.maxBytes}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if len(b.buffer)-marked >= progressBytes {
			marked = len(b.buffer)
			b.markProgress()
		}
	}
}

// markProgress notes that the client sends, for when others need memory or connections.
func (b *bodyReader) markProgress() {
	if b.conn != nil {
		b.conn.reservation.Progress()
		b.conn.touch()
	}
}

// grow replaces the buffer by a larger one. Both are held while the bytes are copied.
func (b *bodyReader) grow() error {
	size := b.nextSize()
	if err := b.reservation().Grow(b.ctx, size); err != nil {
		return err
	}
	larger := make([]byte, len(b.buffer), size)
	copy(larger, b.buffer)
	b.buffer = larger
	b.reservation().Shrink(b.held)
	b.held = size
	return nil
}

// nextSize returns the next size of the buffer: one byte more than the body, so that its end is seen without growing.
func (b *bodyReader) nextSize() int64 {
	next := max(firstBodyBytes, 2*int64(cap(b.buffer)))
	if b.length >= 0 && (b.length < next || next > knownBodyBytes) {
		next = b.length + 1
	}
	if next >= b.maxBytes {
		next = b.maxBytes + 1
	}
	return next
}

// discard gives the buffer back.
func (b *bodyReader) discard() {
	b.buffer = nil
	b.reservation().Shrink(b.held)
}

func (b *bodyReader) problem(err error) *BodyError {
	var body *BodyError
	var memory *budget.Error
	switch {
	case errors.As(err, &body):
		return body
	case errors.As(err, &memory) && memory.Reason == budget.TooLarge:
		return &BodyError{Problem: BodyTooLarge, MaxBytes: b.reservation().MaxRequest()}
	case errors.As(err, &memory), b.conn != nil && b.conn.hasBeenInterrupted():
		return &BodyError{Problem: BodyNoMemory}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &BodyError{Problem: BodyLate}
	default:
		return &BodyError{Problem: BodyCut}
	}
}
