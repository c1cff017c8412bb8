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

// HeaderOutcome is the response header of a refusal that states whether the request was
// not run or its outcome is unknown.
const HeaderOutcome = "X-Bramleyhatch-Outcome"

// Body is the response body of a refusal, in the error format of the OpenAI API.
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

// Of returns err as a refusal. An error of another type becomes an internal error with
// unknown outcome, and its text is not exposed.
func Of(err error) *Error {
	var refusal *Error
	if errors.As(err, &refusal) {
		return refusal
	}
	return Unknown(http.StatusInternalServerError, "internal", "internal fault")
}

// Write answers a request with a refusal; Retry-After is in whole seconds.
func Write(w http.ResponseWriter, err error) {
	write(w, err, func(retry time.Duration) string {
		return strconv.FormatInt(int64(math.Ceil(float64(retry)/float64(time.Second))), 10)
	})
}

// WriteFractional is like Write with fractional seconds in Retry-After, for callers
// that parse them: a request that can run in 100 ms need not wait a second.
func WriteFractional(w http.ResponseWriter, err error) {
	write(w, err, func(retry time.Duration) string {
		return strconv.FormatFloat(retry.Seconds(), 'f', 3, 64)
	})
}

func write(w http.ResponseWriter, err error, formatRetry func(time.Duration) string) {
	refusal := Of(err)
	text, marshalErr := json.Marshal(refusal.Body())
	if marshalErr != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, refusal.outcome())
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", formatRetry(refusal.RetryAfter))
	}
	if refusal.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(refusal.Status)
	_, _ = w.Write(append(text, '\n'))
}

// Body returns the response body of the refusal.
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
