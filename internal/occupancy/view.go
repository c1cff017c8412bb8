// Package occupancy divides the slots of a pool of samplers among the owners of the batches that
// use it. Owners report their load to each other, and each of them computes the division for
// itself by the same formula. The package does no I/O.
//
// It handles several trainers that share a pool and submit their steps at the same moment: without
// a common view, every owner fills every sampler by itself, and a sampler's runs queue behind those
// of other owners.
package occupancy

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

const (
	// MaxReportAge is the age from which a report doesn't count. It bounds how long an owner that
	// has died keeps slots from the others, and is ten times the interval of reports.
	MaxReportAge = time.Second
	// StartWindow is how long after the start of a batch each model that has not been heard of
	// keeps an equal share: several round trips between owners and the interval of their reports.
	StartWindow = 150 * time.Millisecond
	// minWeight and maxWeight bound the weights that other processes report.
	minWeight = 0.1
	maxWeight = 10
)

// ModelDemand is the demand of a model's batches at one process.
type ModelDemand struct {
	Model string
	// Waiting and Running are the generations that wait for a slot and that run.
	Waiting, Running int
	// Weight is the weight of the model in the division of the slots; 0 means 1.
	Weight float64
	// Required is the number of slots that the model's steps need to be complete in time, see
	// RequiredSlots; 0 if they are never due, or for a process that doesn't tell.
	Required int
}

// ServerLoad is what one process knows of a server.
type ServerLoad struct {
	Server string
	// Running is the number of generations of the process that run at the server.
	Running int
	// Gap is the usual time between two events of a generation there, 0 if unknown; Events is the
	// number of events from which it was derived.
	Gap    time.Duration
	Events int
}

// PoolLoad is the load of one process on a pool.
type PoolLoad struct {
	Pool    string
	Models  []ModelDemand
	Servers []ServerLoad
}

// Report is the load of one process on shared pools.
type Report struct {
	Pools []PoolLoad
}

// View holds the newest reports of the other processes. The zero value holds none. It is safe for
// concurrent use.
type View struct {
	mutex   sync.Mutex
	reports map[string]timedReport
}

// timedReport is a report with the time at which it was received.
type timedReport struct {
	at    clock.Boot
	pools map[string]poolReport
}

// poolReport is a process's load on a pool, by server.
type poolReport struct {
	models  []ModelDemand
	running map[string]int
}

// Update replaces the report of a process.
func (v *View) Update(process string, report Report, now clock.Boot) {
	pools := map[string]poolReport{}
	for _, pool := range report.Pools {
		running := map[string]int{}
		for _, server := range pool.Servers {
			running[server.Server] = server.Running
		}
		pools[pool.Pool] = poolReport{models: pool.Models, running: running}
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.reports == nil {
		v.reports = map[string]timedReport{}
	}
	for name, known := range v.reports {
		if !known.counts(now) {
			delete(v.reports, name)
		}
	}
	v.reports[process] = timedReport{at: now, pools: pools}
}

func (r timedReport) counts(now clock.Boot) bool { return now.Sub(r.at) < MaxReportAge }

// Reports returns the number of reports that count, and the age of the oldest of them.
func (v *View) Reports(now clock.Boot) (count int, age time.Duration) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, report := range v.reports {
		if report.counts(now) {
			count++
			age = max(age, now.Sub(report.at))
		}
	}
	return count, age
}

// Elsewhere returns the number of generations that other processes run at a server.
func (v *View) Elsewhere(pool, server string, now clock.Boot) int {
	running, _ := v.ElsewhereSince(pool, server, now)
	return running
}

// ElsewhereSince returns the number of generations that other processes run at a server, and the
// age of the oldest report that counts for it; 0 if there is none.
func (v *View) ElsewhereSince(pool, server string, now clock.Boot) (running int, age time.Duration) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, report := range v.reports {
		if !report.counts(now) {
			continue
		}
		if count := report.pools[pool].running[server]; count > 0 {
			running += count
			age = max(age, now.Sub(report.at))
		}
	}
	return running, age
}

// Part is the part of a pool's slots that a model may use.
type Part struct {
	// Cap is how many generations of the model this process may run concurrently.
	Cap int
	// before is the sum of the caps of the models before this one in the order of their names, own
	// the model's cap over all processes, and slots the sum of all caps: slots that no model needs
	// are part of the models' parts in proportion, so that each can use the fastest servers. While
	// some models are unknown, slots are all slots of the pool.
	before, own, slots int
}

// At returns the model's part of the slots of a server, given a number that identifies the server,
// between 0 and 1.
//
// The parts of all models at a server are together at most its slots. Owners that fill their own
// part of each server first don't take the same slot, however old their reports are. The part of a
// server depends on no other server, since owners may disagree on which servers are usable; the
// parts of a model therefore add up to its cap only in the mean.
func (p Part) At(server float64, slots int) int {
	if p.slots == 0 {
		return 0
	}
	share := float64(slots) / float64(p.slots)
	return int(math.Floor(server+share*float64(p.before+p.own))) - int(math.Floor(server+share*float64(p.before)))
}

// Cap returns how many generations of a model this process may run concurrently in a pool; see Part.
func (v *View) Cap(pool, model string, own []ModelDemand, models, slots int, startedAt, now clock.Boot) int {
	return v.Part(pool, model, own, models, slots, startedAt, now).Cap
}

// Part returns the part of a model in a pool. own is the demand of this process, one entry for each
// model; models is the number of models of the pool; slots are the slots of the servers that may be
// used now; startedAt is when this process last started a batch of the pool.
//
// For StartWindow after startedAt, each model without a report keeps an equal share: of several
// steps that are accepted at the same moment, none takes the whole pool before the owners have
// heard of each other. A report without demand counts as none if it is older than the start, since
// the model's next step may have been accepted at the same moment.
func (v *View) Part(pool, model string, own []ModelDemand, models, slots int, startedAt, now clock.Boot) Part {
	demands, elsewhere := v.demands(pool, model, own, startedAt, now)
	part := Part{slots: slots}
	unknown := 0
	if now.Sub(startedAt) < StartWindow {
		unknown = max(0, models-len(demands))
	}
	if unknown > 0 {
		slots -= unknown * (slots / models)
	}
	caps := divide(demands, slots)
	if unknown == 0 {
		part.slots = sumOf(caps)
	}
	for i, cap := range caps {
		if demands[i].Model == model {
			part.own, part.Cap = cap, max(0, cap-elsewhere)
			return part
		}
		part.before += cap
	}
	return part
}

// demands returns the demand of each known model of a pool, summed over all processes, and how many
// generations of a model run at other processes.
func (v *View) demands(pool, model string, own []ModelDemand, startedAt, now clock.Boot) (demands []ModelDemand, elsewhere int) {
	index := map[string]int{}
	add := func(demand ModelDemand) {
		i, isKnown := index[demand.Model]
		if !isKnown {
			index[demand.Model] = len(demands)
			demands = append(demands, demand)
			return
		}
		demands[i].Waiting += demand.Waiting
		demands[i].Running += demand.Running
		demands[i].Weight = max(demands[i].weight(), demand.weight())
		demands[i].Required += demand.Required
	}
	for _, demand := range own {
		add(demand)
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, report := range v.reports {
		if !report.counts(now) {
			continue
		}
		for _, demand := range report.pools[pool].models {
			if demand.total() == 0 && report.at < startedAt {
				continue
			}
			add(demand)
			if demand.Model == model {
				elsewhere += demand.Running
			}
		}
	}
	// All owners add up the shares in the same order, so that rounding gives all the same caps.
	slices.SortFunc(demands, func(a, b ModelDemand) int { return cmp.Compare(a.Model, b.Model) })
	return demands, elsewhere
}
