package weight

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// comingWeight is what a sampler for the coming step counts beside one for the
// open step: a model with half of the samplers that its open step can use goes
// before one that has them all and none for the step after.
const comingWeight = 0.5

// plan is what a model has and may have in one round.
type plan struct {
	Change

	work *Demand
	// zones are the samplers that may load for it, in each zone the one first where a
	// load costs least.
	zones map[string][]*sampler
	// isOver says that none of them is left.
	isOver bool
}

// plans returns the plans of all models whose coming step lacks samplers.
func (s *Schedule) plans(now time.Time) []*plan {
	var plans []*plan
	for i := range s.work {
		work := &s.work[i]
		one := &plan{Change: s.coverage(work), work: work}
		if work.NewestVersion == 0 || one.Next >= one.Wanted {
			continue
		}
		one.zones = s.candidates(work, now)
		plans = append(plans, one)
	}
	return plans
}

// cover counts a sampler that is ordered to load.
func (p *plan) cover(sampler *sampler) {
	if sampler.shown[p.Model] < p.work.MinVersion {
		p.Open++
	}
	if sampler.shown[p.Model] < p.work.NextMinVersion {
		p.Next++
	}
}

// neediest returns the plan of the model whose steps lack samplers most; nil if
// none lacks any that it may have.
func neediest(plans []*plan) *plan {
	var best *plan
	for _, one := range plans {
		if one.isOver || one.Next >= one.Wanted {
			continue
		}
		if best == nil || one.goesBefore(best.Change) {
			best = one
		}
	}
	return best
}

// goesBefore reports whether a change helps more than another one: its model is
// served worse, or has more work where both are served alike.
func (c Change) goesBefore(other Change) bool {
	if served, otherServed := c.served(), other.served(); served != otherServed {
		return served < otherServed
	}
	return c.Wanted > other.Wanted
}

// served returns how well a model is served: by the share of the samplers it can
// use that its open step has, or its coming one.
func (c Change) served() float64 {
	open := float64(c.Open) / float64(c.Wanted)
	coming := comingWeight + float64(c.Next)/float64(c.Wanted)
	return min(open, coming)
}

// coverage counts the samplers that a model has, those included that load for it.
func (s *Schedule) coverage(work *Demand) Change {
	change := Change{Model: work.Model, Version: work.NewestVersion, Wanted: s.wanted(work)}
	for _, sampler := range s.samplers {
		version := sampler.shown[work.Model]
		if sampler.changing && sampler.model == work.Model {
			version = max(version, sampler.ordered)
		}
		if version >= work.MinVersion {
			change.Open++
		}
		if version >= work.NextMinVersion {
			change.Next++
		}
	}
	return change
}

// wanted returns how many samplers a step can use: as many as run all that it
// begins at once.
func (s *Schedule) wanted(work *Demand) int {
	slots := 0
	for _, sampler := range s.samplers {
		slots += sampler.slots
	}
	if work.Runs == 0 || slots == 0 {
		return len(s.samplers)
	}
	mean := float64(slots) / float64(len(s.samplers))
	return min(len(s.samplers), int(math.Ceil(float64(work.Runs)/mean)))
}

// candidates returns the samplers that may load a model's newest version, by zone
// and in each zone ordered by cost. They are ordered once in a round, since comparing
// all for each order would grow with samplers and orders.
func (s *Schedule) candidates(work *Demand, now time.Time) map[string][]*sampler {
	zones := map[string][]*sampler{}
	for _, sampler := range s.samplers {
		if sampler.changing || sampler.shown[work.Model] >= work.NewestVersion || now.Before(sampler.notBefore) {
			continue
		}
		sampler.price = s.price(work, sampler)
		zones[sampler.zone] = append(zones[sampler.zone], sampler)
	}
	for _, zone := range zones {
		slices.SortFunc(zone, func(a, b *sampler) int {
			return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.running, b.running), cmp.Compare(a.server, b.server))
		})
	}
	return zones
}

// take takes the sampler where a plan's next load costs least; nil if none is
// left. Among equal ones it is in the zone where the fewest change.
func (s *Schedule) take(plan *plan, changing map[string]int) *sampler {
	var best *sampler
	for zone, waiting := range plan.zones {
		for len(waiting) > 0 && waiting[0].changing {
			waiting = waiting[1:]
		}
		plan.zones[zone] = waiting
		if len(waiting) > 0 && (best == nil || s.compare(plan.work, waiting[0], best, changing) < 0) {
			best = waiting[0]
		}
	}
	return best
}

// compare orders two samplers by what a load costs there.
func (s *Schedule) compare(work *Demand, a, b *sampler, changing map[string]int) int {
	return cmp.Or(
		cmp.Compare(s.price(work, a), s.price(work, b)),
		cmp.Compare(changing[a.zone], changing[b.zone]),
		cmp.Compare(a.running, b.running),
		cmp.Compare(a.server, b.server),
	)
}

// Prices of a load at a sampler, each above all below it together.
const (
	// priceOther is for each other model that can use the sampler: models are spread.
	priceOther = 1
	// priceComing is for weights that the coming step takes too, priceOpen for
	// those that the open one takes: weights that no step takes any more cost nothing.
	priceComing = 1 << 20
	priceOpen   = 1 << 21
)

// price returns what a load costs at a sampler.
func (s *Schedule) price(work *Demand, sampler *sampler) int {
	price := priceOther * s.others(work, sampler)
	version := sampler.shown[work.Model]
	if version >= work.NextMinVersion {
		price += priceComing
	}
	if version >= work.MinVersion {
		price += priceOpen
	}
	return price
}

// others returns how many other models can use a sampler for their open step.
func (s *Schedule) others(work *Demand, sampler *sampler) int {
	count := 0
	for i := range s.work {
		other := &s.work[i]
		if other.Model != work.Model && other.NewestVersion > 0 && sampler.shown[other.Model] >= other.MinVersion {
			count++
		}
	}
	return count
}
