package measure

import (
	"fmt"
	"math"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/occupancy"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

const sharingPool = "samplers"

// sharingPolicy decides how many generations an owner runs and where it places them.
type sharingPolicy struct {
	name string
	// report sends the reports of a tick, announce those at the start of a step.
	report   func(r *sharingRun)
	announce func(r *sharingRun)
	limit    func(r *sharingRun, owner *sharingOwner) int
	// place returns the sampler for the next generation, or nil if none has a free slot.
	place func(r *sharingRun, owner *sharingOwner) *sharingSampler
	onEnd func(owner *sharingOwner, sampler *sharingSampler)
}

// sharingState is what an owner knows of the samplers.
type sharingState struct {
	view *occupancy.View
	// part is the part of the owner's model.
	part    occupancy.Part
	servers []*route.Server
	// loads are the samplers' last reports, corrected by the owner's own starts and ends since.
	loads []int
}

func newSharingState(samplers int) sharingState {
	state := sharingState{view: &occupancy.View{}, loads: make([]int, samplers)}
	for i := range samplers {
		server := route.NewServer(fmt.Sprintf("s%02d", i), "", "")
		server.SetSlots(sharingSlots)
		state.servers = append(state.servers, server)
	}
	return state
}

func sharingPolicies() []sharingPolicy {
	nothing := func(*sharingRun) {}
	noEnd := func(*sharingOwner, *sharingSampler) {}
	unlimited := func(*sharingRun, *sharingOwner) int { return math.MaxInt }
	finish := func(owner *sharingOwner, sampler *sharingSampler) { owner.state.servers[sampler.index].Finish() }
	return []sharingPolicy{
		{name: "each owner by itself (before)", report: nothing, announce: nothing, limit: unlimited, onEnd: finish,
			place: func(r *sharingRun, owner *sharingOwner) *sharingSampler { return r.placeLeastUtilized(owner, nil) }},
		{name: "fixed part of the samplers", report: nothing, announce: nothing, limit: unlimited, onEnd: noEnd, place: placeInPart},
		{name: "two choices on late reports", report: sendSamplerReports, announce: nothing, limit: unlimited, place: placeByTwoChoices,
			onEnd: func(owner *sharingOwner, sampler *sharingSampler) { owner.state.loads[sampler.index]-- }},
		{name: "shared view, caps, own part of a sampler first (chosen)", report: sendOwnerReports, announce: announceOwners, limit: capOfOwner, onEnd: finish,
			place: func(r *sharingRun, owner *sharingOwner) *sharingSampler {
				return r.placeLeastUtilized(owner, &owner.state.part)
			}},
		{name: "shared view, caps, any free slot", report: sendOwnerReports, announce: announceOwners, limit: capOfOwner, onEnd: finish,
			place: func(r *sharingRun, owner *sharingOwner) *sharingSampler {
				return r.placeLeastUtilized(owner, &occupancy.Part{})
			}},
		{name: "one scheduler (bound)", report: nothing, announce: nothing, limit: limitOfScheduler, onEnd: noEnd, place: placeLeastLoaded},
	}
}

// placeLeastUtilized places as the roster does: in a shared pool if a part is given.
func (r *sharingRun) placeLeastUtilized(owner *sharingOwner, part *occupancy.Part) *sharingSampler {
	var candidates []route.Candidate
	for _, sampler := range r.samplers {
		if sampler.isKnown {
			continue
		}
		candidate := route.Candidate{Server: owner.state.servers[sampler.index], Slowness: 1}
		if part != nil {
			candidate.Elsewhere = int64(owner.state.view.Elsewhere(sharingPool, candidate.Server.Name(), r.now))
			candidate.IsWithinPart = owner.running[sampler.index] < part.At(candidate.Server.HashFraction(), sharingSlots)
			candidate.Rank = candidate.Server.RankFor(route.Hash([]byte(owner.model)))
		}
		candidates = append(candidates, candidate)
	}
	target := route.LeastUtilized(candidates, "")
	if target == nil {
		return nil
	}
	target.Begin()
	for i, server := range owner.state.servers {
		if server == target {
			return r.samplers[i]
		}
	}
	return nil
}

// placeInPart places at the samplers of the model's fixed part only.
func placeInPart(r *sharingRun, owner *sharingOwner) *sharingSampler {
	return r.leastLoaded(func(sampler *sharingSampler) bool { return sampler.index%len(r.owners) == owner.index })
}

// placeLeastLoaded places by the true load of all samplers.
func placeLeastLoaded(r *sharingRun, _ *sharingOwner) *sharingSampler {
	return r.leastLoaded(func(*sharingSampler) bool { return true })
}

// leastLoaded returns the allowed sampler with the most free slots, or nil if none has any.
func (r *sharingRun) leastLoaded(isAllowed func(*sharingSampler) bool) *sharingSampler {
	var best *sharingSampler
	for _, sampler := range r.samplers {
		if !sampler.isKnown && isAllowed(sampler) && len(sampler.placed) < sharingSlots && (best == nil || len(sampler.placed) < len(best.placed)) {
			best = sampler
		}
	}
	return best
}

// placeByTwoChoices places at the less loaded of two random samplers with a free slot by their last
// reports.
func placeByTwoChoices(r *sharingRun, owner *sharingOwner) *sharingSampler {
	var free []*sharingSampler
	for _, sampler := range r.samplers {
		if !sampler.isKnown && max(owner.state.loads[sampler.index], owner.running[sampler.index]) < sharingSlots {
			free = append(free, sampler)
		}
	}
	if len(free) == 0 {
		return nil
	}
	first, second := free[r.random.IntN(len(free))], free[r.random.IntN(len(free))]
	if owner.state.loads[second.index] < owner.state.loads[first.index] {
		first = second
	}
	owner.state.loads[first.index]++
	return first
}

// sendSamplerReports sends the load of every sampler to every owner.
func sendSamplerReports(r *sharingRun) {
	loads := make([]int, len(r.samplers))
	for i, sampler := range r.samplers {
		loads[i] = len(sampler.placed)
	}
	r.send(sharingReportDelay, func() {
		for _, owner := range r.owners {
			copy(owner.state.loads, loads)
		}
	})
}

// sendOwnerReports sends the load of every owner to the others.
func sendOwnerReports(r *sharingRun) {
	for _, owner := range r.owners {
		r.sendOwnerReport(owner, sharingReportDelay)
	}
}

// announceOwners sends the load of every owner to the others when a step starts.
func announceOwners(r *sharingRun) {
	for _, owner := range r.owners {
		r.sendOwnerReport(owner, sharingAnnounceTime)
	}
}

func (r *sharingRun) sendOwnerReport(owner *sharingOwner, delay time.Duration) {
	load := occupancy.PoolLoad{Pool: sharingPool, Models: []occupancy.ModelDemand{owner.demand()}}
	for i, running := range owner.running {
		if running > 0 {
			load.Servers = append(load.Servers, occupancy.ServerLoad{Server: owner.state.servers[i].Name(), Running: running})
		}
	}
	r.send(delay, func() {
		for _, other := range r.owners {
			if other != owner {
				other.state.view.Update(owner.model, occupancy.Report{Pools: []occupancy.PoolLoad{load}}, r.now)
			}
		}
	})
}

func (o *sharingOwner) demand() occupancy.ModelDemand {
	return occupancy.ModelDemand{Model: o.model, Waiting: len(o.waiting), Running: o.total, Weight: 1}
}

func (r *sharingRun) usableSlots() int {
	slots := 0
	for _, sampler := range r.samplers {
		if !sampler.isKnown {
			slots += sharingSlots
		}
	}
	return slots
}

// capOfOwner returns the cap by what the owner has heard of the others.
func capOfOwner(r *sharingRun, owner *sharingOwner) int {
	own := []occupancy.ModelDemand{owner.demand()}
	owner.state.part = owner.state.view.Part(sharingPool, owner.model, own, len(r.owners), r.usableSlots(), owner.startedAt, r.now)
	return owner.state.part.Cap
}

// limitOfScheduler returns the cap by the true demand of all owners.
func limitOfScheduler(r *sharingRun, owner *sharingOwner) int {
	var demands []occupancy.ModelDemand
	for _, other := range r.owners {
		demands = append(demands, other.demand())
	}
	return (&occupancy.View{}).Cap(sharingPool, owner.model, demands, len(demands), r.usableSlots(), clock.Boot(0), r.now)
}
