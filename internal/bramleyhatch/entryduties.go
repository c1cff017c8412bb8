package bramleyhatch

import (
	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/usage"
)

// addDuties adds the platform's client, duties under leases and usage.
func (e *Entry) addDuties() {
	e.ledger = &usage.Ledger{}
	server := &usage.Server{Ledger: e.ledger}
	e.AddService(func(registrar grpc.ServiceRegistrar) { peerpb.RegisterUsageServer(registrar, server) })
}
