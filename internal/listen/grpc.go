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
	aliveTime       = 10 * time.Second
	aliveTimeout    = 3 * time.Second
	leastAliveTime  = time.Second
	// idleClose is how long a connection without calls stays open. An entry
	// reaches hundreds of sidecars; pings and buffers of all of them would take
	// more than a process may spend on control.
	idleClose = 30 * time.Second
	// firstRedial and lastRedial bound the wait before a connection that was refused
	// is tried again. Processes that start anew are back within some tenths of a
	// second; by the library's own wait of a second and more, each of those that
	// came a little earlier went without the others for that long.
	firstRedial = 50 * time.Millisecond
	lastRedial  = time.Second
	// peerDialTimeout bounds one try to connect to another process: fifty times the
	// way between two zones, and less than the second after which a lost opening
	// packet is sent again. Where whole hosts start anew, one that is a little earlier
	// than its keeper loses that packet, has no texts in time, and makes them all anew.
	peerDialTimeout = 400 * time.Millisecond
)

// GRPC is the server for other processes of the system.
// Exported fields are set before Run.
type GRPC struct {
	// Address is an IP address and port; port 0 lets the system choose.
	Address string
	// Credentials hold this process's certificate; nil runs without TLS.
	Credentials credentials.TransportCredentials
	// Options are added to the server's own.
	Options []grpc.ServerOption
	// Register adds the services.
	Register func(grpc.ServiceRegistrar)
	// Listening is called once with the address in use.
	Listening func(address string)
}

// Run serves until the context ends, then waits for open calls up to grace.
func (g *GRPC) Run(ctx context.Context, grace time.Duration) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", g.Address)
	if err != nil {
		return &Error{Address: g.Address, Problem: err.Error()}
	}
	server := g.build()
	if g.Listening != nil {
		g.Listening(listener.Addr().String())
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
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: aliveTime, Timeout: aliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: leastAliveTime, PermitWithoutStream: true}),
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

// Dial returns a connection to another process. It never repeats a call:
// gRPC's own retries are off, since whether a request may be sent again is
// decided by the caller, who knows whether it is idempotent.
func Dial(address string, transport credentials.TransportCredentials) (*grpc.ClientConn, error) {
	if transport == nil {
		transport = insecure.NewCredentials()
	}
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(transport),
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(idleClose),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: firstRedial, Multiplier: backoff.DefaultConfig.Multiplier, Jitter: backoff.DefaultConfig.Jitter, MaxDelay: lastRedial},
			MinConnectTimeout: peerDialTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: aliveTime, Timeout: aliveTimeout, PermitWithoutStream: true}),
	)
	return connection, eris.Wrapf(err, "dial %s", address)
}
