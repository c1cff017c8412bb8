package admission

import (
	"math"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// counterTime is the time constant of counters. It is above the interval at which small accounts
// send and below the length of a burst.
const counterTime = 2 * time.Second

// counter counts events and forgets them exponentially.
type counter struct {
	count float64
	at    clock.Boot
}

func (c *counter) add(now clock.Boot) {
	c.count = c.value(now) + 1
	c.at = now
}

func (c *counter) value(now clock.Boot) float64 {
	return c.count * math.Exp(-now.Sub(c.at).Seconds()/counterTime.Seconds())
}
