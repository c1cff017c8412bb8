package bramleyhatch

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/member"
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
	client.Heard = func() { p.members.StoreHeard(time.Now()) }
	exchanger := &member.Exchanger{
		Members:   p.members,
		Seeds:     settings.GetSeeds(),
		Interval:  settings.GetInterval().AsDuration(),
		Hosts:     client.Hosts,
		Decisions: p.Decisions,
	}
	p.AddService(func(registrar grpc.ServiceRegistrar) { peerpb.RegisterMemberServer(registrar, exchanger) })
	p.AddDuty("member", func(ctx context.Context) error {
		p.members.SetAddress(p.advertised())
		return exchanger.Run(ctx)
	})
	p.AddDrain(func(context.Context) { p.members.SetState(peerpb.State_STATE_DRAINING) })
}

// advertised returns the address under which other processes reach this one.
func (p *Process) advertised() string {
	if address := p.Settings.GetAdvertise(); address != "" {
		return address
	}
	return p.Addresses().Peer
}
