package entry_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/claim"
	"github.com/bramleyhatch/bramleyhatch/internal/entry"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

const key = "key-1"

// pool is two sidecars in two zones that share one fake backend server.
type pool struct {
	*service

	t           *testing.T
	readTimeout time.Duration
	// dropsReplies drops the replies of witnesses.
	dropsReplies atomic.Bool
	// isolated makes IsIsolated report true at every sidecar.
	isolated atomic.Bool
	fleet    atomic.Pointer[statepb.Fleet]
	mutex    sync.Mutex
	address  map[string]string
	clients  map[string]peerpb.SidecarClient
	claims   map[string]*entry.Claims
}

func newPool(t *testing.T, service *service, readTimeout time.Duration) *pool {
	t.Helper()
	p := &pool{service: service, t: t, readTimeout: readTimeout, address: map[string]string{}, clients: map[string]peerpb.SidecarClient{}, claims: map[string]*entry.Claims{}}
	p.setFleet("live", "live")
	p.start("s1", true)
	p.start("s2", true)
	return p
}

// setFleet sets the servers' states and raises the epoch. Removals date from now, other
// states from long ago.
func (p *pool) setFleet(states ...string) {
	fleet := &statepb.Fleet{}
	for i, state := range states {
		id, zone := []string{"s1", "s2"}[i], []string{"a", "b"}[i]
		server := statepb.Server_builder{Id: id, Zone: zone, State: state, Born: 1, Since: 1}.Build()
		if state == "removed" {
			server.SetSince(time.Now().Unix())
		}
		fleet.SetServers(append(fleet.GetServers(), server))
	}
	fleet.SetEpoch(p.fleet.Load().GetEpoch() + 1)
	p.fleet.Store(fleet)
}

// start starts a sidecar. If isFirst is false, the sidecar is a restarted one without
// claims.
func (p *pool) start(id string, isFirst bool) {
	plain := &backend.Plain{}
	plain.Address, plain.Name, plain.ReadTimeout = p.URL, id, p.readTimeout
	server := &entry.Server{
		Name: id, Pool: "ledger", Backend: plain, Loads: discardLoads{},
		MaxRunning: 1, MaxQueued: 1, Retention: time.Minute, HeartbeatInterval: 20 * time.Millisecond,
	}
	server.Claims = &entry.Claims{
		Server: id, Pool: "ledger", Members: &members{pool: p, isFirst: isFirst}, Peers: &lossyPeers{Sidecars: &entry.Sidecars{Members: p}, pool: p},
		Retention: time.Minute, Started: time.Now().Add(-claim.MaxFleetLag), RunAlone: true,
	}
	p.claims[id] = server.Claims
	p.serve(id, server)
}

// restart starts a sidecar without its claims and waits until it has restored them.
func (p *pool) restart(id string) {
	p.start(id, false)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	p.t.Cleanup(cancel)
	go func() { _ = p.claims[id].Restore(ctx) }()
	for {
		reply, err := p.clients[id].Recall(ctx, peerpb.RecallRequest_builder{Pool: "ledger"}.Build())
		must.NoError(p.t, err)
		if reply.GetWhole() {
			return
		}
	}
}

func (p *pool) serve(id string, server *entry.Server) {
	server.Init()
	ctx, cancel := context.WithCancel(context.Background())
	address := make(chan string, 1)
	stopped := make(chan error, 1)
	listener := &listen.GRPC{
		Address:     "127.0.0.1:0",
		Register:    func(registrar grpc.ServiceRegistrar) { peerpb.RegisterSidecarServer(registrar, server) },
		OnListening: func(chosen string) { address <- chosen },
	}
	go func() { stopped <- listener.Run(ctx, time.Millisecond) }()
	p.setAddress(id, <-address)
	connection, err := listen.Dial(p.address[id], nil)
	must.NoError(p.t, err)
	p.clients[id] = peerpb.NewSidecarClient(connection)
	p.t.Cleanup(func() {
		cancel()
		must.NoError(p.t, <-stopped)
		must.NoError(p.t, connection.Close())
	})
}

func (p *pool) setAddress(id, address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.address[id] = address
}

// Processes returns the sidecars and their addresses.
func (p *pool) Processes(peerpb.Role) []*peerpb.Process {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var found []*peerpb.Process
	for id, address := range p.address {
		found = append(found, peerpb.Process_builder{Server: id, Address: address}.Build())
	}
	return found
}

// home returns the claim's home and its witness in the current fleet.
func (p *pool) home() (home, witness string) {
	return claim.Home(key, p.fleet.Load()), claim.Witness(key, p.fleet.Load())
}

// send sends a request with the key to a server, as an entry with the current fleet does.
func (p *pool) send(server, id string) answer {
	return send(p.clients[server], p.posting(id))
}

func (p *pool) posting(id string) *peerpb.RunRequest {
	request := posting(id)
	request.SetClaim(key)
	request.SetEpoch(p.fleet.Load().GetEpoch())
	return request
}

// members is the membership as one sidecar of the pool knows it.
type members struct {
	*pool

	isFirst bool
}

var _ entry.Membership = &members{}

func (m *members) Fleet(string) *statepb.Fleet { return m.fleet.Load() }
func (m *members) IsFirstProcess() bool        { return m.isFirst }
func (m *members) CountOthers(string) int      { return 1 }
func (m *members) IsIsolated(time.Time) bool   { return m.isolated.Load() }

// lossyPeers calls the other sidecar and loses replies while pool.dropsReplies is set.
type lossyPeers struct {
	*entry.Sidecars

	pool *pool
}

func (l *lossyPeers) Claim(ctx context.Context, server string, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	reply, err := l.Sidecars.Claim(ctx, server, request)
	if l.pool.dropsReplies.Load() {
		return nil, context.DeadlineExceeded
	}
	return reply, err
}
