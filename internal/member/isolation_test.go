package member_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const minute = time.Minute

// region returns a process that knows ten others of its region and ten of
// another, each in a state.
func region(own, other func(i int) peerpb.State) *member.Members {
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

func firstFail(number int) func(int) peerpb.State {
	return func(i int) peerpb.State {
		if i < number {
			return peerpb.State_STATE_FAILED
		}
		return peerpb.State_STATE_LIVE
	}
}

// An outage of the store looks to each process as if it were cut off. If all
// refused, an outage would stop the service; if none did, one that is cut off
// would go on with keys that were withdrawn.
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
			members := region(firstFail(test.own), firstFail(test.other))
			now := start.Add(2 * minute)
			members.RecordStoreAnswer(now.Add(-test.store))
			members.MergeAnswer(now.Add(-test.peers), &peerpb.Gossip{})
			must.Eq(t, test.isolated, members.IsIsolated(now))
		})
	}
}

// The store is away, and processes tell each other how long ago it answered.
// Each message takes a moment, by which the age told is too low. Told round
// and round, it would never grow, and nobody would notice being cut off.
func TestStoreAgeGrowsWhileToldAround(t *testing.T) {
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

// Only one process of three still reaches the store: its word counts for all.
func TestStoreHeardByAnother(t *testing.T) {
	a, b, c := newMembers("a"), newMembers("b"), newMembers("c")
	c.RecordStoreAnswer(start)
	exchange(c, b, start)
	exchange(b, a, start)
	must.Eq(t, 0, a.StoreAge(start))
	must.Eq(t, -1, newMembers("x").StoreAge(start))
}
