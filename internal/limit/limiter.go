// Package limit holds the limits of plans over all entries without a call for
// each request: every entry tells the others what its callers demand, and works
// out from what it has heard which share of a limit is its own.
//
// The package does no input or output; the clock is handed in.
package limit

import (
	"math"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	// settleBase and settleStep give the settle time by the number of entries: a
	// demand that is passed on each second reaches twice as many with each pass.
	settleBase = time.Second
	settleStep = 250 * time.Millisecond
	// forget is how long a demand counts after it was last heard.
	forget = 45 * time.Second
	// repeatAfter is how often an unchanged demand is told again.
	repeatAfter = 10 * time.Second
	// changePart is the change of a demand that is told at once.
	changePart = 0.2
	// shareAge is how long a share is kept before it is worked out anew.
	shareAge = 200 * time.Millisecond
	// drawAge is how long an entry keeps its lot for a fraction of a unit.
	drawAge = 5 * time.Second
	// burst is the time whose share may be used at once.
	burst = time.Second
	// tokenBurst is the same for tokens, of which one request takes many.
	tokenBurst  = 10 * time.Second
	longestWait = time.Minute
	leastWait   = time.Second
	minute      = 60.0
)

// Limits are the limits of a plan over all entries; 0 sets none.
type Limits struct {
	// Rate is in requests a second.
	Rate float64
	// Concurrency is in requests at the same time.
	Concurrency int64
	// Tokens is in tokens a minute.
	Tokens int64
}

// Verdict is the answer to a request for admission.
type Verdict struct {
	// Limit names the limit that refuses; empty if the request is admitted.
	Limit string
	// Wait is when to come back.
	Wait time.Duration
}

// Names of the limits in a Verdict.
const (
	Rate        = "rate"
	Concurrency = "concurrency"
	Tokens      = "tokens"
)

// Limiter holds the limits of all accounts at one entry.
// Exported fields are set before the first call. It is not safe for concurrent use.
type Limiter struct {
	// Self names this entry.
	Self string
	// Settle is the time over which a rise of the demand comes to count; 0 takes
	// one that fits the number of entries.
	Settle time.Duration
	// Entries is the number of entries; it may change between calls.
	Entries int

	accounts map[string]*account
}

// Admit decides on a request of an account that takes about so many tokens.
// An admitted request is ended by Finish.
func (l *Limiter) Admit(name string, limits Limits, tokens int64, now time.Time) Verdict {
	if limits == (Limits{}) {
		return Verdict{}
	}
	a := l.account(name)
	a.demandRate.add(now, 1)
	a.demandTokens.add(now, float64(tokens)*minute)
	a.demandRunning.add(now, float64(a.running+1))
	shares := a.shares(limits, l.entries(), l.settle(), now)
	verdict := a.check(limits, shares, now)
	if verdict.Limit == "" {
		a.running++
		a.requests.level--
		a.tokens.level -= float64(tokens)
	}
	return verdict
}

// Demands returns the demands to tell the other entries: those that have
// changed, and from time to time all.
func (l *Limiter) Demands(now time.Time) []*peerpb.Demand {
	var told []*peerpb.Demand
	for name, a := range l.accounts {
		a.tell(l.Self, name, now)
		if a.told != nil {
			told = append(told, a.told)
		}
		if a.isIdle(now) {
			delete(l.accounts, name)
		}
	}
	return told
}

// Finish ends an admitted request that was taken to need so many tokens and used others.
func (l *Limiter) Finish(name string, tokens, used int64) {
	a := l.accounts[name]
	if a == nil {
		return
	}
	a.running = max(0, a.running-1)
	a.tokens.level += float64(tokens - used)
}

// Receive takes demands of other entries.
func (l *Limiter) Receive(demands []*peerpb.Demand, now time.Time) {
	for _, demand := range demands {
		if demand.GetEntry() != l.Self {
			l.account(demand.GetAccount()).learn(demand, now)
		}
	}
}

func (l *Limiter) account(name string) *account {
	if l.accounts == nil {
		l.accounts = map[string]*account{}
	}
	a := l.accounts[name]
	if a == nil {
		a = &account{others: map[string]heard{}}
		l.accounts[name] = a
	}
	return a
}

func (l *Limiter) entries() int { return max(1, l.Entries) }

func (l *Limiter) settle() time.Duration {
	if l.Settle == 0 {
		return settleBase + time.Duration(math.Log2(float64(l.entries()))*float64(settleStep))
	}
	return l.Settle
}

func clampWait(wait time.Duration) time.Duration {
	return min(longestWait, max(leastWait, wait))
}

func isChange(before, after float64) bool {
	return math.Abs(after-before) > changePart*max(before, 1)
}
