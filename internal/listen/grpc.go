package listen

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

const (
	maxMessageBytes = 16 << 20
	// maxHeaderListBytes limits the header fields of a call. gRPC's default is 16 MB.
	maxHeaderListBytes = 16 << 10
	// handshakeTimeout is how long a new connection may take until it can carry calls.
	handshakeTimeout = 10 * time.Second
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	minKeepaliveTime = time.Second
	// grpcIdleTimeout is how long a connection without calls stays open. An entry connects
	// to hundreds of sidecars; pings and buffers for all of them would exceed a process's
	// resources for control traffic.
	grpcIdleTimeout = 30 * time.Second
	// minRedialDelay and maxRedialDelay bound the backoff before a refused connection is
	// retried. Restarted processes listen again within some tenths of a second; gRPC's
	// default backoff of a second and more would disconnect processes that started slightly
	// earlier for that long.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
	// peerDialTimeout bounds one attempt to connect to another process: fifty times the
	// latency between two zones, and less than the second after which a lost SYN is
	// retransmitted. When whole hosts restart, the SYN of a process that starts slightly
	// before its keeper is lost; without this timeout the process would not get its texts
	// in time and would generate all of them again.
	peerDialTimeout = 400 * time.Millisecond
)

// GRPC is the server for other processes of the system. Exported fields are set before
// Run.
type GRPC struct {
	// Address is an IP address and port; with port 0 the system chooses the port.
	Address string
	// Credentials hold this process's certificate; nil disables TLS.
	Credentials credentials.TransportCredentials
	// Options are added to the default server options.
	Options []grpc.ServerOption
	// Register registers the services.
	Register func(grpc.ServiceRegistrar)
	// OnListening is called once with the actual address.
	OnListening func(address string)
}

// Run serves until the context ends, then waits for open calls for up to grace.
func (g *GRPC) Run(ctx context.Context, grace time.Duration) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", g.Address)
	if err != nil {
		return &Error{Address: g.Address, Problem: err.Error()}
	}
	server := g.build()
	if g.OnListening != nil {
		g.OnListening(listener.Addr().String())
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return eris.Wrapf(err, "serve on %s", g.Address)
	case <-ctx.Done():
	}
	stopWithin(server, grace)
	return nil
}

func (g *GRPC) build() *grpc.Server {
	transport := g.Credentials
	if transport == nil {
		transport = insecure.NewCredentials()
	}
	options := append([]grpc.ServerOption{
		grpc.Creds(transport),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveTime, PermitWithoutStream: true}),
	}, g.Options...)
	server := grpc.NewServer(options...)
	g.Register(server)
	return server
}

func stopWithin(server *grpc.Server, grace time.Duration) {
	stopped := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(grace):
		server.Stop()
	}
}

// Dial returns a connection to another process. gRPC's own retries are disabled: only the
// caller knows whether a request is idempotent and may be sent again.
func Dial(address string, transport credentials.TransportCredentials) (*grpc.ClientConn, error) {
	if transport == nil {
		transport = insecure.NewCredentials()
	}
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(transport),
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(grpcIdleTimeout),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minRedialDelay, Multiplier: backoff.DefaultConfig.Multiplier, Jitter: backoff.DefaultConfig.Jitter, MaxDelay: maxRedialDelay},
			MinConnectTimeout: peerDialTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
	)
	return connection, eris.Wrapf(err, "dial %s", address)
}
