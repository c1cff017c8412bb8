package bramleyhatch

import (
	"context"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/fleet"
	"github.com/bramleyhatch/bramleyhatch/internal/gateway"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
	"github.com/bramleyhatch/bramleyhatch/platform"
)

// countServers orders how many servers the pools have until the term ends, where
// the configuration leaves their number to the system.
func (g *Gateway) countServers(ctx context.Context, term *duty.Term, duties *platform.DutyClient) error {
	settings := g.Settings.GetDuty()
	demands := &gateway.DemandCollector{Hosts: g.hosts, Own: g.peerServer}
	counter := &fleet.Counter{
		Platform:  duties,
		Pools:     func(ctx context.Context) []fleet.CountedPool { return g.countedPools(ctx, demands) },
		Decisions: g.Decisions,
		Target:    settings.GetTarget(),
		Slack:     settings.GetSlack(),
		Interval:  settings.GetInterval().AsDuration(),
		Lease:     settings.GetLease().AsDuration(),
		Bound:     settings.GetOrder().AsDuration(),
		Fenced:    settings.GetFenced(),
	}
	return counter.Run(ctx, term)
}

// countedPools returns the pools whose servers are ordered by number. Where there
// are none, no other process is asked.
func (g *Gateway) countedPools(ctx context.Context, demands *gateway.DemandCollector) []fleet.CountedPool {
	now := g.view.Current()
	if now == nil {
		return nil
	}
	var scaled []*table.Pool
	var names []string
	for i := range now.Pools {
		if now.Pools[i].Scale != nil {
			scaled = append(scaled, &now.Pools[i])
			names = append(names, now.Pools[i].Name)
		}
	}
	if len(scaled) == 0 {
		return nil
	}
	needs := demands.Collect(ctx, names)
	var pools []fleet.CountedPool
	for _, pool := range scaled {
		census, need := g.roster.Census(pool.Name), needs[pool.Name]
		need.Slots = census.Slots
		pools = append(pools, fleet.CountedPool{
			Name: pool.Name, Min: pool.Scale.Min, Max: pool.Scale.Max, StartupTime: pool.Scale.Boot,
			Present: census.Present, Need: need,
		})
	}
	return pools
}
