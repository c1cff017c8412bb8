package batch

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/occupancy"
)

// heldLogInterval is the minimum time between two log lines about a model that is held at its cap.
const heldLogInterval = time.Second

// modelInPool identifies a model in a pool.
type modelInPool struct{ pool, model string }

// demands holds the demand of the batches that this process runs, by pool and model. Several
// batches of a model count as one. It is safe for concurrent use; its mutex may be locked while an
// owner's is held, not the other way around.
type demands struct {
	mutex sync.Mutex
	// pools maps each running owner to the shared pool that it uses.
	pools   map[*owner]string
	running map[modelInPool]int
	// startedAt is when a batch of a pool last started.
	startedAt map[string]clock.Boot
	// loggedAt is when a model was last logged as held at its cap.
	loggedAt map[modelInPool]clock.Boot
}

// lock locks the mutex and initializes the maps on first use.
func (d *demands) lock() {
	d.mutex.Lock()
	if d.pools == nil {
		d.pools = map[*owner]string{}
		d.running = map[modelInPool]int{}
		d.startedAt = map[string]clock.Boot{}
		d.loggedAt = map[modelInPool]clock.Boot{}
	}
}

// add counts an owner's items in the demand for a pool. It returns when a batch of the pool last
// started.
func (d *demands) add(o *owner, pool string, now clock.Boot) clock.Boot {
	d.lock()
	defer d.mutex.Unlock()
	if d.pools[o] != pool {
		d.pools[o] = pool
		d.startedAt[pool] = now
	}
	return d.startedAt[pool]
}

// remove ends the demand of an owner.
func (d *demands) remove(o *owner) {
	d.lock()
	defer d.mutex.Unlock()
	delete(d.pools, o)
}

// reserve counts a run of a model unless as many run as the limit allows.
func (d *demands) reserve(key modelInPool, limit int) bool {
	d.lock()
	defer d.mutex.Unlock()
	if d.running[key] >= limit {
		return false
	}
	d.running[key]++
	return true
}

// release ends the count of a run.
func (d *demands) release(key modelInPool) {
	d.lock()
	defer d.mutex.Unlock()
	if d.running[key]--; d.running[key] <= 0 {
		delete(d.running, key)
	}
}

// runningOf returns the number of runs of a model.
func (d *demands) runningOf(key modelInPool) int {
	d.lock()
	defer d.mutex.Unlock()
	return d.running[key]
}

// mayLog reports whether it is time to log that a model is held at its cap.
func (d *demands) mayLog(key modelInPool, now clock.Boot) bool {
	d.lock()
	defer d.mutex.Unlock()
	if last, isKnown := d.loggedAt[key]; isKnown && now.Sub(last) < heldLogInterval {
		return false
	}
	d.loggedAt[key] = now
	return true
}

// list returns the demand for a pool by model, in the order of their names.
func (d *demands) list(pool string) []occupancy.ModelDemand {
	d.lock()
	defer d.mutex.Unlock()
	byModel, reach := map[string]*occupancy.ModelDemand{}, map[string]int{}
	for o, used := range d.pools {
		if used != pool {
			continue
		}
		model := o.batch.GetModel()
		demand := byModel[model]
		if demand == nil {
			demand = &occupancy.ModelDemand{Model: model, Running: d.running[modelInPool{pool, model}]}
			byModel[model] = demand
		}
		demand.Waiting += int(o.waiting.Load())
		demand.Required += int(o.required.Load())
		reach[model] = max(reach[model], int(o.reach.Load()))
		demand.Weight = max(demand.Weight, math.Float64frombits(o.weightBits.Load()))
	}
	list := make([]occupancy.ModelDemand, 0, len(byModel))
	for model, demand := range byModel {
		// Slots of servers that lack the model's version are left to other models.
		demand.Waiting = min(demand.Waiting, max(0, reach[model]-demand.Running))
		list = append(list, *demand)
	}
	slices.SortFunc(list, func(a, b occupancy.ModelDemand) int { return cmp.Compare(a.Model, b.Model) })
	return list
}

// Demands returns the demand of this process's batches for a pool, by model.
func (b *Board) Demands(pool string) []occupancy.ModelDemand { return b.demands.list(pool) }
