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

// DemandCollector adds up what all gateways ask of pools. Exported fields are set before
// the first call; it is not safe for concurrent use.
type DemandCollector struct {
	Hosts *Hosts
	// Own is this gateway's server.
	Own *Server

	samples map[string]sample
}

// sample is the last answer of a gateway, and what its pools needed until then.
type sample struct {
	reply *peerpb.DemandReply
	at    clock.Boot
	needs map[string]fleet.Need
}

// Collect asks all gateways and returns what each pool needs, without its slots.
//
// A gateway that does not answer counts with what it needed last until its lease
// ends: its callers are still there, and come to the others once it is gone.
func (d *DemandCollector) Collect(ctx context.Context, pools []string) map[string]fleet.Need {
	request := peerpb.DemandRequest_builder{Pools: pools}.Build()
	next, sums := map[string]sample{}, map[string]fleet.Need{}
	for name, reply := range d.ask(ctx, request) {
		last, isKnown := d.samples[name]
		if reply == nil {
			next[name] = last
		} else {
			next[name] = newSample(reply, clock.Now(), last, isKnown)
		}
		for pool, need := range next[name].needs {
			sum := sums[pool]
			sum.Running += need.Running
			sum.Queued += need.Queued
			sums[pool] = sum
		}
	}
	d.samples = next
	return sums
}

// ask returns the answers of all gateways; nil for those that did not answer.
func (d *DemandCollector) ask(ctx context.Context, request *peerpb.DemandRequest) map[string]*peerpb.DemandReply {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var mutex sync.Mutex
	var group sync.WaitGroup
	replies := map[string]*peerpb.DemandReply{}
	for _, name := range d.Hosts.Names() {
		group.Go(func() {
			reply := d.askOne(ctx, name, request)
			mutex.Lock()
			defer mutex.Unlock()
			replies[name] = reply
		})
	}
	group.Wait()
	return replies
}

func (d *DemandCollector) askOne(ctx context.Context, name string, request *peerpb.DemandRequest) *peerpb.DemandReply {
	if name == d.Hosts.Name {
		// The own answer can't fail.
		reply, _ := d.Own.Demand(ctx, request)
		return reply
	}
	client := d.Hosts.Client(name)
	if client == nil {
		return nil
	}
	reply, err := client.Demand(ctx, request)
	if err != nil {
		klog.InfoS("order: a gateway does not tell what it needs, its last figures count", "host", name, "err", err.Error())
		return nil
	}
	return reply
}

// newSample works out what came between two answers of a gateway. Of one that is
// asked for the first time, only what waits now is known.
func newSample(reply *peerpb.DemandReply, now clock.Boot, last sample, isKnown bool) sample {
	next := sample{reply: reply, at: now, needs: map[string]fleet.Need{}}
	before := map[string]*peerpb.PoolDemand{}
	if isKnown && last.reply.GetIncarnation() == reply.GetIncarnation() {
		for _, pool := range last.reply.GetPools() {
			before[pool.GetPool()] = pool
		}
	}
	for _, pool := range reply.GetPools() {
		need := fleet.Need{Queued: float64(pool.GetWaiting())}
		if earlier := before[pool.GetPool()]; earlier != nil && now > last.at {
			need = needSince(earlier, pool, now.Sub(last.at))
		}
		next.needs[pool.GetPool()] = need
	}
	return next
}

// needSince returns the mean number of requests that ran, and of those that
// would have run in addition if there had been room for all.
func needSince(before, after *peerpb.PoolDemand, took time.Duration) fleet.Need {
	busy := time.Duration(after.GetBusy()-before.GetBusy()) * time.Microsecond
	ended := after.GetEnded() - before.GetEnded()
	refused := float64(after.GetRefused() - before.GetRefused())
	length := took
	if ended > 0 {
		length = busy / time.Duration(ended)
	}
	return fleet.Need{
		Running: busy.Seconds() / took.Seconds(),
		Queued:  float64(after.GetWaiting()) + refused*length.Seconds()/took.Seconds(),
	}
}
