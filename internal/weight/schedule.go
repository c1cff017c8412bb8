package weight

import (
	"math"
	"slices"
	"time"
)

const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// DefaultLag is the time after a load in which a load report may still show the previous version.
	DefaultLag = 3 * time.Second
)

// Demand is what the steps of a model's trainer need from the samplers of a pool.
type Demand struct {
	Model string
	// NewestVersion is the newest version that the trainer has announced, 0 if none.
	NewestVersion uint64
	// MinVersion is the oldest version that the open step accepts; if no step is open, the oldest
	// that the next step accepts.
	MinVersion uint64
	// NextMinVersion is the oldest version that the step after the step of MinVersion accepts; it
	// is at most NewestVersion.
	NextMinVersion uint64
	// Runs is the number of generations that a step starts at once; 0 if unknown, in which case the
	// step can use all samplers.
	Runs int
}

// SamplerState is the observed state of a sampler of a pool.
type SamplerState struct {
	ID   string
	Zone string
	// StartedAtMillis identifies a start of the sampler; a restarted sampler has lost all orders.
	StartedAtMillis int64
	// Slots is the number of generations that the sampler can run concurrently, 0 if unknown.
	Slots int
	// Running is the number of generations that the sampler runs now, 0 if unknown.
	Running uint32
	// Versions maps a model to the version of its loaded weights.
	Versions map[string]uint64
}

// ScheduledLoad is the decision to load a version of a model on a sampler.
type ScheduledLoad struct {
	Sampler string
	Model   string
	Version uint64
	// Open and Next are the numbers of samplers that the model had for its open step and for its
	// next step, Wanted is the number that it can use. The load was chosen by these counts.
	Open, Next, Wanted int
}

// Schedule decides which sampler of a pool loads which version of which model next. It does no
// I/O, takes the time from its caller and is not safe for concurrent use.
//
// Loads are scarce: the weight store serves a few at a time, and a version is used by few steps. A
// sampler holds weights of every model at once, and a load replaces the weights of one model only,
// so samplers aren't divided between models: each load goes to the model with the lowest service
// level, and replaces the oldest weights of that model.
type Schedule struct {
	// Share is the maximum share of the samplers that load at the same time.
	Share float64
	// Lag is the time after a load in which a load report may still show the previous version.
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
	// startedAtMillis identifies the start of the sampler.
	startedAtMillis int64
	slots           int
	running         uint32
	// cost is the cost of a load on this sampler in the current round.
	cost     int
	versions map[string]uint64
	// orderedModel and orderedVersion are the model and version of the newest order.
	orderedModel   string
	orderedVersion uint64
	isLoading      bool
	orderedAt      time.Time
	// loadTimeAtOrder is the schedule's total load time when the order was sent.
	loadTimeAtOrder time.Duration
	// answeredAt is when the sampler last answered an order.
	answeredAt time.Time
	failures   int
	retryAt    time.Time
}

// SetDemand sets what the models' steps need. A newer version of any model is tried at once, also
// on samplers where a load has failed.
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

// observeVersion applies the version of a load report. Reports lag: just after a load they still
// show the previous version, and using them would order the load again.
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

// RecordLoaded records the version of the ordered model that a sampler shows after an order.
//
// A swap can fail although the order is answered, and an old order can revert an engine that
// ignores fencing tokens. So only the version that the sampler shows counts, and if it is too old,
// the load is ordered again.
func (s *Schedule) RecordLoaded(server string, shown uint64, now time.Time) {
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
	s.limiter.recordLoad(duration, (s.loadTime-sampler.loadTimeAtOrder).Seconds()/duration.Seconds())
}

// RecordFailed records that an order was rejected or not answered.
func (s *Schedule) RecordFailed(server string, now time.Time) {
	sampler := s.samplers[server]
	if sampler == nil || !sampler.isLoading {
		return
	}
	s.endLoad(sampler, now)
	// An order that timed out has waited for the store; an order rejected at once says nothing
	// about the store.
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
func (s *Schedule) Next(now time.Time) []ScheduledLoad {
	s.updateLoadTime(now)
	free := s.Limit() - s.InFlight()
	if free <= 0 {
		return nil
	}
	plans := s.plans(now)
	loadsByZone := s.loadsByZone()
	var loads []ScheduledLoad
	for len(loads) < free {
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
		loads = append(loads, plan.ScheduledLoad)
		plan.countLoad(sampler)
		s.inFlight++
		sampler.isLoading = true
		sampler.orderedAt, sampler.loadTimeAtOrder = now, s.loadTime
		sampler.orderedModel, sampler.orderedVersion = plan.Model, plan.Version
		loadsByZone[sampler.zone]++
	}
	return loads
}

// updateLoadTime adds the time of the loads in progress. The mean number of loads in progress
// during a load shows whether the load shared the bandwidth to the weight store.
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
