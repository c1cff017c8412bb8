package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/weight"
)

// Parameters of the weights experiment: samplers of the design size, and a weight
// store that serves weightsStoreFetches concurrent fetches at full speed.
const (
	weightsSamplers     = 930
	weightsZones        = 7
	weightsTick         = 50 * time.Millisecond
	weightsStoreFetches = 120.0
	weightsFetchSeconds = 1.5
	weightsLoadSeconds  = 0.5
	weightsFailureShare = 0.02
	weightsTimeout      = 5 * time.Minute
	weightsShare        = 0.34
	weightsReportLag    = time.Second
)

// Weights compares policies for rolling out new weights to all samplers of a model.
func Weights() Experiment {
	policies := []weightsPolicy{
		{name: "waves", share: weightsShare},
		{name: "all at once", share: 1, parallel: weightsSamplers},
		{name: "one at a time", share: 1, parallel: 1},
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
	// parallel is the number of samplers changed at a time; 0 follows weight.Wave instead.
	parallel int
}

// weightsSampler changes versions by fetching and then loading the weights.
type weightsSampler struct {
	server  string
	zone    string
	version uint64
	// remaining is the time that the fetch, and after it the load, still needs at full speed.
	remaining float64
	loading   bool
	changing  bool
	willFail  bool
}

type weightsRun struct {
	policy   weightsPolicy
	random   *rand.Rand
	now      time.Time
	start    time.Time
	wave     *weight.Wave
	samplers []*weightsSampler
	// zoneSizes counts the samplers of each zone.
	zoneSizes       map[string]int
	doneTimes       []float64
	minCapacity     float64
	lostSeconds     float64
	minZoneCapacity float64
	orders          int
}

func newWeightsRun(policy weightsPolicy, seed uint64) *weightsRun {
	run := &weightsRun{
		policy:          policy,
		random:          rand.New(rand.NewPCG(seed, 2)),
		now:             time.Unix(1000, 0),
		start:           time.Unix(1000, 0),
		wave:            &weight.Wave{Schedule: weight.Schedule{Share: policy.share, Lag: weightsReportLag}},
		zoneSizes:       map[string]int{},
		minCapacity:     1,
		minZoneCapacity: 1,
	}
	for i := range weightsSamplers {
		zone := fmt.Sprintf("z%d", i%weightsZones)
		run.zoneSizes[zone]++
		run.samplers = append(run.samplers, &weightsSampler{server: fmt.Sprintf("s%04d", i), zone: zone, version: 1})
	}
	return run
}

func (r *weightsRun) run() Result {
	r.wave.Announce(2)
	for len(r.doneTimes) < weightsSamplers && r.now.Sub(r.start) < weightsTimeout {
		r.updateWave()
		r.startChanges()
		r.advance()
		r.now = r.now.Add(weightsTick)
		r.recordCapacity()
	}
	return Result{Policy: r.policy.name, Figures: []Figure{
		{Name: "s until all", Value: r.now.Sub(r.start).Seconds()},
		{Name: "s until half", Value: quantile(r.doneTimes, 0.5)},
		{Name: "samplers left", Value: float64(weightsSamplers - len(r.doneTimes))},
		{Name: "least capacity share", Value: r.minCapacity},
		{Name: "least of a zone", Value: r.minZoneCapacity},
		{Name: "sampler seconds lost", Value: r.lostSeconds},
		{Name: "orders", Value: float64(r.orders)},
	}}
}

func (r *weightsRun) updateWave() {
	live := make([]weight.Sampler, 0, len(r.samplers))
	for _, sampler := range r.samplers {
		live = append(live, weight.Sampler{Server: sampler.server, Zone: sampler.zone, Version: sampler.version})
	}
	r.wave.Observe(live, r.now)
}

// startChanges starts changes according to weight.Wave, or a fixed number at a time.
func (r *weightsRun) startChanges() {
	changing := 0
	for _, sampler := range r.samplers {
		if sampler.changing {
			changing++
		}
	}
	if r.policy.parallel == 0 {
		for _, server := range r.wave.Next(r.now) {
			index := slices.IndexFunc(r.samplers, func(sampler *weightsSampler) bool { return sampler.server == server })
			r.startChange(r.samplers[index])
		}
		return
	}
	for _, sampler := range r.samplers {
		if changing < r.policy.parallel && !sampler.changing && sampler.version < 2 {
			r.startChange(sampler)
			changing++
		}
	}
}

func (r *weightsRun) startChange(sampler *weightsSampler) {
	sampler.changing, sampler.loading = true, false
	sampler.remaining = weightsFetchSeconds
	sampler.willFail = r.random.Float64() < weightsFailureShare
	r.orders++
}

// advance advances all changes; fetches share the rate of the weight store.
func (r *weightsRun) advance() {
	fetching := 0
	for _, sampler := range r.samplers {
		if sampler.changing && !sampler.loading {
			fetching++
		}
	}
	speed := min(1, weightsStoreFetches/float64(max(1, fetching)))
	for _, sampler := range r.samplers {
		if sampler.changing {
			r.advanceChange(sampler, speed)
		}
	}
}

func (r *weightsRun) advanceChange(sampler *weightsSampler, speed float64) {
	if sampler.loading {
		speed = 1
	}
	sampler.remaining -= speed * weightsTick.Seconds()
	if sampler.remaining > 0 {
		return
	}
	if !sampler.loading {
		sampler.loading, sampler.remaining = true, weightsLoadSeconds
		return
	}
	sampler.changing = false
	if sampler.willFail {
		r.wave.RecordFailed(sampler.server, r.now)
		return
	}
	sampler.version = 2
	r.wave.RecordLoaded(sampler.server, 2, r.now)
	r.doneTimes = append(r.doneTimes, r.now.Sub(r.start).Seconds())
}

// recordCapacity records the remaining capacity; a sampler that changes its version contributes
// none.
func (r *weightsRun) recordCapacity() {
	changing := 0
	zones := map[string]int{}
	for _, sampler := range r.samplers {
		if sampler.changing {
			changing++
			zones[sampler.zone]++
		}
	}
	r.lostSeconds += float64(changing) * weightsTick.Seconds()
	r.minCapacity = min(r.minCapacity, 1-float64(changing)/weightsSamplers)
	for zone, count := range zones {
		r.minZoneCapacity = min(r.minZoneCapacity, 1-float64(count)/float64(r.zoneSizes[zone]))
	}
}
