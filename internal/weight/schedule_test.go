package weight

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// pool is a pool of samplers in simulated time: each load takes a second.
type pool struct {
	schedule *Schedule
	seats    []SamplerState
	ends     map[string]end
	now      time.Time
	// loads counts the loads of a version of a model.
	loads map[string]int
}

// end is the end of a load.
type end struct {
	Change

	at time.Time
}

func newPool(count int) *pool {
	return &pool{
		schedule: &Schedule{Share: 0.5, Lag: DefaultLag}, seats: seats(count),
		ends: map[string]end{}, now: start, loads: map[string]int{},
	}
}

// holds sets the version that samplers have of a model.
func (p *pool) holds(model string, version uint64, seats ...int) *pool {
	for _, seat := range seats {
		p.seats[seat].Versions[model] = version
	}
	return p
}

// next returns what is ordered now.
func (p *pool) next(work ...Demand) []Change {
	p.schedule.SetDemand(work)
	p.schedule.Observe(p.seats, p.now)
	changes := p.schedule.Next(p.now)
	for _, change := range changes {
		p.loads[fmt.Sprintf("%s %d", change.Model, change.Version)]++
		p.ends[change.Sampler] = end{Change: change, at: p.now.Add(time.Second)}
	}
	return changes
}

// pass lets time pass, and ends the loads that are over then.
func (p *pool) pass(length time.Duration) {
	p.now = p.now.Add(length)
	for i := range p.seats {
		done, isLoading := p.ends[p.seats[i].ID]
		if isLoading && !p.now.Before(done.at) {
			delete(p.ends, done.Sampler)
			p.seats[i].Versions[done.Model] = done.Version
			p.schedule.Done(done.Sampler, done.Version, p.now)
		}
	}
}

// usable counts the samplers that have a version of a model or a newer one.
func (p *pool) usable(model string, version uint64) int {
	count := 0
	for _, seat := range p.seats {
		if seat.Versions[model] >= version {
			count++
		}
	}
	return count
}

func through(first, last int) []int {
	var all []int
	for i := first; i <= last; i++ {
		all = append(all, i)
	}
	return all
}

// Three trainers share eleven samplers. One of them has a single sampler whose
// weights its open step takes; the others have four each, and theirs still serve
// this step and the next. Its generations wait for that one sampler, while each
// new version of the others is loaded first since their names come first.
func TestNoModelWaitsWhileAnotherIsRefreshed(t *testing.T) {
	p := newPool(11)
	p.holds("a", 5, through(0, 3)...).holds("b", 5, through(4, 7)...).holds("c", 5, 8)
	a := Demand{Model: "a", NewestVersion: 6, MinVersion: 5, NextMinVersion: 6, Runs: 32}
	b := Demand{Model: "b", NewestVersion: 6, MinVersion: 5, NextMinVersion: 6, Runs: 32}
	c := Demand{Model: "c", NewestVersion: 5, MinVersion: 4, NextMinVersion: 5, Runs: 48}
	for _, change := range p.next(a, b, c) {
		must.Eq(t, "c", change.Model)
	}
}

// One trainer's steps have four times the generations of the other's. Given
// equal parts, its generations wait while slots of the other part stand idle.
func TestSamplersByWork(t *testing.T) {
	p := newPool(10)
	large := Demand{Model: "a", NewestVersion: 2, MinVersion: 2, NextMinVersion: 2, Runs: 64}
	small := Demand{Model: "b", NewestVersion: 2, MinVersion: 2, NextMinVersion: 2, Runs: 16}
	for range 20 {
		p.next(large, small)
		p.pass(time.Second)
	}
	must.Eq(t, 8, p.usable("a", 2))
	must.Eq(t, 2, p.usable("b", 2))
}

func TestCheapestSampler(t *testing.T) {
	work := Demand{Model: "a", NewestVersion: 7, MinVersion: 5, NextMinVersion: 6, Runs: 32}
	for name, test := range map[string]struct {
		set  func(p *pool)
		want string
	}{
		"weights that no step takes any more":    {func(p *pool) { p.holds("a", 5, 0, 1).holds("a", 4, 2).holds("a", 6, 3) }, "s02"},
		"weights that the coming step can't use": {func(p *pool) { p.holds("a", 6, 0, 1, 2).holds("a", 5, 3) }, "s03"},
		"one that other models don't use":        {func(p *pool) { p.holds("b", 3, 0, 1, 3) }, "s02"},
		"one that runs less": {func(p *pool) {
			p.seats[0].Running, p.seats[1].Running, p.seats[2].Running = 3, 2, 4
			p.seats[3].Running = 1
		}, "s03"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(4)
			test.set(p)
			other := Demand{Model: "b", NewestVersion: 3, MinVersion: 3, NextMinVersion: 3, Runs: 8}
			if p.usable("b", 3) == 0 {
				other = Demand{Model: "b"}
			}
			changes := p.next(work, other)
			must.Eq(t, test.want, changes[0].Sampler)
			must.Eq(t, 7, changes[0].Version)
		})
	}
}

// Versions are named faster than samplers load. One that is named while another
// one loads is passed over once a newer one is there: it would be too old before
// it was used.
func TestVersionsAreSkipped(t *testing.T) {
	p := newPool(2)
	for version := uint64(2); version <= 9; version++ {
		p.next(Demand{Model: "a", NewestVersion: version, MinVersion: version, NextMinVersion: version})
		p.pass(300 * time.Millisecond)
	}
	must.Eq(t, 0, p.loads["a 3"]+p.loads["a 4"])
}

// Loads cost, and a sampler that loads refuses new work: once the coming step has
// the samplers that it can use, nothing more is loaded for it.
func TestNoMoreThanAStepCanUse(t *testing.T) {
	p := newPool(12)
	for range 30 {
		p.next(Demand{Model: "a", NewestVersion: 4, MinVersion: 3, NextMinVersion: 4, Runs: 20})
		p.pass(time.Second)
	}
	must.Eq(t, 3, p.loads["a 4"])
}

// A sampler answers no order and is asked again and again. The others must not
// wait for it.
func TestOneSamplerFails(t *testing.T) {
	p := newPool(6)
	work := Demand{Model: "a", NewestVersion: 2, MinVersion: 2, NextMinVersion: 2}
	for range 60 {
		for _, change := range p.next(work) {
			if change.Sampler == "s00" {
				delete(p.ends, change.Sampler)
				p.schedule.Failed(change.Sampler, p.now)
			}
		}
		p.pass(200 * time.Millisecond)
	}
	must.Eq(t, 5, p.usable("a", 2))
}

// A sampler starts again while it loads, with nothing of what it had. An answer to
// the order before says nothing of its new start.
func TestSamplerStartsAgain(t *testing.T) {
	p := newPool(1)
	work := Demand{Model: "a", NewestVersion: 2, MinVersion: 2, NextMinVersion: 2}
	must.Len(t, 1, p.next(work))
	p.seats[0].StartedAtMillis++
	p.pass(100 * time.Millisecond)
	must.Len(t, 1, p.next(work))
}

// A new holder knows nothing of what the one before it decided. It reads it off
// the versions, since each change of a sampler's model costs a load.
func TestScheduleAfterTakeover(t *testing.T) {
	p := newPool(4)
	p.holds("m1", 5, 1, 3).holds("m2", 5, 0, 2)
	m1 := Demand{Model: "m1", NewestVersion: 5, MinVersion: 4, NextMinVersion: 5, Runs: 16}
	m2 := Demand{Model: "m2", NewestVersion: 5, MinVersion: 4, NextMinVersion: 5, Runs: 16}
	must.SliceEmpty(t, p.next(m1, m2))
}

// drawWork returns models whose trainers are anywhere in their steps.
func drawWork(t *rapid.T) []Demand {
	var work []Demand
	for i := range rapid.IntRange(1, 8).Draw(t, "models") {
		named := uint64(rapid.IntRange(2, 5).Draw(t, "named"))
		oldest := named - uint64(rapid.IntRange(0, 1).Draw(t, "lag"))
		work = append(work, Demand{
			Model: fmt.Sprintf("m%d", i), NewestVersion: named, MinVersion: oldest, NextMinVersion: min(named, oldest+1),
			Runs: rapid.IntRange(0, 100).Draw(t, "runs"),
		})
	}
	return work
}

// Whatever models and samplers there are, each model has a sampler for its open
// step before any model has all that it can use twice over: within as many loads
// as there are models.
func TestNoModelStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(rapid.IntRange(1, 30).Draw(t, "samplers"))
		work := drawWork(t)
		loads := 0
		for loads < len(work) {
			before := len(p.loads)
			for range p.next(work...) {
				loads++
			}
			p.pass(time.Second)
			if before == len(p.loads) && len(p.ends) == 0 {
				break
			}
		}
		p.pass(time.Second)
		for _, one := range work {
			must.Positive(t, p.usable(one.Model, one.MinVersion))
		}
	})
}

// While nothing changes, loads end: no version is loaded more often than there are
// samplers, and what every model can use is there.
func TestLoadsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 20).Draw(t, "samplers")
		p := newPool(count)
		work := drawWork(t)
		for range len(work)*count + 1 {
			p.next(work...)
			p.pass(time.Second)
		}
		must.SliceEmpty(t, p.next(work...))
		for _, one := range work {
			must.LessEq(t, count, p.loads[fmt.Sprintf("%s %d", one.Model, one.NewestVersion)])
			must.GreaterEq(t, p.schedule.wanted(&one), p.usable(one.Model, one.NextMinVersion))
		}
	})
}

// Other names of models change nothing but which of two equal ones is first.
func TestNamesDecideNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		work := drawWork(t)
		other := make([]Demand, len(work))
		for i, one := range work {
			one.Model = fmt.Sprintf("x%d", len(work)-i)
			other[len(work)-1-i] = one
		}
		p, q := newPool(12), newPool(12)
		p.next()
		// Models that can use as many samplers as another one are told apart by their
		// places only: they are left out.
		for i := range work {
			for j := range work[:i] {
				if p.schedule.wanted(&work[i]) == p.schedule.wanted(&work[j]) {
					return
				}
			}
		}
		first, second := p.next(work...), q.next(other...)
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
	t.Run("steps take the version before too", func(t *testing.T) {
		var steps Steps
		steps.RecordVersion("a", 6)
		steps.Open("b1", Step{Model: "a", Oldest: 5, Runs: 64})
		must.Eq(t, Demand{Model: "a", NewestVersion: 6, MinVersion: 5, NextMinVersion: 6, Runs: 64}, steps.Demand("a"))
		// The step is over, and its trainer names the next version: its next step is
		// about to come, and takes versions from 6 on.
		steps.Close("b1")
		must.True(t, steps.RecordVersion("a", 7))
		must.Eq(t, Demand{Model: "a", NewestVersion: 7, MinVersion: 6, NextMinVersion: 7, Runs: 64}, steps.Demand("a"))
	})
	t.Run("an older step that is heard of late changes nothing", func(t *testing.T) {
		var steps Steps
		steps.RecordVersion("a", 6)
		steps.Open("b2", Step{Model: "a", Oldest: 5, Runs: 64})
		steps.Open("b1", Step{Model: "a", Oldest: 4, Runs: 32})
		must.Eq(t, Demand{Model: "a", NewestVersion: 6, MinVersion: 5, NextMinVersion: 6, Runs: 64}, steps.Demand("a"))
	})
	t.Run("a version named before is not new", func(t *testing.T) {
		var steps Steps
		must.True(t, steps.RecordVersion("a", 3))
		must.False(t, steps.RecordVersion("a", 3))
		must.False(t, steps.RecordVersion("a", 2))
	})
}
