// Package clock provides clocks that neither jump with the wall clock nor stop while the host
// is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the time since the host started, including suspensions.
type Boot time.Duration

// Now reads CLOCK_BOOTTIME.
//
// Go's monotonic clock doesn't count suspensions: the holder of a lease that was suspended
// past its end would go on as if it still held it. The wall clock counts suspensions but
// jumps. CLOCK_BOOTTIME has neither fault.
func Now() Boot {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39; without it no lease can be trusted.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return Boot(spec.Nano())
}

// Add returns the time after a duration has passed.
func (b Boot) Add(length time.Duration) Boot { return b + Boot(length) }

// Sub returns the duration from other to b.
func (b Boot) Sub(other Boot) time.Duration { return time.Duration(b - other) }
