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
	// dutyName is the only duty of gateways: its holder reports usage and emptied hosts,
	// and orders weight loads and the number of servers. A second lease would double the
	// calls to the store without a benefit.
	dutyName = "control"
	// dutyCheckInterval is the interval between checks whether the duty is free.
	// The checks need no call to the store.
	dutyCheckInterval = 200 * time.Millisecond
	// maxLoadingShare bounds the share of a pool's samplers that load weights concurrently,
	// so that one half keeps serving whatever version is announced. Within the bound, the
	// measured duration of loads decides the number.
	maxLoadingShare = 0.5
)

// holderStore combines the store with the calls that only the holder of the duty makes.
type holderStore struct {
	*platform.Store
	*platform.DutyClient
}

// addControlDuty adds the duty that one gateway holds at a time, and the usage counters.
func (g *Gateway) addControlDuty() {
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
		Source:            g.counter,
		Directory:         g.hosts,
		Peers:             &usage.GRPCPeers{},
		Interval:          g.Settings.GetUsage().GetPush().AsDuration(),
		ReportedRetention: g.Settings.GetUsage().GetRetain().AsDuration(),
		MaxRetention:      g.Settings.GetUsage().GetKeep().AsDuration(),
	}
	g.AddTask("usage", pusher.Run)
	elector := &duty.Elector{
		Store:   g.store,
		Name:    dutyName,
		Process: g.Process.Settings.GetName(),
		Address: g.Process.Settings.GetPeer(),
		Prefix:  holderPrefix,
		IsFree:  g.dutyHolder.free,
		PriorClaim: func() duty.PriorClaim {
			return g.dutyHolder.priorClaim(g.Process.Settings.GetName(), g.Process.Settings.GetPeer())
		},
		PollInterval: dutyCheckInterval,
		Lease:        settings.GetLease().AsDuration(),
		Margin:       settings.GetMargin().AsDuration(),
		Rank:         func() int { return duty.Position(g.Process.Settings.GetName(), g.hosts.Candidates(dutyName)) },
		IsStopping:   g.shutdown.isStopping.Load,
		Decisions:    g.Decisions,
	}
	g.AddTask("control", func(ctx context.Context) error { return elector.Run(ctx, g.runControlDuty) })
}

// countRequest counts a request that a backend server has started.
func (g *Gateway) countRequest(account, route string) {
	g.counter.Add(account, route, g.wall.Now(), 0, 0)
}

// runControlDuty performs the duty until the term ends.
func (g *Gateway) runControlDuty(ctx context.Context, term *duty.Term) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	jobs := []func(context.Context) error{
		func(ctx context.Context) error { return g.newPoolCoordinator().Run(ctx, term) },
		func(ctx context.Context) error { return g.reportEmptyHosts(ctx, term) },
	}
	if g.Settings.GetStore().GetOrders() != "" {
		client := g.newDutyClient()
		jobs = append(jobs,
			func(ctx context.Context) error { return g.newReporter(client).Run(ctx, term) },
			func(ctx context.Context) error { return g.scalePools(ctx, term, client) },
		)
	}
	ended := make(chan error, len(jobs))
	for _, job := range jobs {
		go func() { ended <- job(ctx) }()
	}
	var first error
	for range jobs {
		if err := <-ended; err != nil && first == nil {
			first = err
		}
		cancel()
	}
	return first
}

// newDutyClient returns the client for the platform calls that only the duty's holder may make.
func (g *Gateway) newDutyClient() *platform.DutyClient {
	return &platform.DutyClient{
		Address: g.Settings.GetStore().GetOrders(),
		Holder:  g.Process.Settings.GetName(),
		Timeout: g.Settings.GetDuty().GetOrder().AsDuration(),
	}
}

func (g *Gateway) newReporter(client *platform.DutyClient) *usage.Reporter {
	reporter := g.Process.newReporter(g.Settings.GetUsage(), g.Settings.GetDuty())
	reporter.Platform = holderStore{Store: g.store, DutyClient: client}
	reporter.Collector = &usage.Collector{Directory: g.hosts, Peers: &usage.GRPCPeers{}}
	reporter.Offer = func(*peerpb.Fact) bool { return true }
	reporter.Fenced = g.Settings.GetDuty().GetFenced()
	reporter.Now = g.wall.Now
	return reporter
}

func (g *Gateway) newPoolCoordinator() *weight.PoolCoordinator {
	return &weight.PoolCoordinator{
		Samplers:  &platform.SamplerClient{Holder: g.Process.Settings.GetName(), Timeout: g.Settings.GetStore().GetTimeout().AsDuration(), IdleTimeout: idleConnTimeout},
		Pools:     g.samplerPools,
		OnLoaded:  g.recordLoad,
		Decisions: g.Decisions,
		Share:     maxLoadingShare,
	}
}

// recordLoad records that a sampler has loaded a version.
func (g *Gateway) recordLoad(sampler, model string, version uint64) {
	if server := g.roster.Find(sampler); server != nil {
		g.roster.RecordVersion(server, model, version)
	}
}

// samplerPools returns the pools whose samplers have models.
func (g *Gateway) samplerPools() []weight.Pool {
	current := g.view.Current()
	if current == nil {
		return nil
	}
	var pools []weight.Pool
	for i := range current.Pools {
		if len(current.Pools[i].Models) > 0 {
			pools = append(pools, g.samplerPool(current, &current.Pools[i]))
		}
	}
	return pools
}

// needsSingleVersion reports whether a route to a pool requires each text to come
// from a single version. The samplers of such a pool finish all runs before they
// load weights. Routes to other pools have no effect.
func needsSingleVersion(current *table.Table, pool string) bool {
	return slices.ContainsFunc(current.Routes, func(route table.Route) bool {
		isTo := func(share table.Share) bool { return share.Pool == pool }
		return route.SingleVersion && slices.ContainsFunc(route.Shares, isTo)
	})
}

func (g *Gateway) samplerPool(current *table.Table, pool *table.Pool) weight.Pool {
	scheduled := weight.Pool{Name: pool.Name, Instances: map[string]weight.SamplerInstance{}}
	for _, model := range pool.Models {
		scheduled.Demand = append(scheduled.Demand, g.steps.Demand(model))
	}
	scheduled.DrainFirst = needsSingleVersion(current, pool.Name)
	for _, entry := range g.roster.EntriesWithVersions(pool.Name) {
		scheduled.Samplers = append(scheduled.Samplers, weight.SamplerState{ID: entry.ID, Zone: entry.Zone, StartedAtMillis: entry.StartedAtMillis, Slots: entry.Slots, Versions: entry.Versions})
		scheduled.Instances[entry.ID] = weight.SamplerInstance{ID: entry.ID, Address: entry.Address, StartedAtMillis: entry.StartedAtMillis}
	}
	return scheduled
}
