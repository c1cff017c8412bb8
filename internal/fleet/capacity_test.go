package fleet_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/fleet"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// measuredTime is the length of the measured period, which follows the startup.
const measuredTime = 30 * lease

// deployment is the size of the simulated deployment.
type deployment struct {
	processes int
	zones     int
	pools     int
}

// The number of store calls made for duties must not grow with the number of processes. With -v the
// test prints the figures of the table in docs/design/duties-capacity.md.
func TestStoreCallsBySize(t *testing.T) {
	base := storeCalls(t, deployment{processes: 10, zones: 1, pools: 1})
	tests := []deployment{
		{processes: 40, zones: 1, pools: 1},
		{processes: 120, zones: 1, pools: 1},
		{processes: 10, zones: 4, pools: 1},
		{processes: 10, zones: 7, pools: 1},
		{processes: 10, zones: 7, pools: 8},
		{processes: 120, zones: 7, pools: 8},
	}
	for _, size := range tests {
		calls := storeCalls(t, size)
		must.Between(t, 0.9*base*float64(size.zones), calls, 1.1*base*float64(size.zones), must.Sprintf("%+v", size))
	}
}

// storeCalls returns the number of calls per second to the key-value service.
func storeCalls(t *testing.T, size deployment) float64 {
	var calls float64
	synctest.Test(t, func(t *testing.T) {
		fake := newFakePlatform()
		for zone := range size.zones {
			for pool := range size.pools {
				id := fmt.Sprintf("s%d-%d", zone, pool)
				fake.servers[id] = platform.Server{ID: id, Pool: fmt.Sprintf("m%d", pool), Zone: fmt.Sprintf("z%d", zone), State: "live"}
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		var joined sync.WaitGroup
		for i := range size.processes {
			startCandidate(ctx, &joined, fake, i, size)
		}
		time.Sleep(3*lease + time.Millisecond)
		before := fake.callCount()
		time.Sleep(measuredTime)
		calls = float64(fake.callCount()-before) / measuredTime.Seconds()
		cancel()
		joined.Wait()
	})
	t.Logf("%d processes, %d zones, %d pools: %.2f calls a second", size.processes, size.zones, size.pools, calls)
	return calls
}

// startCandidate starts one process as a candidate for the duties of all zones.
func startCandidate(ctx context.Context, joined *sync.WaitGroup, fake *fakePlatform, number int, size deployment) {
	name := fmt.Sprintf("e%d", number)
	var candidates []string
	for i := range size.processes {
		candidates = append(candidates, fmt.Sprintf("e%d", i))
	}
	process := &process{fakePlatform: fake}
	members := member.NewMembers(peerpb.Process_builder{Name: name}.Build())
	for i := range size.zones {
		zone := fmt.Sprintf("z%d", i)
		work := &fleet.Zone{
			Name: zone, Process: name, Platform: process, Members: members,
			Sidecars: &sidecars{running: map[string]uint32{}, draining: map[string]bool{}},
			Pools:    func() []*listpb.Pool { return nil },
			Interval: time.Second, Lease: lease, OrderTimeout: orderTimeout, DrainTimeout: drainTimeout,
		}
		rank := duty.Rank(fleet.DutyPrefix+zone, name, candidates)
		elector := &duty.Elector{
			Store: process, Name: fleet.DutyPrefix + zone, Process: name, Lease: lease, Margin: margin,
			Rank: func() int { return rank },
		}
		joined.Go(func() { _ = elector.Run(ctx, work.Run) })
	}
}
