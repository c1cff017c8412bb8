package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/weight"
)

// Sizes of the weights' experiment: the letter's samplers, and a weight store
// that carries weightsRate full-speed fetches at the same time.
const (
	weightsSamplers = 930
	weightsZones    = 7
	weightsTick     = 50 * time.Millisecond
	weightsRate     = 120.0
	weightsFetch    = 1.5
	weightsLoad     = 0.5
	weightsFails    = 0.02
	weightsLimit    = 5 * time.Minute
	weightsShare    = 0.34
	weightsLag      = time.Second
)

// Weights measures how new weights reach all samplers of a model.
func Weights() Experiment {
	policies := []weightsPolicy{
		{name: "waves", share: weightsShare},
		{name: "all at once", share: 1, fixed: weightsSamplers},
		{name: "one at a time", share: 1, fixed: 1},
	}
	return Experiment{Name: "Weights", Run: func(seed uint64) []Result {
		var results []Result
		for _, policy := range policies {
			results = append(results, newWeightsRun(policy, seed).run())
		}
		return results
	}}
}

type weightsPolicy struct {
	name  string
	share float64
	// fixed orders that many at a time instead of what the wave says.
	fixed int
}

// weightsSampler fetches and then loads.
type weightsSampler struct {
	server  string
	zone    string
	version uint64
	// left is the fetch time still needed at full speed, then the load time.
	left    float64
	loading bool
	busy    bool
	fails   bool
}

type weightsRun struct {
	policy   weightsPolicy
	random   *rand.Rand
	now      time.Time
	start    time.Time
	wave     *weight.Wave
	samplers []*weightsSampler
	// zones counts the samplers of each zone.
	zones  map[string]int
	done   []float64
	least  float64
	lost   float64
	worst  float64
	orders int
}

func newWeightsRun(policy weightsPolicy, seed uint64) *weightsRun {
	run := &weightsRun{
		policy: policy,
		random: rand.New(rand.NewPCG(seed, 2)),
		now:    time.Unix(1000, 0),
		start:  time.Unix(1000, 0),
		wave:   &weight.Wave{Schedule: weight.Schedule{Share: policy.share, Lag: weightsLag}},
		zones:  map[string]int{},
		least:  1,
		worst:  1,
	}
	for i := range weightsSamplers {
		zone := fmt.Sprintf("z%d", i%weightsZones)
		run.zones[zone]++
		run.samplers = append(run.samplers, &weightsSampler{server: fmt.Sprintf("s%04d", i), zone: zone, version: 1})
	}
	return run
}

func (r *weightsRun) run() Result {
	r.wave.Announce(2)
	for len(r.done) < weightsSamplers && r.now.Sub(r.start) < weightsLimit {
		r.observe()
		r.order()
		r.advance()
		r.now = r.now.Add(weightsTick)
		r.measure()
	}
	return Result{Policy: r.policy.name, Figures: []Figure{
		{Name: "s until all", Value: r.now.Sub(r.start).Seconds()},
		{Name: "s until half", Value: quantileOf(r.done, 0.5)},
		{Name: "samplers left", Value: float64(weightsSamplers - len(r.done))},
		{Name: "least capacity share", Value: r.least},
		{Name: "least of a zone", Value: r.worst},
		{Name: "sampler seconds lost", Value: r.lost},
		{Name: "orders", Value: float64(r.orders)},
	}}
}

func (r *weightsRun) observe() {
	live := make([]weight.Sampler, 0, len(r.samplers))
	for _, one := range r.samplers {
		live = append(live, weight.Sampler{Server: one.server, Zone: one.zone, Version: one.version})
	}
	r.wave.Observe(live, r.now)
}

// order starts changes, as the wave says or a fixed number at a time.
func (r *weightsRun) order() {
	busy := 0
	for _, one := range r.samplers {
		if one.busy {
			busy++
		}
	}
	if r.policy.fixed == 0 {
		for _, server := range r.wave.Next(r.now) {
			at := slices.IndexFunc(r.samplers, func(one *weightsSampler) bool { return one.server == server })
			r.begin(r.samplers[at])
		}
		return
	}
	for _, one := range r.samplers {
		if busy < r.policy.fixed && !one.busy && one.version < 2 {
			r.begin(one)
			busy++
		}
	}
}

func (r *weightsRun) begin(one *weightsSampler) {
	one.busy, one.loading = true, false
	one.left = weightsFetch
	one.fails = r.random.Float64() < weightsFails
	r.orders++
}

// advance shares the weight store's rate among the fetches.
func (r *weightsRun) advance() {
	fetching := 0
	for _, one := range r.samplers {
		if one.busy && !one.loading {
			fetching++
		}
	}
	speed := min(1, weightsRate/float64(max(1, fetching)))
	for _, one := range r.samplers {
		if one.busy {
			r.change(one, speed)
		}
	}
}

func (r *weightsRun) change(one *weightsSampler, speed float64) {
	if one.loading {
		speed = 1
	}
	one.left -= speed * weightsTick.Seconds()
	if one.left > 0 {
		return
	}
	if !one.loading {
		one.loading, one.left = true, weightsLoad
		return
	}
	one.busy = false
	if one.fails {
		r.wave.Failed(one.server, r.now)
		return
	}
	one.version = 2
	r.wave.Done(one.server, 2, r.now)
	r.done = append(r.done, r.now.Sub(r.start).Seconds())
}

// measure notes the capacity that is left: a sampler that changes counts as out.
func (r *weightsRun) measure() {
	busy := 0
	zones := map[string]int{}
	for _, one := range r.samplers {
		if one.busy {
			busy++
			zones[one.zone]++
		}
	}
	r.lost += float64(busy) * weightsTick.Seconds()
	r.least = min(r.least, 1-float64(busy)/weightsSamplers)
	for zone, count := range zones {
		r.worst = min(r.worst, 1-float64(count)/float64(r.zones[zone]))
	}
}
