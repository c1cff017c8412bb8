package http1

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
)

// Transport sends requests over connections that are all a *Conn. Exported fields are set before the first request.
type Transport struct {
	*http.Transport

	// HeadMemory returns what takes memory for the heads of an answer, if there is any, until RoundTrip returns. With a
	// nil function, or one that returns nil, heads have no bound but MaxHeadBytes.
	HeadMemory func(ctx context.Context) func(bytes int64) bool
}

// RoundTrip implements http.RoundTripper. The error is a *MalformedAnswerError if the server sent a malformed answer,
// and so is that of a read from the body if the end of the answer is malformed. It is a *MemoryError if there is no memory
// for the head of the answer.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var reserve func(bytes int64) bool
	if t.HeadMemory != nil {
		reserve = t.HeadMemory(request.Context())
	}
	var due *answer
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		// net/http may use another connection if it can send nothing on the first one.
		if conn, ok := info.Conn.(*Conn); ok {
			due = conn.expect(request.Method == http.MethodHead, reserve)
		}
	}}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if due == nil {
		return response, err
	}
	fault := due.endHead(err == nil)
	switch {
	case fault == nil && err == nil:
		response.Body = &body{ReadCloser: response.Body, answer: due}
		return response, nil
	case fault == nil:
		return nil, err
	case err == nil:
		_ = due.conn.Close()
		_ = response.Body.Close()
	}
	return nil, fault
}

// body is a body whose read errors name the fault of its answer. net/http replaces errors that occur in trailers.
type body struct {
	io.ReadCloser

	answer *answer
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		if fault := b.answer.failure(); fault != nil {
			err = fault
		}
	}
	return n, err
}
