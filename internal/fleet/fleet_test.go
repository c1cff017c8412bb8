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
