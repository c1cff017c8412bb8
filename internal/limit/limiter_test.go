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

// entries simulates entries that receive each other's demands with a delay.
type entries struct {
	all       []*limit.Limiter
	now       time.Time
	inTransit []message
}

type message struct {
	demands []*peerpb.Demand
	arrival time.Time
}

func newEntries(n int) *entries {
	e := &entries{now: time.Unix(1_000_000, 0)}
	for i := range n {
		e.all = append(e.all, &limit.Limiter{Self: fmt.Sprintf("e%d", i), Entries: n, Settle: 2 * time.Second})
	}
	return e
}

// run advances the time; in each step every entry receives its number of arrivals, and admitted
// requests end at once. It returns the number of admitted requests by entry.
func (e *entries) run(length time.Duration, limits limit.Limits, arrivals ...int) []int {
	admitted := make([]int, len(e.all))
	for end := e.now.Add(length); e.now.Before(end); e.now = e.now.Add(step) {
		for i, limiter := range e.all {
			for range arrivals[i] {
				if limiter.Admit("astana", limits, 100, e.now).Limit == "" {
					admitted[i]++
					limiter.Finish("astana", 100, 100)
				}
			}
		}
		e.gossip()
	}
	return admitted
}

// gossip collects the demands every second and delivers them one second later.
func (e *entries) gossip() {
	if e.now.UnixMilli()%1000 == 0 {
		var demands []*peerpb.Demand
		for _, limiter := range e.all {
			demands = append(demands, limiter.Demands(e.now)...)
		}
		e.inTransit = append(e.inTransit, message{demands: demands, arrival: e.now.Add(time.Second)})
	}
	for len(e.inTransit) > 0 && !e.inTransit[0].arrival.After(e.now) {
		for _, limiter := range e.all {
			limiter.Receive(e.inTransit[0].demands, e.now)
		}
		e.inTransit = e.inTransit[1:]
	}
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

func mustBeBetween(t *testing.T, low, high, value int) {
	t.Helper()
	must.GreaterEq(t, low, value)
	must.LessEq(t, high, value)
}

func TestRateIsSharedByDemand(t *testing.T) {
	// An account may send 30 requests per second. Its batch job sends 100 per second through the
	// first entry, a small caller 5 through the second, and the third entry receives none. A limit
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

func TestRateRisesOnlyOncePublished(t *testing.T) {
	// All three entries receive an account's burst at the same time, before they have received each
	// other's demands. If each entry admitted the whole limit, three times the limit would be
	// admitted.
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
	limiter := &limit.Limiter{Self: "e0", Entries: 1}
	now := time.Unix(1_000_000, 0)
	limits := limit.Limits{Concurrency: 2}
	must.Eq(t, "", limiter.Admit("astana", limits, 1, now).Limit)
	must.Eq(t, "", limiter.Admit("astana", limits, 1, now).Limit)
	refused := limiter.Admit("astana", limits, 1, now)
	must.Eq(t, limit.Concurrency, refused.Limit)
	must.Positive(t, refused.Wait)
	must.Eq(t, "", limiter.Admit("salto", limits, 1, now).Limit)
	limiter.Finish("astana", 1, 1)
	must.Eq(t, "", limiter.Admit("astana", limits, 1, now).Limit)
}

func TestConcurrencyFewUnits(t *testing.T) {
	// An account may run 8 concurrent requests and uses 400 entries. Rounding each entry's share up
	// to 1 would allow 400 concurrent requests.
	e := newEntries(400)
	limits := limit.Limits{Concurrency: 8}
	running := 0
	for range 100 {
		for _, limiter := range e.all {
			if limiter.Admit("astana", limits, 1, e.now).Limit == "" {
				running++
			}
		}
		e.gossip()
		e.now = e.now.Add(step)
		if e.now.Sub(time.Unix(1_000_000, 0)) < 5*time.Second {
			for _, limiter := range e.all {
				for range 400 {
					limiter.Finish("astana", 1, 1)
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
		limitValue := rapid.Float64Range(0.1, 1000).Draw(t, "limit")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 500), entries, entries).Draw(t, "demands")
		total, used := 0.0, 0.0
		for i := range demands {
			others := append(append([]float64{}, demands[:i]...), demands[i+1:]...)
			share := limit.Share(limitValue, demands[i], demands[i], others, entries)
			total += share
			used += min(share, demands[i])
		}
		if total > 1.1*limitValue+1e-6 {
			t.Fatalf("shares add up to %g, limit is %g", total, limitValue)
		}
		wanted := 0.0
		for _, demand := range demands {
			wanted += demand
		}
		if used < min(wanted, limitValue)-1e-6 {
			t.Fatalf("shares used add up to %g, limit is %g, demand is %g", used, limitValue, wanted)
		}
	})
}
