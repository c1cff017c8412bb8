package measure

import (
	"slices"

	"github.com/bramleyhatch/bramleyhatch/internal/weight"
)

// loadsPolicy orders loads at each tick.
type loadsPolicy struct {
	name   string
	decide func(*loadsRun)
	// isFree gives every sampler every version: no policy can be better.
	isFree bool
}

// decideByLack orders what weight.Schedule says.
func decideByLack(r *loadsRun) {
	var work []weight.Demand
	for _, trainer := range r.trainers {
		work = append(work, r.steps.Demand(trainer.model))
	}
	var seats []weight.SamplerState
	for _, sampler := range r.samplers {
		seats = append(seats, sampler.SamplerState)
	}
	r.schedule.SetDemand(work)
	r.schedule.Observe(seats, r.now)
	for _, change := range r.schedule.Next(r.now) {
		at := slices.IndexFunc(r.samplers, func(one *loadsSampler) bool { return one.ID == change.Sampler })
		r.begin(r.samplers[at], change.Model, change.Version)
	}
}

// decideInParts gives each model a part of its own and goes through the models in
// order, at most a third of the samplers at a time.
func decideInParts(r *loadsRun) {
	room := max(1, len(r.samplers)/3) - r.loading()
	for m, trainer := range r.trainers {
		for i, sampler := range r.samplers {
			if i%len(r.trainers) != m || sampler.left > 0 || sampler.Versions[trainer.model] >= trainer.named {
				continue
			}
			if room <= 0 {
				return
			}
			room--
			r.begin(sampler, trainer.model, trainer.named)
		}
	}
}

// decideEverywhere brings every version to every sampler, the one that is furthest
// behind first, as many at a time as the store carries.
func decideEverywhere(r *loadsRun) {
	for r.loading() < r.site.FullSpeedLoads {
		var best *loadsSampler
		var of *loadsTrainer
		for _, sampler := range r.samplers {
			for _, trainer := range r.trainers {
				if sampler.left > 0 || sampler.Versions[trainer.model] >= trainer.named {
					continue
				}
				if best == nil || trainer.named-sampler.Versions[trainer.model] > of.named-best.Versions[of.model] {
					best, of = sampler, trainer
				}
			}
		}
		if best == nil {
			return
		}
		r.begin(best, of.model, of.named)
	}
}
