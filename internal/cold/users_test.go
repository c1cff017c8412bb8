package cold_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/cold"
)

const (
	step = 50 * time.Millisecond
	// greatestLag is how much older than it knows a process's view may be.
	greatestLag = 1900 * time.Millisecond
	start       = clock.Boot(time.Hour)
)

// settled returns users that have known of each other for long.
func settled(self string, names ...string) (*cold.Senders, clock.Boot) {
	users := &cold.Senders{Self: self}
	for _, name := range names {
		users.Add(name, start)
	}
	users.MarkCurrent(start)
	now := start.Add(time.Minute)
	users.MarkCurrent(now)
	return users, now
}

func TestShare(t *testing.T) {
	t.Run("divided among users", func(t *testing.T) {
		users, now := settled("a", "a", "b", "c")
		must.Eq(t, 4, users.Quota("s", 13.5, now))
	})
	t.Run("with more users than requests each server has its own", func(t *testing.T) {
		names := []string{"a", "b", "c", "d", "e"}
		for _, server := range []string{"s1", "s2", "s3"} {
			total := 0
			for _, name := range names {
				users, now := settled(name, names...)
				total += users.Quota(server, 2, now)
			}
			must.Eq(t, 2, total)
		}
	})
	t.Run("one for a rate below one", func(t *testing.T) {
		users, now := settled("a", "a")
		must.Eq(t, 1, users.Quota("s", 0.4, now))
	})
	t.Run("none before all others count this process", func(t *testing.T) {
		users := &cold.Senders{Self: "a"}
		users.MarkCurrent(start)
		now := start.Add(time.Minute)
		users.Add("a", now)
		users.MarkCurrent(now)
		must.Eq(t, 0, users.Quota("s", 13, now))
	})
	t.Run("none before a process that started counts all others", func(t *testing.T) {
		users := &cold.Senders{Self: "a"}
		users.Add("a", start)
		for now := start; now < start.Add(13*time.Second); now = now.Add(time.Second) {
			users.MarkCurrent(now)
			must.Eq(t, 0, users.Quota("s", 13, now))
		}
	})
	t.Run("none with an old view", func(t *testing.T) {
		users, now := settled("a", "a")
		must.Eq(t, 0, users.Quota("s", 13, now.Add(2*time.Second)))
	})
	t.Run("none for a process that isn't a user", func(t *testing.T) {
		users, now := settled("a", "b")
		must.Eq(t, 0, users.Quota("s", 13, now))
	})
	t.Run("a user that has gone counts still", func(t *testing.T) {
		users, now := settled("a", "a", "b")
		users.Remove("b", now)
		now = now.Add(10 * time.Second)
		users.MarkCurrent(now)
		must.Eq(t, 6, users.Quota("s", 13, now))
		now = now.Add(15 * time.Second)
		users.MarkCurrent(now)
		must.Eq(t, 13, users.Quota("s", 13, now))
	})
}

// Guards against a cold server that gets more than its rate from all processes
// together, whoever joins, leaves, starts anew, stands still or hears late.
func TestRateHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 30).Draw(t, "rate")
		fleet := newFleet(t, rapid.IntRange(1, 8).Draw(t, "processes"))
		for range 1200 {
			fleet.step(rate)
		}
		most := max(1, int(rate))
		for server, times := range fleet.sent {
			first := 0
			for last, at := range times {
				for at.Sub(times[first]) > time.Second {
					first++
				}
				if count := last - first + 1; count > most {
					t.Fatalf("%s got %d requests in the second to %s, rate %f", server, count, at.Sub(start), rate)
				}
			}
		}
	})
}

// change is one of who is a user, as the store has it.
type change struct {
	name   string
	isUser bool
	at     clock.Boot
}

// process is one of a fleet with its own view.
type process struct {
	*cold.Senders

	seen int
	lag  time.Duration
	// mute is until when it does nothing, deaf until when it hears nothing.
	mute, deaf clock.Boot

	sent  map[string]*cold.RequestWindow
	known clock.Boot
}

// fleet is processes that send to cold servers as often as they may.
type fleet struct {
	t         *rapid.T
	now       clock.Boot
	changes   []change
	isUser    map[string]bool
	processes map[string]*process
	names     []string
	sent      map[string][]clock.Boot
}

func newFleet(t *rapid.T, count int) *fleet {
	f := &fleet{t: t, now: start, isUser: map[string]bool{}, processes: map[string]*process{}, sent: map[string][]clock.Boot{}}
	for i := range count {
		name := fmt.Sprint("p", i)
		f.names = append(f.names, name)
		f.begin(name)
		f.toggle(name)
	}
	return f
}

// begin starts a process, for the first time or anew: it has forgotten all.
func (f *fleet) begin(name string) {
	f.processes[name] = &process{Senders: &cold.Senders{Self: name}, sent: map[string]*cold.RequestWindow{}}
}

func (f *fleet) toggle(name string) {
	f.isUser[name] = !f.isUser[name]
	f.changes = append(f.changes, change{name: name, isUser: f.isUser[name], at: f.now})
}

// step lets something happen, and every process hear and send.
func (f *fleet) step(rate float64) {
	f.now = f.now.Add(step)
	if rapid.IntRange(0, 24).Draw(f.t, "event") == 0 {
		f.happen(f.names[rapid.IntRange(0, len(f.names)-1).Draw(f.t, "who")])
	}
	for _, name := range f.names {
		one := f.processes[name]
		if f.now < one.mute {
			continue
		}
		if f.now >= one.deaf {
			f.hear(one)
		}
		f.send(one, rate)
	}
}

func (f *fleet) happen(name string) {
	one := f.processes[name]
	switch rapid.IntRange(0, 6).Draw(f.t, "what") {
	case 0:
		f.begin(name)
	case 1:
		one.mute = f.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(f.t, "mute")) * time.Millisecond)
	case 2:
		one.deaf = f.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(f.t, "deaf")) * time.Millisecond)
	case 3:
		one.lag = time.Duration(rapid.IntRange(0, int(greatestLag/time.Millisecond)).Draw(f.t, "lag")) * time.Millisecond
	default:
		f.toggle(name)
	}
}

// hear shows a process what the store had a while ago, and never less than before.
func (f *fleet) hear(one *process) {
	one.known = max(one.known, f.now.Add(-one.lag))
	for ; one.seen < len(f.changes) && f.changes[one.seen].at <= one.known; one.seen++ {
		if f.changes[one.seen].isUser {
			one.Add(f.changes[one.seen].name, f.now)
		} else {
			one.Remove(f.changes[one.seen].name, f.now)
		}
	}
	one.MarkCurrent(f.now)
}

func (f *fleet) send(one *process, rate float64) {
	for _, server := range []string{"s1", "s2"} {
		sent := one.sent[server]
		if sent == nil {
			sent = &cold.RequestWindow{}
			one.sent[server] = sent
		}
		for sent.Allows(one.Quota(server, rate, f.now), f.now) {
			sent.Add(f.now)
			f.sent[server] = append(f.sent[server], f.now)
		}
	}
}
