package bramleyhatch

import (
	"context"

	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/detour"
	"github.com/bramleyhatch/bramleyhatch/internal/gateway"
	"github.com/bramleyhatch/bramleyhatch/internal/keeper"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
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
	k.AddTask("texts", server.Run)
	settings := k.Settings.GetStore()
	store := &platform.Store{
		Transport: &detour.Transport{Direct: &detour.Direct{Address: settings.GetAddress()}},
		Timeout:   settings.GetTimeout().AsDuration(),
	}
	session := k.addSession(store, gateway.PrefixKeeper, settings.GetLease().AsDuration())
	defer closeSession(session)
	return k.run(ctx, nil)
}
