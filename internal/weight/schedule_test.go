package weight

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// pool simulates a pool of samplers in which each load takes a second.
type pool struct {
	schedule *Schedule
	samplers []SamplerState
	pending  map[string]pendingLoad
	now      time.Time
	// loads counts the loads by model and version.
	loads map[string]int
}

// pendingLoad is a load in progress with its end time.
type pendingLoad struct {
	ScheduledLoad

	endsAt time.Time
}

func newPool(count int) *pool {
	return &pool{
		schedule: &Schedule{Share: 0.5, Lag: DefaultLag}, samplers: newSamplers(count),
		pending: map[string]pendingLoad{}, now: start, loads: map[string]int{},
	}
}

// setVersion sets the version of a model that samplers have.
func (p *pool) setVersion(model string, version uint64, samplers ...int) *pool {
	for _, sampler := range samplers {
		p.samplers[sampler].Versions[model] = version
	}
	return p
}

// next returns the loads ordered now.
func (p *pool) next(demands ...Demand) []ScheduledLoad {
	p.schedule.SetDemand(demands)
	p.schedule.Observe(p.samplers, p.now)
	loads := p.schedule.Next(p.now)
	for _, load := range loads {
		p.loads[fmt.Sprintf("%s %d", load.Model, load.Version)]++
		p.pending[load.Sampler] = pendingLoad{ScheduledLoad: load, endsAt: p.now.Add(time.Second)}
	}
	return loads
}

// advance advances the time and ends the loads that are due.
func (p *pool) advance(length time.Duration) {
	p.now = p.now.Add(length)
	for i := range p.samplers {
		load, isLoading := p.pending[p.samplers[i].ID]
		if isLoading && !p.now.Before(load.endsAt) {
			delete(p.pending, load.Sampler)
			p.samplers[i].Versions[load.Model] = load.Version
			p.schedule.RecordLoaded(load.Sampler, load.Version, p.now)
		}
	}
}

// usable counts the samplers that have the given or a newer version of a model.
func (p *pool) usable(model string, version uint64) int {
	count := 0
	for _, sampler := range p.samplers {
		if sampler.Versions[model] >= version {
			count++
		}
	}
	return count
}

func indices(first, last int) []int {
	var all []int
	for i := first; i <= last; i++ {
		all = append(all, i)
	}
	return all
}

// Guards against refreshing one model while another waits for samplers. Three trainers share eleven
// samplers. The first trainer has a single sampler whose weights its open step accepts; the other
// two have four each, which still serve their open and next steps. If loads follow the order of
// names, each new version of the other trainers is loaded first, and all generations of the first
// trainer wait for its single sampler.
func TestWaitingModelGoesFirst(t *testing.T) {
	p := newPool(11)
	p.setVersion("a", 5, indices(0, 3)...).setVersion("b", 5, indices(4, 7)...).setVersion("c", 5, 8)
	a := Demand{Model: "a", NewestVersion: 6, MinVersion: 5, NextMinVersion: 6, Runs: 32}
	b := Demand{Model: "b", NewestVersion: 6, MinVersion: 5, NextMinVersion: 6, Runs: 32}
	c := Demand{Model: "c", NewestVersion: 5, MinVersion: 4, NextMinVersion: 5, Runs: 48}
	for _, load := range p.next(a, b, c) {
		must.Eq(t, "c", load.Model)
	}
}

// Guards against dividing samplers equally between unequal loads. One trainer's steps have four
// times as many generations as the other's. With equal shares, the larger trainer's generations
// wait while slots of the smaller trainer are idle.
func TestSamplersByWork(t *testing.T) {
	p := newPool(10)
	large := Demand{Model: "a", NewestVersion: 2, MinVersion: 2, NextMinVersion: 2, Runs: 64}
	small := Demand{Model: "b", NewestVersion: 2, MinVersion: 2, NextMinVersion: 2, Runs: 16}
	for range 20 {
		p.next(large, small)
		p.advance(time.Second)
	}
	must.Eq(t, 8, p.usable("a", 2))
	must.Eq(t, 2, p.usable("b", 2))
}

func TestCheapestSampler(t *testing.T) {
	demand := Demand{Model: "a", NewestVersion: 7, MinVersion: 5, NextMinVersion: 6, Runs: 32}
	for name, test := range map[string]struct {
		set  func(p *pool)
		want string
	}{
		"weights that no step accepts any more": {func(p *pool) { p.setVersion("a", 5, 0, 1).setVersion("a", 4, 2).setVersion("a", 6, 3) }, "s02"},
		"weights that the next step can't use":  {func(p *pool) { p.setVersion("a", 6, 0, 1, 2).setVersion("a", 5, 3) }, "s03"},
		"one that other models don't use":       {func(p *pool) { p.setVersion("b", 3, 0, 1, 3) }, "s02"},
		"one that runs less": {func(p *pool) {
			p.samplers[0].Running, p.samplers[1].Running, p.samplers[2].Running = 3, 2, 4
			p.samplers[3].Running = 1
		}, "s03"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(4)
			test.set(p)
			other := Demand{Model: "b", NewestVersion: 3, MinVersion: 3, NextMinVersion: 3, Runs: 8}
			if p.usable("b", 3) == 0 {
				other = Demand{Model: "b"}
			}
			loads := p.next(demand, other)
			must.Eq(t, test.want, loads[0].Sampler)
			must.Eq(t, 7, loads[0].Version)
		})
	}
}

// Versions are announced faster than samplers load. A version announced during the load of another
// is skipped once a newer version exists, since it would be too old before it was used.
func TestVersionsAreSkipped(t *testing.T) {
	p := newPool(2)
	for version := uint64(2); version <= 9; version++ {
		p.next(Demand{Model: "a", NewestVersion: version, MinVersion: version, NextMinVersion: version})
		p.advance(300 * time.Millisecond)
	}
	must.Eq(t, 0, p.loads["a 3"]+p.loads["a 4"])
}

// Loads are expensive, and a loading sampler rejects new work: once the next step has the samplers
// that it can use, nothing more is loaded for it.
func TestNoMoreThanAStepCanUse(t *testing.T) {
	p := newPool(12)
	for range 30 {
		p.next(Demand{Model: "a", NewestVersion: 4, MinVersion: 3, NextMinVersion: 4, Runs: 20})
		p.advance(time.Second)
	}
	must.Eq(t, 3, p.loads["a 4"])
}

// Guards against one sampler blocking the others: the failing sampler answers no order, and its
// load is ordered repeatedly.
func TestOneSamplerFails(t *testing.T) {
	p := newPool(6)
	demand := Demand{Model: "a", NewestVersion: 2, MinVersion: 2, NextMinVersion: 2}
	for range 60 {
		for _, load := range p.next(demand) {
			if load.Sampler == "s00" {
				delete(p.pending, load.Sampler)
				p.schedule.RecordFailed(load.Sampler, p.now)
			}
		}
		p.advance(200 * time.Millisecond)
	}
	must.Eq(t, 5, p.usable("a", 2))
}

// A sampler restarts during a load and loses all its weights. The load must be ordered again: an
// answer to the earlier order says nothing about the weights of the restarted sampler.
func TestSamplerStartsAgain(t *testing.T) {
	p := newPool(1)
	demand := Demand{Model: "a", NewestVersion: 2, MinVersion: 2, NextMinVersion: 2}
	must.Len(t, 1, p.next(demand))
	p.samplers[0].StartedAtMillis++
	p.advance(100 * time.Millisecond)
	must.Len(t, 1, p.next(demand))
}

// A new holder doesn't know its predecessor's decisions. The new holder derives them from the
// samplers' versions, since each change of a sampler's model costs a load.
func TestScheduleAfterTakeover(t *testing.T) {
	p := newPool(4)
	p.setVersion("m1", 5, 1, 3).setVersion("m2", 5, 0, 2)
	m1 := Demand{Model: "m1", NewestVersion: 5, MinVersion: 4, NextMinVersion: 5, Runs: 16}
	m2 := Demand{Model: "m2", NewestVersion: 5, MinVersion: 4, NextMinVersion: 5, Runs: 16}
	must.SliceEmpty(t, p.next(m1, m2))
}

// drawDemands draws the demands of models with arbitrary versions and step sizes.
func drawDemands(t *rapid.T) []Demand {
	var demands []Demand
	for i := range rapid.IntRange(1, 8).Draw(t, "models") {
		newest := uint64(rapid.IntRange(2, 5).Draw(t, "named"))
		minVersion := newest - uint64(rapid.IntRange(0, 1).Draw(t, "lag"))
		demands = append(demands, Demand{
			Model: fmt.Sprintf("m%d", i), NewestVersion: newest, MinVersion: minVersion, NextMinVersion: min(newest, minVersion+1),
			Runs: rapid.IntRange(0, 100).Draw(t, "runs"),
		})
	}
	return demands
}

// Guards against starving a model. For any models and samplers, each model has a sampler for its
// open step after at most as many loads as there are models.
func TestNoModelStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(rapid.IntRange(1, 30).Draw(t, "samplers"))
		demands := drawDemands(t)
		loads := 0
		for loads < len(demands) {
			before := len(p.loads)
			for range p.next(demands...) {
				loads++
			}
			p.advance(time.Second)
			if before == len(p.loads) && len(p.pending) == 0 {
				break
			}
		}
		p.advance(time.Second)
		for _, demand := range demands {
			must.Positive(t, p.usable(demand.Model, demand.MinVersion))
		}
	})
}

// If the demands don't change, scheduling ends: no version is loaded more often than there are
// samplers, and no model has more samplers than it can use.
func TestLoadsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 20).Draw(t, "samplers")
		p := newPool(count)
		demands := drawDemands(t)
		for range len(demands)*count + 1 {
			p.next(demands...)
			p.advance(time.Second)
		}
		must.SliceEmpty(t, p.next(demands...))
		for _, demand := range demands {
			must.LessEq(t, count, p.loads[fmt.Sprintf("%s %d", demand.Model, demand.NewestVersion)])
			must.GreaterEq(t, p.schedule.wantedSamplers(&demand), p.usable(demand.Model, demand.NextMinVersion))
		}
	})
}

// Model names affect only the order of models with equal demands.
func TestNamesDoNotAffectSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		other := make([]Demand, len(demands))
		for i, demand := range demands {
			demand.Model = fmt.Sprintf("x%d", len(demands)-i)
			other[len(demands)-1-i] = demand
		}
		p, q := newPool(12), newPool(12)
		p.next()
		// Models that can use equally many samplers are ordered by position only and are left
		// out.
		for i := range demands {
			for j := range demands[:i] {
				if p.schedule.wantedSamplers(&demands[i]) == p.schedule.wantedSamplers(&demands[j]) {
					return
				}
			}
		}
		first, second := p.next(demands...), q.next(other...)
		must.Eq(t, len(first), len(second))
		for i := range first {
			must.Eq(t, first[i].Wanted, second[i].Wanted)
			must.Eq(t, first[i].Version, second[i].Version)
		}
	})
}

func TestSteps(t *testing.T) {
	t.Run("nothing is known", func(t *testing.T) {
		var steps Steps
		must.Eq(t, Demand{Model: "a"}, steps.Demand("a"))
	})
	t.Run("a version that no step has asked for yet is wanted everywhere", func(t *testing.T) {
		var steps Steps
		must.True(t, steps.RecordVersion("a", 2))
		must.Eq(t, Demand{Model: "a", NewestVersion: 2, MinVersion: 2, NextMinVersion: 2}, steps.Demand("a"))
	})
	t.Run("steps accept the version before too", func(t *testing.T) {
		var steps Steps
		steps.RecordVersion("a", 6)
		steps.Open("b1", Step{Model: "a", MinVersion: 5, Runs: 64})
		must.Eq(t, Demand{Model: "a", NewestVersion: 6, MinVersion: 5, NextMinVersion: 6, Runs: 64}, steps.Demand("a"))
		// The step has ended and its trainer announces the next version: the trainer's next step is
		// imminent and accepts versions from 6 on.
		steps.Close("b1")
		must.True(t, steps.RecordVersion("a", 7))
		must.Eq(t, Demand{Model: "a", NewestVersion: 7, MinVersion: 6, NextMinVersion: 7, Runs: 64}, steps.Demand("a"))
	})
	t.Run("an older step opened late changes nothing", func(t *testing.T) {
		var steps Steps
		steps.RecordVersion("a", 6)
		steps.Open("b2", Step{Model: "a", MinVersion: 5, Runs: 64})
		steps.Open("b1", Step{Model: "a", MinVersion: 4, Runs: 32})
		must.Eq(t, Demand{Model: "a", NewestVersion: 6, MinVersion: 5, NextMinVersion: 6, Runs: 64}, steps.Demand("a"))
	})
	t.Run("a version named before is not new", func(t *testing.T) {
		var steps Steps
		must.True(t, steps.RecordVersion("a", 3))
		must.False(t, steps.RecordVersion("a", 3))
		must.False(t, steps.RecordVersion("a", 2))
	})
}
