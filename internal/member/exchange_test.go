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
	nodes[3].Offer(newFact(7))
	for _, n := range nodes {
		waitUntil(t, func() bool { return n.Fact(member.FactConfig).GetRevision() == 7 })
	}
}

// Guards against a reverted configuration change: a reconnected process or a
// delayed store watch can deliver the lists of an older revision, which must be rejected.
func TestLowerRevisionIsRejected(t *testing.T) {
	nodes := startNodes(t, "a", "b")
	nodes[0].Offer(newFact(7))
	waitUntil(t, func() bool { return nodes[1].Fact(member.FactConfig).GetRevision() == 7 })
	must.False(t, nodes[1].Offer(newFact(5)))
	late := startNode(t, "late", 1)
	late.Offer(newFact(5))
	rejoined := startNode(t, "back", 1, nodes[0].address, late.address)
	for _, n := range []*node{late, rejoined, nodes[0], nodes[1]} {
		waitUntil(t, func() bool { return len(n.Processes(peerpb.Role_ROLE_ENTRY)) == 4 })
		waitUntil(t, func() bool { return n.Fact(member.FactConfig).GetRevision() == 7 })
	}
}

// Guards against an entry on a replaced host that cannot serve until a store outage
// ends: it can't read the lists from the store and must get them from its peers.
func TestRestartDuringOutageLearnsFromPeers(t *testing.T) {
	nodes := startNodes(t, "a", "b")
	nodes[0].Offer(newFact(7))
	nodes[1].kill()
	rejoined := startNode(t, "b", 2, nodes[0].address)
	must.Nil(t, rejoined.Fact(member.FactConfig))
	waitUntil(t, func() bool { return rejoined.Fact(member.FactConfig).GetRevision() == 7 })
	waitUntil(t, func() bool { return findEntry(nodes[0].Members, "b").GetIncarnation() == 2 })
	must.False(t, rejoined.Replaced())
}

// Guards against a leaked key that keeps working during a store outage: a
// withdrawal at one entry must take effect at all others.
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

// A process that is killed must be marked as failed, so that it gets no more work.
func TestKilledProcessFails(t *testing.T) {
	nodes := startNodes(t, "a", "b", "c")
	nodes[1].kill()
	waitForState(t, nodes[0], "b", peerpb.State_STATE_FAILED)
	waitForState(t, nodes[2], "b", peerpb.State_STATE_FAILED)
}

// After an orderly stop, the other processes must mark the process as left at once,
// without waiting for the suspicion timeout.
func TestStoppedProcessHasLeft(t *testing.T) {
	first := startNodeWith(t, "a", 1, &member.Exchanger{SuspectTimeout: time.Hour})
	second := startNodeWith(t, "b", 1, &member.Exchanger{SuspectTimeout: time.Hour, Seeds: []string{first.address}})
	waitForState(t, first, "b", peerpb.State_STATE_LIVE)
	second.SetState(peerpb.State_STATE_DRAINING)
	waitForState(t, first, "b", peerpb.State_STATE_DRAINING)
	second.SetState(peerpb.State_STATE_LIVE)
	second.stop()
	waitForState(t, first, "b", peerpb.State_STATE_LEFT)
}

// Guards against assigning work by an outdated host list, which shows a live host as
// leaving and a dead host as live. Only the answers of a process determine its state.
func TestHostListDoesNotDetermineState(t *testing.T) {
	first := startNode(t, "a", 1)
	hosts := hostList(
		platform.Host{Name: "a", Address: first.address, State: "leaving", Role: "entry"},
		platform.Host{Name: "dead", Address: "127.0.0.1:1", State: "live", Role: "entry"},
	)
	second := startNodeWith(t, "b", 1, &member.Exchanger{Hosts: hosts})
	waitForState(t, second, "a", peerpb.State_STATE_LIVE)
	waitForState(t, first, "b", peerpb.State_STATE_LIVE)
	must.Nil(t, findEntry(second.Members, "dead"))
}
