package fleet_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bramleyhatch/bramleyhatch/internal/fleet"
)

// counted is a pool in two zones whose platform carries out what is ordered.
type counted struct {
	numbers *fleet.CountPlanner
	pool    fleet.CountedPool
	now     time.Time
	// taken says whether the platform answers orders.
	taken bool
	sent  []fleet.Count
}

func newCounted() *counted {
	return &counted{
		numbers: &fleet.CountPlanner{Target: 0.75, Slack: 0.1},
		pool: fleet.CountedPool{
			Name: "lm", Min: 1, Max: 4, StartupTime: 2 * time.Second,
			Present: map[string]int{"a": 1, "b": 1}, Need: fleet.Need{Slots: 8},
		},
		now:   time.Unix(0, 0),
		taken: true,
	}
}

// pass lets time pass, with a round each second. Orders that are taken are in
// force at the next round, in the zones given.
func (c *counted) pass(seconds int, zones ...string) {
	for range seconds {
		due := c.numbers.Due(c.now, c.pool)
		for _, count := range due {
			c.numbers.RecordSent(c.now, count, c.taken)
			c.sent = append(c.sent, count)
			for _, zone := range zones {
				if c.taken && zone == count.Zone {
					c.pool.Present[zone] = count.Servers
				}
			}
		}
		c.now = c.now.Add(time.Second)
	}
}

func mustHave(t *testing.T, c *counted, a, b int) {
	t.Helper()
	must.Eq(t, map[string]int{"a": a, "b": b}, c.pool.Present)
}

func TestNumbers(t *testing.T) {
	t.Run("a rise is followed at once, a fall once it is calm", func(t *testing.T) {
		c := newCounted()
		c.pass(5, "a", "b")
		must.SliceEmpty(t, c.sent)
		c.pool.Need.Running = 20
		c.pass(1, "a", "b")
		mustHave(t, c, 2, 2)
		c.pool.Need.Running = 0
		c.pass(5, "a", "b")
		mustHave(t, c, 2, 2)
		c.pass(10, "a", "b")
		mustHave(t, c, 1, 1)
		must.SliceLen(t, 4, c.sent)
	})
	t.Run("nothing passes the bounds of a zone", func(t *testing.T) {
		c := newCounted()
		c.pool.Need.Queued = 1000
		c.pass(2, "a", "b")
		mustHave(t, c, 4, 4)
	})
	t.Run("requests that found no room count like those that run", func(t *testing.T) {
		c := newCounted()
		c.pool.Need = fleet.Need{Running: 12, Queued: 8, Slots: 8}
		c.pass(1, "a", "b")
		mustHave(t, c, 2, 2)
	})
}

// The holder orders three servers, and no answer comes. The platform may or may
// not have taken it; if the order were taken for done, the pool would stay small.
func TestNumbersWithoutAnswer(t *testing.T) {
	c := newCounted()
	c.taken = false
	c.pool.Need.Running = 20
	c.pass(3, "a", "b")
	must.SliceLen(t, 6, c.sent)
	c.taken = true
	c.pass(1, "a", "b")
	mustHave(t, c, 2, 2)
}

// An order of four servers gets no answer and is repeated; then the need falls and
// one server is ordered, and taken. Seconds later the first order is carried out.
// Nobody would ever take its servers away again.
func TestNumbersLateOrder(t *testing.T) {
	c := newCounted()
	c.pass(1, "a", "b")
	c.numbers.RecordSent(c.now, fleet.Count{PoolZone: fleet.PoolZone{Pool: "lm", Zone: "a"}, Servers: 1}, true)
	c.pool.Present["a"] = 4
	c.pass(30, "a", "b")
	mustHave(t, c, 1, 1)
}

// A zone loses all its servers and none comes up there. Half of what callers need
// would be missing for as long as the zone is away.
func TestNumbersZoneLost(t *testing.T) {
	c := newCounted()
	c.pool.Need.Running = 20
	c.pass(20, "a", "b")
	mustHave(t, c, 2, 2)
	c.pool.Present["b"] = 0
	c.pass(12, "a")
	mustHave(t, c, 4, 0)
	t.Run("and is back: nothing is given up before its servers are there", func(t *testing.T) {
		c.pool.Present["b"] = 1
		c.pass(3, "a")
		mustHave(t, c, 3, 1)
		c.pass(20, "a", "b")
		mustHave(t, c, 2, 2)
	})
}

// A zone that is lost is not ordered below what the operators allow.
func TestNumbersZoneLostKeepsLeast(t *testing.T) {
	c := newCounted()
	c.pool.Min = 2
	c.pass(20, "a", "b")
	c.pool.Present["b"] = 0
	c.pass(20, "a")
	for _, count := range c.sent {
		must.Between(t, 2, count.Servers, 4)
	}
}

// Whatever the need does, each zone's order stays within its bounds, and once the
// need is steady the orders end.
func TestNumbersSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCounted()
		c.pool.Min = rapid.IntRange(0, 2).Draw(t, "least")
		for range rapid.IntRange(1, 10).Draw(t, "changes") {
			c.pool.Need.Running = rapid.Float64Range(0, 100).Draw(t, "running")
			c.taken = rapid.Bool().Draw(t, "taken")
			c.pass(rapid.IntRange(1, 8).Draw(t, "seconds"), "a", "b")
		}
		c.taken = true
		c.pass(60, "a", "b")
		for _, count := range c.sent {
			must.Between(t, c.pool.Min, count.Servers, c.pool.Max)
		}
		before := len(c.sent)
		c.pass(60, "a", "b")
		must.Eq(t, before, len(c.sent))
	})
}
