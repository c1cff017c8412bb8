package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
)

// slowDemand answers the first query late.
type slowDemand struct {
	peerpb.UnimplementedGatewayServer

	delay chan time.Duration
}

func (s *slowDemand) Demand(context.Context, *peerpb.DemandRequest) (*peerpb.DemandReply, error) {
	time.Sleep(<-s.delay)
	return &peerpb.DemandReply{}, nil
}

// Guards against too many servers that are ordered because another gateway answers late: this gateway's requests seemed to
// run within a shorter time.
func TestDemandBesideLateGateway(t *testing.T) {
	const running, late, interval = 4, 150 * time.Millisecond, 200 * time.Millisecond
	slow := &slowDemand{delay: make(chan time.Duration, 2)}
	address := make(chan string, 1)
	server := &listen.GRPC{
		Address: "127.0.0.1:0", OnListening: func(a string) { address <- a },
		Register: func(registrar grpc.ServiceRegistrar) { peerpb.RegisterGatewayServer(registrar, slow) },
	}
	go func() { _ = server.Run(t.Context(), 0) }()
	hosts := &Hosts{Name: "g1"}
	for name, host := range map[string]string{"g1": "127.0.0.1:1", "g2": <-address} {
		data, err := proto.Marshal(statepb.Host_builder{Name: name, Address: host}.Build())
		must.NoError(t, err)
		hosts.ApplyChanges([]platform.Value{{Key: PrefixHost + name, Data: data, Revision: 1}})
	}
	servers := &roster.Roster{}
	servers.Set(roster.Entry{ID: "a1", Pool: "app", Address: "127.0.0.1:1", Slots: 2 * running, StartedAtMillis: 1})
	for range running {
		chosen, _ := servers.Choose("app", nil)
		must.NotNil(t, chosen)
	}
	collector := &DemandCollector{Hosts: hosts, Own: &Server{Roster: servers, Board: &batch.Board{}}}
	slow.delay <- late
	slow.delay <- 0
	collector.Collect(t.Context(), []string{"app"})
	time.Sleep(interval - late)
	need := collector.Collect(t.Context(), []string{"app"})["app"]
	must.Between(t, 0.7*running, need.Running, 1.3*running)
}
