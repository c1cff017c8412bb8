package weight

import (
	"math"
	"slices"
	"time"
)

const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// DefaultLag is how long a load report may show the version from before a load.
	DefaultLag = 3 * time.Second
)

// Demand is what the steps of a model's trainer need from the samplers of a pool.
type Demand struct {
	Model string
	// NewestVersion is the newest version that the trainer has announced, 0 if none.
	NewestVersion uint64
	// MinVersion is the oldest version that the open step accepts, or the next step if none is
	// open.
	MinVersion uint64
	// NextMinVersion is the oldest version that the step after that one accepts; it is at most
	// NewestVersion.
	NextMinVersion uint64
	// Runs is the number of generations that a step begins at once; 0 if unknown, which wants
	// all samplers.
	Runs int
}

// SamplerState is the observed state of a sampler of a pool.
type SamplerState struct {
	ID   string
	Zone string
	// StartedAtMillis identifies a start of the sampler; a new start has forgotten all orders.
	StartedAtMillis int64
	// Slots is the number of generations that it can run at the same time, 0 if unknown.
	Slots int
	// Running is the number of generations that it runs now, 0 if unknown.
	Running uint32
	// Versions of the loaded weights by model.
	Versions map[string]uint64
}

// Change is a scheduled load: a sampler, and the version of a model that it is to load.
type Change struct {
	Sampler string
	Model   string
	Version uint64
	// Open and Next count the samplers that the model had for its open step and for the next
	// one, Wanted those that it can use. These counts decided on the load.
	Open, Next, Wanted int
}

// Schedule decides which sampler of a pool loads which version of which model next. It does no
// I/O, takes the time from its caller and is not safe for concurrent use.
//
// Loads are scarce: the weight store serves a few at a time, and a version is used by few
// steps. A sampler holds weights of every model at once, and a load replaces those of one
// model only, so samplers aren't divided between models: each load goes to the model whose
// step lacks samplers most, and replaces the oldest weights of that model.
type Schedule struct {
	// Share is the maximum share of the samplers that load at the same time.
	Share float64
	// Lag is how long a load report may show the version from before a load.
	Lag time.Duration

	samplers map[string]*sampler
	demands  []Demand
	limiter  limiter
	// inFlight is the number of loads in progress.
	inFlight int
	// loadTime is the sum of the durations of all loads until countedAt.
	loadTime  time.Duration
	countedAt time.Time
}

// sampler is the known state of one sampler.
type sampler struct {
	server string
	zone   string
	// startedAtMillis identifies its start.
	startedAtMillis int64
	slots           int
	running         uint32
	// cost of a load in the current round.
	cost     int
	versions map[string]uint64
	// orderedModel and orderedVersion are those of the newest order.
	orderedModel   string
	orderedVersion uint64
	isLoading      bool
	orderedAt      time.Time
	// loadTime is the schedule's loadTime when the order was sent.
	loadTime time.Duration
	// answeredAt is when it last answered an order.
	answeredAt time.Time
	failures   int
	retryAt    time.Time
}

// SetDemand sets what the models' steps need. A version newer than before is tried at once, even
// where the previous one has failed.
func (s *Schedule) SetDemand(demands []Demand) {
	for _, demand := range demands {
		before := s.findDemand(demand.Model)
		if before != nil && demand.NewestVersion <= before.NewestVersion {
			continue
		}
		for _, sampler := range s.samplers {
			sampler.failures = 0
			sampler.retryAt = time.Time{}
		}
	}
	s.demands = slices.Clone(demands)
}

func (s *Schedule) findDemand(model string) *Demand {
	for i := range s.demands {
		if s.demands[i].Model == model {
			return &s.demands[i]
		}
	}
	return nil
}

// Observe sets the samplers that are live now, from registrations and load reports.
func (s *Schedule) Observe(live []SamplerState, now time.Time) {
	known := s.resetSamplers(len(live), now)
	for i := range live {
		state := &live[i]
		entry := s.observeSampler(known, state.ID, state.Zone, state.StartedAtMillis)
		entry.slots = state.Slots
		entry.running = state.Running
		for model, version := range state.Versions {
			s.observeVersion(entry, model, version, now)
		}
	}
}

// resetSamplers starts a new set of samplers and returns the previous one.
func (s *Schedule) resetSamplers(count int, now time.Time) map[string]*sampler {
	s.updateLoadTime(now)
	known := s.samplers
	s.samplers = make(map[string]*sampler, count)
	s.inFlight = 0
	return known
}

// observeSampler adds a live sampler and keeps its known state unless it has restarted.
func (s *Schedule) observeSampler(known map[string]*sampler, server, zone string, startedAtMillis int64) *sampler {
	entry := known[server]
	if entry == nil || entry.startedAtMillis != startedAtMillis {
		entry = &sampler{server: server, startedAtMillis: startedAtMillis, versions: map[string]uint64{}}
	}
	entry.zone = zone
	s.samplers[server] = entry
	if entry.isLoading {
		s.inFlight++
	}
	return entry
}

// observeVersion applies the version of a load report. Reports lag: just after a load they
// still show the previous version, and believing them would order it again.
func (s *Schedule) observeVersion(sampler *sampler, model string, version uint64, now time.Time) {
	if version == 0 || version == sampler.versions[model] {
		return
	}
	if version < sampler.versions[model] && now.Sub(sampler.answeredAt) < s.Lag {
		return
	}
	sampler.versions[model] = version
}

// InFlight returns the number of loads in progress.
func (s *Schedule) InFlight() int { return s.inFlight }

// Done records the version of the ordered model that a sampler shows after an order.
//
// A swap can fail although the order is answered, and an old order can set back an engine that
// ignores fencing tokens. So only the version shown counts, and one that is too old is ordered
// again.
func (s *Schedule) Done(server string, shown uint64, now time.Time) {
	sampler := s.samplers[server]
	if sampler == nil || !sampler.isLoading {
		return
	}
	s.endLoad(sampler, now)
	sampler.answeredAt = now
	sampler.versions[sampler.orderedModel] = shown
	if shown < sampler.orderedVersion {
		sampler.backOff(now)
		return
	}
	sampler.failures = 0
	duration := now.Sub(sampler.orderedAt)
	s.limiter.recordLoad(duration, (s.loadTime-sampler.loadTime).Seconds()/duration.Seconds())
}

// Failed records that an order was refused or not answered.
func (s *Schedule) Failed(server string, now time.Time) {
	sampler := s.samplers[server]
	if sampler == nil || !sampler.isLoading {
		return
	}
	s.endLoad(sampler, now)
	// An order that timed out has waited for the store; one refused at once says nothing about
	// it.
	s.limiter.recordFailure(now.Sub(sampler.orderedAt))
	sampler.backOff(now)
}

// endLoad records that a load is no longer in progress.
func (s *Schedule) endLoad(sampler *sampler, now time.Time) {
	s.updateLoadTime(now)
	s.inFlight--
	sampler.isLoading = false
}

func (s *sampler) backOff(now time.Time) {
	s.failures++
	s.retryAt = now.Add(min(minBackoff<<min(s.failures-1, 5), maxBackoff))
}

// Next returns the loads to order now.
func (s *Schedule) Next(now time.Time) []Change {
	s.updateLoadTime(now)
	free := s.Limit() - s.InFlight()
	if free <= 0 {
		return nil
	}
	plans := s.plans(now)
	loadsByZone := s.loadsByZone()
	var changes []Change
	for len(changes) < free {
		plan := neediest(plans)
		if plan == nil {
			break
		}
		sampler := s.cheapestSampler(plan, loadsByZone)
		if sampler == nil {
			plan.isExhausted = true
			continue
		}
		plan.Sampler = sampler.server
		changes = append(changes, plan.Change)
		plan.countLoad(sampler)
		s.inFlight++
		sampler.isLoading = true
		sampler.orderedAt, sampler.loadTime = now, s.loadTime
		sampler.orderedModel, sampler.orderedVersion = plan.Model, plan.Version
		loadsByZone[sampler.zone]++
	}
	return changes
}

// updateLoadTime adds the time of the loads in progress. How many were in progress during a
// load tells whether it had to share the bandwidth to the weights.
func (s *Schedule) updateLoadTime(now time.Time) {
	s.loadTime += time.Duration(s.inFlight) * now.Sub(s.countedAt)
	s.countedAt = now
}

// Limit returns how many samplers may load at the same time now.
func (s *Schedule) Limit() int {
	maxLimit := int(math.Max(1, s.Share*float64(len(s.samplers))))
	return s.limiter.limit(maxLimit)
}

func (s *Schedule) loadsByZone() map[string]int {
	loads := map[string]int{}
	for _, sampler := range s.samplers {
		if sampler.isLoading {
			loads[sampler.zone]++
		}
	}
	return loads
}
