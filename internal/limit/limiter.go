// Package limit enforces the limits of plans across all entries without a remote
// call for each request. Every entry publishes the demand of its callers and
// computes its own share of a limit from the demands that it has received.
//
// The package does no I/O; callers pass in the time.
package limit

import (
	"math"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	// settleBase and settleStep define the settle time as a function of the number of entries:
	// demands are gossiped every second, and each round doubles the number of entries that have
	// received a demand.
	settleBase = time.Second
	settleStep = 250 * time.Millisecond
	// demandTTL is how long another entry's demand counts after it was last received.
	demandTTL = 45 * time.Second
	// republishInterval is how often an unchanged demand is published again.
	republishInterval = 10 * time.Second
	// changeThreshold is the relative change of a demand that is published at once.
	changeThreshold = 0.2
	// shareInterval is how long a share is kept before it is recomputed.
	shareInterval = 200 * time.Millisecond
	// roundingInterval is how long an entry keeps its random draw for rounding.
	roundingInterval = 5 * time.Second
	// rateBurst is the burst size of a request rate, as the time in which the rate yields that many
	// requests.
	rateBurst = time.Second
	// tokenBurst is the burst size of a token rate, as the time in which the rate yields that many
	// tokens. It is longer, since a single request needs many tokens.
	tokenBurst       = 10 * time.Second
	maxWait          = time.Minute
	minWait          = time.Second
	secondsPerMinute = 60.0
)

// Limits are the limits of a plan across all entries; 0 means unlimited.
type Limits struct {
	// Rate is in requests per second.
	Rate float64
	// Concurrency is in concurrent requests.
	Concurrency int64
	// Tokens is in tokens per minute.
	Tokens int64
}

// Verdict is the answer to a request for admission.
type Verdict struct {
	// Limit is the name of the exceeded limit; empty if the request is admitted.
	Limit string
	// Wait is the time after which to retry.
	Wait time.Duration
}

// Names of the limits in a Verdict.
const (
	Rate        = "rate"
	Concurrency = "concurrency"
	Tokens      = "tokens"
)

// Limiter enforces the limits of all accounts at one entry.
// Exported fields are set before the first call. It is not safe for concurrent use.
type Limiter struct {
	// Self is the name of this entry.
	Self string
	// Settle is the time until an increase of the demand counts in full; 0 derives the time from
	// the number of entries.
	Settle time.Duration
	// Entries is the current number of entries; callers may change it between calls.
	Entries int

	accounts map[string]*account
}

// Admit decides whether to admit a request of an account, given an estimate of the request's
// tokens. Finish must be called for each admitted request.
func (l *Limiter) Admit(name string, limits Limits, tokens int64, now time.Time) Verdict {
	if limits == (Limits{}) {
		return Verdict{}
	}
	a := l.account(name)
	a.demandRate.add(now, 1)
	a.demandTokens.add(now, float64(tokens)*secondsPerMinute)
	a.demandRunning.add(now, float64(a.running+1))
	shares := a.shares(limits, l.entryCount(), l.settleTime(), now)
	verdict := a.check(limits, shares, now)
	if verdict.Limit == "" {
		a.running++
		a.requests.level--
		a.tokens.level -= float64(tokens)
	}
	return verdict
}

// Demands returns the demands to send to the other entries, after updating those that have changed
// or are due to be repeated.
func (l *Limiter) Demands(now time.Time) []*peerpb.Demand {
	var demands []*peerpb.Demand
	for name, a := range l.accounts {
		a.publish(l.Self, name, now)
		if a.published != nil {
			demands = append(demands, a.published)
		}
		if a.isIdle(now) {
			delete(l.accounts, name)
		}
	}
	return demands
}

// Finish records the end of an admitted request; tokens is the estimate given to Admit, used is the
// actual number of tokens.
func (l *Limiter) Finish(name string, tokens, used int64) {
	a := l.accounts[name]
	if a == nil {
		return
	}
	a.running = max(0, a.running-1)
	a.tokens.level += float64(tokens - used)
}

// Receive stores demands received from other entries.
func (l *Limiter) Receive(demands []*peerpb.Demand, now time.Time) {
	for _, demand := range demands {
		if demand.GetEntry() != l.Self {
			l.account(demand.GetAccount()).receive(demand, now)
		}
	}
}

func (l *Limiter) account(name string) *account {
	if l.accounts == nil {
		l.accounts = map[string]*account{}
	}
	a := l.accounts[name]
	if a == nil {
		a = &account{others: map[string]timedDemand{}}
		l.accounts[name] = a
	}
	return a
}

func (l *Limiter) entryCount() int { return max(1, l.Entries) }

func (l *Limiter) settleTime() time.Duration {
	if l.Settle == 0 {
		return settleBase + time.Duration(math.Log2(float64(l.entryCount()))*float64(settleStep))
	}
	return l.Settle
}

func clampWait(wait time.Duration) time.Duration {
	return min(maxWait, max(minWait, wait))
}

func isSignificantChange(before, after float64) bool {
	return math.Abs(after-before) > changeThreshold*max(before, 1)
}
