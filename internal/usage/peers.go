package usage

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	callTimeout = 2 * time.Second
	// maxConnections limits the connections that stay open between pushes.
	maxConnections = 4
)

// GRPCPeers calls the Usage service of other processes over gRPC. Connections for
// pushes stay open; those for collecting are closed, since a reporter queries every process.
type GRPCPeers struct {
	Credentials credentials.TransportCredentials

	mutex       sync.Mutex
	connections map[string]*grpc.ClientConn
}

var _ Peers = &GRPCPeers{}

// Collect returns the counters that a process holds.
func (g *GRPCPeers) Collect(ctx context.Context, process *peerpb.Process, request *peerpb.CollectRequest) (*peerpb.CollectReply, error) {
	connection, err := listen.Dial(process.GetAddress(), g.Credentials)
	if err != nil {
		return nil, err
	}
	defer func() { _ = connection.Close() }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := peerpb.NewUsageClient(connection).Collect(ctx, request)
	return reply, eris.Wrap(err, "collect usage counters from "+process.GetName())
}

// Keep sends counters to a process that stores copies of them.
func (g *GRPCPeers) Keep(ctx context.Context, process *peerpb.Process, counts []*peerpb.Count) error {
	connection, err := g.connect(process.GetAddress())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = peerpb.NewUsageClient(connection).Keep(ctx, peerpb.KeepRequest_builder{Counts: counts}.Build())
	return eris.Wrap(err, "send usage counters to "+process.GetName())
}

func (g *GRPCPeers) connect(address string) (*grpc.ClientConn, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if connection := g.connections[address]; connection != nil {
		return connection, nil
	}
	if len(g.connections) >= maxConnections {
		g.closeAll()
	}
	connection, err := listen.Dial(address, g.Credentials)
	if err != nil {
		return nil, err
	}
	if g.connections == nil {
		g.connections = map[string]*grpc.ClientConn{}
	}
	g.connections[address] = connection
	return connection, nil
}

func (g *GRPCPeers) closeAll() {
	for address, connection := range g.connections {
		_ = connection.Close()
		delete(g.connections, address)
	}
}
