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

// DemandCollector sums the demand of all gateways for pools. Exported fields are set
// before the first call; it is not safe for concurrent use.
type DemandCollector struct {
	Hosts *Hosts
	// Own answers for this gateway.
	Own *Server

	samples map[string]demandSample
}

// demandSample is the last answer of a gateway, with the need of each pool that was
// derived from it and the answer before.
type demandSample struct {
	reply      *peerpb.DemandReply
	receivedAt clock.Boot
	needs      map[string]fleet.Need
}

// Collect queries all gateways and returns what each pool needs, without its slots.
//
// A gateway that does not answer counts with its previous need until its lease ends:
// its callers are still there, and move to the other gateways once it is gone.
func (d *DemandCollector) Collect(ctx context.Context, pools []string) map[string]fleet.Need {
	request := peerpb.DemandRequest_builder{Pools: pools}.Build()
	samples, totals := map[string]demandSample{}, map[string]fleet.Need{}
	for name, reply := range d.queryAll(ctx, request) {
		previous, isKnown := d.samples[name]
		if reply == nil {
			samples[name] = previous
		} else {
			samples[name] = newDemandSample(reply, clock.Now(), previous, isKnown)
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

// queryAll returns the answers of all gateways; nil for those that did not answer.
func (d *DemandCollector) queryAll(ctx context.Context, request *peerpb.DemandRequest) map[string]*peerpb.DemandReply {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mutex sync.Mutex
	var group sync.WaitGroup
	replies := map[string]*peerpb.DemandReply{}
	for _, name := range d.Hosts.Names() {
		group.Go(func() {
			reply := d.query(ctx, name, request)
			mutex.Lock()
			defer mutex.Unlock()
			replies[name] = reply
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
		klog.InfoS("order: a gateway did not report its demand; using its previous figures", "host", name, "err", err.Error())
		return nil
	}
	return reply
}

// newDemandSample derives the need from two answers of a gateway. Of a gateway that is
// queried for the first time, or that has restarted since, only the requests that wait
// now are known.
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

// needSince returns the mean number of requests that ran, and of those that would have
// run in addition with enough room.
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
