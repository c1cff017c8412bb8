package measure

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/occupancy"
)

// sharingGrace is the time after which a step that is due counts as late.
const sharingGrace = 700 * time.Millisecond

// sharingEightTrainers is the load of eight unlike trainers on few samplers: steps of 32 to 64 runs
// of 4 to 13 events in the mean, for nearly all slots.
var sharingEightTrainers = sharingLoad{
	trainers: []sharingTrainer{{32, 2.1}, {64, 6}, {40, 7}, {64, 2.1}, {64, 7}, {32, 6}, {32, 4.7}, {48, 6}},
	samplers: 12, eventTime: 75 * time.Millisecond, maxEvents: 96, due: 7500 * time.Millisecond,
}

// sharingMaxPlacements is the largest number of slots that an order without shares gives a model.
const sharingMaxPlacements = math.MaxInt32

// SharingDue compares ways to divide a pool of few samplers among eight unlike trainers whose steps
// are due, with all samplers.
func SharingDue() Experiment {
	return sharingDueExperiment("sharing a pool, eight trainers", false)
}

// SharingDueLoss is SharingDue with half of the samplers lost for sharingLossTime.
func SharingDueLoss() Experiment {
	return sharingDueExperiment("sharing a pool, eight trainers, half of the samplers lost for 12 s", true)
}

func sharingDueExperiment(name string, hasLoss bool) Experiment {
	return Experiment{Name: name, Run: func(seed uint64) []Result {
		var results []Result
		for _, policy := range sharingDuePolicies() {
			results = append(results, newSharingRun(sharingEightTrainers, policy, hasLoss, seed).run().dueResult())
		}
		return results
	}}
}

// sharingDuePolicies returns ways to divide the slots, all computed from the true demand of all owners.
func sharingDuePolicies() []sharingPolicy {
	byRuns := func(_ *sharingRun, o *sharingOwner) occupancy.ModelDemand { return o.demand() }
	alone := sharingPolicies()[0]
	alone.name = "each owner by itself"
	return []sharingPolicy{
		alone,
		newDuePolicy("max-min fairness of runs (before)", capByDemand(byRuns)),
		newDuePolicy("slots that steps require, then max-min fairness (chosen)", capByDemand((*sharingRun).demandWithRequirement)),
		newDuePolicy("max-min fairness by remaining work", capByDemand((*sharingRun).demandByWork)),
		newDuePolicy("least slack with all work first", capInOrder((*sharingRun).slackWithWork)),
		newDuePolicy("earliest due first", capInOrder(func(r *sharingRun, o *sharingOwner) time.Duration { return r.untilDue(o.oldestStep()) })),
	}
}

func newDuePolicy(name string, limit func(r *sharingRun, owner *sharingOwner) int) sharingPolicy {
	nothing := func(*sharingRun) {}
	return sharingPolicy{name: name, report: nothing, announce: nothing, limit: limit, place: placeLeastLoaded, onEnd: func(*sharingOwner, *sharingSampler) {}}
}

// capByDemand returns the caps of the division of the slots by demands.
func capByDemand(demandOf func(r *sharingRun, owner *sharingOwner) occupancy.ModelDemand) func(r *sharingRun, owner *sharingOwner) int {
	return func(r *sharingRun, owner *sharingOwner) int {
		var demands []occupancy.ModelDemand
		for _, other := range r.owners {
			demands = append(demands, demandOf(r, other))
		}
		return (&occupancy.View{}).Cap(sharingPool, owner.model, demands, len(demands), r.usableSlots(), clock.Boot(0), r.now)
	}
}

// capInOrder returns the slots that the owners with a smaller key leave free.
func capInOrder(keyOf func(r *sharingRun, owner *sharingOwner) time.Duration) func(r *sharingRun, owner *sharingOwner) int {
	return func(r *sharingRun, owner *sharingOwner) int {
		left := r.usableSlots()
		for _, other := range r.owners {
			isBefore := cmp.Or(cmp.Compare(keyOf(r, other), keyOf(r, owner)), cmp.Compare(other.index, owner.index)) < 0
			if isBefore && other.openSteps() > 0 {
				left -= len(other.waiting) + other.total
			}
		}
		return min(max(left, 0), sharingMaxPlacements)
	}
}

// demandWithRequirement returns an owner's demand with the slots that its steps require.
func (r *sharingRun) demandWithRequirement(owner *sharingOwner) occupancy.ModelDemand {
	demand := owner.demand()
	for _, step := range owner.steps {
		demand.Required += occupancy.RequiredSlots(r.remainingOf(step), r.untilDue(step), sharingGrace)
	}
	return demand
}

// demandByWork returns an owner's demand, weighted by its remaining work in event times.
func (r *sharingRun) demandByWork(owner *sharingOwner) occupancy.ModelDemand {
	demand := owner.demand()
	if work := r.remainingWork(owner); work > 0 {
		demand.Weight = work.Seconds()
	}
	return demand
}

func (r *sharingRun) remainingWork(owner *sharingOwner) time.Duration {
	var work time.Duration
	for _, step := range owner.steps {
		for _, remaining := range r.remainingOf(step) {
			work += remaining
		}
	}
	return work
}

// slackWithWork returns the time until an owner's oldest step is due less the time that an equal
// share of the slots takes for its work.
func (r *sharingRun) slackWithWork(owner *sharingOwner) time.Duration {
	slots := max(1, r.usableSlots()/len(r.owners))
	return r.untilDue(owner.oldestStep()) - r.remainingWork(owner)/time.Duration(slots)
}

func (r *sharingRun) untilDue(step *sharingStep) time.Duration {
	if step == nil {
		return math.MaxInt64
	}
	return step.openedAt.Add(r.load.due).Sub(r.now)
}

// remainingOf returns the expected remaining times of a step's unfinished runs.
func (r *sharingRun) remainingOf(step *sharingStep) []time.Duration {
	var remaining []time.Duration
	for _, generation := range step.unfinished(r) {
		remaining = append(remaining, time.Duration(max(generation.expected, 1)*float64(r.load.eventTime)))
	}
	return remaining
}

// unfinished returns the runs of a step that wait or run.
func (s *sharingStep) unfinished(r *sharingRun) []*sharingGeneration {
	var unfinished []*sharingGeneration
	for _, generation := range s.owner.waiting {
		if generation.step == s {
			unfinished = append(unfinished, generation)
		}
	}
	for _, sampler := range r.samplers {
		for _, generation := range sampler.placed {
			if generation.step == s {
				unfinished = append(unfinished, generation)
			}
		}
	}
	return unfinished
}

func (o *sharingOwner) openSteps() int {
	open := 0
	for _, step := range o.steps {
		if !step.isEnded {
			open++
		}
	}
	return open
}

// oldestStep returns the oldest step that isn't ended, or nil.
func (o *sharingOwner) oldestStep() *sharingStep {
	for _, step := range o.steps {
		if !step.isEnded {
			return step
		}
	}
	return nil
}

// isLate reports whether a step wasn't complete in time, or can't be any more.
func (r *sharingRun) isLate(step *sharingStep) bool {
	if step.isEnded {
		return step.times[step.size-1] > (r.load.due + sharingGrace).Seconds()
	}
	return r.untilDue(step) < -sharingGrace
}

// endSteps ends the steps that are complete.
func (r *sharingRun) endSteps() {
	for _, owner := range r.owners {
		for _, step := range owner.steps {
			step.isEnded = step.done == step.size
		}
	}
}

// dueResult returns how many steps were complete in time.
func (r *sharingRun) dueResult() Result {
	var inTime, times []float64
	for _, owner := range r.owners {
		count := 0
		for _, step := range owner.steps {
			if !r.isLate(step) {
				count++
			}
			times = append(times, step.times[step.size-1])
		}
		inTime = append(inTime, float64(count)/sharingSteps)
	}
	return Result{Policy: r.policy.name, Figures: []Figure{
		{Name: "steps in time", Value: mean(inTime)},
		{Name: "of the worst trainer", Value: slices.Min(inTime)},
		{Name: "time of a step s", Value: mean(times)},
		{Name: "worst step s", Value: slices.Max(times)},
	}}
}
