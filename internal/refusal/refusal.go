// Package refusal defines the error type for refused requests.
package refusal

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// Error reports a request that was refused and what is known about its execution. The
// component that refuses the request sets the fields, and the component that answers
// the caller reads them.
type Error struct {
	// Outcome is OUTCOME_NOT_RUN only if it is certain that no backend server received
	// the request.
	Outcome peerpb.Outcome
	// Status is the HTTP status for the caller.
	Status int
	// Code is a short name of the reason, such as "draining".
	Code    string
	Message string
	// RetryAfter is how long the caller should wait before a retry; 0 if unspecified.
	RetryAfter time.Duration
}

// NotRun returns a refusal of a request that no backend server received.
func NotRun(status int, code, format string, arguments ...any) *Error {
	return &Error{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Status: status, Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// NoConfiguration returns the refusal of a request that reaches a process before its first
// configuration. Callers and trainers take a 4xx status as final, although the key, the
// plan or the route that decides it may be in the configuration.
func NoConfiguration(retryAfter time.Duration) *Error {
	return NotRun(http.StatusServiceUnavailable, "no_configuration", "no configuration is known yet").WithRetryAfter(retryAfter)
}

// Unknown returns a refusal of a request that a backend server may have run.
func Unknown(status int, code, format string, arguments ...any) *Error {
	return &Error{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Status: status, Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// FromMessage decodes a refusal from another process.
func FromMessage(message *peerpb.Refusal) *Error {
	return &Error{
		Outcome:    message.GetOutcome(),
		Status:     int(message.GetStatus()),
		Code:       message.GetCode(),
		Message:    message.GetMessage(),
		RetryAfter: message.GetRetry().AsDuration(),
	}
}

// Error returns the code, the message and the outcome.
func (e *Error) Error() string {
	return e.Code + ": " + e.Message + " (" + e.OutcomeText() + ")"
}

// ToMessage encodes the refusal for another process.
func (e *Error) ToMessage() *peerpb.Refusal {
	return peerpb.Refusal_builder{
		Outcome: e.Outcome,
		Status:  int32(e.Status),
		Code:    e.Code,
		Message: e.Message,
		Retry:   durationpb.New(e.RetryAfter),
	}.Build()
}

// OutcomeText returns "not run" or "outcome unknown".
func (e *Error) OutcomeText() string {
	if e.Outcome == peerpb.Outcome_OUTCOME_NOT_RUN {
		return "not run"
	}
	return "outcome unknown"
}

// WithRetryAfter sets how long the caller should wait before a retry.
func (e *Error) WithRetryAfter(retry time.Duration) *Error {
	e.RetryAfter = retry
	return e
}

// IsNotRun reports whether err proves that no backend server received the request.
func IsNotRun(err error) bool {
	var refusal *Error
	return errors.As(err, &refusal) && refusal.Outcome == peerpb.Outcome_OUTCOME_NOT_RUN
}
