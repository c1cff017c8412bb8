package gateway

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/fleet"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// DemandCollector sums the demand for pools over all gateways. Exported fields are set
// before the first call; it is not safe for concurrent use.
type DemandCollector struct {
	Hosts *Hosts
	// Own returns the demand of this gateway without a network call.
	Own *Server

	samples map[string]demandSample
}

// demandSample is a gateway's last reply, with the need of each pool derived from this
// and the previous reply.
type demandSample struct {
	reply      *peerpb.DemandReply
	receivedAt clock.Boot
	needs      map[string]fleet.Need
}

// demandReply is a gateway's reply and the time of its arrival. reply is nil if the gateway did not answer.
type demandReply struct {
	reply *peerpb.DemandReply
	at    clock.Boot
}

// Collect queries all gateways and returns the need of each pool, without Slots.
//
// A gateway that does not answer counts with its previous need until its lease expires:
// its callers still send requests, and move to the other gateways when it is removed.
func (d *DemandCollector) Collect(ctx context.Context, pools []string) map[string]fleet.Need {
	request := peerpb.DemandRequest_builder{Pools: pools}.Build()
	samples, totals := map[string]demandSample{}, map[string]fleet.Need{}
	for name, answer := range d.queryAll(ctx, request) {
		previous, isKnown := d.samples[name]
		if answer.reply == nil {
			samples[name] = previous
		} else {
			samples[name] = newDemandSample(answer.reply, answer.at, previous, isKnown)
		}
		for pool, need := range samples[name].needs {
			total := totals[pool]
			total.Running += need.Running
			total.Queued += need.Queued
			totals[pool] = total
		}
	}
	d.samples = samples
	return totals
}

// queryAll returns the replies by gateway name, each with its own time of arrival. Counters that are read at once and
// timed with the slowest reply would seem to grow within a shorter time at the next query.
func (d *DemandCollector) queryAll(ctx context.Context, request *peerpb.DemandRequest) map[string]demandReply {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mutex sync.Mutex
	var group sync.WaitGroup
	replies := map[string]demandReply{}
	for _, name := range d.Hosts.Names() {
		group.Go(func() {
			answer := demandReply{reply: d.query(ctx, name, request), at: clock.Now()}
			mutex.Lock()
			defer mutex.Unlock()
			replies[name] = answer
		})
	}
	group.Wait()
	return replies
}

func (d *DemandCollector) query(ctx context.Context, name string, request *peerpb.DemandRequest) *peerpb.DemandReply {
	if name == d.Hosts.Name {
		// The local call never returns an error.
		reply, _ := d.Own.Demand(ctx, request)
		return reply
	}
	client := d.Hosts.Client(name)
	if client == nil {
		return nil
	}
	reply, err := client.Demand(ctx, request)
	if err != nil {
		klog.InfoS("order: querying the demand of a gateway failed; using its previous figures", "host", name, "err", err.Error())
		return nil
	}
	return reply
}

// newDemandSample derives the need from a gateway's previous and current reply. If
// there is no previous reply, or the gateway has restarted since, the need holds only
// the requests waiting now.
func newDemandSample(reply *peerpb.DemandReply, now clock.Boot, previous demandSample, isKnown bool) demandSample {
	next := demandSample{reply: reply, receivedAt: now, needs: map[string]fleet.Need{}}
	before := map[string]*peerpb.PoolDemand{}
	if isKnown && previous.reply.GetIncarnation() == reply.GetIncarnation() {
		for _, pool := range previous.reply.GetPools() {
			before[pool.GetPool()] = pool
		}
	}
	for _, pool := range reply.GetPools() {
		need := fleet.Need{Queued: float64(pool.GetWaiting())}
		if earlier := before[pool.GetPool()]; earlier != nil && now > previous.receivedAt {
			need = needSince(earlier, pool, now.Sub(previous.receivedAt))
		}
		next.needs[pool.GetPool()] = need
	}
	return next
}

// needSince returns the mean number of requests that ran between two replies, and of
// additional requests that would have run with sufficient capacity.
func needSince(before, after *peerpb.PoolDemand, elapsed time.Duration) fleet.Need {
	busy := time.Duration(after.GetBusy()-before.GetBusy()) * time.Microsecond
	ended := after.GetEnded() - before.GetEnded()
	refused := float64(after.GetRefused() - before.GetRefused())
	meanDuration := elapsed
	if ended > 0 {
		meanDuration = busy / time.Duration(ended)
	}
	return fleet.Need{
		Running: busy.Seconds() / elapsed.Seconds(),
		Queued:  float64(after.GetWaiting()) + refused*meanDuration.Seconds()/elapsed.Seconds(),
	}
}
