package forward

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

var (
	errNotRun  = refusal.NotRun(503, backend.CodeFull, "full")
	errUnknown = refusal.Unknown(502, "backend_cut", "cut")
)

func TestRecordFailure(t *testing.T) {
	const left = time.Second
	t.Run("an idempotent request goes on until its attempts are used", func(t *testing.T) {
		p := policy{maxAttempts: 2, repeatable: true}
		must.True(t, p.recordFailure(errUnknown, left))
		must.False(t, p.recordFailure(errUnknown, left))
	})
	t.Run("what was not run costs no attempt", func(t *testing.T) {
		p := policy{maxAttempts: 1, repeatable: true}
		for range 5 {
			must.True(t, p.recordFailure(errNotRun, left))
		}
		must.False(t, p.recordFailure(errUnknown, left))
	})
	t.Run("a request that runs once goes on only if it was not run", func(t *testing.T) {
		p := policy{maxAttempts: 3}
		must.True(t, p.recordFailure(errNotRun, left))
		must.False(t, p.recordFailure(errUnknown, left))
		must.True(t, p.mayHaveRun)
	})
	t.Run("no time is left", func(t *testing.T) {
		p := policy{maxAttempts: 3, repeatable: true}
		must.False(t, p.recordFailure(errNotRun, 0))
	})
}

func TestReadTimeout(t *testing.T) {
	p := policy{maxAttempts: 2, repeatable: true, latencyTarget: 150 * time.Millisecond}
	must.Eq(t, 400*time.Millisecond, p.readTimeout(800*time.Millisecond))
	must.Eq(t, 300*time.Millisecond, p.readTimeout(500*time.Millisecond))
	must.True(t, p.recordFailure(errUnknown, time.Second))
	must.Eq(t, 400*time.Millisecond, p.readTimeout(400*time.Millisecond))
	once := policy{maxAttempts: 2, latencyTarget: 150 * time.Millisecond}
	must.Eq(t, 800*time.Millisecond, once.readTimeout(800*time.Millisecond))
}
