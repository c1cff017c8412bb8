package admission

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

const (
	// windowInterval is the time between changes of the window: about the time of a scorer call, so
	// that the effect of a change is seen before the next one.
	windowInterval = 100 * time.Millisecond
	// windowDecrease is the factor of a decrease, windowIncrease the step of an increase as a part of the
	// largest window. A delay shows only after the calls have queued, so the window closes almost at once;
	// it is open again two seconds after the delay has gone.
	windowDecrease = 0.2
	windowIncrease = 0.05
)

// Window limits a process's concurrent scorer calls to a pool by additive increase and
// multiplicative decrease. The zero value starts at the maximum.
type Window struct {
	reduced float64
	at      clock.Boot
}

// Size returns the limit for a pool of the given slots that owners share.
//
// The largest window is half of the slots for each owner: texts complete in bursts, rarely at two owners at the
// same time, and without delay nobody waits for the slots. The least window is the owner's part of a
// quarter of the slots, so that all owners together leave three quarters to callers.
func (w *Window) Size(slots, owners int, isAbove bool, now clock.Boot) int {
	highest := max(1, float64(slots)/2)
	lowest := max(1, float64(slots)/4/float64(max(1, owners)))
	if now.Sub(w.at) >= windowInterval {
		w.at = now
		if isAbove {
			w.reduced += (highest - w.reduced) * (1 - windowDecrease)
		} else {
			w.reduced -= max(1, windowIncrease*highest)
		}
	}
	w.reduced = min(highest-lowest, max(0, w.reduced))
	return int(highest - w.reduced)
}
