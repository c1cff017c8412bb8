package poison

import (
	"context"
	"net/http"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// Tracker follows one copy of a request across its attempts. It is used by one goroutine at a time.
type Tracker struct {
	quarantine *Quarantine
	id         string
	identity   Identity
	// hash is the identity's fingerprint; "" until it is needed.
	hash string
	// admittedAt is when the present attempt was admitted; 0 if no request was suspected then.
	admittedAt clock.Boot
	hasCrashed bool
	// isTrial is true while this copy may be sent on trial.
	isTrial bool
}

// Admit returns nil if the request may be sent to a server now, and a *refusal.Error if it is quarantined. If a trial is
// due, Admit claims it for this copy. A trial lasts until a server was reached.
func (t *Tracker) Admit(ctx context.Context) error {
	if t.quarantine == nil {
		return nil
	}
	if !t.isTrial {
		isTrial, err := t.quarantine.admit(ctx, t.fingerprint)
		if err != nil {
			return err
		}
		t.isTrial = isTrial
	}
	t.admittedAt = t.quarantine.suspicionTime()
	return nil
}

// HeldFor returns the time until Admit may admit the request; 0 if it may now. It makes no call.
func (t *Tracker) HeldFor() time.Duration {
	if t.quarantine == nil || t.isTrial {
		return 0
	}
	return t.quarantine.heldFor(t.fingerprint)
}

// RecordFailure records a failed attempt at a server. Only a connection that ended during the request counts as a crash,
// unless the request's context ended it.
func (t *Tracker) RecordFailure(ctx context.Context, server string, err error) {
	if t.quarantine == nil {
		return
	}
	refused := refusal.Of(err)
	if refused.Code != backend.CodeUnreachable {
		t.isTrial = false
	}
	if ctx.Err() != nil || refused.Code != backend.CodeInterrupted {
		return
	}
	t.hasCrashed = true
	t.quarantine.recordCrash(t.id, t.fingerprint(), server, t.admittedAt)
}

// RecordAnswer records that a server has answered the request completely. An answer that the server failed proves
// nothing: what stands before a crashed server may have sent it.
func (t *Tracker) RecordAnswer(status int) {
	if t.quarantine == nil {
		return
	}
	t.isTrial = false
	if status >= http.StatusInternalServerError {
		return
	}
	t.hasCrashed = false
	t.quarantine.recordAnswer(t.fingerprint)
}

// Close records the end of the request, or that it waits for its next attempt for an unknown time.
func (t *Tracker) Close() {
	if t.quarantine == nil || !t.hasCrashed {
		return
	}
	t.hasCrashed = false
	t.quarantine.recordUnanswered(t.fingerprint())
}

// fingerprint returns the request's fingerprint. It is computed on first use, since most requests never need it.
func (t *Tracker) fingerprint() string {
	if t.hash == "" {
		t.hash = t.identity.fingerprint()
	}
	return t.hash
}
