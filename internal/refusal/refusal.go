// Package refusal holds the one error type by which the system refuses a request.
package refusal

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// Error says that a request is not answered and what is known of it.
// Its fields are set by the part that refuses and read by the part that answers the caller.
type Error struct {
	// Outcome is OUTCOME_NOT_RUN only where it is proved that no backend server saw the request.
	Outcome peerpb.Outcome
	// Status is the HTTP status for the caller.
	Status int
	// Code is a short name of the reason, such as "rate_limited".
	Code    string
	Message string
	// RetryAfter tells the caller when to come back; 0 says nothing.
	RetryAfter time.Duration
}

// NotRun returns a refusal of a request that no backend server has seen.
func NotRun(status int, code, format string, arguments ...any) *Error {
	return &Error{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Status: status, Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// Unknown returns a refusal of a request that a backend server may have run.
func Unknown(status int, code, format string, arguments ...any) *Error {
	return &Error{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Status: status, Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// FromMessage returns the refusal that another process sent.
func FromMessage(message *peerpb.Refusal) *Error {
	return &Error{
		Outcome: message.GetOutcome(),
		Status:  int(message.GetStatus()),
		Code:    message.GetCode(),
		Message: message.GetMessage(),
		RetryAfter:   message.GetRetry().AsDuration(),
	}
}

// Error gives the reason and what is known of the request.
func (e *Error) Error() string {
	return e.Code + ": " + e.Message + " (" + e.OutcomeText() + ")"
}

// ToMessage returns the refusal as it is sent to another process.
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

// WithRetryAfter sets when the caller should come back.
func (e *Error) WithRetryAfter(retry time.Duration) *Error {
	e.RetryAfter = retry
	return e
}

// IsNotRun reports whether err proves that no backend server saw the request.
func IsNotRun(err error) bool {
	var refusal *Error
	return errors.As(err, &refusal) && refusal.Outcome == peerpb.Outcome_OUTCOME_NOT_RUN
}
