package listen

import (
	"errors"
	"net/http"

	"github.com/bramleyhatch/bramleyhatch/internal/budget"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// BodyCodes are the codes of refusals that differ between the APIs.
type BodyCodes struct {
	TooLarge string
	Cut      string
}

// TakeMemory takes memory for a request beyond its body, until the request's end. The error is a *refusal.Error.
func TakeMemory(r *http.Request, bytes int64, codes BodyCodes) error {
	return RefuseBody(ReservationOf(r.Context()).Grow(r.Context(), bytes), codes)
}

// RefuseBody returns the refusal of a request whose body can't be read, or for which there is no memory; nil for nil.
// Such a request never ran: it isn't complete, or nothing was done with it yet.
func RefuseBody(err error, codes BodyCodes) error {
	if err == nil {
		return nil
	}
	var memory *budget.Error
	if errors.As(err, &memory) {
		if memory.Reason == budget.TooLarge {
			return refusal.NotRun(http.StatusRequestEntityTooLarge, codes.TooLarge, "the request needs more memory than this process has for one")
		}
		return refuseNoMemory()
	}
	var body *BodyError
	if !errors.As(err, &body) {
		body = &BodyError{Problem: BodyCut}
	}
	switch body.Problem {
	case BodyTooLarge:
		return refusal.NotRun(http.StatusRequestEntityTooLarge, codes.TooLarge, "%v", body)
	case BodyLate:
		return refusal.NotRun(http.StatusRequestTimeout, "late_body", "%v", body)
	case BodyNoMemory:
		return refuseNoMemory()
	case BodyCut:
	}
	return refusal.NotRun(http.StatusBadRequest, codes.Cut, "%v", body)
}

func refuseNoMemory() error {
	return refusal.NotRun(http.StatusServiceUnavailable, "no_memory", "other requests hold the memory of this process").WithRetryAfter(noMemoryRetryAfter)
}
