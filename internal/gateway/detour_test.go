package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/detour"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// relayingGateway is a gateway that relays store requests. While it is silent it gives no answer, as one
// whose own requests to the store are lost.
type relayingGateway struct {
	peerpb.UnimplementedGatewayServer

	isSilent atomic.Bool
	calls    atomic.Int32
	// early is how long before a request's deadline a silent gateway reports that it has passed.
	early time.Duration
}

// Detour answers with the status of the store.
func (g *relayingGateway) Detour(ctx context.Context, _ *peerpb.DetourRequest) (*peerpb.DetourReply, error) {
	g.calls.Add(1)
	if g.isSilent.Load() && g.early > 0 {
		deadline, _ := ctx.Deadline()
		pause.For(ctx, time.Until(deadline)-g.early)
		return nil, status.FromContextError(context.DeadlineExceeded).Err()
	}
	if g.isSilent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return peerpb.DetourReply_builder{Status: http.StatusOK}.Build(), nil
}

// relayTimeout is the timeout of a relayed request.
const relayTimeout = 200 * time.Millisecond

// startRelays starts gateways and returns a process that knows them, and the gateways in the order in which it
// tries them at first.
func startRelays(t *testing.T, count int) (*Hosts, []*relayingGateway) {
	t.Helper()
	hosts := &Hosts{Name: "self", Followers: 1}
	relays := map[string]*relayingGateway{}
	for i := range count {
		name, relay, address := fmt.Sprint("g", i), &relayingGateway{}, make(chan string, 1)
		relays[name] = relay
		server := &listen.GRPC{
			Address: "127.0.0.1:0", OnListening: func(a string) { address <- a },
			Register: func(registrar grpc.ServiceRegistrar) { peerpb.RegisterGatewayServer(registrar, relay) },
		}
		ended := make(chan struct{})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			defer close(ended)
			_ = server.Run(ctx, 0)
		}()
		t.Cleanup(func() {
			cancel()
			<-ended
		})
		data, err := proto.Marshal(statepb.Host_builder{Name: name, Address: <-address}.Build())
		must.NoError(t, err)
		hosts.ApplyChanges([]platform.Value{{Key: PrefixHost + name, Data: data, Revision: uint64(i + 1)}})
	}
	var order []*relayingGateway
	for _, name := range hosts.detourOrder() {
		order = append(order, relays[name])
	}
	return hosts, order
}

func relay(t *testing.T, hosts *Hosts) detour.RelayResult {
	t.Helper()
	_, result := hosts.Detour(t.Context(), detour.Call{Method: http.MethodGet, Target: "/", Timeout: relayTimeout})
	return result
}

// Guards against store requests that go through the same silent gateways again and again, while others would relay them:
// a change of the configuration is then in force too late.
func TestDetourAvoidsSilentGateways(t *testing.T) {
	t.Run("the first ones are silent", func(t *testing.T) {
		hosts, order := startRelays(t, 4)
		order[0].isSilent.Store(true)
		order[1].isSilent.Store(true)
		must.Eq(t, detour.OutcomeUnknown, relay(t, hosts))
		began := time.Now()
		must.Eq(t, detour.Answered, relay(t, hosts))
		must.Less(t, relayTimeout, time.Since(began))
		must.Eq(t, 1, order[0].calls.Load())
		must.Eq(t, 1, order[1].calls.Load())
	})
	t.Run("the one that relayed before becomes silent", func(t *testing.T) {
		hosts, order := startRelays(t, 2)
		must.Eq(t, detour.Answered, relay(t, hosts))
		order[0].isSilent.Store(true)
		must.Eq(t, detour.Answered, relay(t, hosts))
		for range 3 {
			must.Eq(t, detour.Answered, relay(t, hosts))
		}
		must.Eq(t, 2, order[0].calls.Load())
	})
	t.Run("a process that gives up blames no gateway", func(t *testing.T) {
		hosts, order := startRelays(t, maxDetourAttempts+1)
		order[0].isSilent.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), relayTimeout/4)
		defer cancel()
		_, result := hosts.Detour(ctx, detour.Call{Method: http.MethodGet, Target: "/", Timeout: relayTimeout})
		must.NotEq(t, detour.Answered, result)
		order[0].isSilent.Store(false)
		must.Eq(t, detour.Answered, relay(t, hosts))
		must.Eq(t, 2, order[0].calls.Load())
	})
	t.Run("a process whose gateways notice first that it gives up blames none", func(t *testing.T) {
		hosts, order := startRelays(t, maxDetourAttempts+1)
		for _, gateway := range order {
			gateway.early = relayTimeout / 20
			gateway.isSilent.Store(true)
		}
		ctx, cancel := context.WithTimeout(t.Context(), relayTimeout/4)
		defer cancel()
		_, result := hosts.Detour(ctx, detour.Call{Method: http.MethodGet, Target: "/", Timeout: relayTimeout})
		must.NotEq(t, detour.Answered, result)
		for _, gateway := range order {
			gateway.isSilent.Store(false)
		}
		calls := order[0].calls.Load()
		must.Eq(t, detour.Answered, relay(t, hosts))
		must.Eq(t, calls+1, order[0].calls.Load())
	})
}
