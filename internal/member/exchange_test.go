package member_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

func TestFactReachesAll(t *testing.T) {
	nodes := startNodes(t, "a", "b", "c", "d", "e")
	nodes[3].Offer(fact(7))
	for _, n := range nodes {
		mustBecome(t, func() bool { return n.Fact(member.FactConfig).GetRevision() == 7 })
	}
}

// An operator's edit is accepted and in force. Then a process comes back that
// was cut off, or a watch answers late: each brings the lists of before. If
// they were taken, the edit would be undone without anybody's doing.
func TestLowerRevisionIsNeverTaken(t *testing.T) {
	nodes := startNodes(t, "a", "b")
	nodes[0].Offer(fact(7))
	mustBecome(t, func() bool { return nodes[1].Fact(member.FactConfig).GetRevision() == 7 })
	must.False(t, nodes[1].Offer(fact(5)))
	late := startNode(t, "late", 1)
	late.Offer(fact(5))
	back := startNode(t, "back", 1, nodes[0].address, late.address)
	for _, n := range []*node{late, back, nodes[0], nodes[1]} {
		mustBecome(t, func() bool { return len(n.Processes(peerpb.Role_ROLE_ENTRY)) == 4 })
		mustBecome(t, func() bool { return n.Fact(member.FactConfig).GetRevision() == 7 })
	}
}

// The store is away and an entry's host is replaced. The new entry can't ask
// the store for the lists; it must get them from the others, or serve nobody
// until the outage ends.
func TestRestartDuringOutageLearnsFromPeers(t *testing.T) {
	nodes := startNodes(t, "a", "b")
	nodes[0].Offer(fact(7))
	nodes[1].kill()
	back := startNode(t, "b", 2, nodes[0].address)
	must.Nil(t, back.Fact(member.FactConfig))
	mustBecome(t, func() bool { return back.Fact(member.FactConfig).GetRevision() == 7 })
	mustBecome(t, func() bool { return find(nodes[0].Members, "b").GetIncarnation() == 2 })
	must.False(t, back.Replaced())
}

// A key leaks while the store is away. An operator withdraws it at one entry;
// at all others it must stop working too, and none may keep it for later.
func TestWithdrawalReachesAll(t *testing.T) {
	nodes := startNodes(t, "a", "b", "c", "d")
	ended := make(chan string, len(nodes))
	for _, n := range nodes {
		n.OnWithdrawal(func(w *peerpb.Withdrawal) { ended <- w.GetOperator() })
	}
	nodes[2].Withdraw(peerpb.Withdrawal_builder{Key: "hash", Operator: "ann"}.Build())
	for range nodes {
		must.Eq(t, "ann", <-ended)
	}
}

// A process dies without a word: it must stop being chosen for work.
func TestKilledProcessFails(t *testing.T) {
	nodes := startNodes(t, "a", "b", "c")
	nodes[1].kill()
	mustKnow(t, nodes[0], "b", peerpb.State_STATE_FAILED)
	mustKnow(t, nodes[2], "b", peerpb.State_STATE_FAILED)
}

// A process stops in good order: the others know at once, not after the time
// that it takes to suspect it.
func TestStoppedProcessHasLeft(t *testing.T) {
	first := startNodeWith(t, "a", 1, &member.Exchanger{SuspectTimeout: time.Hour})
	second := startNodeWith(t, "b", 1, &member.Exchanger{SuspectTimeout: time.Hour, Seeds: []string{first.address}})
	mustKnow(t, first, "b", peerpb.State_STATE_LIVE)
	second.SetState(peerpb.State_STATE_DRAINING)
	mustKnow(t, first, "b", peerpb.State_STATE_DRAINING)
	second.SetState(peerpb.State_STATE_LIVE)
	second.stop()
	mustKnow(t, first, "b", peerpb.State_STATE_LEFT)
}

// The platform's host list lags: it says that a live host is leaving, lists a
// dead one as live and another that belongs to nobody. Work must go by who answers.
func TestHostListDecidesNothing(t *testing.T) {
	first := startNode(t, "a", 1)
	hosts := hostList(
		platform.Host{Name: "a", Address: first.address, State: "leaving", Role: "entry"},
		platform.Host{Name: "dead", Address: "127.0.0.1:1", State: "live", Role: "entry"},
	)
	second := startNodeWith(t, "b", 1, &member.Exchanger{Hosts: hosts})
	mustKnow(t, second, "a", peerpb.State_STATE_LIVE)
	mustKnow(t, first, "b", peerpb.State_STATE_LIVE)
	must.Nil(t, find(second.Members, "dead"))
}
