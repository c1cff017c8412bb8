package fleet

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/credentials"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const orderTimeout = time.Second

// SidecarClient sends orders to sidecars over gRPC. It closes the connection after each
// order, since few servers drain at a time.
type SidecarClient struct {
	Credentials credentials.TransportCredentials
}

var _ Sidecars = &SidecarClient{}

// Drain makes a sidecar reject new work and returns the server's load afterwards.
func (c *SidecarClient) Drain(ctx context.Context, process *peerpb.Process, order *peerpb.OrderRequest) (*peerpb.Load, error) {
	connection, err := listen.Dial(process.GetAddress(), c.Credentials)
	if err != nil {
		return nil, err
	}
	defer func() { _ = connection.Close() }()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := peerpb.NewSidecarClient(connection).Order(ctx, order)
	if err != nil {
		return nil, eris.Wrap(err, "drain "+process.GetServer())
	}
	if reply.HasRefusal() {
		return nil, refusal.FromMessage(reply.GetRefusal())
	}
	return reply.GetLoad(), nil
}
