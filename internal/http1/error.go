package http1

import "fmt"

// maxQuotedBytes limits how much of an answer an error quotes.
const maxQuotedBytes = 64

// MalformedAnswerError reports that what a server sent is no valid HTTP/1 answer. The server may have run the request.
type MalformedAnswerError struct {
	// Problem says what is wrong.
	Problem string
	// Line is the beginning of the line with the fault; "" if there is none.
	Line string
}

func newFault(problem, line string) error {
	return &MalformedAnswerError{Problem: problem, Line: line[:min(len(line), maxQuotedBytes)]}
}

// Error names the problem and quotes the line.
func (e *MalformedAnswerError) Error() string {
	if e.Line == "" {
		return "malformed answer: " + e.Problem
	}
	return fmt.Sprintf("malformed answer: %s: %q", e.Problem, e.Line)
}

// MemoryError reports that there was no memory for the head of an answer. The server may have run the request.
type MemoryError struct{}

// Error names the problem.
func (*MemoryError) Error() string { return "no memory for the head of an answer" }

// CutError reports that a connection broke before the server had ended it, so that an answer which ends with its connection
// is not whole. The server may have run the request.
type CutError struct {
	// Cause says how it broke, mostly as the kernel reported it.
	Cause error
}

// Error names the cause.
func (e *CutError) Error() string {
	return "the connection broke before the end of the answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Cause }
