package admission

import (
	"math"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

const (
	// dropperIntegral is the fall of the logarithm of the admitted part in a second for a delay of
	// twice the set point. At an empty queue it rises by dropperFall in a second, since servers are
	// idle then.
	dropperIntegral = 2.0
	dropperFall     = 6.0
	// dropperFallFrom is the relative error from which the queue counts as empty.
	dropperFallFrom = -0.6
	// dropperProportional is the change of the logarithm at once for a delay of twice the set point.
	dropperProportional = 0.5
	// maxDropperError bounds the relative error, so that refusals "full" don't close a pool at once.
	maxDropperError = 3.0
	// maxDropperStep and maxDropperFallStep bound the time that one answer stands for.
	maxDropperStep     = 200 * time.Millisecond
	maxDropperFallStep = time.Second
	// staleAnswers is the time without an answer after which the drop probability decays, and
	// dropperDecay the rise of the logarithm in a second without answers: from 0.95 to 0 in 1 s.
	staleAnswers = 200 * time.Millisecond
	dropperDecay = 3.0
)

// Dropper computes the drop probability of one class from the queueing delay by a PI controller
// (PIE, RFC 8033). It controls the logarithm of the admitted part, since at ten times the capacity
// a change of the probability by 0.01 changes the load by a tenth of the capacity, and at twice the
// capacity by a fiftieth. The zero value admits all.
type Dropper struct {
	integral float64
	error    float64
	bound    float64
	at       clock.Boot
}

// Update takes over the delay after an answer. bound is the greatest probability.
func (d *Dropper) Update(delay, setPoint time.Duration, bound float64, now clock.Boot) {
	integral := d.integral + d.decayed(now)
	elapsed := now.Sub(d.at)
	d.at, d.bound = now, bound
	d.error = min(maxDropperError, float64(delay-setPoint)/float64(setPoint))
	gain, step := dropperIntegral, min(elapsed, maxDropperStep)
	if d.error < dropperFallFrom {
		gain, step = dropperFall, min(elapsed, maxDropperFallStep)
	}
	integral -= gain * d.error * step.Seconds()
	d.integral = min(0, max(math.Log(1-bound), integral))
}

// Probability returns the drop probability.
func (d *Dropper) Probability(now clock.Boot) float64 {
	admitted := d.integral - dropperProportional*d.error + d.decayed(now)
	return min(d.bound, max(0, 1-math.Exp(admitted)))
}

// decayed returns the rise of the logarithm since answers are missing.
func (d *Dropper) decayed(now clock.Boot) float64 {
	return dropperDecay * max(0, now.Sub(d.at)-staleAnswers).Seconds()
}
