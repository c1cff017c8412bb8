package limit

import (
	"math"
	"time"
)

// meterTime is the time over which a meter averages.
const meterTime = 2 * time.Second

// meter estimates a rate, each second, from events. Its zero value reads 0.
type meter struct {
	rate float64
	last time.Time
}

// add counts events.
func (m *meter) add(now time.Time, amount float64) {
	m.rate = m.read(now) + amount/meterTime.Seconds()
	m.last = now
}

// read returns the rate.
func (m *meter) read(now time.Time) float64 {
	return m.rate * math.Exp(-now.Sub(m.last).Seconds()/meterTime.Seconds())
}

// peak follows a level up at once and down slowly. Its zero value reads 0.
type peak struct {
	level float64
	last  time.Time
}

func (p *peak) add(now time.Time, level float64) {
	p.level = max(p.read(now), level)
	p.last = now
}

func (p *peak) read(now time.Time) float64 {
	return p.level * math.Exp(-now.Sub(p.last).Seconds()/meterTime.Seconds())
}
