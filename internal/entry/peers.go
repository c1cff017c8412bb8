package entry

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
	// claimTimeout bounds a claim request to a witness.
	claimTimeout = time.Second
	// recallTimeout bounds a request for all claims of a sidecar.
	recallTimeout = 5 * time.Second
)

// ProcessTable lists the known processes of a role.
type ProcessTable interface {
	Processes(role peerpb.Role) []*peerpb.Process
}

// Sidecars calls the sidecars of other backend servers over gRPC.
// Exported fields must be set before the first call.
type Sidecars struct {
	Members     ProcessTable
	Credentials credentials.TransportCredentials

	mutex       sync.Mutex
	connections map[string]*peer
}

// peer is a connection to another server's sidecar.
type peer struct {
	address    string
	connection *grpc.ClientConn
}

var _ Peers = &Sidecars{}

// Claim asks a server's sidecar to record a claim. It doesn't retry: if the
// reply is lost the claim may stay recorded there, which is safe.
func (s *Sidecars) Claim(ctx context.Context, server string, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	connection, err := s.connect(server)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := peerpb.NewSidecarClient(connection).Claim(ctx, request)
	return reply, eris.Wrapf(err, "call Claim at the sidecar of %s", server)
}

// Recall returns the claims recorded at a server's sidecar.
func (s *Sidecars) Recall(ctx context.Context, server string, request *peerpb.RecallRequest) (*peerpb.RecallReply, error) {
	connection, err := s.connect(server)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	reply, err := peerpb.NewSidecarClient(connection).Recall(ctx, request)
	return reply, eris.Wrapf(err, "call Recall at the sidecar of %s", server)
}

// Join streams a run that exists at a server's sidecar; it never starts one.
func (s *Sidecars) Join(ctx context.Context, server string, request *peerpb.RunRequest) (grpc.ServerStreamingClient[peerpb.Frame], error) {
	connection, err := s.connect(server)
	if err != nil {
		return nil, err
	}
	stream, err := peerpb.NewSidecarClient(connection).Run(ctx, request)
	return stream, eris.Wrapf(err, "call Run at the sidecar of %s", server)
}

func (s *Sidecars) connect(server string) (*grpc.ClientConn, error) {
	address := s.address(server)
	if address == "" {
		return nil, eris.Errorf("connect to the sidecar of %s: its address is unknown", server)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.connections[server]
	if known != nil && known.address == address {
		return known.connection, nil
	}
	connection, err := listen.Dial(address, s.Credentials)
	if err != nil {
		return nil, err
	}
	if known != nil {
		_ = known.connection.Close()
	}
	if s.connections == nil {
		s.connections = map[string]*peer{}
	}
	s.connections[server] = &peer{address: address, connection: connection}
	return connection, nil
}

func (s *Sidecars) address(server string) string {
	for _, process := range s.Members.Processes(peerpb.Role_ROLE_SIDECAR) {
		if process.GetServer() == server {
			return process.GetAddress()
		}
	}
	return ""
}
