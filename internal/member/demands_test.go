package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

func newDemand(entry string, seq uint64, rate float64) *peerpb.Demand {
	return peerpb.Demand_builder{Entry: entry, Account: "astana", Seq: seq, Rate: rate}.Build()
}

func TestDemandsAreRelayed(t *testing.T) {
	// A demand reaches an entry through an intermediate entry that did not request it.
	now := time.Now()
	var all []*member.Members
	for i := range 3 {
		name := fmt.Sprintf("e%d", i)
		all = append(all, member.NewMembers(peerpb.Process_builder{Name: name, Incarnation: 1, Role: peerpb.Role_ROLE_ENTRY}.Build()))
	}
	all[0].OfferDemands([]*peerpb.Demand{newDemand("e0", 2, 5)}, now)
	relay(t, all[0], all[1])
	relay(t, all[1], all[2])
	must.Len(t, 1, all[2].Demands(now))
	must.Eq(t, 5.0, all[2].Demands(now)[0].GetRate())
	all[2].OfferDemands([]*peerpb.Demand{newDemand("e0", 1, 9)}, now)
	must.Eq(t, 5.0, all[2].Demands(now)[0].GetRate())
	must.SliceEmpty(t, all[2].Demands(now.Add(time.Minute)))
}

// relay sends the data of one process to another.
func relay(t *testing.T, from, to *member.Members) {
	t.Helper()
	gossip := &peerpb.Gossip{}
	gossip.SetSender(to.Self())
	answer, err := (&member.Exchanger{Members: from}).Exchange(t.Context(), gossip)
	must.NoError(t, err)
	_, err = (&member.Exchanger{Members: to}).Exchange(t.Context(), answer)
	must.NoError(t, err)
}
