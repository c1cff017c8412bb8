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

const drainTimeout = time.Minute

// sidecars is a fake Sidecars that holds the load and drain state of each server.
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

// zoneFixture is the duty of a zone with two live servers, on a fake platform.
type zoneFixture struct {
	*fakePlatform
	members  *member.Members
	sidecars *sidecars
	duty     *fleet.Zone
}

func newZoneFixture() *zoneFixture {
	fake := newFakePlatform()
	members := member.NewMembers(peerpb.Process_builder{Name: "e1", Role: peerpb.Role_ROLE_ENTRY}.Build())
	sidecars := &sidecars{running: map[string]uint32{}, draining: map[string]bool{}}
	for _, server := range []string{"s1", "s2"} {
		fake.servers[server] = platform.Server{ID: server, Pool: "m", Zone: "a", State: "live"}
	}
	return &zoneFixture{fakePlatform: fake, members: members, sidecars: sidecars, duty: &fleet.Zone{
		Name:         "a",
		Process:      "e1",
		Platform:     &process{fakePlatform: fake},
		Members:      &processes{Members: members},
		Sidecars:     sidecars,
		Pools:        func() []*listpb.Pool { return nil },
		Interval:     time.Second,
		Lease:        lease,
		OrderTimeout: orderTimeout,
		DrainTimeout: drainTimeout,
	}}
}

// processes is a member.Members that lists a sidecar for each server.
type processes struct {
	*member.Members
}

func (p *processes) Processes(peerpb.Role) []*peerpb.Process {
	return []*peerpb.Process{
		peerpb.Process_builder{Name: "p1", Server: "s1", Address: "10.0.0.1:1"}.Build(),
		peerpb.Process_builder{Name: "p2", Server: "s2", Address: "10.0.0.2:1"}.Build(),
	}
}

func (z *zoneFixture) start(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- z.duty.Run(ctx, duty.NewTerm(1, time.Now().Add(time.Hour))) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-ended)
	})
}

func (z *zoneFixture) markHostLeaving() {
	z.change(func() { z.hosts = []platform.Host{{Name: "h1", Address: "10.0.0.1:1", State: "leaving"}} })
}

// states returns the servers' states in the fact that other processes receive.
func (z *zoneFixture) states(t *testing.T) map[string]string {
	t.Helper()
	known := &statepb.Fleet{}
	must.NoError(t, proto.Unmarshal(z.members.Fact(member.FactFleet+"m").GetValue(), known))
	states := map[string]string{}
	for _, server := range known.GetServers() {
		states[server.GetId()] = server.GetState()
	}
	return states
}

// waitRounds waits for a number of rounds of the duty.
func waitRounds(number int) {
	time.Sleep(time.Duration(number)*time.Second + time.Millisecond)
}

func TestFleetFollowsPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		zone := newZoneFixture()
		zone.start(t)
		waitRounds(1)
		must.Eq(t, map[string]string{"s1": "live", "s2": "live"}, zone.states(t))
		zone.change(func() { delete(zone.servers, "s2") })
		waitRounds(1)
		must.Eq(t, map[string]string{"s1": "live", "s2": "removed"}, zone.states(t))
		must.Len(t, 0, zone.arrivedOrders())
	})
}

// Guards against aborting a request because its server is stopped while the host is about to leave.
// The server must start to drain within a few rounds and be stopped only once no request runs.
func TestLeavingHostDrainsBeforeStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		zone := newZoneFixture()
		zone.sidecars.run("s1", 1)
		zone.start(t)
		waitRounds(1)
		zone.markHostLeaving()
		waitRounds(2)
		must.Eq(t, map[string]string{"s1": "draining", "s2": "live"}, zone.states(t))
		must.True(t, zone.sidecars.isDraining("s1"))
		must.False(t, zone.sidecars.isDraining("s2"))
		waitRounds(10)
		must.Len(t, 0, zone.arrivedOrders())
		zone.sidecars.run("s1", 0)
		waitRounds(2)
		must.Len(t, 1, zone.arrivedOrders())
		must.Eq(t, fleet.ActionStop, zone.arrivedOrders()[0].Action)
		must.Eq(t, "s1", zone.arrivedOrders()[0].Server)
	})
}

// Guards against a server that is never stopped because one of its requests never ends: the wait
// for a drain is bounded.
func TestDrainTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		zone := newZoneFixture()
		zone.sidecars.run("s1", 1)
		zone.start(t)
		zone.markHostLeaving()
		waitRounds(int(drainTimeout/time.Second) - 2)
		must.Len(t, 0, zone.arrivedOrders())
		waitRounds(4)
		must.Len(t, 1, zone.arrivedOrders())
	})
}

// The answer to a stop order is lost twice. All attempts must use the same order ID.
func TestStopWithLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		zone := newZoneFixture()
		zone.start(t)
		zone.change(func() { zone.lostOrderAnswers = 2 })
		zone.markHostLeaving()
		waitRounds(5)
		orders := zone.arrivedOrders()
		must.Len(t, 3, orders)
		must.Eq(t, orders[0].ID, orders[1].ID)
		must.Eq(t, orders[0].ID, orders[2].ID)
		must.Eq(t, map[string]string{"s1": "removed", "s2": "live"}, zone.states(t))
	})
}

// A stop order is lost in transit twice. The order must be resent with the same ID until it
// arrives, since an earlier attempt may have arrived.
func TestStopLostInTransit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		zone := newZoneFixture()
		zone.start(t)
		zone.change(func() { zone.lostOrders = 2 })
		zone.markHostLeaving()
		waitRounds(5)
		orders := zone.arrivedOrders()
		must.Len(t, 1, orders)
		must.Eq(t, "a-1", orders[0].ID)
	})
}
