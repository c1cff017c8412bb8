package limit

import (
	"math"
	"time"
)

// meterWindow is the time over which a meter averages.
const meterWindow = 2 * time.Second

// meter estimates a rate per second from events. The rate of the zero value is 0.
type meter struct {
	rate float64
	last time.Time
}

func (m *meter) add(now time.Time, amount float64) {
	m.rate = m.read(now) + amount/meterWindow.Seconds()
	m.last = now
}

func (m *meter) read(now time.Time) float64 {
	return m.rate * math.Exp(-now.Sub(m.last).Seconds()/meterWindow.Seconds())
}

// peak is a level that follows increases at once and decays exponentially. The level of the zero
// value is 0.
type peak struct {
	level float64
	last  time.Time
}

func (p *peak) add(now time.Time, level float64) {
	p.level = max(p.read(now), level)
	p.last = now
}

func (p *peak) read(now time.Time) float64 {
	return p.level * math.Exp(-now.Sub(p.last).Seconds()/meterWindow.Seconds())
}
