package admission

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// Reasons of refusals.
const (
	// ReasonDropped refuses by the drop probability.
	ReasonDropped = "dropped"
	// ReasonLate refuses a request whose expected end is past its deadline.
	ReasonLate = "late"
)

// returnedPart is the part of a route's timeout that has passed if a caller comes back after a refusal.
const returnedPart = 0.1

// Controller decides which requests to the overloaded pools of a gateway are admitted. The zero value
// is usable, and all methods are safe for concurrent use.
type Controller struct {
	// Random draws; nil uses the global source.
	Random *rand.Rand

	mutex sync.Mutex
	pools map[string]*pool
}

// PoolState is the state of a pool for metrics.
type PoolState struct {
	Pool         string
	IsOverloaded bool
	// Probability is the drop probability of callers of the highest priority.
	Probability float64
	Delay       time.Duration
	// ScorerWindow is the last result of Controller.ScorerWindow.
	ScorerWindow int
}

// Admit decides on a request before its first try.
func (c *Controller) Admit(request Request, now clock.Boot) Decision {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if request.Target <= 0 {
		return Decision{Admitted: true}
	}
	p := c.pool(request.Pool)
	p.target = request.Target
	p.shares.RecordArrival(request.Account, now)
	decision := p.decide(request, c.random, now)
	p.retryAfter.RecordDecision(decision.Admitted, now)
	if decision.Admitted {
		p.budget.RecordTry()
	}
	decision.RetryAfter = p.retryAfter.Draw(request, c.random(), now)
	return decision
}

// RecordTry records the first try of a request that Admit doesn't decide on, such as a call of a scorer.
func (c *Controller) RecordTry(pool string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pool(pool).budget.RecordTry()
}

// RecordAnswer records the time that a server took for an answer.
func (c *Controller) RecordAnswer(pool, route string, target, took time.Duration, now clock.Boot) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pool(pool)
	if p.target == 0 {
		p.target = target
	}
	p.delay.RecordAnswer(route, target, took, p.isDropping(now), now)
	p.update(now)
}

// RecordFull records that a server refused a request since it was full.
func (c *Controller) RecordFull(pool string, now clock.Boot) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pool(pool)
	p.isFull, p.fullAt = true, now
	p.delay.RecordFull(p.target, now)
	p.update(now)
}

// MayRetry reports whether a request may be tried again. It takes a token if the pool is overloaded.
func (c *Controller) MayRetry(pool string, now clock.Boot) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pool(pool)
	return !p.isOverloaded(now) || p.budget.Take()
}

// IsOverloaded reports whether a pool drops requests or had a full server recently.
func (c *Controller) IsOverloaded(pool string, now clock.Boot) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pool(pool).isOverloaded(now)
}

// IsDropping reports whether callers of any priority are dropped.
func (c *Controller) IsDropping(pool string, now clock.Boot) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pool(pool).isDropping(now)
}

// ScorerWindow returns the limit of the process's concurrent scorer calls to a pool. slots are those
// of the servers that answer, owners the processes that own open batches for the pool's scorers.
func (c *Controller) ScorerWindow(pool string, slots, owners int, now clock.Boot) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pool(pool)
	isAbove := p.target > 0 && p.delayFor(scorerLevel, now) > setPoint(p.target, Scorers, 0)
	p.scorerWindow = p.window.Size(slots, owners, isAbove, now)
	return p.scorerWindow
}

// Pools returns the states of all pools, ordered by name.
func (c *Controller) Pools(now clock.Boot) []PoolState {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	states := make([]PoolState, 0, len(c.pools))
	for name, p := range c.pools {
		states = append(states, PoolState{
			Pool: name, IsOverloaded: p.isOverloaded(now), Probability: p.droppers[callerLevel(0)].Probability(now),
			Delay: p.delayFor(callerLevel(0), now), ScorerWindow: p.scorerWindow,
		})
	}
	slices.SortFunc(states, func(a, b PoolState) int { return strings.Compare(a.Pool, b.Pool) })
	return states
}

func (c *Controller) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		if c.pools == nil {
			c.pools = map[string]*pool{}
		}
		p = &pool{}
		c.pools[name] = p
	}
	return p
}

func (c *Controller) random() float64 {
	if c.Random == nil {
		return rand.Float64()
	}
	return c.Random.Float64()
}
