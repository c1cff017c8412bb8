package duty

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// A host is suspended for longer than a lease while it holds a duty. After the host resumes, its
// monotonic clock shows that no time has passed; relying on that clock alone, the process would
// send an order although another process holds the duty.
func TestTermCountsSuspension(t *testing.T) {
	now := time.Now()
	boot := clock.Boot(time.Hour)
	term := newTerm(7, now.Add(3*time.Second), now, func() clock.Boot { return boot })
	must.True(t, term.Valid(now))
	boot = boot.Add(5 * time.Second)
	must.False(t, term.Valid(now.Add(time.Millisecond)))
}

// The wall clock of a holder's host is set back and forth by seconds. The lease in the store isn't
// affected, so the term must neither end early nor be extended.
func TestTermIgnoresWallClock(t *testing.T) {
	now := time.Now()
	boot := clock.Boot(time.Hour)
	term := newTerm(7, now.Add(3*time.Second), now, func() clock.Boot { return boot })
	// A jump ahead or back only changes the wall clock reading of time.Time; comparisons use
	// its monotonic reading.
	boot = boot.Add(2 * time.Second)
	must.True(t, term.Valid(now.Add(2*time.Second)))
	boot = boot.Add(2 * time.Second)
	must.False(t, term.Valid(now.Add(4*time.Second)))
}
