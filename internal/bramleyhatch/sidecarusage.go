package bramleyhatch

import (
	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/usage"
)

// addUsage adds the usage counters.
func (s *Sidecar) addUsage() {
	s.counter = &usage.Counter{
		Process:     s.Process.Settings.GetName(),
		Incarnation: s.Incarnation,
		Window:      s.Settings.GetUsage().GetWindow().AsDuration(),
	}
	server := &usage.Server{Ledger: &usage.Ledger{}, Counter: s.counter}
	s.AddService(func(registrar grpc.ServiceRegistrar) { peerpb.RegisterUsageServer(registrar, server) })
}
