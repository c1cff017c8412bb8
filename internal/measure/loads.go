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

// Parameters shared by all experiments on weight loads.
const (
	loadsTick = 50 * time.Millisecond
	// A trainer opens a step every loadsStepInterval; the step is late after loadsStepDeadline.
	loadsStepInterval = 4 * time.Second
	loadsStepDeadline = 7500 * time.Millisecond
	loadsTrainTime    = 500 * time.Millisecond
	loadsSteps        = 12
	// loadsRequiredShare is the share of a step's generations that its trainer waits for.
	loadsRequiredShare = 0.9
	// Generation times are log-normal, capped at loadsMaxSeconds.
	loadsMedianSeconds = 0.7
	loadsLengthSigma   = 0.9
	loadsMaxSeconds    = 6.0
	// loadsEstimateSigma is the log-normal error of the trainer's estimates of generation times.
	loadsEstimateSigma = 0.5
	loadsStepTimeout   = 12 * time.Second
)

// LoadsDeployment is a deployment: a pool of samplers and the trainers that share it.
type LoadsDeployment struct {
	Name     string
	Samplers int
	Slots    int
	// StepSizes holds, for each trainer, the number of generations in a step.
	StepSizes []int
	// LoadTime is the time of one load; up to FullSpeedLoads loads run at full speed.
	LoadTime       time.Duration
	FullSpeedLoads int
	// SlowShare is the share of samplers that take four times as long to load.
	SlowShare float64
	// MaxObserveDelay is the maximum delay until the end of a load is observed.
	MaxObserveDelay time.Duration
}

// LoadsDeployments returns the deployments on which loads are measured. The deployments differ in
// everything that the load schedule must not depend on.
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

// Loads compares policies that choose the next sampler and version to load, on one deployment.
func Loads(deployment LoadsDeployment) Experiment {
	return Experiment{Name: "Loads, " + deployment.Name, Run: func(seed uint64) []Result {
		var results []Result
		for _, policy := range []loadsPolicy{
			{name: "by lack", decide: decideBySchedule},
			{name: "equal parts in order", decide: decideByPartition},
			{name: "all everywhere", decide: decideReplicateAll},
			{name: "no loads needed", hasAllVersions: true, decide: func(*loadsRun) {}},
		} {
			results = append(results, newLoadsRun(deployment, policy, seed).run())
		}
		return results
	}}
}

// loadsSampler is a sampler with the weights of every model.
type loadsSampler struct {
	weight.SamplerState

	slowdown float64
	// remaining is the time that a load still needs at full speed; 0 while no load runs.
	remaining time.Duration
	model     string
	version   uint64
	// reportAt is when the end of a load will be observed; zero while no observation is pending.
	reportAt time.Time
	running  []*loadsGeneration
}

type loadsGeneration struct {
	step      *loadsStep
	remaining time.Duration
	// estimate is the trainer's estimate of the length, correct only in the median.
	estimate float64
}

// loadsStep is an open training step.
type loadsStep struct {
	trainer     *loadsTrainer
	number      int
	openedAt    time.Time
	waiting     []*loadsGeneration
	done        int
	generations int
}

// loadsTrainer opens step k once version k is announced; the step accepts version k - 1 and newer,
// and training on the step produces version k + 2.
type loadsTrainer struct {
	model    string
	stepSize int
	newest   uint64
	nextStep int
	open     []*loadsStep
	// announceTimes holds when each trained version will be announced.
	announceTimes []time.Time
	durations     []float64
	lateSteps     int
}

// loadsRun simulates one policy with one seed.
type loadsRun struct {
	deployment LoadsDeployment
	policy     loadsPolicy
	random     *rand.Rand
	now        time.Time
	start      time.Time
	samplers   []*loadsSampler
	trainers   []*loadsTrainer
	steps      weight.Steps
	schedule   weight.Schedule
	loadCount  int
}

func newLoadsRun(deployment LoadsDeployment, policy loadsPolicy, seed uint64) *loadsRun {
	run := &loadsRun{
		deployment: deployment, policy: policy, random: rand.New(rand.NewPCG(seed, 3)),
		now: time.Unix(1000, 0), start: time.Unix(1000, 0),
		schedule: weight.Schedule{Share: 0.5, Lag: weight.DefaultLag},
	}
	for i := range deployment.Samplers {
		sampler := &loadsSampler{slowdown: 1, SamplerState: weight.SamplerState{
			ID: fmt.Sprintf("s%03d", i), Zone: fmt.Sprintf("z%d", i%3), Slots: deployment.Slots, Versions: map[string]uint64{},
		}}
		if run.random.Float64() < deployment.SlowShare {
			sampler.slowdown = 4
		}
		run.samplers = append(run.samplers, sampler)
	}
	for i, size := range deployment.StepSizes {
		run.trainers = append(run.trainers, &loadsTrainer{model: fmt.Sprintf("m%d", i), stepSize: size, newest: 1})
	}
	return run
}

func (r *loadsRun) run() Result {
	isDone := func(t *loadsTrainer) bool { return t.nextStep >= loadsSteps && len(t.open) == 0 }
	for slices.ContainsFunc(r.trainers, func(t *loadsTrainer) bool { return !isDone(t) }) {
		r.now = r.now.Add(loadsTick)
		for _, trainer := range r.trainers {
			r.advanceTrainer(trainer)
		}
		r.policy.decide(r)
		r.advanceLoads()
		r.generate()
	}
	return r.result()
}

func (r *loadsRun) result() Result {
	var all []float64
	worst, late, count, versions := 0.0, 0, 0, 0
	for _, trainer := range r.trainers {
		all = append(all, trainer.durations...)
		worst = max(worst, quantile(trainer.durations, 0.9))
		late += trainer.lateSteps
		count += len(trainer.durations)
		versions += int(trainer.newest) - 1
	}
	return Result{Policy: r.policy.name, Figures: []Figure{
		{Name: "step p50 s", Value: quantile(all, 0.5)},
		{Name: "step p90 s", Value: quantile(all, 0.9)},
		{Name: "worst model p90 s", Value: worst},
		{Name: "late share", Value: float64(late) / float64(count)},
		{Name: "loads a version", Value: float64(r.loadCount) / float64(versions)},
	}}
}

// advanceTrainer announces versions, opens steps and closes them.
func (r *loadsRun) advanceTrainer(t *loadsTrainer) {
	for len(t.announceTimes) > 0 && !r.now.Before(t.announceTimes[0]) {
		t.announceTimes = t.announceTimes[1:]
		t.newest++
		r.steps.RecordVersion(t.model, t.newest)
	}
	due := r.start.Add(time.Duration(t.nextStep) * loadsStepInterval)
	if t.nextStep < loadsSteps && !r.now.Before(due) && t.newest >= uint64(max(1, t.nextStep)) {
		r.openStep(t)
	}
	t.open = slices.DeleteFunc(t.open, func(step *loadsStep) bool {
		duration := r.now.Sub(step.openedAt)
		if step.done < int(math.Ceil(loadsRequiredShare*float64(step.generations))) && duration < loadsStepTimeout {
			return false
		}
		t.durations = append(t.durations, duration.Seconds())
		if duration > loadsStepDeadline {
			t.lateSteps++
		}
		t.announceTimes = append(t.announceTimes, r.now.Add(loadsTrainTime))
		r.steps.Close(fmt.Sprint(t.model, step.number))
		return true
	})
}

func (r *loadsRun) openStep(t *loadsTrainer) {
	step := &loadsStep{trainer: t, number: t.nextStep, openedAt: r.now, generations: t.stepSize}
	t.nextStep++
	for range t.stepSize {
		length := min(loadsMaxSeconds, loadsMedianSeconds*math.Exp(loadsLengthSigma*r.random.NormFloat64()))
		generation := &loadsGeneration{
			step: step, remaining: time.Duration(length * float64(time.Second)),
			estimate: length * math.Exp(loadsEstimateSigma*r.random.NormFloat64()),
		}
		step.waiting = append(step.waiting, generation)
	}
	slices.SortFunc(step.waiting, func(a, b *loadsGeneration) int { return cmp.Compare(b.estimate, a.estimate) })
	t.open = append(t.open, step)
	r.steps.Open(fmt.Sprint(t.model, step.number), weight.Step{Model: t.model, MinVersion: minVersion(step.number), Runs: t.stepSize})
}

// minVersion returns the oldest version that a step accepts.
func minVersion(step int) uint64 { return uint64(max(1, step-1)) }

func (r *loadsRun) startLoad(sampler *loadsSampler, model string, version uint64) {
	sampler.remaining = time.Duration(sampler.slowdown * float64(r.deployment.LoadTime))
	sampler.model, sampler.version = model, version
	r.loadCount++
}

// advanceLoads advances the running loads, which share the capacity of the weight store.
func (r *loadsRun) advanceLoads() {
	active := r.activeLoads()
	speed := min(1, float64(r.deployment.FullSpeedLoads)/float64(max(1, active)))
	for _, sampler := range r.samplers {
		if sampler.remaining > 0 {
			r.advanceLoad(sampler, speed)
		}
		if !sampler.reportAt.IsZero() && !r.now.Before(sampler.reportAt) {
			sampler.reportAt = time.Time{}
			r.schedule.RecordLoaded(sampler.ID, sampler.version, r.now)
		}
	}
}

func (r *loadsRun) advanceLoad(sampler *loadsSampler, speed float64) {
	sampler.remaining -= time.Duration(speed * float64(loadsTick))
	if sampler.remaining > 0 {
		return
	}
	sampler.Versions[sampler.model] = sampler.version
	sampler.reportAt = r.now
	if r.deployment.MaxObserveDelay > 0 {
		sampler.reportAt = r.now.Add(time.Duration(r.random.Int64N(int64(r.deployment.MaxObserveDelay))))
	}
}

func (r *loadsRun) activeLoads() int {
	active := 0
	for _, sampler := range r.samplers {
		if sampler.remaining > 0 {
			active++
		}
	}
	return active
}

// generate places waiting generations, with older steps of a model and longer generations first,
// and advances running generations.
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
		sampler.running = slices.DeleteFunc(sampler.running, func(generation *loadsGeneration) bool {
			generation.remaining -= loadsTick
			if generation.remaining > 0 {
				return false
			}
			generation.step.done++
			return true
		})
	}
}

// place assigns a step's generations to the samplers with the fewest running generations among
// those with a version that the step accepts.
func (r *loadsRun) place(step *loadsStep) {
	for len(step.waiting) > 0 {
		var best *loadsSampler
		for _, sampler := range r.samplers {
			isUsable := r.policy.hasAllVersions || max(1, sampler.Versions[step.trainer.model]) >= minVersion(step.number)
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
