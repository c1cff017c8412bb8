package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/limit"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	limitStep         = 100 * time.Millisecond
	limitDuration     = 120 * time.Second
	limitWindowSteps  = 50
	limitSendInterval = 500 * time.Millisecond
	limitRate         = 60.0
)

// limitsParams are the parameters of a limits experiment.
type limitsParams struct {
	name    string
	entries int
	// lag is the maximum delay of a demand message between entries.
	lag time.Duration
	// settle is the time over which an increase in demand takes effect.
	settle time.Duration
}

// LimitsToday measures how a plan's rate limit is enforced across the 3 entries in use today.
func LimitsToday() Experiment {
	return limitsExperiment(limitsParams{name: "limits, 3 entries", entries: 3, lag: 2 * time.Second, settle: 1500 * time.Millisecond})
}

// Limits measures how a plan's rate limit is enforced across many entries.
func Limits() Experiment {
	return limitsExperiment(limitsParams{name: "limits, 40 entries", entries: 40, lag: 4 * time.Second, settle: 2500 * time.Millisecond})
}

func limitsExperiment(params limitsParams) Experiment {
	return Experiment{Name: params.name, Run: func(seed uint64) []Result {
		var results []Result
		for _, policy := range limitPolicies(params) {
			results = append(results, newLimitsRun(params, policy, seed).run())
		}
		return results
	}}
}

// admitter enforces the limit at one entry.
type admitter interface {
	admit(account string, now time.Time) bool
	// demands returns the demands that the entry sends to the other entries, which pass them to
	// mergeDemands.
	demands(now time.Time) []*peerpb.Demand
	mergeDemands(demands []*peerpb.Demand, now time.Time)
}

type limitPolicy struct {
	name        string
	newAdmitter func(entry int) admitter
}

func limitPolicies(params limitsParams) []limitPolicy {
	sharedPolicy := func(name string, settle time.Duration) limitPolicy {
		return limitPolicy{name: name, newAdmitter: func(entry int) admitter {
			return &sharedLimit{Limiter: limit.Limiter{Self: fmt.Sprint("e", entry), Entries: params.entries, Settle: settle}}
		}}
	}
	return []limitPolicy{
		sharedPolicy("shared by demand (chosen)", params.settle),
		sharedPolicy("shared, rises counted slowly", 2*params.settle),
		sharedPolicy("shared, rises not awaited", time.Nanosecond),
		{name: "divided evenly", newAdmitter: func(int) admitter { return &fixedLimit{rate: limitRate / float64(params.entries)} }},
		{name: "whole limit at each entry", newAdmitter: func(int) admitter { return &fixedLimit{rate: limitRate} }},
	}
}

// sharedLimit is the limiter used in production.
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

func (s *sharedLimit) mergeDemands(demands []*peerpb.Demand, now time.Time) { s.Receive(demands, now) }
func (s *sharedLimit) demands(now time.Time) []*peerpb.Demand               { return s.Demands(now) }

// fixedLimit is a token bucket for each account with a burst of one second.
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

func (*fixedLimit) mergeDemands([]*peerpb.Demand, time.Time) {}
func (*fixedLimit) demands(time.Time) []*peerpb.Demand       { return nil }

// trafficSource generates the requests of one account.
type trafficSource struct {
	account string
	// rate returns the requests per second at an entry.
	rate func(entry int, seconds float64) float64
}

// trafficSources returns a greedy account mostly at one entry, a bursty account that changes
// entries with each burst, an account with simultaneous bursts at all entries, and a small account.
func trafficSources(entries int) []trafficSource {
	perEntry := func(total float64) float64 { return total / float64(entries) }
	return []trafficSource{
		{account: "greedy", rate: func(entry int, _ float64) float64 {
			if entry == 0 {
				return 5 * limitRate
			}
			return perEntry(0.1 * limitRate)
		}},
		{account: "bursty", rate: func(entry int, seconds float64) float64 {
			if int(seconds)%30 < 10 && entry == int(seconds)/30%entries {
				return 0.9 * limitRate
			}
			return 0
		}},
		{account: "rush", rate: func(_ int, seconds float64) float64 {
			if int(seconds)%40 < 20 {
				return perEntry(3 * limitRate)
			}
			return 0
		}},
		{account: "small", rate: func(int, float64) float64 { return perEntry(0.2 * limitRate) }},
	}
}

// demandMessage carries demands from one entry to another.
type demandMessage struct {
	demands   []*peerpb.Demand
	to        int
	deliverAt time.Time
}

type limitsRun struct {
	limitsParams

	policy   limitPolicy
	random   *rand.Rand
	entries  []admitter
	inFlight []demandMessage
	now      time.Time
}

func newLimitsRun(params limitsParams, policy limitPolicy, seed uint64) *limitsRun {
	r := &limitsRun{limitsParams: params, policy: policy, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_000_000, 0)}
	for i := range params.entries {
		r.entries = append(r.entries, policy.newAdmitter(i))
	}
	return r
}

// requestCounts counts the requests of one account in a step or window.
type requestCounts struct {
	wanted, admitted float64
}

func (r *limitsRun) run() Result {
	sources := trafficSources(r.limitsParams.entries)
	counts := make([][]requestCounts, len(sources))
	began := r.now
	for step := 0; r.now.Sub(began) < limitDuration; step++ {
		seconds := r.now.Sub(began).Seconds()
		for i, source := range sources {
			counts[i] = append(counts[i], r.sendRequests(source, seconds))
		}
		if r.now.Sub(began)%limitSendInterval == 0 {
			r.sendDemands()
		}
		r.deliverDemands()
		r.now = r.now.Add(limitStep)
	}
	return r.result(counts)
}

func (r *limitsRun) sendRequests(source trafficSource, seconds float64) requestCounts {
	var count requestCounts
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

// poisson draws a Poisson-distributed number of arrivals.
func (r *limitsRun) poisson(expected float64) int {
	count := 0
	for at := r.random.ExpFloat64(); at < expected; at += r.random.ExpFloat64() {
		count++
	}
	return count
}

func (r *limitsRun) sendDemands() {
	for i, entry := range r.entries {
		demands := entry.demands(r.now)
		if len(demands) == 0 {
			continue
		}
		for other := range r.entries {
			if other != i {
				lag := time.Duration(r.random.Float64() * float64(r.lag))
				r.inFlight = append(r.inFlight, demandMessage{demands: demands, to: other, deliverAt: r.now.Add(lag)})
			}
		}
	}
}

func (r *limitsRun) deliverDemands() {
	kept := r.inFlight[:0]
	for _, message := range r.inFlight {
		if message.deliverAt.After(r.now) {
			kept = append(kept, message)
			continue
		}
		r.entries[message.to].mergeDemands(message.demands, r.now)
	}
	r.inFlight = kept
}

func (r *limitsRun) result(counts [][]requestCounts) Result {
	overshoot, unused, worst := 0.0, 0.0, 1.0
	for _, steps := range counts {
		accountOvershoot, accountUnused, accountShare := accountFigures(steps)
		overshoot = max(overshoot, accountOvershoot)
		unused = max(unused, accountUnused)
		worst = min(worst, accountShare)
	}
	return Result{Policy: r.policy.name, Figures: []Figure{
		{Name: "worst overshoot in 5 s", Value: overshoot},
		{Name: "unused while wanted", Value: unused},
		{Name: "worst account's share of its due", Value: worst},
	}}
}

// accountFigures returns three shares over windows of 5 s: the worst excess of the admitted
// requests over the limit, the part of the limit left unused while requests were refused, and the
// part of its entitlement that the account received.
func accountFigures(steps []requestCounts) (overshoot, unused, share float64) {
	due, served, unusedSum, windows := 0.0, 0.0, 0.0, 0.0
	allowed := limitRate * limitWindowSteps * limitStep.Seconds()
	for at := 0; at+limitWindowSteps <= len(steps); at += limitWindowSteps {
		var window requestCounts
		for _, step := range steps[at : at+limitWindowSteps] {
			window.wanted += step.wanted
			window.admitted += step.admitted
		}
		overshoot = max(overshoot, window.admitted/allowed-1)
		unusedSum += max(0, min(window.wanted, allowed)-window.admitted) / allowed
		due += min(window.wanted, allowed)
		served += min(window.admitted, allowed)
		windows++
	}
	return overshoot, unusedSum / windows, served / max(1, due)
}
