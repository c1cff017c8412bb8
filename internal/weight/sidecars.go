package weight

import (
	"context"
	"net/http"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// Sidecars sends orders to sidecars. Exported fields are set before the first call.
type Sidecars struct {
	Directory   Directory
	Credentials credentials.TransportCredentials

	mutex       sync.Mutex
	connections map[string]*grpc.ClientConn
}

var _ Orderer = &Sidecars{}

// Order sends an order to the sidecar beside a server.
func (s *Sidecars) Order(ctx context.Context, server string, order *peerpb.OrderRequest) (uint64, error) {
	address, err := s.address(server)
	if err != nil {
		return 0, err
	}
	connection, err := s.connect(address)
	if err != nil {
		return 0, err
	}
	reply, err := peerpb.NewSidecarClient(connection).Order(ctx, order)
	if err != nil {
		return 0, err
	}
	if reply.HasRefusal() {
		return reply.GetVersion(), refusal.FromMessage(reply.GetRefusal())
	}
	return reply.GetVersion(), nil
}

func (s *Sidecars) address(server string) (string, error) {
	for _, process := range s.Directory.Processes(peerpb.Role_ROLE_SIDECAR) {
		if process.GetServer() == server {
			return process.GetAddress(), nil
		}
	}
	return "", refusal.NotRun(http.StatusServiceUnavailable, "no_server", "%s is gone", server)
}

func (s *Sidecars) connect(address string) (*grpc.ClientConn, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if connection := s.connections[address]; connection != nil {
		return connection, nil
	}
	connection, err := listen.Dial(address, s.Credentials)
	if err != nil {
		return nil, err
	}
	if s.connections == nil {
		s.connections = map[string]*grpc.ClientConn{}
	}
	s.connections[address] = connection
	return connection, nil
}
