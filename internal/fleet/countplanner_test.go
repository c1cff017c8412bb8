package fleet_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bramleyhatch/bramleyhatch/internal/fleet"
)

// simulatedPool is a pool in two zones whose platform carries out accepted orders.
type simulatedPool struct {
	planner *fleet.CountPlanner
	pool    fleet.CountedPool
	now     time.Time
	// accepts is true if the platform accepts and answers orders.
	accepts bool
	sent    []fleet.Count
}

func newSimulatedPool() *simulatedPool {
	return &simulatedPool{
		planner: &fleet.CountPlanner{Target: 0.75, Slack: 0.1},
		pool: fleet.CountedPool{
			Name: "lm", Min: 1, Max: 4, StartupTime: 2 * time.Second,
			Present: map[string]int{"a": 1, "b": 1}, Need: fleet.Need{Slots: 8},
		},
		now:     time.Unix(0, 0),
		accepts: true,
	}
}

// advance advances the time, with a round each second. Accepted orders take effect by the next
// round, but only in the given zones.
func (p *simulatedPool) advance(seconds int, zones ...string) {
	for range seconds {
		due := p.planner.Due(p.now, p.pool)
		for _, count := range due {
			p.planner.RecordSent(p.now, count, p.accepts)
			p.sent = append(p.sent, count)
			for _, zone := range zones {
				if p.accepts && zone == count.Zone {
					p.pool.Present[zone] = count.Servers
				}
			}
		}
		p.now = p.now.Add(time.Second)
	}
}

func mustHave(t *testing.T, p *simulatedPool, a, b int) {
	t.Helper()
	must.Eq(t, map[string]int{"a": a, "b": b}, p.pool.Present)
}

func TestCountPlanner(t *testing.T) {
	t.Run("a rise is followed at once, a fall after the delay", func(t *testing.T) {
		p := newSimulatedPool()
		p.advance(5, "a", "b")
		must.SliceEmpty(t, p.sent)
		p.pool.Need.Running = 20
		p.advance(1, "a", "b")
		mustHave(t, p, 2, 2)
		p.pool.Need.Running = 0
		p.advance(5, "a", "b")
		mustHave(t, p, 2, 2)
		p.advance(10, "a", "b")
		mustHave(t, p, 1, 1)
		must.SliceLen(t, 4, p.sent)
	})
	t.Run("nothing passes the bounds of a zone", func(t *testing.T) {
		p := newSimulatedPool()
		p.pool.Need.Queued = 1000
		p.advance(2, "a", "b")
		mustHave(t, p, 4, 4)
	})
	t.Run("requests that found no room count like those that run", func(t *testing.T) {
		p := newSimulatedPool()
		p.pool.Need = fleet.Need{Running: 12, Queued: 8, Slots: 8}
		p.advance(1, "a", "b")
		mustHave(t, p, 2, 2)
	})
}

// An order is not answered, so the platform may not have accepted it. If the order counted as
// accepted, the pool would stay too small.
func TestCountPlannerWithoutAnswer(t *testing.T) {
	p := newSimulatedPool()
	p.accepts = false
	p.pool.Need.Running = 20
	p.advance(3, "a", "b")
	must.SliceLen(t, 6, p.sent)
	p.accepts = true
	p.advance(1, "a", "b")
	mustHave(t, p, 2, 2)
}

// An unanswered order of four servers is repeated; then the need falls, and an order of one server
// is accepted. Seconds later the order of four servers is carried out. Without a new order, the
// surplus servers would stay permanently.
func TestCountPlannerLateOrder(t *testing.T) {
	p := newSimulatedPool()
	p.advance(1, "a", "b")
	p.planner.RecordSent(p.now, fleet.Count{PoolZone: fleet.PoolZone{Pool: "lm", Zone: "a"}, Servers: 1}, true)
	p.pool.Present["a"] = 4
	p.advance(30, "a", "b")
	mustHave(t, p, 1, 1)
}

// A zone loses all its servers and no server starts there. Without replacement in the other zone,
// half of the needed capacity would be missing during the outage.
func TestCountPlannerZoneLost(t *testing.T) {
	p := newSimulatedPool()
	p.pool.Need.Running = 20
	p.advance(20, "a", "b")
	mustHave(t, p, 2, 2)
	p.pool.Present["b"] = 0
	p.advance(12, "a")
	mustHave(t, p, 4, 0)
	t.Run("and is back: no server is stopped before its servers are present", func(t *testing.T) {
		p.pool.Present["b"] = 1
		p.advance(3, "a")
		mustHave(t, p, 3, 1)
		p.advance(20, "a", "b")
		mustHave(t, p, 2, 2)
	})
}

// Orders for a lost zone must not be below the configured minimum.
func TestCountPlannerZoneLostKeepsMin(t *testing.T) {
	p := newSimulatedPool()
	p.pool.Min = 2
	p.advance(20, "a", "b")
	p.pool.Present["b"] = 0
	p.advance(20, "a")
	for _, count := range p.sent {
		must.Between(t, 2, count.Servers, 4)
	}
}

// However the need changes, orders must stay within the bounds of each zone, and once the need is
// constant no more orders must be due.
func TestCountPlannerSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newSimulatedPool()
		p.pool.Min = rapid.IntRange(0, 2).Draw(t, "min")
		for range rapid.IntRange(1, 10).Draw(t, "changes") {
			p.pool.Need.Running = rapid.Float64Range(0, 100).Draw(t, "running")
			p.accepts = rapid.Bool().Draw(t, "accepted")
			p.advance(rapid.IntRange(1, 8).Draw(t, "seconds"), "a", "b")
		}
		p.accepts = true
		p.advance(60, "a", "b")
		for _, count := range p.sent {
			must.Between(t, p.pool.Min, count.Servers, p.pool.Max)
		}
		before := len(p.sent)
		p.advance(60, "a", "b")
		must.Eq(t, before, len(p.sent))
	})
}
