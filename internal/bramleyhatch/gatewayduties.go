package bramleyhatch

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
	"github.com/bramleyhatch/bramleyhatch/internal/usage"
	"github.com/bramleyhatch/bramleyhatch/internal/weight"
	"github.com/bramleyhatch/bramleyhatch/platform"
)

const (
	// dutyName is the one duty of gateways: its holder reports usage and orders
	// samplers. Two leases would cost twice the calls and gain nothing.
	dutyName = "control"
	// dutyLook is the wait between two looks whether the duty is free; they cost
	// no call of the store.
	dutyLook = 200 * time.Millisecond
	// loadsAtOnce is the greatest share of a pool's samplers that load weights at
	// the same time, so that one half goes on serving whatever is named; how many it
	// is worth is learned from the time that loads take.
	loadsAtOnce = 0.5
)

// holderStore is what the holder of the duty speaks to.
type holderStore struct {
	*platform.Store
	*platform.DutyClient
}

// addDuty adds the duty that one gateway has at a time, and the counters for it.
func (g *Gateway) addDuty() {
	settings := g.Settings.GetDuty()
	g.wall = clock.NewWall()
	g.counter = &usage.Counter{
		Process:     g.Process.Settings.GetName(),
		Incarnation: g.Incarnation,
		Window:      g.Settings.GetUsage().GetWindow().AsDuration(),
	}
	server := &usage.Server{Ledger: &usage.Ledger{}, Counter: g.counter}
	g.AddService(func(registrar grpc.ServiceRegistrar) { peerpb.RegisterUsageServer(registrar, server) })
	pusher := &usage.Pusher{
		Source:    g.counter,
		Directory: g.hosts,
		Peers:     &usage.GRPCPeers{},
		Interval:  g.Settings.GetUsage().GetPush().AsDuration(),
		Retain:    g.Settings.GetUsage().GetRetain().AsDuration(),
		Keep:      g.Settings.GetUsage().GetKeep().AsDuration(),
	}
	g.AddTask("usage", pusher.Run)
	keeper := &duty.Elector{
		Store:   g.store,
		Name:    dutyName,
		Process: g.Process.Settings.GetName(),
		Address: g.Process.Settings.GetPeer(),
		Prefix:  holderPrefix,
		IsFree:    g.holder.free,
		PriorClaim: func() duty.PriorClaim {
			return g.holder.leftBy(g.Process.Settings.GetName(), g.Process.Settings.GetPeer())
		},
		PollInterval:      dutyLook,
		Lease:     settings.GetLease().AsDuration(),
		Margin:    settings.GetMargin().AsDuration(),
		Rank:      func() int { return duty.Place(g.Process.Settings.GetName(), g.hosts.Candidates(dutyName)) },
		Decisions: g.Decisions,
	}
	g.AddTask("control", func(ctx context.Context) error { return keeper.Run(ctx, g.hold) })
}

// count counts a request that a backend server has begun.
func (g *Gateway) count(account, route string) {
	g.counter.Add(account, route, g.wall.Now(), 0, 0)
}

// hold does the duty until the term ends.
func (g *Gateway) hold(ctx context.Context, term *duty.Term) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	works := []func(context.Context) error{
		func(ctx context.Context) error { return g.newSteering().Run(ctx, term) },
		func(ctx context.Context) error { return g.retire(ctx, term) },
	}
	if g.Settings.GetStore().GetOrders() != "" {
		duties := g.newDuties()
		works = append(works,
			func(ctx context.Context) error { return g.newReporter(duties).Run(ctx, term) },
			func(ctx context.Context) error { return g.countServers(ctx, term, duties) },
		)
	}
	ended := make(chan error, len(works))
	for _, work := range works {
		go func() { ended <- work(ctx) }()
	}
	var first error
	for range works {
		if err := <-ended; err != nil && first == nil {
			first = err
		}
		cancel()
	}
	return first
}

// newDuties returns the way to what only the holder of the duty may tell the platform.
func (g *Gateway) newDuties() *platform.DutyClient {
	return &platform.DutyClient{
		Address: g.Settings.GetStore().GetOrders(),
		Holder:  g.Process.Settings.GetName(),
		Timeout: g.Settings.GetDuty().GetOrder().AsDuration(),
	}
}

func (g *Gateway) newReporter(way *platform.DutyClient) *usage.Reporter {
	reporter := g.Process.newReporter(g.Settings.GetUsage(), g.Settings.GetDuty())
	reporter.Platform = holderStore{Store: g.store, DutyClient: way}
	reporter.Collector = &usage.Collector{Directory: g.hosts, Peers: &usage.GRPCPeers{}}
	reporter.Offer = func(*peerpb.Fact) bool { return true }
	reporter.Fenced = g.Settings.GetDuty().GetFenced()
	reporter.Now = g.wall.Now
	return reporter
}

func (g *Gateway) newSteering() *weight.PoolCoordinator {
	return &weight.PoolCoordinator{
		Samplers:  &platform.SamplerClient{Holder: g.Process.Settings.GetName(), Timeout: g.Settings.GetStore().GetTimeout().AsDuration(), IdleTimeout: idleConnection},
		Pools:     g.samplerPools,
		Loaded:    g.loaded,
		Decisions: g.Decisions,
		Share:     loadsAtOnce,
	}
}

// loaded notes that a sampler has a version.
func (g *Gateway) loaded(sampler, model string, version uint64) {
	if server := g.roster.Find(sampler); server != nil {
		g.roster.RecordVersion(server, model, version)
	}
}

// samplerPools returns the pools whose samplers have models.
func (g *Gateway) samplerPools() []weight.Pool {
	now := g.view.Current()
	if now == nil {
		return nil
	}
	var pools []weight.Pool
	for i := range now.Pools {
		if len(now.Pools[i].Models) > 0 {
			pools = append(pools, g.samplerPool(now, &now.Pools[i]))
		}
	}
	return pools
}

// asksWhole reports whether a route to a pool asks for texts that one version made:
// its samplers end what runs before they load. Routes to other pools don't count.
func asksWhole(now *table.Table, pool string) bool {
	return slices.ContainsFunc(now.Routes, func(route table.Route) bool {
		isTo := func(share table.Share) bool { return share.Pool == pool }
		return route.SingleVersion && slices.ContainsFunc(route.Shares, isTo)
	})
}

func (g *Gateway) samplerPool(now *table.Table, pool *table.Pool) weight.Pool {
	next := weight.Pool{Name: pool.Name, Targets: map[string]weight.Target{}}
	for _, model := range pool.Models {
		next.Demand = append(next.Demand, g.steps.Demand(model))
	}
	next.DrainFirst = asksWhole(now, pool.Name)
	for _, entry := range g.roster.EntriesWithVersions(pool.Name) {
		next.Samplers = append(next.Samplers, weight.SamplerState{ID: entry.ID, Zone: entry.Zone, StartedAtMillis: entry.StartedAtMillis, Slots: entry.Slots, Versions: entry.Versions})
		next.Targets[entry.ID] = weight.Target{ID: entry.ID, Address: entry.Address, StartedAtMillis: entry.StartedAtMillis}
	}
	return next
}
