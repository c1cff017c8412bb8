package weight

import (
	"math"
	"slices"
	"time"
)

const (
	leastPause    = 200 * time.Millisecond
	greatestPause = 5 * time.Second
	// DefaultLag is for how long a load report may show what was before a change.
	DefaultLag = 3 * time.Second
)

// Demand is what the steps of a model's trainer ask of the samplers of a pool.
type Demand struct {
	Model string
	// NewestVersion is the newest version that was named; 0 if none was.
	NewestVersion uint64
	// MinVersion is the oldest version that the open step takes, or the next one if none is open.
	MinVersion uint64
	// NextMinVersion is the oldest version that the step after that one will take; it is
	// not above Named.
	NextMinVersion uint64
	// Runs is the number of generations that a step begins at once; 0 if it isn't
	// known, which asks for all samplers.
	Runs int
}

// SamplerState is a sampler of a pool as it is seen now.
type SamplerState struct {
	ID   string
	Zone string
	// StartedAtMillis tells its starts apart; a new one has forgotten all orders.
	StartedAtMillis int64
	// Slots is the number of generations that it runs at the same time; 0 if not known.
	Slots int
	// Running is the number of generations that it runs now; 0 if not known.
	Running uint32
	// Versions of the weights by model.
	Versions map[string]uint64
}

// Change is a sampler that is to load a version.
type Change struct {
	Sampler    string
	Model   string
	Version uint64
	// Open and Coming are the samplers that the model had for its open and for its
	// coming step, and Wanted those that it can use: what decided.
	Open, Next, Wanted int
}

// Schedule decides which sampler of a pool loads which version of which model
// next. It does no input or output, takes the time from its caller and is not
// safe for concurrent use.
//
// Loads are scarce: the weights' store carries a few at a time, and a version
// serves few steps. A sampler holds weights of every model at once, and a load
// concerns one of them only, so samplers aren't divided between models: each
// load goes to the model whose step lacks samplers most, and replaces the oldest
// weights of that model.
type Schedule struct {
	// Share is the greatest share of the samplers that change at the same time.
	Share float64
	// Lag is for how long a load report may show what was before a change.
	Lag time.Duration

	samplers map[string]*sampler
	work     []Demand
	width    width
	// under is the number of changes under way.
	under int
	// busy is the time of all changes added up until counted.
	busy    time.Duration
	counted time.Time
}

// sampler is what is known of one sampler.
type sampler struct {
	server  string
	zone    string
	born    int64
	slots   int
	running uint32
	// price of a load in the round that is being decided.
	price int
	shown map[string]uint64
	// model and ordered are those of the newest order.
	model    string
	ordered  uint64
	changing bool
	since    time.Time
	// busy is the schedule's own when the order was sent.
	busy time.Duration
	// settled is when it last answered an order.
	settled   time.Time
	failures  int
	notBefore time.Time
}

// SetDemand sets what the models' steps ask for. A version that is newer than before
// is tried at once, also where the one before has failed.
func (s *Schedule) SetDemand(work []Demand) {
	for _, one := range work {
		before := s.workOf(one.Model)
		if before != nil && one.NewestVersion <= before.NewestVersion {
			continue
		}
		for _, sampler := range s.samplers {
			sampler.failures = 0
			sampler.notBefore = time.Time{}
		}
	}
	s.work = slices.Clone(work)
}

func (s *Schedule) workOf(model string) *Demand {
	for i := range s.work {
		if s.work[i].Model == model {
			return &s.work[i]
		}
	}
	return nil
}

// Observe takes the samplers that are live now, as registrations and load reports
// show them.
func (s *Schedule) Observe(live []SamplerState, now time.Time) {
	known := s.begin(len(live), now)
	for i := range live {
		seat := &live[i]
		one := s.observe(known, seat.ID, seat.Zone, seat.StartedAtMillis)
		one.slots = seat.Slots
		one.running = seat.Running
		for model, version := range seat.Versions {
			s.see(one, model, version, now)
		}
	}
}

// begin begins a new set of samplers, and returns the one before.
func (s *Schedule) begin(count int, now time.Time) map[string]*sampler {
	s.count(now)
	known := s.samplers
	s.samplers = make(map[string]*sampler, count)
	s.under = 0
	return known
}

// observe notes that a sampler is live, and keeps what is known of its start.
func (s *Schedule) observe(known map[string]*sampler, server, zone string, born int64) *sampler {
	one := known[server]
	if one == nil || one.born != born {
		one = &sampler{server: server, born: born, shown: map[string]uint64{}}
	}
	one.zone = zone
	s.samplers[server] = one
	if one.changing {
		s.under++
	}
	return one
}

// see takes the version of a load report. Reports lag: just after a change they
// still show the version before, and believing them would order it again.
func (s *Schedule) see(sampler *sampler, model string, version uint64, now time.Time) {
	if version == 0 || version == sampler.shown[model] {
		return
	}
	if version < sampler.shown[model] && now.Sub(sampler.settled) < s.Lag {
		return
	}
	sampler.shown[model] = version
}

// InFlight returns the number of samplers with an order under way.
func (s *Schedule) InFlight() int { return s.under }

// Done notes the version of the ordered model that a sampler showed after an order.
//
// A swap can fail while the order is answered, and an engine that ignores
// fencing numbers can be set back by an old order: only the version shown
// counts, and one that is too old is ordered again.
func (s *Schedule) Done(server string, shown uint64, now time.Time) {
	sampler := s.samplers[server]
	if sampler == nil || !sampler.changing {
		return
	}
	s.end(sampler, now)
	sampler.settled = now
	sampler.shown[sampler.model] = shown
	if shown < sampler.ordered {
		sampler.fail(now)
		return
	}
	sampler.failures = 0
	took := now.Sub(sampler.since)
	s.width.learn(took, (s.busy-sampler.busy).Seconds()/took.Seconds())
}

// Failed notes that an order was not answered, or refused.
func (s *Schedule) Failed(server string, now time.Time) {
	sampler := s.samplers[server]
	if sampler == nil || !sampler.changing {
		return
	}
	s.end(sampler, now)
	// An order that timed out has waited for the store; one refused at once says nothing of it.
	s.width.narrow(now.Sub(sampler.since))
	sampler.fail(now)
}

// end notes that an order is under way no more.
func (s *Schedule) end(sampler *sampler, now time.Time) {
	s.count(now)
	s.under--
	sampler.changing = false
}

func (s *sampler) fail(now time.Time) {
	s.failures++
	s.notBefore = now.Add(min(leastPause<<min(s.failures-1, 5), greatestPause))
}

// Next returns the samplers to order now.
func (s *Schedule) Next(now time.Time) []Change {
	s.count(now)
	free := s.Limit() - s.InFlight()
	if free <= 0 {
		return nil
	}
	plans := s.plans(now)
	changing := s.changingByZone()
	var changes []Change
	for len(changes) < free {
		plan := neediest(plans)
		if plan == nil {
			break
		}
		sampler := s.take(plan, changing)
		if sampler == nil {
			plan.isOver = true
			continue
		}
		plan.Sampler = sampler.server
		changes = append(changes, plan.Change)
		plan.cover(sampler)
		s.under++
		sampler.changing = true
		sampler.since, sampler.busy = now, s.busy
		sampler.model, sampler.ordered = plan.Model, plan.Version
		changing[sampler.zone]++
	}
	return changes
}

// count adds up the time of changes: how many were under way while one was tells
// whether it had to share the way to the weights.
func (s *Schedule) count(now time.Time) {
	s.busy += time.Duration(s.under) * now.Sub(s.counted)
	s.counted = now
}

// Limit returns how many samplers may change at the same time now.
func (s *Schedule) Limit() int {
	most := int(math.Max(1, s.Share*float64(len(s.samplers))))
	return s.width.limit(most)
}

func (s *Schedule) changingByZone() map[string]int {
	changing := map[string]int{}
	for _, sampler := range s.samplers {
		if sampler.changing {
			changing[sampler.zone]++
		}
	}
	return changing
}
