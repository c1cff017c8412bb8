package admission

import (
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

const (
	// entrySamples is the number of last answers that must all be delayed before a pool counts as
	// overloaded. If a tenth of the answers of an idle pool is slow, this happens once in 10^8 answers.
	entrySamples = 8
	// medianSamples is the number of last answers whose upper median is the delay of an
	// overloaded pool.
	medianSamples = 4
	// medianTTL and sampleTTL bound the age of samples. A gateway that got fewer than minMedianSamples
	// within medianTTL takes the least of its samples, since the older ones may be out of date.
	medianTTL        = time.Second
	sampleTTL        = 5 * time.Second
	minMedianSamples = 3
	// minFullServers is the number of full servers among the last samples from which usual times count
	// at most as maxUsualShare of the target: a gateway that started in an overload knows only the times
	// of queued requests.
	minFullServers = 2
	maxUsualShare  = 0.25
)

// Delay estimates the queueing delay of a pool: the time that answers took less the usual time of
// their route. Both estimates tell a queue, which delays every answer, from a long service time, which
// delays only its own.
type Delay struct {
	samples []delaySample
	routes  map[string]*usualTime
}

// delaySample is the delay of an answer against the low and the high usual time of its route.
type delaySample struct {
	aboveLow, aboveHigh time.Duration
	// isFull is true for a server that was full.
	isFull bool
	at     clock.Boot
}

// RecordAnswer records the time of an answer. target is the latency target of its route.
func (d *Delay) RecordAnswer(route string, target, took time.Duration, isOverloaded bool, now clock.Boot) {
	usual := d.routes[route]
	if usual == nil {
		if d.routes == nil {
			d.routes = map[string]*usualTime{}
		}
		usual = &usualTime{}
		d.routes[route] = usual
	}
	usual.record(took, target, isOverloaded, now)
	low, high := usual.low, usual.high
	if longest := time.Duration(float64(target) * maxUsualShare); d.fullServers() >= minFullServers {
		low, high = min(low, longest), min(high, longest)
	}
	d.record(delaySample{aboveLow: took - low, aboveHigh: took - high, at: now})
}

// fullServers returns the number of full servers among the last samples.
func (d *Delay) fullServers() int {
	full := 0
	for _, sample := range d.samples {
		if sample.isFull {
			full++
		}
	}
	return full
}

// RecordFull records that a server was full, as a delay of twice the target.
func (d *Delay) RecordFull(target time.Duration, now clock.Boot) {
	d.record(delaySample{aboveLow: 2 * target, aboveHigh: 2 * target, isFull: true, at: now})
}

func (d *Delay) record(sample delaySample) {
	if len(d.samples) == entrySamples {
		d.samples = slices.Delete(d.samples, 0, 1)
	}
	d.samples = append(d.samples, sample)
}

// Entry returns the delay that decides whether a pool becomes overloaded: the least of the last
// answers against the high usual time, or 0 until enough are known.
func (d *Delay) Entry(now clock.Boot) time.Duration {
	if len(d.samples) < entrySamples || now.Sub(d.samples[0].at) > sampleTTL {
		return 0
	}
	least := slices.MinFunc(d.samples, func(a, b delaySample) int { return int(a.aboveHigh - b.aboveHigh) })
	return max(0, least.aboveHigh)
}

// Overloaded returns the delay of an overloaded pool: the upper median of the last answers against the low
// usual time.
func (d *Delay) Overloaded(now clock.Boot) time.Duration {
	var delays []time.Duration
	recent := 0
	for _, sample := range d.samples[max(0, len(d.samples)-medianSamples):] {
		age := now.Sub(sample.at)
		if age <= sampleTTL {
			delays = append(delays, sample.aboveLow)
		}
		if age <= medianTTL {
			recent++
		}
	}
	if len(delays) == 0 {
		return 0
	}
	slices.Sort(delays)
	if recent < minMedianSamples {
		return max(0, delays[0])
	}
	return max(0, delays[len(delays)/2])
}

// Usual returns the usual time of a route, or 0 if it is unknown.
func (d *Delay) Usual(route string) time.Duration {
	if usual := d.routes[route]; usual != nil {
		return usual.low
	}
	return 0
}
