package measure

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/weight"
)

// Sizes of the loads' experiments that all of them share.
const (
	loadsTick = 50 * time.Millisecond
	// loadsPeriod is how often a trainer asks a step, loadsDue when it is late.
	loadsPeriod = 4 * time.Second
	loadsDue    = 7500 * time.Millisecond
	loadsTrain  = 500 * time.Millisecond
	loadsSteps  = 12
	// loadsWanted is the share of a step's generations that its trainer waits for.
	loadsWanted = 0.9
	// loadsMedian and loadsSpread are of the time of a generation, log-normal.
	loadsMedian = 0.7
	loadsSpread = 0.9
	loadsMost   = 6.0
	// loadsGuess is the spread of the estimates about the lengths.
	loadsGuess  = 0.5
	loadsGiveUp = 12 * time.Second
)

// LoadsDeployment is a pool of samplers and the trainers that share it.
type LoadsDeployment struct {
	Name     string
	Samplers int
	Slots    int
	// StepSizes are the numbers of generations of each trainer's steps.
	StepSizes []int
	// LoadTime is the time of a load, AtOnce how many go on at full speed.
	LoadTime   time.Duration
	FullSpeedLoads int
	// SlowShare is the share of samplers that take four times as long to load.
	SlowShare float64
	// MaxObserveDelay is how late the end of a load may be seen.
	MaxObserveDelay time.Duration
}

// LoadsDeployments are the deployments on which loads are measured: they differ in all
// that the decision must not depend on.
func LoadsDeployments() []LoadsDeployment {
	return []LoadsDeployment{
		{Name: "3 models", Samplers: 11, Slots: 12, StepSizes: []int{70, 70, 70}, LoadTime: 900 * time.Millisecond, FullSpeedLoads: 2},
		{Name: "1 model", Samplers: 11, Slots: 12, StepSizes: []int{150}, LoadTime: 900 * time.Millisecond, FullSpeedLoads: 2},
		{Name: "2 models", Samplers: 9, Slots: 8, StepSizes: []int{60, 40}, LoadTime: 900 * time.Millisecond, FullSpeedLoads: 2},
		{Name: "5 models", Samplers: 20, Slots: 12, StepSizes: []int{60, 60, 60, 60, 60}, LoadTime: 900 * time.Millisecond, FullSpeedLoads: 4},
		{Name: "9 models", Samplers: 6, Slots: 24, StepSizes: []int{20, 20, 20, 20, 20, 20, 20, 20, 20}, LoadTime: 300 * time.Millisecond, FullSpeedLoads: 2},
		{Name: "large beside small", Samplers: 20, Slots: 8, StepSizes: []int{240, 24, 24}, LoadTime: 900 * time.Millisecond, FullSpeedLoads: 4},
		{Name: "fast loads", Samplers: 11, Slots: 12, StepSizes: []int{80, 80, 80}, LoadTime: 300 * time.Millisecond, FullSpeedLoads: 2},
		{Name: "slow loads", Samplers: 12, Slots: 24, StepSizes: []int{60, 60}, LoadTime: 3 * time.Second, FullSpeedLoads: 3},
		{Name: "5 samplers", Samplers: 5, Slots: 24, StepSizes: []int{50, 50}, LoadTime: 900 * time.Millisecond, FullSpeedLoads: 2},
		{Name: "200 samplers", Samplers: 200, Slots: 8, StepSizes: []int{900, 900, 900}, LoadTime: 900 * time.Millisecond, FullSpeedLoads: 40},
		{Name: "slow samplers", Samplers: 11, Slots: 12, StepSizes: []int{70, 70, 70}, LoadTime: 900 * time.Millisecond, FullSpeedLoads: 2, SlowShare: 0.2},
		{Name: "ends seen late", Samplers: 46, Slots: 6, StepSizes: []int{112, 128, 160}, LoadTime: 900 * time.Millisecond, FullSpeedLoads: 9, MaxObserveDelay: 300 * time.Millisecond},
		{Name: "few samplers, ends seen late", Samplers: 11, Slots: 12, StepSizes: []int{70, 70, 70}, LoadTime: 900 * time.Millisecond, FullSpeedLoads: 2, MaxObserveDelay: 300 * time.Millisecond},
	}
}

// Loads measures which sampler loads which version next, on one deployment.
func Loads(site LoadsDeployment) Experiment {
	return Experiment{Name: "Loads, " + site.Name, Run: func(seed uint64) []Result {
		var results []Result
		for _, policy := range []loadsPolicy{
			{name: "by lack", decide: decideByLack},
			{name: "equal parts in order", decide: decideInParts},
			{name: "all everywhere", decide: decideEverywhere},
			{name: "no loads needed", isFree: true, decide: func(*loadsRun) {}},
		} {
			results = append(results, newLoadsRun(site, policy, seed).run())
		}
		return results
	}}
}

// loadsSampler is a sampler with the weights of every model.
type loadsSampler struct {
	weight.SamplerState

	slow float64
	// left is the time of a load that is left at full speed; 0 while none is under way.
	left    time.Duration
	model   string
	version uint64
	// seen is when the end of a load will be seen; zero while there is none to be seen.
	seen    time.Time
	running []*loadsItem
}

// loadsItem is a generation.
type loadsItem struct {
	step *loadsStep
	left time.Duration
	// guess is the trainer's estimate of its length, right at the median only.
	guess float64
}

// loadsStep is an open step.
type loadsStep struct {
	trainer *loadsTrainer
	number  int
	began   time.Time
	waiting []*loadsItem
	done    int
	items   int
}

// loadsTrainer asks steps: step k once version k is named, and with versions from
// k - 1 on; training on step k makes version k + 2.
type loadsTrainer struct {
	model string
	size  int
	named uint64
	next  int
	open  []*loadsStep
	// trained is when each version will be named.
	trained []time.Time
	times   []float64
	late    int
}

// loadsRun is one seed of one policy.
type loadsRun struct {
	site     LoadsDeployment
	policy   loadsPolicy
	random   *rand.Rand
	now      time.Time
	start    time.Time
	samplers []*loadsSampler
	trainers []*loadsTrainer
	steps    weight.Steps
	schedule weight.Schedule
	loads    int
}

func newLoadsRun(site LoadsDeployment, policy loadsPolicy, seed uint64) *loadsRun {
	run := &loadsRun{
		site: site, policy: policy, random: rand.New(rand.NewPCG(seed, 3)),
		now: time.Unix(1000, 0), start: time.Unix(1000, 0),
		schedule: weight.Schedule{Share: 0.5, Lag: weight.DefaultLag},
	}
	for i := range site.Samplers {
		one := &loadsSampler{slow: 1, SamplerState: weight.SamplerState{
			ID: fmt.Sprintf("s%03d", i), Zone: fmt.Sprintf("z%d", i%3), Slots: site.Slots, Versions: map[string]uint64{},
		}}
		if run.random.Float64() < site.SlowShare {
			one.slow = 4
		}
		run.samplers = append(run.samplers, one)
	}
	for i, size := range site.StepSizes {
		run.trainers = append(run.trainers, &loadsTrainer{model: fmt.Sprintf("m%d", i), size: size, named: 1})
	}
	return run
}

func (r *loadsRun) run() Result {
	isOver := func(t *loadsTrainer) bool { return t.next >= loadsSteps && len(t.open) == 0 }
	for slices.ContainsFunc(r.trainers, func(t *loadsTrainer) bool { return !isOver(t) }) {
		r.now = r.now.Add(loadsTick)
		for _, trainer := range r.trainers {
			r.train(trainer)
		}
		r.policy.decide(r)
		r.load()
		r.generate()
	}
	return r.result()
}

func (r *loadsRun) result() Result {
	var all []float64
	worst, late, count, versions := 0.0, 0, 0, 0
	for _, trainer := range r.trainers {
		all = append(all, trainer.times...)
		worst = max(worst, quantileOf(trainer.times, 0.9))
		late += trainer.late
		count += len(trainer.times)
		versions += int(trainer.named) - 1
	}
	return Result{Policy: r.policy.name, Figures: []Figure{
		{Name: "step p50 s", Value: quantileOf(all, 0.5)},
		{Name: "step p90 s", Value: quantileOf(all, 0.9)},
		{Name: "worst model p90 s", Value: worst},
		{Name: "late share", Value: float64(late) / float64(count)},
		{Name: "loads a version", Value: float64(r.loads) / float64(versions)},
	}}
}

// train names versions, asks steps and ends them.
func (r *loadsRun) train(t *loadsTrainer) {
	for len(t.trained) > 0 && !r.now.Before(t.trained[0]) {
		t.trained = t.trained[1:]
		t.named++
		r.steps.RecordVersion(t.model, t.named)
	}
	due := r.start.Add(time.Duration(t.next) * loadsPeriod)
	if t.next < loadsSteps && !r.now.Before(due) && t.named >= uint64(max(1, t.next)) {
		r.ask(t)
	}
	t.open = slices.DeleteFunc(t.open, func(step *loadsStep) bool {
		took := r.now.Sub(step.began)
		if step.done < int(math.Ceil(loadsWanted*float64(step.items))) && took < loadsGiveUp {
			return false
		}
		t.times = append(t.times, took.Seconds())
		if took > loadsDue {
			t.late++
		}
		t.trained = append(t.trained, r.now.Add(loadsTrain))
		r.steps.Close(fmt.Sprint(t.model, step.number))
		return true
	})
}

func (r *loadsRun) ask(t *loadsTrainer) {
	step := &loadsStep{trainer: t, number: t.next, began: r.now, items: t.size}
	t.next++
	for range t.size {
		length := min(loadsMost, loadsMedian*math.Exp(loadsSpread*r.random.NormFloat64()))
		item := &loadsItem{
			step: step, left: time.Duration(length * float64(time.Second)),
			guess: length * math.Exp(loadsGuess*r.random.NormFloat64()),
		}
		step.waiting = append(step.waiting, item)
	}
	slices.SortFunc(step.waiting, func(a, b *loadsItem) int { return cmp.Compare(b.guess, a.guess) })
	t.open = append(t.open, step)
	r.steps.Open(fmt.Sprint(t.model, step.number), weight.Step{Model: t.model, Oldest: oldest(step.number), Runs: t.size})
}

// oldest returns the oldest version that a step takes.
func oldest(step int) uint64 { return uint64(max(1, step-1)) }

// begin starts a load at a sampler.
func (r *loadsRun) begin(sampler *loadsSampler, model string, version uint64) {
	sampler.left = time.Duration(sampler.slow * float64(r.site.LoadTime))
	sampler.model, sampler.version = model, version
	r.loads++
}

// load lets the loads under way go on; they share what the store carries.
func (r *loadsRun) load() {
	under := r.loading()
	speed := min(1, float64(r.site.FullSpeedLoads)/float64(max(1, under)))
	for _, sampler := range r.samplers {
		if sampler.left > 0 {
			r.goOn(sampler, speed)
		}
		if !sampler.seen.IsZero() && !r.now.Before(sampler.seen) {
			sampler.seen = time.Time{}
			r.schedule.Done(sampler.ID, sampler.version, r.now)
		}
	}
}

// goOn lets a load go on at a speed.
func (r *loadsRun) goOn(sampler *loadsSampler, speed float64) {
	sampler.left -= time.Duration(speed * float64(loadsTick))
	if sampler.left > 0 {
		return
	}
	sampler.Versions[sampler.model] = sampler.version
	sampler.seen = r.now
	if r.site.MaxObserveDelay > 0 {
		sampler.seen = r.now.Add(time.Duration(r.random.Int64N(int64(r.site.MaxObserveDelay))))
	}
}

func (r *loadsRun) loading() int {
	under := 0
	for _, sampler := range r.samplers {
		if sampler.left > 0 {
			under++
		}
	}
	return under
}

// generate places generations, the older step of a model and the longer ones
// first, and lets those that run go on.
func (r *loadsRun) generate() {
	for _, trainer := range r.trainers {
		for _, step := range trainer.open {
			r.place(step)
			if len(step.waiting) > 0 {
				break
			}
		}
	}
	for _, sampler := range r.samplers {
		sampler.running = slices.DeleteFunc(sampler.running, func(item *loadsItem) bool {
			item.left -= loadsTick
			if item.left > 0 {
				return false
			}
			item.step.done++
			return true
		})
	}
}

// place gives a step's generations to the samplers with the most room that have
// weights it takes.
func (r *loadsRun) place(step *loadsStep) {
	for len(step.waiting) > 0 {
		var best *loadsSampler
		for _, sampler := range r.samplers {
			isUsable := r.policy.isFree || max(1, sampler.Versions[step.trainer.model]) >= oldest(step.number)
			if isUsable && len(sampler.running) < sampler.Slots && (best == nil || len(sampler.running) < len(best.running)) {
				best = sampler
			}
		}
		if best == nil {
			return
		}
		best.running = append(best.running, step.waiting[0])
		step.waiting = step.waiting[1:]
	}
}
