package bramleyhatch

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/detour"
	"github.com/bramleyhatch/bramleyhatch/internal/gateway"
	"github.com/bramleyhatch/bramleyhatch/internal/keeper"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/platform"
)

// Keeper is the process on a host with a disk. Exported fields are set before Run.
type Keeper struct {
	Settings *settingspb.Keeper

	*Process
}

// Run serves until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.Process = newProcess(k.Settings.GetProcess(), &settingspb.Secure{})
	server := &keeper.Server{Folder: k.Process.Settings.GetData()}
	if err := server.Open(); err != nil {
		return err
	}
	k.AddService(func(registrar grpc.ServiceRegistrar) { peerpb.RegisterKeeperServer(registrar, server) })
	k.AddDuty("texts", server.Run)
	settings := k.Settings.GetStore()
	session := &gateway.Session{
		Store: &platform.Store{
			Caller:  &detour.Caller{Direct: &detour.Direct{Address: settings.GetAddress()}},
			Timeout: settings.GetTimeout().AsDuration(),
		},
		Prefix: gateway.PrefixKeeper,
		Length: settings.GetLease().AsDuration(),
		Host: statepb.Host_builder{
			Name:        k.Process.Settings.GetName(),
			Zone:        k.Process.Settings.GetZone(),
			Region:      k.Process.Settings.GetRegion(),
			Address:     k.Process.Settings.GetPeer(),
			Incarnation: k.Incarnation,
		}.Build(),
	}
	k.AddDuty("session", session.Run)
	err := k.run(ctx, nil)
	closing, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	session.Close(closing)
	return err
}
