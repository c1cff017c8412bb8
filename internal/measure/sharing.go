package measure

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// Parameters of the experiments on a pool that several trainers share.
const (
	sharingTick  = 5 * time.Millisecond
	sharingSlots = 6
	sharingSteps = 10
	// Each trainer submits a step every sharingStepInterval, all at the same moment.
	sharingStepInterval = 4 * time.Second
	// Lengths in events are log-normal; sharingLongShare of the runs are sharingLongFactor times as
	// long.
	sharingLengthSigma = 0.9
	sharingLongShare   = 0.08
	sharingLongFactor  = 5
	sharingMaxEvents   = 132
	// sharingHintShare is the share of runs whose expected length is right.
	sharingHintShare = 0.5
	// sharingReportInterval is the time between reports; they arrive after sharingReportDelay.
	sharingReportInterval = 100 * time.Millisecond
	sharingReportDelay    = 100 * time.Millisecond
	// sharingAnnounceTime is the time until the answers to the calls at the start of a step.
	sharingAnnounceTime = 5 * time.Millisecond
	// sharingPollInterval is the maximum time between two scheduling passes of an owner.
	sharingPollInterval = 50 * time.Millisecond
	// sharingDetectTime is the time until the runs at a lost sampler are given up.
	sharingDetectTime = 600 * time.Millisecond
	// sharingSilenceTime is how long a generation may wait at a sampler for its first event before
	// its owner ends the run and places it again.
	sharingSilenceTime = 1500 * time.Millisecond
	sharingLossStart   = 10 * time.Second
	sharingLossTime    = 12 * time.Second
	// sharingRequiredShare is the share of a step that its trainer waits for.
	sharingRequiredShare = 0.9
	// sharingBoot is the clock at the start of a run: late enough for start windows to be over.
	sharingBoot = clock.Boot(time.Hour)
)

// sharingLoad is the load of an experiment.
type sharingLoad struct {
	trainers  []sharingTrainer
	samplers  int
	eventTime time.Duration
	maxEvents float64
	// due is the time in which a step is due. If it is set, a trainer ends a step once it is
	// complete, and has two steps in progress at most.
	due time.Duration
}

// sharingTrainer is a trainer: the runs of its steps and their median length in events.
type sharingTrainer struct {
	items  int
	events float64
}

// sharingThreeTrainers is the load of three trainers whose runs have 15 to 18 events in the mean.
var sharingThreeTrainers = sharingLoad{
	trainers: []sharingTrainer{{96, 8.7}, {160, 8.7}, {168, 8.7}}, samplers: 41, eventTime: 40 * time.Millisecond, maxEvents: 132,
}

// Sharing compares ways to divide a pool of samplers among three owners of batches, with all
// samplers.
func Sharing() Experiment { return sharingExperiment("sharing a pool, all samplers", false) }

// SharingLoss is Sharing with half of the samplers lost for sharingLossTime.
func SharingLoss() Experiment {
	return sharingExperiment("sharing a pool, half of the samplers lost for 12 s", true)
}

func sharingExperiment(name string, hasLoss bool) Experiment {
	return Experiment{Name: name, Run: func(seed uint64) []Result {
		var results []Result
		for _, policy := range sharingPolicies() {
			results = append(results, newSharingRun(sharingThreeTrainers, policy, hasLoss, seed).run().result())
		}
		return results
	}}
}

// sharingGeneration is one run of a step.
type sharingGeneration struct {
	step      *sharingStep
	remaining time.Duration
	expected  float64
	placedAt  clock.Boot
	hasSlot   bool
}

// sharingStep is a step of a trainer.
type sharingStep struct {
	owner    *sharingOwner
	openedAt clock.Boot
	size     int
	done     int
	times    []float64
	// isEnded is true once the trainer has ended the step.
	isEnded bool
}

// sharingSampler is a sampler that runs the first sharingSlots of its generations; the others queue.
type sharingSampler struct {
	index   int
	placed  []*sharingGeneration
	lostAt  clock.Boot
	isLost  bool
	isKnown bool
}

func (s *sharingSampler) queued() int { return max(0, len(s.placed)-sharingSlots) }

// sharingOwner is the owner of one trainer's batches.
type sharingOwner struct {
	index   int
	model   string
	waiting []*sharingGeneration
	// running counts the owner's generations at each sampler.
	running     []int
	total       int
	steps       []*sharingStep
	startedAt   clock.Boot
	scheduledAt clock.Boot
	hasEnded    bool
	state       sharingState
}

// sharingRun simulates one policy with one seed.
type sharingRun struct {
	load    sharingLoad
	policy  sharingPolicy
	hasLoss bool
	// lengths draws what is the same for all policies, random what policies draw.
	lengths  *rand.Rand
	random   *rand.Rand
	now      clock.Boot
	samplers []*sharingSampler
	owners   []*sharingOwner
	reports  []sharingReport
	opened   int
	queueSum float64
	samples  int
	placed   int
	toFull   int
	cut      int
}

// sharingReport is a report on its way.
type sharingReport struct {
	arrivesAt clock.Boot
	apply     func()
}

func newSharingRun(load sharingLoad, policy sharingPolicy, hasLoss bool, seed uint64) *sharingRun {
	run := &sharingRun{load: load, policy: policy, hasLoss: hasLoss, lengths: rand.New(rand.NewPCG(seed, 5)), random: rand.New(rand.NewPCG(seed, 6)), now: sharingBoot}
	for i := range load.samplers {
		run.samplers = append(run.samplers, &sharingSampler{index: i})
	}
	for i := range load.trainers {
		owner := &sharingOwner{index: i, model: fmt.Sprintf("m%d", i), running: make([]int, load.samplers)}
		owner.state = newSharingState(load.samplers)
		run.owners = append(run.owners, owner)
	}
	return run
}

func (r *sharingRun) run() *sharingRun {
	for !r.isDone() {
		r.openSteps()
		r.loseSamplers()
		r.generate()
		r.exchange()
		for _, i := range r.random.Perm(len(r.owners)) {
			r.schedule(r.owners[i])
		}
		r.measure()
		r.now = r.now.Add(sharingTick)
	}
	return r
}

func (r *sharingRun) isDone() bool {
	return r.opened >= sharingSteps && !slices.ContainsFunc(r.owners, func(o *sharingOwner) bool { return len(o.waiting) > 0 || o.total > 0 })
}

// openSteps submits a step of every trainer at the same moment.
func (r *sharingRun) openSteps() {
	if r.opened >= sharingSteps || r.now < sharingBoot.Add(time.Duration(r.opened)*sharingStepInterval) {
		return
	}
	r.opened++
	for i, owner := range r.owners {
		if r.load.due > 0 && owner.openSteps() >= 2 {
			continue
		}
		step := &sharingStep{owner: owner, openedAt: r.now, size: r.load.trainers[i].items}
		owner.steps = append(owner.steps, step)
		owner.startedAt, owner.hasEnded = r.now, true
		started := make([]*sharingGeneration, 0, step.size)
		for range step.size {
			events := r.drawEvents(r.load.trainers[i].events)
			generation := &sharingGeneration{step: step, expected: events, remaining: time.Duration(events) * r.load.eventTime}
			if other := r.drawEvents(r.load.trainers[i].events); r.lengths.Float64() > sharingHintShare {
				generation.expected = other
			}
			started = append(started, generation)
		}
		slices.SortStableFunc(started, func(a, b *sharingGeneration) int { return cmp.Compare(b.expected, a.expected) })
		owner.waiting = append(owner.waiting, started...)
	}
	r.policy.announce(r)
}

func (r *sharingRun) drawEvents(median float64) float64 {
	events := median * math.Exp(sharingLengthSigma*r.lengths.NormFloat64())
	if r.lengths.Float64() < sharingLongShare {
		events *= sharingLongFactor
	}
	return min(r.load.maxEvents, math.Ceil(events))
}

// loseSamplers starts and ends the loss, and returns generations of lost samplers to their owners
// once the loss is detected.
func (r *sharingRun) loseSamplers() {
	if !r.hasLoss {
		return
	}
	since := r.now.Sub(sharingBoot)
	isLost := since >= sharingLossStart && since < sharingLossStart+sharingLossTime
	for _, sampler := range r.samplers {
		if sampler.index%2 == 0 {
			continue
		}
		if isLost && !sampler.isLost {
			sampler.lostAt = r.now
		}
		sampler.isLost = isLost
		if !isLost || r.now.Sub(sampler.lostAt) < sharingDetectTime {
			sampler.isKnown = false
			continue
		}
		sampler.isKnown = true
		for _, generation := range sampler.placed {
			owner := generation.step.owner
			r.remove(owner, sampler)
			owner.waiting = slices.Insert(owner.waiting, 0, generation)
		}
		sampler.placed = nil
	}
}

// remove ends the count of a generation at a sampler.
func (r *sharingRun) remove(owner *sharingOwner, sampler *sharingSampler) {
	owner.running[sampler.index]--
	owner.total--
	owner.hasEnded = true
	r.policy.onEnd(owner, sampler)
}

// generate advances the generations that have a slot.
func (r *sharingRun) generate() {
	for _, sampler := range r.samplers {
		if sampler.isLost {
			continue
		}
		for _, generation := range sampler.placed[:min(sharingSlots, len(sampler.placed))] {
			generation.hasSlot = true
			generation.remaining -= sharingTick
		}
		sampler.placed = slices.DeleteFunc(sampler.placed, func(generation *sharingGeneration) bool {
			step := generation.step
			if !generation.hasSlot && r.now.Sub(generation.placedAt) >= sharingSilenceTime {
				r.cut++
				r.remove(step.owner, sampler)
				step.owner.waiting = slices.Insert(step.owner.waiting, 0, generation)
				return true
			}
			if generation.remaining > 0 {
				return false
			}
			step.done++
			step.times = append(step.times, r.now.Sub(step.openedAt).Seconds())
			r.remove(step.owner, sampler)
			return true
		})
	}
	r.endSteps()
}

// exchange sends the reports of this tick and applies those that arrive.
func (r *sharingRun) exchange() {
	if r.now.Sub(sharingBoot)%sharingReportInterval == 0 {
		r.policy.report(r)
	}
	r.reports = slices.DeleteFunc(r.reports, func(report sharingReport) bool {
		if r.now < report.arrivesAt {
			return false
		}
		report.apply()
		return true
	})
}

func (r *sharingRun) send(delay time.Duration, apply func()) {
	r.reports = append(r.reports, sharingReport{arrivesAt: r.now.Add(delay), apply: apply})
}

// schedule places waiting generations of an owner after an end, or after sharingPollInterval.
func (r *sharingRun) schedule(owner *sharingOwner) {
	if !owner.hasEnded && r.now.Sub(owner.scheduledAt) < sharingPollInterval || r.now.Sub(owner.startedAt) < sharingAnnounceTime {
		return
	}
	owner.hasEnded, owner.scheduledAt = false, r.now
	limit := r.policy.limit(r, owner)
	for len(owner.waiting) > 0 && owner.total < limit {
		sampler := r.policy.place(r, owner)
		if sampler == nil {
			return
		}
		r.placed++
		if len(sampler.placed) >= sharingSlots {
			r.toFull++
		}
		owner.waiting[0].placedAt, owner.waiting[0].hasSlot = r.now, false
		sampler.placed = append(sampler.placed, owner.waiting[0])
		owner.waiting = owner.waiting[1:]
		owner.running[sampler.index]++
		owner.total++
	}
}

// measure samples the queues of the samplers that have any generation.
func (r *sharingRun) measure() {
	for _, sampler := range r.samplers {
		if len(sampler.placed) > 0 && !sampler.isLost {
			r.queueSum += float64(sampler.queued())
			r.samples++
		}
	}
}

func (r *sharingRun) result() Result {
	var most, all []float64
	var byTrainer []float64
	for _, owner := range r.owners {
		var own []float64
		for _, step := range owner.steps {
			slices.Sort(step.times)
			own = append(own, step.times[int(math.Ceil(sharingRequiredShare*float64(step.size)))-1])
			all = append(all, step.times[step.size-1])
		}
		most = append(most, own...)
		byTrainer = append(byTrainer, mean(own))
	}
	return Result{Policy: r.policy.name, Figures: []Figure{
		{Name: "mean queue at a busy sampler", Value: r.queueSum / float64(max(1, r.samples))},
		{Name: "placed at a full sampler", Value: float64(r.toFull) / float64(r.placed)},
		{Name: "cut of 1000", Value: 1000 * float64(r.cut) / float64(r.placed)},
		{Name: "90 % of a step s", Value: mean(most)},
		{Name: "90 % worst step s", Value: slices.Max(most)},
		{Name: "100 % of a step s", Value: mean(all)},
		{Name: "worst trainer / best", Value: slices.Max(byTrainer) / slices.Min(byTrainer)},
	}}
}
