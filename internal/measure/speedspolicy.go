package measure

import (
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

// slownessOf3 scales a slowness so that route.IsSlow holds above 3 in place of 1.8.
const slownessOf3 = 1.8 / 3

// speedsPolicy is a rule for the placement and moves of items.
type speedsPolicy struct {
	name string
	// slownessScale scales the slowness of today's rule.
	slownessScale float64
	// hasUsual keeps the usual gap apart from the pace; without it the pace is both.
	hasUsual bool
	// hasGapOrder places by expected gap, where the pool's samplers differ lastingly.
	hasGapOrder       bool
	hasShortestOnSlow bool
	// hasRest moves a run only if its rest ends clearly sooner.
	hasRest bool
	// isExact compares gaps exactly.
	isExact bool
	// minSaving replaces the least time that a move saves; 0 keeps it.
	minSaving time.Duration
}

func speedsPolicies() []speedsPolicy {
	chosen := speedsPolicy{name: "chosen", slownessScale: 1, hasUsual: true, hasGapOrder: true, hasShortestOnSlow: true, hasRest: true}
	change := func(name string, apply func(*speedsPolicy)) speedsPolicy {
		policy := chosen
		policy.name = name
		apply(&policy)
		return policy
	}
	return []speedsPolicy{
		{name: "today", slownessScale: 1},
		{name: "today, maxSlowness 3", slownessScale: slownessOf3},
		chosen,
		change("without the usual gap", func(p *speedsPolicy) { p.hasUsual = false }),
		change("without placement by gap", func(p *speedsPolicy) { p.hasGapOrder, p.hasShortestOnSlow = false, false }),
		change("without shortest on slow", func(p *speedsPolicy) { p.hasShortestOnSlow = false }),
		change("without moves by rest", func(p *speedsPolicy) { p.hasRest = false }),
		change("with exact gaps", func(p *speedsPolicy) { p.isExact = true }),
		change("with moves from 500 ms", func(p *speedsPolicy) { p.minSaving = 500 * time.Millisecond }),
	}
}

// speedsView is a policy's view of the pool at one time.
type speedsView struct {
	run     *speedsRun
	policy  speedsPolicy
	typical time.Duration
	// fast is the pool's fast gap; 0 if the policy has none.
	fast time.Duration
	best *speedsSampler
}

// view returns the view in which the next item is placed.
func (p speedsPolicy) view(r *speedsRun) *speedsView {
	view := &speedsView{run: r, policy: p}
	var paces []time.Duration
	var all []route.Gaps
	for _, sampler := range r.samplers {
		gaps := view.gaps(sampler)
		if gaps.Present > 0 {
			paces = append(paces, gaps.Present)
		}
		all = append(all, gaps)
	}
	if len(paces) > 0 {
		slices.Sort(paces)
		view.typical = paces[len(paces)/4]
	}
	if p.hasGapOrder || p.hasRest || p.hasUsual {
		view.fast = route.FastGap(all)
	}
	view.best = view.choose()
	return view
}

// gaps returns the gaps of a sampler by which the policy decides.
func (v *speedsView) gaps(sampler *speedsSampler) route.Gaps {
	gaps := sampler.known.Gaps(v.run.now)
	if !v.policy.hasUsual {
		gaps.Usual = gaps.Present
	}
	return gaps
}

func (v *speedsView) slowness(sampler *speedsSampler) float64 {
	gaps, reference := v.gaps(sampler), v.typical
	if v.policy.hasUsual && v.fast > 0 {
		reference = gaps.Usual
	}
	if gaps.Present == 0 || reference == 0 {
		return 1
	}
	return v.policy.slownessScale * float64(gaps.Present) / float64(reference)
}

func (v *speedsView) choose() *speedsSampler {
	var candidates []route.Candidate
	for _, sampler := range v.run.samplers {
		candidate := route.Candidate{Server: sampler.Server, Slowness: v.slowness(sampler)}
		if v.policy.hasGapOrder && v.fast > 0 {
			candidate.Slowness = 1
			candidate.Gap = v.gaps(sampler).Expected()
			if !v.policy.isExact || candidate.Gap == 0 {
				candidate.Gap = route.RoundGap(candidate.Gap, v.fast)
			}
		}
		candidates = append(candidates, candidate)
	}
	chosen := route.LeastUtilized(candidates, "z")
	for _, sampler := range v.run.samplers {
		if sampler.Server == chosen {
			return sampler
		}
	}
	return nil
}

func (v *speedsView) hasOnlySlowSlots() bool {
	return v.fast > 0 && v.best != nil && route.IsSlowGap(v.gaps(v.best).Expected(), v.fast)
}

// move returns the run of a step to move to the best free slot; nil if there is none.
func (p speedsPolicy) move(r *speedsRun, step *speedsStep) *speedsGeneration {
	view := p.view(r)
	if view.best == nil {
		return nil
	}
	var late *speedsGeneration
	var saving time.Duration
	for _, generation := range r.running {
		if generation.step != step || generation.sampler == view.best || !step.plan.MayMove(generation.job.Index()) {
			continue
		}
		if p.hasRest && view.fast > 0 {
			saved := p.saving(step.plan.Remaining(generation.job.Index()), view.gaps(generation.sampler).Expected(), view.gaps(view.best).Expected())
			if saved > saving {
				late, saving = generation, saved
			}
			continue
		}
		if route.IsSlow(view.slowness(generation.sampler)) && !route.IsSlow(view.slowness(view.best)) {
			return generation
		}
	}
	return late
}

func (p speedsPolicy) saving(remaining int, own, other time.Duration) time.Duration {
	if p.minSaving == 0 {
		return batch.MoveSaving(remaining, own, other)
	}
	saving := time.Duration(remaining) * (own - other)
	if own == 0 || other == 0 || saving <= p.minSaving {
		return 0
	}
	return saving
}
