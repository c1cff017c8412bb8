package bramleyhatch

import (
	"context"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/fleet"
	"github.com/bramleyhatch/bramleyhatch/internal/gateway"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
	"github.com/bramleyhatch/bramleyhatch/platform"
)

// scalePools sets the number of servers of each pool that the configuration lets
// the system scale, until the term ends.
func (g *Gateway) scalePools(ctx context.Context, term *duty.Term, client *platform.DutyClient) error {
	settings := g.Settings.GetDuty()
	demands := &gateway.DemandCollector{Hosts: g.hosts, Own: g.peerServer}
	controller := &fleet.CountController{
		Platform:     client,
		Pools:        func(ctx context.Context) []fleet.CountedPool { return g.scaledPools(ctx, demands) },
		Decisions:    g.Decisions,
		Target:       settings.GetTarget(),
		Slack:        settings.GetSlack(),
		Interval:     settings.GetInterval().AsDuration(),
		Lease:        settings.GetLease().AsDuration(),
		OrderTimeout: settings.GetOrder().AsDuration(),
		Fenced:       settings.GetFenced(),
	}
	return controller.Run(ctx, term)
}

// scaledPools returns the pools that the system scales. It queries the other
// processes only if such pools exist.
func (g *Gateway) scaledPools(ctx context.Context, demands *gateway.DemandCollector) []fleet.CountedPool {
	current := g.view.Current()
	if current == nil {
		return nil
	}
	var scaled []*table.Pool
	var names []string
	for i := range current.Pools {
		if current.Pools[i].Scale != nil {
			scaled = append(scaled, &current.Pools[i])
			names = append(names, current.Pools[i].Name)
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
			Name: pool.Name, Min: pool.Scale.Min, Max: pool.Scale.Max, StartupTime: pool.Scale.StartupTime,
			Present: census.Present, Need: need,
		})
	}
	return pools
}
