package refusal

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// HeaderOutcome tells callers what is known of a request that was not answered.
const HeaderOutcome = "X-Bramleyhatch-Outcome"

// Body is the body of a refusal, as clients of the OpenAI protocol expect it.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the reason of a refusal.
type Detail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Outcome is "not-run" or "unknown".
	Outcome string `json:"outcome"`
}

// Of returns err as a refusal. An error of another type becomes an internal
// fault with the outcome unknown, and its text stays inside.
func Of(err error) *Error {
	var refusal *Error
	if errors.As(err, &refusal) {
		return refusal
	}
	return Unknown(http.StatusInternalServerError, "internal", "internal fault")
}

// Write answers a request over HTTP with a refusal, in whole seconds for the return.
func Write(w http.ResponseWriter, err error) {
	write(w, err, func(retry time.Duration) string {
		return strconv.FormatInt(int64(math.Ceil(float64(retry)/float64(time.Second))), 10)
	})
}

// WriteFractional answers like Write, with fractions of seconds for the return: for
// callers that read them, a request that finds room in 100 ms need not stay
// away for a second.
func WriteFractional(w http.ResponseWriter, err error) {
	write(w, err, func(retry time.Duration) string {
		return strconv.FormatFloat(retry.Seconds(), 'f', 3, 64)
	})
}

func write(w http.ResponseWriter, err error, after func(time.Duration) string) {
	refusal := Of(err)
	text, failed := json.Marshal(refusal.Body())
	if failed != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, refusal.outcome())
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", after(refusal.RetryAfter))
	}
	if refusal.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(refusal.Status)
	_, _ = w.Write(append(text, '\n'))
}

// Body returns the refusal as callers read it.
func (e *Error) Body() Body {
	return Body{Error: Detail{Message: e.Message, Type: e.kind(), Code: e.Code, Outcome: e.outcome()}}
}

func (e *Error) kind() string {
	switch {
	case e.Status == http.StatusUnauthorized:
		return "authentication_error"
	case e.Status == http.StatusForbidden:
		return "permission_error"
	case e.Status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case e.Status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

func (e *Error) outcome() string {
	if e.Outcome == peerpb.Outcome_OUTCOME_NOT_RUN {
		return "not-run"
	}
	return "unknown"
}
