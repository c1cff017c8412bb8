package duty

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// A host is suspended for longer than a lease while it holds a duty. When it
// wakes, its monotonic clock says that no time has passed; by that alone the
// process would send an order although another one has held the duty for long.
func TestTermCountsSuspension(t *testing.T) {
	now := time.Now()
	boot := clock.Boot(time.Hour)
	term := newTerm(7, now.Add(3*time.Second), now, func() clock.Boot { return boot })
	must.True(t, term.Valid(now))
	boot = boot.Add(5 * time.Second)
	must.False(t, term.Valid(now.Add(time.Millisecond)))
}

// The time of day of a holder's host is set back and forth by seconds. The
// lease in the store knows nothing of it, so the term neither ends nor grows.
func TestTermIgnoresTimeOfDay(t *testing.T) {
	now := time.Now()
	boot := clock.Boot(time.Hour)
	term := newTerm(7, now.Add(3*time.Second), now, func() clock.Boot { return boot })
	// Of a jump ahead only the time of day is later; of one back it is earlier.
	// time.Time carries both clocks, and comparing uses the monotonic one.
	boot = boot.Add(2 * time.Second)
	must.True(t, term.Valid(now.Add(2*time.Second)))
	boot = boot.Add(2 * time.Second)
	must.False(t, term.Valid(now.Add(4*time.Second)))
}
