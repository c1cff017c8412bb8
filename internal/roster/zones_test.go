package roster

import (
	"testing"

	"github.com/shoenig/test/must"
)

func withZone(entry Entry, zone string) Entry {
	entry.Zone = zone
	return entry
}

// Guards against sending new work to servers of a zone that an operator has drained.
func TestDrainedZone(t *testing.T) {
	need := Need{Pool: pool, Model: "m", MinVersion: 2}
	twoZones := func() *Roster { return newRoster(withZone(sampler("s1", 2), "a"), withZone(sampler("s2", 2), "b")) }
	t.Run("gets no work", func(t *testing.T) {
		roster := twoZones()
		roster.DrainZone("a")
		must.Eq(t, []string{"s2"}, entryIDs(roster))
		must.Nil(t, roster.Find("s1"))
		for range 2 {
			must.Eq(t, "s2", roster.Place(need).Name())
		}
		must.Nil(t, roster.Place(need))
		chosen, _ := roster.Choose(pool, nil)
		must.Eq(t, "s2", chosen.Name())
	})
	t.Run("nor does a server that comes later", func(t *testing.T) {
		roster := twoZones()
		roster.DrainZone("a")
		roster.Set(withZone(sampler("s3", 2), "a"))
		must.Eq(t, []string{"s2"}, entryIDs(roster))
	})
	t.Run("running requests continue", func(t *testing.T) {
		roster := newRoster(sampler("s1", 2))
		server := roster.Place(need)
		roster.DrainZone("a")
		zones, running := roster.DrainedZones()
		must.Eq(t, 1, zones)
		must.Eq(t, 1, running)
		roster.Finish(server)
		_, running = roster.DrainedZones()
		must.Eq(t, 0, running)
	})
	t.Run("gets work again", func(t *testing.T) {
		roster := twoZones()
		changed := roster.Changed()
		roster.DrainZone("a")
		<-changed
		changed = roster.Changed()
		roster.RestoreZone("a")
		<-changed
		must.Eq(t, []string{"s1", "s2"}, entryIDs(roster))
	})
	t.Run("all zones at once", func(t *testing.T) {
		roster := twoZones()
		roster.DrainZone("a")
		roster.DrainZone("b")
		must.Nil(t, roster.Place(need))
		chosen, _ := roster.Choose(pool, nil)
		must.Nil(t, chosen)
	})
}
