package batch

import (
	"context"
	"math"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/occupancy"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
)

// announceTimeout is how long a batch that starts waits for the answers of the other owners: many
// times a round trip, and less than the time between two events of a sampler.
const announceTimeout = 30 * time.Millisecond

// weightInterval is the minimum time between two computations of a batch's work and weight, which the
// other owners learn no more often.
const weightInterval = 100 * time.Millisecond

// Sharing divides the slots of pools that several models use among the owners of their batches.
type Sharing interface {
	// Models returns the number of models that share a pool; less than 2 if the pool isn't shared.
	Models(pool string) int
	// Announce reports the demand of this process to the other owners. It returns once all have
	// answered or the context has ended.
	Announce(ctx context.Context)
	// Elsewhere returns the number of generations that other processes run at a server, and the age
	// of the oldest report on them.
	Elsewhere(pool, server string, now clock.Boot) (running int, age time.Duration)
	// Share returns the share of a model in a pool, given the demand of this process and when its
	// newest batch of the pool started.
	Share(pool, model string, own []occupancy.ModelDemand, startedAt, now clock.Boot) Share
}

// Share is the share of a model in a pool, with the figures from which it was computed.
type Share struct {
	// Part is the model's part of the slots.
	Part occupancy.Part
	// Slots is the number of slots that were divided.
	Slots int
	// Reports is the number of reports of other processes, and Age the age of the oldest of them.
	Reports int
	Age     time.Duration
}

// sharedPool is the state of an owner in the pool that it uses. The owner's mutex protects it.
type sharedPool struct {
	// isShared is false if no other model uses the pool.
	isShared bool
	share    Share
	// weighedAt is when the work and the weight were last computed.
	weighedAt clock.Boot
	// isAnnouncing is true once the other owners have been called, isAnnounced once they have
	// answered or their time is over.
	isAnnouncing, isAnnounced bool
}

// updateShare recomputes the share of the batch's model. It reports whether runs may be placed now:
// not before the other owners have been heard of. The mutex is held.
func (o *owner) updateShare(ctx context.Context, pool string, now clock.Boot) bool {
	o.shared.isShared = o.sharing != nil && o.sharing.Models(pool) > 1
	if !o.shared.isShared {
		if o.sharing != nil {
			// The demand may still be counted for the pool that the route used before.
			o.demands.remove(o)
		}
		return true
	}
	o.waiting.Store(int32(o.plan.Waiting()))
	o.updateWork(pool, now)
	startedAt := o.demands.add(o, pool, now)
	if !o.shared.isAnnounced {
		o.announce(ctx)
		return false
	}
	o.shared.share = o.sharing.Share(pool, o.batch.GetModel(), o.demands.list(pool), startedAt, now)
	return true
}

// announce calls the other owners once, without waiting for their answers. The mutex is held.
func (o *owner) announce(ctx context.Context) {
	if o.shared.isAnnouncing {
		return
	}
	o.shared.isAnnouncing = true
	o.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, announceTimeout)
		defer cancel()
		o.sharing.Announce(ctx)
		o.mutex.Lock()
		defer o.mutex.Unlock()
		o.shared.isAnnounced = true
		o.notify()
	})
}

// updateWork recomputes the work of the batch and its weight in the division of its pool's slots. The
// mutex is held.
func (o *owner) updateWork(pool string, now clock.Boot) {
	if o.shared.weighedAt != 0 && now.Sub(o.shared.weighedAt) < weightInterval {
		return
	}
	o.shared.weighedAt = now
	gap := o.roster.FastGap(pool)
	o.weightBits.Store(math.Float64bits(Weight(o.plan.Slack(now, gap))))
	o.required.Store(int32(o.plan.RequiredSlots(now, gap)))
	o.reach.Store(int32(o.roster.SlotsOf(pool, o.batch.GetModel(), o.batch.GetOldest())))
}

// reserve counts a run of the batch's model, unless the model is at its cap. The mutex is held.
func (o *owner) reserve(pool string, now clock.Boot) bool {
	if o.sharing == nil {
		return true
	}
	key, limit := modelInPool{pool, o.batch.GetModel()}, math.MaxInt
	if o.shared.isShared {
		limit = o.shared.share.Part.Cap
	}
	if o.demands.reserve(key, limit) {
		return true
	}
	if o.demands.mayLog(key, now) {
		share := o.shared.share
		klog.InfoS("batch: model is held at its cap", "batch", o.batch.GetId(), "pool", pool, "model", key.model, "cap", limit, "running", o.demands.runningOf(key), "waiting", o.plan.Waiting(), "slots", share.Slots, "reports", share.Reports, "age", share.Age)
	}
	return false
}

// release ends the count of a run.
func (o *owner) release(pool string) {
	if o.sharing != nil {
		o.demands.release(modelInPool{pool, o.batch.GetModel()})
	}
}

// isOverCap reports whether more generations of the model run than its cap allows: one that leaves
// its server would not be placed again. The mutex is held.
func (o *owner) isOverCap(pool string) bool {
	return o.shared.isShared && o.demands.runningOf(modelInPool{pool, o.batch.GetModel()}) > o.shared.share.Part.Cap
}

// rosterSharing returns what the roster needs to place generations beside those of other processes,
// or nil if the pool isn't shared. The mutex is held.
func (o *owner) rosterSharing(pool string) *roster.Sharing {
	if !o.shared.isShared {
		return nil
	}
	now := clock.Now()
	elsewhere := func(server string) int {
		running, _ := o.sharing.Elsewhere(pool, server, now)
		return running
	}
	return &roster.Sharing{Elsewhere: elsewhere, Part: o.shared.share.Part}
}

// logPlaced logs where an item was placed. The mutex is held.
func (o *owner) logPlaced(job Job, pool string, server *roster.Server, now clock.Boot) {
	values := []any{"id", job.spec.GetId(), "batch", o.batch.GetId(), "server", server.Name(), "running", o.roster.Running(server), "after", job.events, "waiting", o.plan.Waiting(), "gap", o.roster.ExpectedGap(server), "needed", o.plan.IsNeeded(job)}
	if o.shared.isShared {
		elsewhere, age := o.sharing.Elsewhere(pool, server.Name(), now)
		values = append(values, "elsewhere", elsewhere, "age", age, "cap", o.shared.share.Part.Cap, "weight", math.Float64frombits(o.weightBits.Load()))
	}
	klog.InfoS("batch: placed", values...)
}
