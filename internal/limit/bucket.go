package limit

import "time"

// bucket is a token bucket whose rate may change between calls.
// The zero value starts at the level given to the first fill.
type bucket struct {
	level float64
	last  time.Time
}

// fill adds the tokens accrued since the last call, up to the burst.
func (b *bucket) fill(now time.Time, rate, burst, start float64) {
	if b.last.IsZero() {
		b.level, b.last = start, now
	}
	b.level = min(burst, b.level+rate*now.Sub(b.last).Seconds())
	b.last = now
}

// until returns the time until the bucket's level reaches wanted.
func (b *bucket) until(wanted, rate float64) time.Duration {
	if b.level >= wanted {
		return 0
	}
	if rate <= 0 {
		return maxWait
	}
	return time.Duration((wanted - b.level) / rate * float64(time.Second))
}
