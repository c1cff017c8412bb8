package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/limit"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	limitStep   = 100 * time.Millisecond
	limitLength = 120 * time.Second
	limitWindow = 50
	limitTell   = 500 * time.Millisecond
	limitRate   = 60.0
)

// limitsSize is the input of a measurement of limits.
type limitsSize struct {
	name    string
	entries int
	// lag is how long a demand takes to another entry, at most.
	lag time.Duration
	// settle is the time over which a rise comes to count.
	settle time.Duration
}

// LimitsToday measures how a plan's rate is kept over today's few entries.
func LimitsToday() Experiment {
	return limitsOf(limitsSize{name: "limits, 3 entries", entries: 3, lag: 2 * time.Second, settle: 1500 * time.Millisecond})
}

// Limits measures how a plan's rate is kept over many entries.
func Limits() Experiment {
	return limitsOf(limitsSize{name: "limits, 40 entries", entries: 40, lag: 4 * time.Second, settle: 2500 * time.Millisecond})
}

func limitsOf(size limitsSize) Experiment {
	return Experiment{Name: size.name, Run: func(seed uint64) []Result {
		var results []Result
		for _, policy := range limitPolicies(size) {
			results = append(results, newLimitsRun(size, policy, seed).measure())
		}
		return results
	}}
}

// admitter decides at one entry.
type admitter interface {
	admit(account string, now time.Time) bool
	// tell returns what the entry tells the others, learn takes it.
	tell(now time.Time) []*peerpb.Demand
	learn(demands []*peerpb.Demand, now time.Time)
}

type limitPolicy struct {
	name string
	make func(entry int) admitter
}

func limitPolicies(size limitsSize) []limitPolicy {
	shared := func(name string, settle time.Duration) limitPolicy {
		return limitPolicy{name: name, make: func(entry int) admitter {
			return &sharedLimit{Limiter: limit.Limiter{Self: fmt.Sprint("e", entry), Entries: size.entries, Settle: settle}}
		}}
	}
	return []limitPolicy{
		shared("shared by demand (chosen)", size.settle),
		shared("shared, rises counted slowly", 2*size.settle),
		shared("shared, rises not awaited", time.Nanosecond),
		{name: "divided evenly", make: func(int) admitter { return &fixedLimit{rate: limitRate / float64(size.entries)} }},
		{name: "whole limit at each entry", make: func(int) admitter { return &fixedLimit{rate: limitRate} }},
	}
}

// sharedLimit is the decision of the product.
type sharedLimit struct {
	limit.Limiter
}

func (s *sharedLimit) admit(account string, now time.Time) bool {
	if s.Admit(account, limit.Limits{Rate: limitRate}, 0, now).Limit != "" {
		return false
	}
	s.Finish(account, 0, 0)
	return true
}

func (s *sharedLimit) learn(demands []*peerpb.Demand, now time.Time) { s.Receive(demands, now) }
func (s *sharedLimit) tell(now time.Time) []*peerpb.Demand           { return s.Demands(now) }

// fixedLimit is a token bucket for each account, with one second's burst.
type fixedLimit struct {
	rate   float64
	levels map[string]float64
	last   map[string]time.Time
}

func (f *fixedLimit) admit(account string, now time.Time) bool {
	if f.levels == nil {
		f.levels, f.last = map[string]float64{}, map[string]time.Time{}
	}
	burst := max(1, f.rate)
	level := burst
	if last, ok := f.last[account]; ok {
		level = min(burst, f.levels[account]+f.rate*now.Sub(last).Seconds())
	}
	f.last[account] = now
	f.levels[account] = level
	if level < 1 {
		return false
	}
	f.levels[account]--
	return true
}

func (*fixedLimit) learn([]*peerpb.Demand, time.Time) {}
func (*fixedLimit) tell(time.Time) []*peerpb.Demand   { return nil }

// source is where an account's requests come from.
type source struct {
	account string
	// rate returns the requests a second at an entry.
	rate func(entry int, seconds float64) float64
}

// limitSources are a greedy account through one entry, a bursty one that comes
// through other entries each time, one rush at all entries at once, and a small one.
func limitSources(entries int) []source {
	part := func(total float64) float64 { return total / float64(entries) }
	return []source{
		{account: "greedy", rate: func(entry int, _ float64) float64 {
			if entry == 0 {
				return 5 * limitRate
			}
			return part(0.1 * limitRate)
		}},
		{account: "bursty", rate: func(entry int, seconds float64) float64 {
			if int(seconds)%30 < 10 && entry == int(seconds)/30%entries {
				return 0.9 * limitRate
			}
			return 0
		}},
		{account: "rush", rate: func(_ int, seconds float64) float64 {
			if int(seconds)%40 < 20 {
				return part(3 * limitRate)
			}
			return 0
		}},
		{account: "small", rate: func(int, float64) float64 { return part(0.2 * limitRate) }},
	}
}

// told is a message between entries.
type toldDemands struct {
	demands []*peerpb.Demand
	to      int
	at      time.Time
}

type limitsRun struct {
	limitsSize

	policy  limitPolicy
	random  *rand.Rand
	entries []admitter
	sent    []toldDemands
	now     time.Time
}

func newLimitsRun(size limitsSize, policy limitPolicy, seed uint64) *limitsRun {
	r := &limitsRun{limitsSize: size, policy: policy, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_000_000, 0)}
	for i := range size.entries {
		r.entries = append(r.entries, policy.make(i))
	}
	return r
}

// served counts one account in a step.
type served struct {
	wanted, admitted float64
}

func (r *limitsRun) measure() Result {
	sources := limitSources(r.limitsSize.entries)
	counts := make([][]served, len(sources))
	began := r.now
	for step := 0; r.now.Sub(began) < limitLength; step++ {
		seconds := r.now.Sub(began).Seconds()
		for i, source := range sources {
			counts[i] = append(counts[i], r.offer(source, seconds))
		}
		if r.now.Sub(began)%limitTell == 0 {
			r.tell()
		}
		r.deliver()
		r.now = r.now.Add(limitStep)
	}
	return r.result(counts)
}

func (r *limitsRun) offer(source source, seconds float64) served {
	var count served
	for i, entry := range r.entries {
		for range r.poisson(source.rate(i, seconds) * limitStep.Seconds()) {
			count.wanted++
			if entry.admit(source.account, r.now) {
				count.admitted++
			}
		}
	}
	return count
}

// poisson draws a number of arrivals.
func (r *limitsRun) poisson(expected float64) int {
	count := 0
	for at := r.random.ExpFloat64(); at < expected; at += r.random.ExpFloat64() {
		count++
	}
	return count
}

func (r *limitsRun) tell() {
	for i, entry := range r.entries {
		demands := entry.tell(r.now)
		if len(demands) == 0 {
			continue
		}
		for other := range r.entries {
			if other != i {
				lag := time.Duration(r.random.Float64() * float64(r.lag))
				r.sent = append(r.sent, toldDemands{demands: demands, to: other, at: r.now.Add(lag)})
			}
		}
	}
}

func (r *limitsRun) deliver() {
	kept := r.sent[:0]
	for _, one := range r.sent {
		if one.at.After(r.now) {
			kept = append(kept, one)
			continue
		}
		r.entries[one.to].learn(one.demands, r.now)
	}
	r.sent = kept
}

func (r *limitsRun) result(counts [][]served) Result {
	overshoot, unused, worst := 0.0, 0.0, 1.0
	for _, steps := range counts {
		over, idle, share := account(steps)
		overshoot = max(overshoot, over)
		unused = max(unused, idle)
		worst = min(worst, share)
	}
	return Result{Policy: r.policy.name, Figures: []Figure{
		{Name: "worst overshoot in 5 s", Value: overshoot},
		{Name: "unused while wanted", Value: unused},
		{Name: "worst account's share of its due", Value: worst},
	}}
}

// account returns, over windows of 5 s: by how much the admitted exceed the
// limit at worst, which part of the limit went unused while requests were
// refused, and which part of its due an account got.
func account(steps []served) (overshoot, unused, share float64) {
	due, got, idle, windows := 0.0, 0.0, 0.0, 0.0
	allowed := limitRate * limitWindow * limitStep.Seconds()
	for at := 0; at+limitWindow <= len(steps); at += limitWindow {
		var window served
		for _, step := range steps[at : at+limitWindow] {
			window.wanted += step.wanted
			window.admitted += step.admitted
		}
		overshoot = max(overshoot, window.admitted/allowed-1)
		idle += max(0, min(window.wanted, allowed)-window.admitted) / allowed
		due += min(window.wanted, allowed)
		got += min(window.admitted, allowed)
		windows++
	}
	return overshoot, idle / windows, got / max(1, due)
}
