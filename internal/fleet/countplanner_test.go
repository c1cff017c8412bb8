package fleet_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bramleyhatch/bramleyhatch/internal/fleet"
)

// simulatedPool is a pool in two zones whose platform carries out what is ordered.
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

// advance advances the time, with a round each second. Accepted orders take effect
// by the next round, in the given zones.
func (c *simulatedPool) advance(seconds int, zones ...string) {
	for range seconds {
		due := c.planner.Due(c.now, c.pool)
		for _, count := range due {
			c.planner.RecordSent(c.now, count, c.accepts)
			c.sent = append(c.sent, count)
			for _, zone := range zones {
				if c.accepts && zone == count.Zone {
					c.pool.Present[zone] = count.Servers
				}
			}
		}
		c.now = c.now.Add(time.Second)
	}
}

func mustHave(t *testing.T, c *simulatedPool, a, b int) {
	t.Helper()
	must.Eq(t, map[string]int{"a": a, "b": b}, c.pool.Present)
}

func TestCountPlanner(t *testing.T) {
	t.Run("a rise is followed at once, a fall once it is calm", func(t *testing.T) {
		c := newSimulatedPool()
		c.advance(5, "a", "b")
		must.SliceEmpty(t, c.sent)
		c.pool.Need.Running = 20
		c.advance(1, "a", "b")
		mustHave(t, c, 2, 2)
		c.pool.Need.Running = 0
		c.advance(5, "a", "b")
		mustHave(t, c, 2, 2)
		c.advance(10, "a", "b")
		mustHave(t, c, 1, 1)
		must.SliceLen(t, 4, c.sent)
	})
	t.Run("nothing passes the bounds of a zone", func(t *testing.T) {
		c := newSimulatedPool()
		c.pool.Need.Queued = 1000
		c.advance(2, "a", "b")
		mustHave(t, c, 4, 4)
	})
	t.Run("requests that found no room count like those that run", func(t *testing.T) {
		c := newSimulatedPool()
		c.pool.Need = fleet.Need{Running: 12, Queued: 8, Slots: 8}
		c.advance(1, "a", "b")
		mustHave(t, c, 2, 2)
	})
}

// An order gets no answer, so the platform may not have accepted it. If the order
// counted as done, the pool would stay too small.
func TestCountPlannerWithoutAnswer(t *testing.T) {
	c := newSimulatedPool()
	c.accepts = false
	c.pool.Need.Running = 20
	c.advance(3, "a", "b")
	must.SliceLen(t, 6, c.sent)
	c.accepts = true
	c.advance(1, "a", "b")
	mustHave(t, c, 2, 2)
}

// An unanswered order of four servers is repeated; then the need falls, and an order
// of one server is accepted. Seconds later the first order is carried out. Without a
// new order, its servers would stay for good.
func TestCountPlannerLateOrder(t *testing.T) {
	c := newSimulatedPool()
	c.advance(1, "a", "b")
	c.planner.RecordSent(c.now, fleet.Count{PoolZone: fleet.PoolZone{Pool: "lm", Zone: "a"}, Servers: 1}, true)
	c.pool.Present["a"] = 4
	c.advance(30, "a", "b")
	mustHave(t, c, 1, 1)
}

// A zone loses all its servers and none starts there. Without replacement in the other
// zone, half of the needed capacity would be missing during the outage.
func TestCountPlannerZoneLost(t *testing.T) {
	c := newSimulatedPool()
	c.pool.Need.Running = 20
	c.advance(20, "a", "b")
	mustHave(t, c, 2, 2)
	c.pool.Present["b"] = 0
	c.advance(12, "a")
	mustHave(t, c, 4, 0)
	t.Run("and is back: nothing is given up before its servers are there", func(t *testing.T) {
		c.pool.Present["b"] = 1
		c.advance(3, "a")
		mustHave(t, c, 3, 1)
		c.advance(20, "a", "b")
		mustHave(t, c, 2, 2)
	})
}

// The orders of a lost zone must not be below the configured minimum.
func TestCountPlannerZoneLostKeepsMin(t *testing.T) {
	c := newSimulatedPool()
	c.pool.Min = 2
	c.advance(20, "a", "b")
	c.pool.Present["b"] = 0
	c.advance(20, "a")
	for _, count := range c.sent {
		must.Between(t, 2, count.Servers, 4)
	}
}

// However the need changes, each zone's orders must stay within its bounds, and once
// the need is constant there must be no more orders.
func TestCountPlannerSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newSimulatedPool()
		c.pool.Min = rapid.IntRange(0, 2).Draw(t, "least")
		for range rapid.IntRange(1, 10).Draw(t, "changes") {
			c.pool.Need.Running = rapid.Float64Range(0, 100).Draw(t, "running")
			c.accepts = rapid.Bool().Draw(t, "taken")
			c.advance(rapid.IntRange(1, 8).Draw(t, "seconds"), "a", "b")
		}
		c.accepts = true
		c.advance(60, "a", "b")
		for _, count := range c.sent {
			must.Between(t, c.pool.Min, count.Servers, c.pool.Max)
		}
		before := len(c.sent)
		c.advance(60, "a", "b")
		must.Eq(t, before, len(c.sent))
	})
}
