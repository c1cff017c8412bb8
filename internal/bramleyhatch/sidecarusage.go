package bramleyhatch

import (
	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/usage"
)

// addUsage adds the usage counters and the task that pushes them to the entries that hold copies.
func (s *Sidecar) addUsage() {
	settings := s.Settings.GetUsage()
	s.counter = &usage.Counter{
		Process:     s.Process.Settings.GetName(),
		Incarnation: s.Incarnation,
		Window:      settings.GetWindow().AsDuration(),
	}
	server := &usage.Server{Ledger: &usage.Ledger{}, Counter: s.counter}
	s.AddService(func(registrar grpc.ServiceRegistrar) { peerpb.RegisterUsageServer(registrar, server) })
	pusher := &usage.Pusher{
		Source:            s.counter,
		Directory:         s.members,
		Peers:             &usage.GRPCPeers{Credentials: s.credentials()},
		Interval:          settings.GetPush().AsDuration(),
		ReportedRetention: settings.GetRetain().AsDuration(),
		MaxRetention:      settings.GetKeep().AsDuration(),
	}
	s.AddTask("usage", pusher.Run)
}
