// Package clock tells time that neither jumps with the time of day nor stands
// still while the host is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the time since the host started, suspensions included.
type Boot time.Duration

// Now reads the clock.
//
// Go's own monotonic time doesn't count a suspension: the holder of a lease
// that was suspended over its end would go on as if it still held it. The time
// of day counts suspensions and jumps. CLOCK_BOOTTIME does neither wrong.
func Now() Boot {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// The clock exists on every Linux since 2.6.39; without it no lease can be trusted.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return Boot(spec.Nano())
}

// Add returns the time a while later.
func (b Boot) Add(length time.Duration) Boot { return b + Boot(length) }

// Sub returns the time between two moments.
func (b Boot) Sub(other Boot) time.Duration { return time.Duration(b - other) }
