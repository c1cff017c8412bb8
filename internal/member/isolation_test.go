package member_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const minute = time.Minute

// newRegions returns a process that knows ten others in its region and ten in
// another, with the given states.
func newRegions(own, other func(i int) peerpb.State) *member.Members {
	members := newMembers("a")
	gossip := &peerpb.Gossip{}
	add := func(name string, i int, state peerpb.State) {
		process := entryRecord(name+string(rune('0'+i)), 1)
		process.SetAddress("x")
		process.SetRegion(name)
		gossip.SetProcesses(append(gossip.GetProcesses(), process))
		if state != peerpb.State_STATE_LIVE {
			changed := entryRecord(process.GetName(), 1)
			changed.SetRole(peerpb.Role_ROLE_UNSPECIFIED)
			changed.SetState(state)
			gossip.SetProcesses(append(gossip.GetProcesses(), changed))
		}
	}
	for i := range 10 {
		add("r", i, own(i))
		add("s", i, other(i))
	}
	members.MergeAnswer(start, gossip)
	members.RecordStoreAnswer(start)
	return members
}

func failFirst(count int) func(int) peerpb.State {
	return func(i int) peerpb.State {
		if i < count {
			return peerpb.State_STATE_FAILED
		}
		return peerpb.State_STATE_LIVE
	}
}

// Guards against confusing a store outage with isolation: if processes refused requests
// during an outage, the service would stop; if an isolated process did not refuse them,
// it would still accept withdrawn keys.
func TestIsolated(t *testing.T) {
	tests := map[string]struct {
		own, other   int
		store, peers time.Duration
		isolated     bool
	}{
		"all is well":                        {0, 0, time.Second, time.Second, false},
		"store away, others answer":          {0, 0, minute, time.Second, false},
		"alone":                              {0, 0, minute, minute, true},
		"alone, store answers":               {0, 0, time.Second, minute, false},
		"cut off with a few":                 {8, 10, minute, time.Second, true},
		"cut off with a few, store answers":  {8, 10, time.Second, time.Second, false},
		"some failed, store away":            {4, 0, minute, time.Second, false},
		"other region lost, with the store":  {0, 10, minute, time.Second, false},
		"other region lost, a zone lost too": {3, 10, minute, time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			members := newRegions(failFirst(test.own), failFirst(test.other))
			now := start.Add(2 * minute)
			members.RecordStoreAnswer(now.Add(-test.store))
			members.MergeAnswer(now.Add(-test.peers), &peerpb.Gossip{})
			must.Eq(t, test.isolated, members.IsIsolated(now))
		})
	}
}

// Guards against isolation that is never detected: processes relay the age of the
// last store answer, and each message understates it by its own delay. Relayed
// back and forth, the age would never grow.
func TestStoreAgeGrowsWhileRelayed(t *testing.T) {
	a, b := newMembers("a"), newMembers("b")
	a.RecordStoreAnswer(start)
	now := start
	for range 20 {
		request := a.Request(now)
		now = now.Add(time.Second)
		answer := b.Answer(now, request)
		now = now.Add(time.Second)
		a.FollowUp(now, answer)
	}
	must.GreaterEq(t, 38*time.Second, b.StoreAge(now))
	must.GreaterEq(t, 40*time.Second, a.StoreAge(now))
}

// If one of three processes still reaches the store, the store's answers count for all
// three.
func TestStoreAnswerToAnotherProcess(t *testing.T) {
	a, b, c := newMembers("a"), newMembers("b"), newMembers("c")
	c.RecordStoreAnswer(start)
	exchange(c, b, start)
	exchange(b, a, start)
	must.Eq(t, 0, a.StoreAge(start))
	must.Eq(t, -1, newMembers("x").StoreAge(start))
}
