package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bramleyhatch/bramleyhatch/internal/limit"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const step = 100 * time.Millisecond

// entries is a number of entries that hear each other's demands after a lag.
type entries struct {
	all  []*limit.Limiter
	now  time.Time
	told []tell
}

type tell struct {
	demands []*peerpb.Demand
	at      time.Time
}

func newEntries(n int) *entries {
	e := &entries{now: time.Unix(1_000_000, 0)}
	for i := range n {
		e.all = append(e.all, &limit.Limiter{Self: fmt.Sprintf("e%d", i), Entries: n, Settle: 2 * time.Second})
	}
	return e
}

// run lets time pass; each step every entry gets its arrivals, and admitted
// requests end at once. It returns those admitted by entry.
func (e *entries) run(length time.Duration, limits limit.Limits, arrivals ...int) []int {
	admitted := make([]int, len(e.all))
	for end := e.now.Add(length); e.now.Before(end); e.now = e.now.Add(step) {
		for i, one := range e.all {
			for range arrivals[i] {
				if one.Admit("astana", limits, 100, e.now).Limit == "" {
					admitted[i]++
					one.Finish("astana", 100, 100)
				}
			}
		}
		e.gossip()
	}
	return admitted
}

// gossip tells each second's demands to all entries one second later.
func (e *entries) gossip() {
	if e.now.UnixMilli()%1000 == 0 {
		var demands []*peerpb.Demand
		for _, one := range e.all {
			demands = append(demands, one.Demands(e.now)...)
		}
		e.told = append(e.told, tell{demands: demands, at: e.now.Add(time.Second)})
	}
	for len(e.told) > 0 && !e.told[0].at.After(e.now) {
		for _, one := range e.all {
			one.Receive(e.told[0].demands, e.now)
		}
		e.told = e.told[1:]
	}
}

func sum(all []int) int {
	total := 0
	for _, one := range all {
		total += one
	}
	return total
}

func mustBeBetween(t *testing.T, least, most, value int) {
	t.Helper()
	must.GreaterEq(t, least, value)
	must.LessEq(t, most, value)
}

func TestRateIsSharedByDemand(t *testing.T) {
	// An account may send 30 requests a second. Its batch job sends 100 through
	// one entry, a clerk 5 through another, the third gets none. A limit
	// divided evenly would give the batch job 10 and leave 15 unused.
	e := newEntries(3)
	limits := limit.Limits{Rate: 30}
	e.run(10*time.Second, limits, 10, 0, 0)
	admitted := e.run(20*time.Second, limits, 10, 0, 0)
	mustBeBetween(t, 560, 640, sum(admitted))
	e.run(10*time.Second, limits, 10, 1, 0)
	admitted = e.run(20*time.Second, limits, 10, 1, 0)
	mustBeBetween(t, 560, 660, sum(admitted))
	mustBeBetween(t, 150, 200, admitted[1])
}

func TestRateRisesOnlyOnceHeard(t *testing.T) {
	// All three entries get an account's rush at the same moment. None has
	// heard of the others: each that took the whole limit would triple it.
	e := newEntries(3)
	admitted := e.run(4*time.Second, limit.Limits{Rate: 30}, 10, 10, 10)
	must.LessEq(t, 4*30+30, sum(admitted))
}

func TestTokens(t *testing.T) {
	e := newEntries(1)
	limits := limit.Limits{Tokens: 60_000}
	e.run(20*time.Second, limits, 5)
	mustBeBetween(t, 180, 230, sum(e.run(20*time.Second, limits, 5)))
}

func TestConcurrency(t *testing.T) {
	one := &limit.Limiter{Self: "e0", Entries: 1}
	now := time.Unix(1_000_000, 0)
	limits := limit.Limits{Concurrency: 2}
	must.Eq(t, "", one.Admit("astana", limits, 1, now).Limit)
	must.Eq(t, "", one.Admit("astana", limits, 1, now).Limit)
	refused := one.Admit("astana", limits, 1, now)
	must.Eq(t, limit.Concurrency, refused.Limit)
	must.Positive(t, refused.Wait)
	must.Eq(t, "", one.Admit("salto", limits, 1, now).Limit)
	one.Finish("astana", 1, 1)
	must.Eq(t, "", one.Admit("astana", limits, 1, now).Limit)
}

func TestConcurrencyFewUnits(t *testing.T) {
	// An account may run 8 requests at a time and comes through 400 entries.
	// One unit for each entry would let 400 run.
	e := newEntries(400)
	limits := limit.Limits{Concurrency: 8}
	running := 0
	for range 100 {
		for _, one := range e.all {
			if one.Admit("astana", limits, 1, e.now).Limit == "" {
				running++
			}
		}
		e.gossip()
		e.now = e.now.Add(step)
		if e.now.Sub(time.Unix(1_000_000, 0)) < 5*time.Second {
			for _, one := range e.all {
				for range 400 {
					one.Finish("astana", 1, 1)
				}
			}
			running = 0
		}
	}
	mustBeBetween(t, 1, 40, running)
}

func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 400).Draw(t, "entries")
		limit0 := rapid.Float64Range(0.1, 1000).Draw(t, "limit")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 500), entries, entries).Draw(t, "demands")
		total, used := 0.0, 0.0
		for i := range demands {
			others := append(append([]float64{}, demands[:i]...), demands[i+1:]...)
			share := limit.Share(limit0, demands[i], demands[i], others, entries)
			total += share
			used += min(share, demands[i])
		}
		if total > 1.1*limit0+1e-6 {
			t.Fatalf("shares add up to %g of %g", total, limit0)
		}
		wanted := 0.0
		for _, demand := range demands {
			wanted += demand
		}
		if used < min(wanted, limit0)-1e-6 {
			t.Fatalf("%g used of %g while %g are wanted", used, limit0, wanted)
		}
	})
}
