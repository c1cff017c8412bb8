package measure_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/measure"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	second    = time.Second
	smallSize = 120
)

func never() bool { return false }

func failed(members *member.Members, zone string) int {
	count := 0
	for _, role := range []peerpb.Role{peerpb.Role_ROLE_ENTRY, peerpb.Role_ROLE_SIDECAR} {
		for _, process := range members.Processes(role) {
			if process.GetZone() == zone {
				count++
			}
		}
	}
	return count
}

// The two regions lose each other for a minute. Each side takes the other as
// failed and goes on; when they hear each other again, all must be live again
// and a change accepted on one side must be in force on both, by itself.
func TestRegionsFindEachOtherAgain(t *testing.T) {
	loop := measure.NewMemberLoop(smallSize, 1)
	loop.Run(second, never)
	loop.Cut = func(a, b *peerpb.Process) bool { return a.GetRegion() != b.GetRegion() }
	all := func(wanted int) func() bool {
		return func() bool {
			return loop.Share(func(members *member.Members) bool { return known(members) == wanted }) == 1
		}
	}
	apart := loop.Run(90*second, func() bool {
		return loop.Share(func(members *member.Members) bool { return known(members) < smallSize*2/3 }) == 1
	})
	must.Less(t, 90*second, apart)
	loop.Tell(func(members *member.Members) {
		members.Offer(peerpb.Fact_builder{Name: member.FactConfig, Revision: 7}.Build())
	})
	loop.Run(5*second, never)
	loop.Cut = nil
	together := loop.Run(90*second, all(smallSize))
	must.Less(t, 90*second, together)
	must.Eq(t, 1, loop.Share(func(members *member.Members) bool { return members.Fact(member.FactConfig) != nil }))
	t.Logf("apart after %v, together after %v", apart, together)
}

// A whole zone dies at once.
func TestZoneIsLost(t *testing.T) {
	loop := measure.NewMemberLoop(smallSize, 1)
	loop.Run(second, never)
	loop.Kill(func(process *peerpb.Process) bool { return process.GetZone() == "zone-3" })
	lost := loop.Run(90*second, func() bool {
		return loop.Share(func(members *member.Members) bool { return failed(members, "zone-3") == 0 }) == 1
	})
	must.Less(t, 60*second, lost)
	t.Logf("known everywhere after %v", lost)
}

func known(members *member.Members) int {
	return len(members.Processes(peerpb.Role_ROLE_ENTRY)) + len(members.Processes(peerpb.Role_ROLE_SIDECAR))
}

func TestMembershipFitsTheBudget(t *testing.T) {
	figures := measure.MembershipSlope().Run(1)
	for _, result := range figures {
		must.Less(t, 10_000.0, result.Figures[0].Value)
		must.Less(t, 13.0, result.Figures[1].Value)
	}
}
