package poison

import (
	"context"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// Tracker follows one copy of a request across its attempts. It is used by one goroutine at a time.
type Tracker struct {
	quarantine  *Quarantine
	id          string
	identity    Identity
	fingerprint string
	hasCrashed  bool
}

// Admit returns nil if the request may be sent to a server now, and a *refusal.Error if it is quarantined. If a trial is
// due, Admit claims it for this copy, which may then be sent once.
func (t *Tracker) Admit(ctx context.Context) error {
	if t.quarantine == nil {
		return nil
	}
	return t.quarantine.admit(ctx, t.name)
}

// HeldFor returns the time until Admit may admit the request; 0 if it may now. It makes no call.
func (t *Tracker) HeldFor() time.Duration {
	if t.quarantine == nil {
		return 0
	}
	return t.quarantine.heldFor(t.name)
}

// RecordFailure records a failed attempt at a server. Only a connection that ended during the request counts as a crash,
// unless the request's context ended it.
func (t *Tracker) RecordFailure(ctx context.Context, server string, err error) {
	if t.quarantine == nil || ctx.Err() != nil || refusal.Of(err).Code != backend.CodeInterrupted {
		return
	}
	t.hasCrashed = true
	t.quarantine.recordCrash(t.id, t.name(), server)
}

// RecordAnswer records that a server has answered the request, with any status.
func (t *Tracker) RecordAnswer() {
	if t.quarantine == nil {
		return
	}
	t.hasCrashed = false
	t.quarantine.recordAnswer(t.name)
}

// Close records the end of the request.
func (t *Tracker) Close() {
	if t.quarantine == nil || !t.hasCrashed {
		return
	}
	t.hasCrashed = false
	t.quarantine.recordUnanswered(t.name())
}

// name returns the fingerprint of the request, computed on first use: most requests never need it.
func (t *Tracker) name() string {
	if t.fingerprint == "" {
		t.fingerprint = t.identity.fingerprint()
	}
	return t.fingerprint
}
