package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

func demand(entry string, seq uint64, rate float64) *peerpb.Demand {
	return peerpb.Demand_builder{Entry: entry, Account: "astana", Seq: seq, Rate: rate}.Build()
}

func TestDemandsTravel(t *testing.T) {
	// An entry's demand reaches another one through a third that asked for nothing.
	now := time.Now()
	var all []*member.Members
	for i := range 3 {
		name := fmt.Sprintf("e%d", i)
		all = append(all, member.NewMembers(peerpb.Process_builder{Name: name, Incarnation: 1, Role: peerpb.Role_ROLE_ENTRY}.Build()))
	}
	all[0].OfferDemands([]*peerpb.Demand{demand("e0", 2, 5)}, now)
	passOn(t, all[0], all[1])
	passOn(t, all[1], all[2])
	must.Len(t, 1, all[2].Demands(now))
	must.Eq(t, 5.0, all[2].Demands(now)[0].GetRate())
	all[2].OfferDemands([]*peerpb.Demand{demand("e0", 1, 9)}, now)
	must.Eq(t, 5.0, all[2].Demands(now)[0].GetRate())
	must.SliceEmpty(t, all[2].Demands(now.Add(time.Minute)))
}

// passOn lets one member take what another one gives.
func passOn(t *testing.T, from, to *member.Members) {
	t.Helper()
	gossip := &peerpb.Gossip{}
	gossip.SetSender(to.Self())
	answer, err := (&member.Exchanger{Members: from}).Exchange(t.Context(), gossip)
	must.NoError(t, err)
	_, err = (&member.Exchanger{Members: to}).Exchange(t.Context(), answer)
	must.NoError(t, err)
}
