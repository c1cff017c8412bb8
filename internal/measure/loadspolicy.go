package measure

import (
	"slices"

	"github.com/bramleyhatch/bramleyhatch/internal/weight"
)

// loadsPolicy starts loads at each tick.
type loadsPolicy struct {
	name   string
	decide func(*loadsRun)
	// hasAllVersions gives every sampler every version: an upper bound for all policies.
	hasAllVersions bool
}

// decideBySchedule starts the loads that weight.Schedule returns.
func decideBySchedule(r *loadsRun) {
	var demands []weight.Demand
	for _, trainer := range r.trainers {
		demands = append(demands, r.steps.Demand(trainer.model))
	}
	var samplers []weight.SamplerState
	for _, sampler := range r.samplers {
		samplers = append(samplers, sampler.SamplerState)
	}
	r.schedule.SetDemand(demands)
	r.schedule.Observe(samplers, r.now)
	for _, load := range r.schedule.Next(r.now) {
		index := slices.IndexFunc(r.samplers, func(sampler *loadsSampler) bool { return sampler.ID == load.Sampler })
		r.startLoad(r.samplers[index], load.Model, load.Version)
	}
}

// decideByPartition gives each model a fixed part of the samplers and updates one model after
// another, at most a third of the samplers at a time.
func decideByPartition(r *loadsRun) {
	free := max(1, len(r.samplers)/3) - r.activeLoads()
	for m, trainer := range r.trainers {
		for i, sampler := range r.samplers {
			if i%len(r.trainers) != m || sampler.remaining > 0 || sampler.Versions[trainer.model] >= trainer.newest {
				continue
			}
			if free <= 0 {
				return
			}
			free--
			r.startLoad(sampler, trainer.model, trainer.newest)
		}
	}
}

// decideReplicateAll loads every version on every sampler, starting with the sampler furthest
// behind, and runs as many loads at a time as the store serves at full speed.
func decideReplicateAll(r *loadsRun) {
	for r.activeLoads() < r.deployment.FullSpeedLoads {
		var best *loadsSampler
		var bestTrainer *loadsTrainer
		for _, sampler := range r.samplers {
			for _, trainer := range r.trainers {
				if sampler.remaining > 0 || sampler.Versions[trainer.model] >= trainer.newest {
					continue
				}
				if best == nil || trainer.newest-sampler.Versions[trainer.model] > bestTrainer.newest-best.Versions[bestTrainer.model] {
					best, bestTrainer = sampler, trainer
				}
			}
		}
		if best == nil {
			return
		}
		r.startLoad(best, bestTrainer.model, bestTrainer.newest)
	}
}
