package fleet_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/fleet"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const drainBound = time.Minute

// sidecars are the sidecars of all servers.
type sidecars struct {
	mutex    sync.Mutex
	running  map[string]uint32
	draining map[string]bool
}

func (s *sidecars) Drain(_ context.Context, process *peerpb.Process, _ *peerpb.OrderRequest) (*peerpb.Load, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining[process.GetServer()] = true
	return peerpb.Load_builder{Running: s.running[process.GetServer()], Draining: true}.Build(), nil
}

func (s *sidecars) run(server string, running uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running[server] = running
}

func (s *sidecars) isDraining(server string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.draining[server]
}

// zone is a zone with two live servers and its duty.
type zone struct {
	*world
	members  *member.Members
	sidecars *sidecars
	duty     *fleet.Zone
}

func newZone() *zone {
	world := newWorld()
	members := member.NewMembers(peerpb.Process_builder{Name: "e1", Role: peerpb.Role_ROLE_ENTRY}.Build())
	sidecars := &sidecars{running: map[string]uint32{}, draining: map[string]bool{}}
	for _, server := range []string{"s1", "s2"} {
		world.servers[server] = platform.Server{ID: server, Pool: "m", Zone: "a", State: "live"}
	}
	return &zone{world: world, members: members, sidecars: sidecars, duty: &fleet.Zone{
		Name:       "a",
		Process:    "e1",
		Platform:   &process{world: world},
		Members:    &processes{Members: members},
		Sidecars:   sidecars,
		Pools:      func() []*listpb.Pool { return nil },
		Interval:   time.Second,
		Lease:      lease,
		OrderBound: bound,
		DrainBound: drainBound,
	}}
}

// processes adds a sidecar for each server to what is known of other processes.
type processes struct {
	*member.Members
}

func (p *processes) Processes(peerpb.Role) []*peerpb.Process {
	return []*peerpb.Process{
		peerpb.Process_builder{Name: "p1", Server: "s1", Address: "10.0.0.1:1"}.Build(),
		peerpb.Process_builder{Name: "p2", Server: "s2", Address: "10.0.0.2:1"}.Build(),
	}
}

func (z *zone) start(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- z.duty.Run(ctx, duty.NewTerm(1, time.Now().Add(time.Hour))) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-ended)
	})
}

func (z *zone) leave() {
	z.set(func() { z.hosts = []platform.Host{{Name: "h1", Address: "10.0.0.1:1", State: "leaving"}} })
}

// states returns the servers' states in the fact that other processes see.
func (z *zone) states(t *testing.T) map[string]string {
	t.Helper()
	known := &statepb.Fleet{}
	must.NoError(t, proto.Unmarshal(z.members.Fact(member.FactFleet+"m").GetValue(), known))
	states := map[string]string{}
	for _, server := range known.GetServers() {
		states[server.GetId()] = server.GetState()
	}
	return states
}

// rounds lets the duty go through some rounds.
func rounds(number int) {
	time.Sleep(time.Duration(number)*time.Second + time.Millisecond)
}

func TestFleetFollowsPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		zone := newZone()
		zone.start(t)
		rounds(1)
		must.Eq(t, map[string]string{"s1": "live", "s2": "live"}, zone.states(t))
		zone.set(func() { delete(zone.servers, "s2") })
		rounds(1)
		must.Eq(t, map[string]string{"s1": "live", "s2": "removed"}, zone.states(t))
		must.Len(t, 0, zone.orders())
	})
}

// A member's posting is cut off: the host of its backend server is about to go,
// and the server is stopped while the posting runs. The server must get no new
// work within a few rounds and be stopped only once nothing runs.
func TestLeavingHostDrainsBeforeStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		zone := newZone()
		zone.sidecars.run("s1", 1)
		zone.start(t)
		rounds(1)
		zone.leave()
		rounds(2)
		must.Eq(t, map[string]string{"s1": "draining", "s2": "live"}, zone.states(t))
		must.True(t, zone.sidecars.isDraining("s1"))
		must.False(t, zone.sidecars.isDraining("s2"))
		rounds(10)
		must.Len(t, 0, zone.orders())
		zone.sidecars.run("s1", 0)
		rounds(2)
		must.Len(t, 1, zone.orders())
		must.Eq(t, fleet.ActionStop, zone.orders()[0].Action)
		must.Eq(t, "s1", zone.orders()[0].Server)
	})
}

// A server costs money for ever: one of its requests never ends, so it is
// never drained. The wait has a bound.
func TestDrainHasBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		zone := newZone()
		zone.sidecars.run("s1", 1)
		zone.start(t)
		zone.leave()
		rounds(int(drainBound/time.Second) - 2)
		must.Len(t, 0, zone.orders())
		rounds(4)
		must.Len(t, 1, zone.orders())
	})
}

// The answer to the order to stop is lost twice. The server must be stopped under one order's identity.
func TestStopWithLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		zone := newZone()
		zone.start(t)
		zone.set(func() { zone.loseOrders = 2 })
		zone.leave()
		rounds(5)
		orders := zone.orders()
		must.Len(t, 3, orders)
		must.Eq(t, orders[0].ID, orders[1].ID)
		must.Eq(t, orders[0].ID, orders[2].ID)
		must.Eq(t, map[string]string{"s1": "removed", "s2": "live"}, zone.states(t))
	})
}

// The order to stop is lost on its way, twice. It must be sent under one
// identity until it arrives, since none of the earlier ones is known to be lost.
func TestStopLostOnTheWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		zone := newZone()
		zone.start(t)
		zone.set(func() { zone.cutOrders = 2 })
		zone.leave()
		rounds(5)
		orders := zone.orders()
		must.Len(t, 1, orders)
		must.Eq(t, "a-1", orders[0].ID)
	})
}
