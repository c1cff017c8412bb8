package admission

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// setPointShares are the set points of the delay as shares of the latency target: scorers yield first,
// then callers from the lowest priority. The delay varies by about as much as its set point, and the
// service time follows it: a set point of 0.34 made up to a tenth of the answers late.
var setPointShares = [...]float64{0.30, 0.24, 0.20, 0.14}

const (
	// maxProbability leaves some requests that measure the delay.
	maxProbability = 0.95
	// minMeasuring is the rate of admitted requests (1/s) that is enough to measure the delay. At a
	// gateway with more than 50 arrivals a second the bound of the drop probability is higher:
	// at ten times the capacity, with refused callers that come back, a twentieth of all requests is
	// more than the servers can run.
	minMeasuring = 2.5
)

const (
	// entryShare is the delay from which a pool is overloaded as a share of the target. Queues of a busy
	// pool with long service times pass 0.14 now and then, and were not seen to pass 0.19.
	entryShare = 0.19
	// scorerLevel is the index of the scorers' set point.
	scorerLevel = len(setPointShares) - 1
	// surplusLevel is that of callers of the lowest priority.
	surplusLevel = scorerLevel - 1
)

// callerLevel returns the index of a priority's set point.
func callerLevel(priority int) int { return min(max(0, priority), surplusLevel) }

func level(class Class, priority int) int {
	if class == Scorers {
		return scorerLevel
	}
	return callerLevel(priority)
}

func setPoint(target time.Duration, class Class, priority int) time.Duration {
	return time.Duration(float64(target) * setPointShares[level(class, priority)])
}

// pool is the state of one pool at this gateway.
type pool struct {
	target       time.Duration
	delay        Delay
	droppers     [len(setPointShares)]Dropper
	shares       Shares
	budget       Budget
	window       Window
	retryAfter   RetryAfter
	isFull       bool
	fullAt       clock.Boot
	scorerWindow int
}

// update passes the delay to the droppers after an answer.
func (p *pool) update(now clock.Boot) {
	if p.target <= 0 {
		return
	}
	entry := p.delay.Entry(now)
	isEntered := p.isDropping(now) || entry > time.Duration(float64(p.target)*entryShare)
	for i := range p.droppers {
		setPoint := time.Duration(float64(p.target) * setPointShares[i])
		delay := p.delayFor(i, now)
		if !isEntered {
			delay = min(delay, setPoint)
		}
		p.droppers[i].Update(delay, setPoint, p.bound(now), now)
	}
}

// delayFor returns the queueing delay by the estimate that applies to a level: whether requests of the
// level are dropped already.
func (p *pool) delayFor(level int, now clock.Boot) time.Duration {
	if p.droppers[level].Probability(now) > 0 {
		return p.delay.Overloaded(now)
	}
	return p.delay.Entry(now)
}

// bound returns the greatest drop probability.
func (p *pool) bound(now clock.Boot) float64 {
	return max(maxProbability, 1-minMeasuring/max(1, p.retryAfter.arrivalRate(now)))
}

func (p *pool) isOverloaded(now clock.Boot) bool {
	if p.isFull && now.Sub(p.fullAt) < staleAnswers {
		return true
	}
	return p.isDropping(now)
}

// isDropping reports whether callers of any priority are dropped.
func (p *pool) isDropping(now clock.Boot) bool {
	for i := range scorerLevel {
		if p.droppers[i].Probability(now) > 0 {
			return true
		}
	}
	return false
}

func (p *pool) decide(request Request, random func() float64, now clock.Boot) Decision {
	level := level(request.Class, request.Priority)
	decision := Decision{Admitted: true, Delay: p.delayFor(level, now), Probability: p.probability(request, level, now)}
	switch {
	case p.droppers[level].Probability(now) <= 0 && decision.Probability <= 0:
	case p.delay.Usual(request.Route)+decision.Delay > request.Left:
		decision.Admitted, decision.Reason = false, ReasonLate
	case random() < decision.Probability:
		decision.Admitted, decision.Reason = false, ReasonDropped
	}
	return decision
}

// probability returns the drop probability of a request. The surplus of accounts far above the median
// yields like the lowest priority: the other accounts lose nothing while dropping the surplus is enough.
func (p *pool) probability(request Request, level int, now clock.Boot) float64 {
	probability, bound := 0.0, p.bound(now)
	if dropped := p.droppers[level].Probability(now); dropped > 0 {
		probability = p.shares.Probability(request.Account, dropped, bound, now)
	}
	if dropped := p.droppers[surplusLevel].Probability(now); dropped > 0 {
		probability = max(probability, p.shares.Surplus(request.Account, dropped, bound, now))
	}
	if isReturned(request) {
		probability = returnedProbability(probability, bound)
	}
	return probability
}

// isReturned reports whether a request was refused before: its caller has less time left than the
// route's timeout.
func isReturned(request Request) bool {
	return float64(request.Left) < (1-returnedPart)*float64(request.Timeout)
}

// returnedProbability halves the drop probability of a request that was refused before. If all refused
// callers come back, half the probability alone would admit more than half of all callers, whatever
// the overload is. The advantage therefore ends at the bound of the probability.
func returnedProbability(probability, bound float64) float64 {
	return max(probability/2, 2*probability-bound)
}
