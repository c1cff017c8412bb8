package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/fleet"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// newLiveFleet returns a pool "p" with a number of live servers in zone "a".
func newLiveFleet(servers int) *statepb.Fleet {
	known := &statepb.Fleet{}
	for i := range servers {
		server := statepb.Server_builder{Id: fmt.Sprintf("s%d", i), Pool: "p", Zone: "a", State: fleet.StateLive, Born: 1, Since: 1}.Build()
		known.SetServers(append(known.GetServers(), server))
	}
	return known
}

// Guards against a live server that loses its requests because its entry in the platform's list can't be decoded.
func TestUnreadableServerIsNotRemoved(t *testing.T) {
	view := fleet.ZoneView{Listed: []platform.Server{{ID: "s0", IsUnreadable: true}, {ID: "new", IsUnreadable: true}}}
	next, _ := fleet.Update(newLiveFleet(2), "p", "a", view, time.Now())
	must.Len(t, 2, next.GetServers())
	must.Eq(t, fleet.StateLive, next.GetServers()[0].GetState())
	must.Eq(t, fleet.StateRemoved, next.GetServers()[1].GetState())
}

// Guards against a posting that runs twice after many servers of a pool were replaced: the sidecars don't ask for a
// removed server that may have run it.
func TestRecentlyRemovedServersAreKept(t *testing.T) {
	now := time.Now()
	removed, _ := fleet.Update(newLiveFleet(200), "p", "a", fleet.ZoneView{}, now)
	kept := func(fleetBefore *statepb.Fleet, at time.Time) int {
		next, _ := fleet.Update(fleetBefore, "p", "a", fleet.ZoneView{Listed: []platform.Server{{ID: "new", Pool: "p", Zone: "a"}}}, at)
		return len(next.GetServers()) - 1
	}
	must.Eq(t, 200, kept(removed, now.Add(15*time.Minute)))
	must.Eq(t, 64, kept(removed, now.Add(25*time.Minute)))
	t.Run("up to a number", func(t *testing.T) {
		many, _ := fleet.Update(newLiveFleet(5000), "p", "a", fleet.ZoneView{}, now)
		must.Eq(t, 4096, kept(many, now))
	})
}
