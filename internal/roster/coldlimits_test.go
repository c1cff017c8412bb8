package roster

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// coldQuotas limits the requests to cold servers by sender.
type coldQuotas map[Sender]int

var _ ColdLimits = coldQuotas{}

func (c coldQuotas) Quota(_, _ string, sender Sender) (int, bool) { return c[sender], false }
func (c coldQuotas) Duration(string) time.Duration                { return time.Hour }

func coldSampler() Entry {
	entry := sampler("s1", 8)
	entry.ColdFor = time.Hour
	return entry
}

// Guards against overloading a cold server, which then fails again.
func TestColdServer(t *testing.T) {
	need := Need{Pool: pool, Model: "m", MinVersion: 2}
	quotas := coldQuotas{SenderBatch: 2, SenderCaller: 1}
	withCold := func(entries ...Entry) *Roster {
		roster := &Roster{Zone: "a", ReregisterTimeout: 2 * time.Second, ColdLimits: quotas}
		for _, entry := range entries {
			roster.Set(entry)
		}
		return roster
	}
	mustPlace := func(t *testing.T, roster *Roster, count int) {
		t.Helper()
		for range count {
			must.NotNil(t, roster.Place(need))
		}
		must.Nil(t, roster.Place(need))
	}
	t.Run("gets this process's share of generations", func(t *testing.T) {
		mustPlace(t, withCold(coldSampler()), 2)
	})
	t.Run("an ended request counts as sent", func(t *testing.T) {
		roster := withCold(coldSampler())
		roster.Finish(roster.Place(need))
		mustPlace(t, roster, 1)
	})
	t.Run("gets its share of callers' requests", func(t *testing.T) {
		roster := withCold(coldSampler(), sampler("s2", 8))
		counts := map[string]int{}
		for range 30 {
			server, _ := roster.Choose(pool, nil)
			counts[server.Name()]++
			roster.Finish(server)
		}
		must.Between(t, 0, counts["s1"], 1)
	})
	t.Run("all that it takes once it is warm", func(t *testing.T) {
		roster := withCold(coldSampler())
		mustPlace(t, roster, 2)
		roster.servers["s1"].coldUntil = clock.Now()
		mustPlace(t, roster, 6)
	})
	t.Run("an older registration doesn't warm it", func(t *testing.T) {
		roster := withCold(coldSampler(), sampler("s1", 8))
		mustPlace(t, roster, 2)
	})
	t.Run("a server that started again is as cold as it says", func(t *testing.T) {
		again := sampler("s1", 8)
		again.StartedAtMillis = 2
		mustPlace(t, withCold(coldSampler(), again), 8)
	})
	t.Run("servers of a zone that is back count as cold", func(t *testing.T) {
		roster := withCold(sampler("s1", 8))
		roster.DrainZone("a")
		roster.RestoreZone("a")
		mustPlace(t, roster, 2)
	})
}
