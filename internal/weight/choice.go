package weight

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// nextStepOffset ranks the next step against the open step: a model with less than half of the
// samplers that its open step can use comes before a model with all of them and none for its next
// step.
const nextStepOffset = 0.5

// plan holds, for one round, how many samplers a model has and which samplers may load its newest
// version.
type plan struct {
	ScheduledLoad

	demand *Demand
	// zones lists the samplers that may load the model's newest version, in each zone by
	// increasing cost.
	zones map[string][]*sampler
	// isExhausted is true once zones holds no more samplers.
	isExhausted bool
}

// plans returns a plan for each model whose next step lacks samplers.
func (s *Schedule) plans(now time.Time) []*plan {
	var plans []*plan
	for i := range s.demands {
		demand := &s.demands[i]
		plan := &plan{ScheduledLoad: s.coverage(demand), demand: demand}
		if demand.NewestVersion == 0 || plan.Next >= plan.Wanted {
			continue
		}
		plan.zones = s.candidates(demand, now)
		plans = append(plans, plan)
	}
	return plans
}

// countLoad counts a sampler that is ordered to load the plan's version.
func (p *plan) countLoad(sampler *sampler) {
	if sampler.versions[p.Model] < p.demand.MinVersion {
		p.Open++
	}
	if sampler.versions[p.Model] < p.demand.NextMinVersion {
		p.Next++
	}
}

// neediest returns the plan of the model with the lowest share of its wanted samplers, nil if no
// model lacks a sampler that may load its version.
func neediest(plans []*plan) *plan {
	var best *plan
	for _, candidate := range plans {
		if candidate.isExhausted || candidate.Next >= candidate.Wanted {
			continue
		}
		if best == nil || candidate.isMoreUrgent(best.ScheduledLoad) {
			best = candidate
		}
	}
	return best
}

// isMoreUrgent reports whether l takes precedence over other: its model has a lower service level,
// or the same level and can use more samplers.
func (l ScheduledLoad) isMoreUrgent(other ScheduledLoad) bool {
	if served, otherServed := l.serviceLevel(), other.serviceLevel(); served != otherServed {
		return served < otherServed
	}
	return l.Wanted > other.Wanted
}

// serviceLevel returns the lower of two shares of the samplers that the model can use: the share
// that its open step has, and the share that its next step has plus nextStepOffset.
func (l ScheduledLoad) serviceLevel() float64 {
	open := float64(l.Open) / float64(l.Wanted)
	next := nextStepOffset + float64(l.Next)/float64(l.Wanted)
	return min(open, next)
}

// coverage counts the samplers that have a model's versions, including those that are loading
// them.
func (s *Schedule) coverage(demand *Demand) ScheduledLoad {
	load := ScheduledLoad{Model: demand.Model, Version: demand.NewestVersion, Wanted: s.wantedSamplers(demand)}
	for _, sampler := range s.samplers {
		version := sampler.versions[demand.Model]
		if sampler.isLoading && sampler.orderedModel == demand.Model {
			version = max(version, sampler.orderedVersion)
		}
		if version >= demand.MinVersion {
			load.Open++
		}
		if version >= demand.NextMinVersion {
			load.Next++
		}
	}
	return load
}

// wantedSamplers returns how many samplers a step can use: enough to run all generations that the
// step starts at once.
func (s *Schedule) wantedSamplers(demand *Demand) int {
	slots := 0
	for _, sampler := range s.samplers {
		slots += sampler.slots
	}
	if demand.Runs == 0 || slots == 0 {
		return len(s.samplers)
	}
	mean := float64(slots) / float64(len(s.samplers))
	return min(len(s.samplers), int(math.Ceil(float64(demand.Runs)/mean)))
}

// candidates returns the samplers that may load a model's newest version, by zone and sorted
// by cost. They are sorted once per round, since comparing all of them for each order would
// grow with samplers times orders.
func (s *Schedule) candidates(demand *Demand, now time.Time) map[string][]*sampler {
	zones := map[string][]*sampler{}
	for _, sampler := range s.samplers {
		if sampler.isLoading || sampler.versions[demand.Model] >= demand.NewestVersion || now.Before(sampler.retryAt) {
			continue
		}
		sampler.cost = s.loadCost(demand, sampler)
		zones[sampler.zone] = append(zones[sampler.zone], sampler)
	}
	for _, zone := range zones {
		slices.SortFunc(zone, func(a, b *sampler) int {
			return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.running, b.running), cmp.Compare(a.server, b.server))
		})
	}
	return zones
}

// cheapestSampler returns the sampler with the lowest cost for a plan's next load, nil if none is
// left. Ties go to the zone with the fewest loads in progress.
func (s *Schedule) cheapestSampler(plan *plan, loadsByZone map[string]int) *sampler {
	var best *sampler
	for zone, candidates := range plan.zones {
		for len(candidates) > 0 && candidates[0].isLoading {
			candidates = candidates[1:]
		}
		plan.zones[zone] = candidates
		if len(candidates) > 0 && (best == nil || s.compareCost(plan.demand, candidates[0], best, loadsByZone) < 0) {
			best = candidates[0]
		}
	}
	return best
}

// compareCost orders two samplers by the cost of a load.
func (s *Schedule) compareCost(demand *Demand, a, b *sampler, loadsByZone map[string]int) int {
	return cmp.Or(
		cmp.Compare(s.loadCost(demand, a), s.loadCost(demand, b)),
		cmp.Compare(loadsByZone[a.zone], loadsByZone[b.zone]),
		cmp.Compare(a.running, b.running),
		cmp.Compare(a.server, b.server),
	)
}

// Costs of a load at a sampler. Each cost exceeds the sum of all lower costs.
const (
	// otherModelCost is added for each other model that can use the sampler, to spread the models
	// over the samplers.
	otherModelCost = 1
	// nextStepCost is added if the next step accepts the weights to be replaced, openStepCost if
	// the open step accepts them. Replacing weights that no step accepts any more costs nothing.
	nextStepCost = 1 << 20
	openStepCost = 1 << 21
)

// loadCost returns the cost of a load at a sampler.
func (s *Schedule) loadCost(demand *Demand, sampler *sampler) int {
	cost := otherModelCost * s.otherModelCount(demand, sampler)
	version := sampler.versions[demand.Model]
	if version >= demand.NextMinVersion {
		cost += nextStepCost
	}
	if version >= demand.MinVersion {
		cost += openStepCost
	}
	return cost
}

// otherModelCount returns how many other models can use a sampler for their open step.
func (s *Schedule) otherModelCount(demand *Demand, sampler *sampler) int {
	count := 0
	for i := range s.demands {
		other := &s.demands[i]
		if other.Model != demand.Model && other.NewestVersion > 0 && sampler.versions[other.Model] >= other.MinVersion {
			count++
		}
	}
	return count
}
