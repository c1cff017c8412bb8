package roster

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

const pool = "lm"

func newRoster(entries ...Entry) *Roster {
	roster := &Roster{Zone: "a", ReregisterTimeout: 2 * time.Second}
	for _, entry := range entries {
		roster.Set(entry)
	}
	return roster
}

func sampler(id string, slots int) Entry {
	return Entry{ID: id, Pool: pool, Address: "127.0.0.1:1", Zone: "a", Slots: slots, StartedAtMillis: 1, Versions: map[string]uint64{"m": 2}}
}

// beat tells the time between events of a server until its pace is known.
func beat(roster *Roster, id string, gap time.Duration) {
	for range leastPaceEvents + 100 {
		roster.RecordEvent(roster.servers[id], gap)
	}
}

// mustBeAskedByOne checks that a server that is no longer passed over is given
// one generation, and not a second.
func mustBeAskedByOne(t *testing.T, roster *Roster, server *Server, need Need) {
	t.Helper()
	server.full = clock.Now()
	must.NotNil(t, roster.Place(need))
	must.Nil(t, roster.Place(need))
}

func names(roster *Roster) []string {
	var found []string
	for _, entry := range roster.Entries(pool) {
		found = append(found, entry.ID)
	}
	return found
}

func TestPlace(t *testing.T) {
	need := Need{Pool: pool, Model: "m", MinVersion: 2}
	t.Run("no more than the slots", func(t *testing.T) {
		roster := newRoster(sampler("s1", 2))
		must.NotNil(t, roster.Place(need))
		must.NotNil(t, roster.Place(need))
		must.Nil(t, roster.Place(need))
	})
	t.Run("a slot that is free again", func(t *testing.T) {
		roster := newRoster(sampler("s1", 1))
		roster.Finish(roster.Place(need))
		must.NotNil(t, roster.Place(need))
	})
	t.Run("no version that is too old", func(t *testing.T) {
		roster := newRoster(sampler("s1", 2))
		must.Nil(t, roster.Place(Need{Pool: pool, Model: "m", MinVersion: 3}))
		roster.RecordVersion(roster.servers["s1"], "m", 3)
		must.NotNil(t, roster.Place(Need{Pool: pool, Model: "m", MinVersion: 3}))
	})
	t.Run("the slow one last", func(t *testing.T) {
		roster := newRoster(sampler("s1", 2), sampler("s2", 2))
		beat(roster, "s1", 150*time.Millisecond)
		beat(roster, "s2", 50*time.Millisecond)
		must.Eq(t, "s2", roster.Place(need).Name())
		must.Eq(t, "s2", roster.Place(need).Name())
		must.Eq(t, "s1", roster.Place(need).Name())
	})
}

// Guards against a text that goes from one silent server of a lost zone to the next,
// while others send events.
func TestPlaceAtServerThatIsHeard(t *testing.T) {
	roster := newRoster(sampler("s1", 4), sampler("s2", 4), sampler("s3", 4))
	need := Need{Pool: pool, Model: "m", MinVersion: 2, PreferActive: true}
	must.NotNil(t, roster.Place(need))
	beat(roster, "s2", 20*time.Millisecond)
	for range 4 {
		must.Eq(t, "s2", roster.Place(need).Name())
	}
	t.Run("another one where it is full", func(t *testing.T) {
		must.NotEq(t, "s2", roster.Place(need).Name())
	})
	t.Run("not one that has failed since", func(t *testing.T) {
		roster.Finish(roster.servers["s2"])
		roster.RecordFailure(roster.servers["s2"], "silent")
		must.NotEq(t, "s2", roster.Place(need).Name())
	})
	t.Run("not one that was heard long ago", func(t *testing.T) {
		roster := newRoster(sampler("s1", 4), sampler("s2", 4))
		busy := roster.Place(need)
		beat(roster, busy.Name(), 20*time.Millisecond)
		busy.pace.at -= clock.Boot(heardTime)
		must.NotEq(t, busy.Name(), roster.Place(need).Name())
	})
}

// A sampler loads weights and refuses all new work for a second. Eight items at
// a time were sent to it twenty times a second, and each came back; the refusals
// were half of all that samplers were sent.
func TestRefusingSamplerIsAskedByOne(t *testing.T) {
	roster := newRoster(sampler("s1", 8))
	need := Need{Pool: pool, Model: "m", MinVersion: 2}
	server := roster.Place(need)
	roster.RecordFull(server)
	roster.Finish(server)
	must.Nil(t, roster.Place(need))
	mustBeAskedByOne(t, roster, server, need)
	roster.RecordAnswer(server)
	must.NotNil(t, roster.Place(need))
}

// A sampler crashes. All others are full, and the items that wait go to it: each
// is refused a connection within a millisecond, and sent there again. A thousand
// tries a second and their log lines took the gateway's processor.
func TestFailedSamplerIsAskedByOne(t *testing.T) {
	roster := newRoster(sampler("s1", 8))
	need := Need{Pool: pool, Model: "m", MinVersion: 2}
	server := roster.Place(need)
	roster.RecordFailure(server, "unreachable")
	roster.Finish(server)
	must.Nil(t, roster.Place(need))
	mustBeAskedByOne(t, roster, server, need)
	t.Run("and gets its share again once it answers", func(t *testing.T) {
		roster.RecordAnswer(server)
		for range 7 {
			must.NotNil(t, roster.Place(need))
		}
	})
}

// The one item that asks a sampler which failed is answered with a failure of its
// run, or ended with its batch. Nothing was said of the sampler, and it got no
// generation any more for as long as the gateway lived.
func TestAskerThatLearnsNothing(t *testing.T) {
	roster := newRoster(sampler("s1", 8))
	need := Need{Pool: pool, Model: "m", MinVersion: 2}
	server := roster.Place(need)
	roster.RecordFailure(server, "cut")
	roster.Finish(server)
	for range 3 {
		mustBeAskedByOne(t, roster, server, need)
		roster.Finish(server)
	}
}

// A fault slows one of two samplers by three. A run on it is worth moving only
// if the other has a free slot and is not slow itself.
func TestIsBetter(t *testing.T) {
	roster := newRoster(sampler("slow", 2), sampler("fast", 1))
	need := Need{Pool: pool, Model: "m", MinVersion: 2}
	must.False(t, roster.HasFasterServer(roster.servers["slow"], need))
	beat(roster, "slow", 150*time.Millisecond)
	beat(roster, "fast", 50*time.Millisecond)
	must.True(t, roster.HasFasterServer(roster.servers["slow"], need))
	must.False(t, roster.HasFasterServer(roster.servers["fast"], need))
	must.Eq(t, "fast", roster.Place(need).Name())
	must.False(t, roster.HasFasterServer(roster.servers["slow"], need))
}

// The store goes away, and the registrations of samplers that live lapse. They
// are back two seconds after its return; taken out at once, no request would
// find a server for that long. One that doesn't come back is gone.
func TestRegistrationsThatLapse(t *testing.T) {
	roster := newRoster(sampler("s1", 2), sampler("s2", 2))
	roster.RecordStoreLost()
	roster.RecordStoreRegained()
	roster.Remove("s1")
	roster.Remove("s2")
	must.Eq(t, []string{"s1", "s2"}, names(roster))
	roster.Set(sampler("s1", 2))
	roster.regained = clock.Now().Add(-roster.ReregisterTimeout)
	must.Eq(t, []string{"s1"}, names(roster))
}

func TestRegistrationEnds(t *testing.T) {
	roster := newRoster(sampler("s1", 2), sampler("s2", 2))
	roster.Remove("s1")
	must.Eq(t, []string{"s2"}, names(roster))
	must.Nil(t, roster.Find("s1"))
}

// A sampler crashes and starts again under its name. Its old registration comes
// once more, late: the new start must not get its address back.
func TestOlderStartIsPassedOver(t *testing.T) {
	older, newer := sampler("s1", 2), sampler("s1", 2)
	newer.StartedAtMillis, newer.Address = 2, "127.0.0.1:2"
	roster := newRoster(older, newer, older)
	must.Eq(t, newer.Address, roster.Find("s1").Entry().Address)
}

// An address is used again by another service. Its server says that it is not
// the one meant; from then on the old one gets nothing, whatever the store says.
func TestReplaced(t *testing.T) {
	roster := newRoster(sampler("s1", 2))
	roster.RecordReplaced(roster.servers["s1"])
	must.Nil(t, roster.Find("s1"))
}

func TestSuspected(t *testing.T) {
	roster := newRoster(sampler("s1", 2), sampler("s2", 2))
	roster.RecordFailure(roster.servers["s1"], "silent")
	for range 4 {
		server, _ := roster.Choose(pool, nil)
		must.Eq(t, "s2", server.Name())
	}
	server, reason := roster.Choose(pool, map[string]bool{"s2": true})
	must.Eq(t, "s1", server.Name())
	must.Eq(t, route.ReasonSuspect, reason)
}

// One fault resets all six connections to a sampler, which is well again at once.
// Counted six times, it was passed over for 8 s in place of one.
func TestOneFaultIsSuspectedOnce(t *testing.T) {
	roster := newRoster(sampler("s1", 6), sampler("s2", 6))
	for range 6 {
		roster.RecordFailure(roster.servers["s1"], "cut")
	}
	must.Eq(t, 1, roster.servers["s1"].failures)
	must.LessEq(t, clock.Now().Add(suspicion), roster.servers["s1"].suspect)
	t.Run("the next one counts", func(t *testing.T) {
		roster.servers["s1"].full = clock.Now()
		roster.RecordFailure(roster.servers["s1"], "cut")
		must.Eq(t, 2, roster.servers["s1"].failures)
	})
}

// A gateway is short of processor time and reads the events of a sampler in
// bursts: none for 200 ms, then all at once. The sampler is not slow, and its
// runs must not be moved.
func TestBurstsAreNotSlowness(t *testing.T) {
	roster := newRoster(sampler("s1", 6), sampler("s2", 6), sampler("s3", 6), sampler("s4", 6))
	need := Need{Pool: pool, Model: "m", MinVersion: 2}
	for _, id := range []string{"s1", "s2", "s3", "s4"} {
		beat(roster, id, 50*time.Millisecond)
	}
	for range 10 {
		for range 3 {
			roster.RecordEvent(roster.servers["s1"], 0)
		}
		roster.RecordEvent(roster.servers["s1"], 200*time.Millisecond)
		must.False(t, roster.HasFasterServer(roster.servers["s1"], need))
	}
}

// A gateway has few look-ups for many servers. Drawn anew each time, nearly every one
// waited for a new connection.
func TestUnusedConnectionFirst(t *testing.T) {
	begin := func() *Roster {
		roster := &Roster{Zone: "a", Idle: time.Minute}
		roster.prepare()
		roster.chooser.Random = rand.New(rand.NewPCG(1, 2))
		for _, id := range []string{"s1", "s2", "s3", "s4", "s5"} {
			entry := sampler(id, 4)
			entry.Versions = nil
			roster.Set(entry)
		}
		return roster
	}
	choose := func(roster *Roster) *Server {
		server, _ := roster.Choose(pool, nil)
		return server
	}
	t.Run("one after the other", func(t *testing.T) {
		roster := begin()
		first := choose(roster)
		roster.Finish(first)
		for range 20 {
			next := choose(roster)
			must.Eq(t, first.Name(), next.Name())
			roster.Finish(next)
		}
	})
	t.Run("many at once are spread", func(t *testing.T) {
		roster := begin()
		for range 10 {
			must.LessEq(t, 3, choose(roster).Inflight())
		}
	})
	t.Run("not once it has been closed", func(t *testing.T) {
		roster := begin()
		first := choose(roster)
		roster.Finish(first)
		first.spares[0] = first.spares[0].Add(-2 * roster.Idle)
		_, reason := roster.Choose(pool, nil)
		must.Eq(t, route.ReasonZone, reason)
	})
	for name, spoil := range map[string]func(*Roster, *Server){
		"not at a server that was late":   func(r *Roster, server *Server) { r.RecordLatency(server, true) },
		"not at a server that has failed": func(r *Roster, server *Server) { r.RecordFailure(server, "cut") },
		"not at a sampler":                func(_ *Roster, server *Server) { server.entry.Versions = map[string]uint64{"m": 2} },
		"not once a suspicion has ended": func(r *Roster, server *Server) {
			r.RecordFailure(server, "cut")
			server.suspect, server.full = 0, 0
		},
		"not at a server that is half full": func(_ *Roster, server *Server) {
			server.Begin()
			server.Begin()
		},
	} {
		t.Run(name, func(t *testing.T) {
			roster := begin()
			first := choose(roster)
			roster.Finish(first)
			spoil(roster, first)
			_, reason := roster.Choose(pool, nil)
			must.Eq(t, route.ReasonZone, reason)
		})
	}
}
