package bramleyhatch

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// addMembers adds membership; backend is nil for an entry.
func (p *Process) addMembers(role peerpb.Role, backend *settingspb.Backend, settings *settingspb.Member, client *platform.Client) {
	self := peerpb.Process_builder{
		Name:        p.Settings.GetName(),
		Incarnation: p.Incarnation,
		Role:        role,
		State:       peerpb.State_STATE_LIVE,
		Region:      p.Settings.GetRegion(),
		Zone:        p.Settings.GetZone(),
		Server:      backend.GetServer(),
		Pool:        backend.GetPool(),
		Kind:        backend.GetKind(),
	}.Build()
	p.members = member.NewMembers(self)
	p.members.IsolationTimeout = settings.GetIsolated().AsDuration()
	client.OnResponse = func() { p.members.RecordStoreAnswer(time.Now()) }
	exchanger := &member.Exchanger{
		Members:        p.members,
		Credentials:    p.credentials(),
		Seeds:          settings.GetSeeds(),
		Interval:       settings.GetInterval().AsDuration(),
		SuspectTimeout: settings.GetSuspect().AsDuration(),
		Hosts:          client.Hosts,
		Decisions:      p.Decisions,
	}
	p.AddService(func(registrar grpc.ServiceRegistrar) { peerpb.RegisterMemberServer(registrar, exchanger) })
	p.AddTask("member", func(ctx context.Context) error {
		p.members.SetAddress(p.advertised())
		return exchanger.Run(ctx)
	})
	p.AddDrain(func(ctx context.Context) { p.announceDraining(ctx, settings.GetAnnounce().AsDuration()) })
	if role == peerpb.Role_ROLE_SIDECAR {
		syncer := &lists.WithdrawalSyncer{Members: p.members}
		p.AddTask("settle", syncer.Run)
	}
	p.addMemberMetrics()
}

// addMemberMetrics adds the gauges of membership that alerts use.
func (p *Process) addMemberMetrics() {
	p.Metrics.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleyhatch_member_entries",
			Help: "Entries that are not known to have failed or left.",
		}, func() float64 { return float64(len(p.members.Processes(peerpb.Role_ROLE_ENTRY))) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleyhatch_member_sidecars",
			Help: "Sidecars that are not known to have failed or left.",
		}, func() float64 { return float64(len(p.members.Processes(peerpb.Role_ROLE_SIDECAR))) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleyhatch_member_isolated",
			Help: "1 if neither the store nor most processes of the region answer.",
		}, p.isolated),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleyhatch_member_store_age_seconds",
			Help: "Time since the store answered any process that is heard; -1 if it never did.",
		}, func() float64 { return max(-1, p.members.StoreAge(time.Now()).Seconds()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleyhatch_config_revision",
			Help: "Revision of the lists and keys that is known here.",
		}, func() float64 { return float64(p.members.Fact(member.FactConfig).GetRevision()) }),
	)
}

func (p *Process) isolated() float64 {
	if p.members.IsIsolated(time.Now()) {
		return 1
	}
	return 0
}

// advertised returns the address under which other processes reach this one.
func (p *Process) advertised() string {
	if address := p.Settings.GetAdvertise(); address != "" {
		return address
	}
	return p.Addresses().Peer
}

// announceDraining reports this process as draining to the load balancer and the
// other processes, and keeps serving for a while.
//
// The load balancer and the other processes notice the new state with a delay. If the
// process closed its listeners at once, requests sent in the meantime would be
// interrupted.
func (p *Process) announceDraining(ctx context.Context, length time.Duration) {
	p.members.SetState(peerpb.State_STATE_DRAINING)
	pause.For(ctx, length)
}
