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
	// maxRelayAge is how much older a process's view may be than the process assumes.
	maxRelayAge = 1900 * time.Millisecond
	start       = clock.Boot(time.Hour)
)

// newSettledSenders returns the view of a process that has known all senders for long enough to
// send.
func newSettledSenders(self string, names ...string) (*cold.Senders, clock.Boot) {
	senders := &cold.Senders{Self: self}
	for _, name := range names {
		senders.Add(name, start)
	}
	senders.MarkCurrent(start)
	now := start.Add(time.Minute)
	senders.MarkCurrent(now)
	return senders, now
}

func TestQuota(t *testing.T) {
	t.Run("divided among users", func(t *testing.T) {
		senders, now := newSettledSenders("a", "a", "b", "c")
		must.Eq(t, 4, senders.Quota("s", 13.5, now))
	})
	t.Run("with more users than requests each server has its own", func(t *testing.T) {
		names := []string{"a", "b", "c", "d", "e"}
		for _, server := range []string{"s1", "s2", "s3"} {
			total := 0
			for _, name := range names {
				senders, now := newSettledSenders(name, names...)
				total += senders.Quota(server, 2, now)
			}
			must.Eq(t, 2, total)
		}
	})
	t.Run("one for a rate below one", func(t *testing.T) {
		senders, now := newSettledSenders("a", "a")
		must.Eq(t, 1, senders.Quota("s", 0.4, now))
	})
	t.Run("none before all others count this process", func(t *testing.T) {
		senders := &cold.Senders{Self: "a"}
		senders.MarkCurrent(start)
		now := start.Add(time.Minute)
		senders.Add("a", now)
		senders.MarkCurrent(now)
		must.Eq(t, 0, senders.Quota("s", 13, now))
	})
	t.Run("none before a process that started counts all others", func(t *testing.T) {
		senders := &cold.Senders{Self: "a"}
		senders.Add("a", start)
		for now := start; now < start.Add(13*time.Second); now = now.Add(time.Second) {
			senders.MarkCurrent(now)
			must.Eq(t, 0, senders.Quota("s", 13, now))
		}
	})
	t.Run("none with an old view", func(t *testing.T) {
		senders, now := newSettledSenders("a", "a")
		must.Eq(t, 0, senders.Quota("s", 13, now.Add(2*time.Second)))
	})
	t.Run("none for a process that isn't a user", func(t *testing.T) {
		senders, now := newSettledSenders("a", "b")
		must.Eq(t, 0, senders.Quota("s", 13, now))
	})
	t.Run("a removed sender is still counted", func(t *testing.T) {
		senders, now := newSettledSenders("a", "a", "b")
		senders.Remove("b", now)
		now = now.Add(10 * time.Second)
		senders.MarkCurrent(now)
		must.Eq(t, 6, senders.Quota("s", 13, now))
		now = now.Add(15 * time.Second)
		senders.MarkCurrent(now)
		must.Eq(t, 13, senders.Quota("s", 13, now))
	})
}

// Guards against a cold server that receives more requests than its rate from all processes
// together, even if processes join, leave, restart, stall or receive changes late.
func TestRateHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 30).Draw(t, "rate")
		fleet := newFleet(t, rapid.IntRange(1, 8).Draw(t, "processes"))
		for range 1200 {
			fleet.step(rate)
		}
		limit := max(1, int(rate))
		for server, times := range fleet.sent {
			first := 0
			for last, at := range times {
				for at.Sub(times[first]) > time.Second {
					first++
				}
				if count := last - first + 1; count > limit {
					t.Fatalf("%s received %d requests in the second before %s, rate is %f", server, count, at.Sub(start), rate)
				}
			}
		}
	})
}

// change is a stored change of a process that becomes a sender or stops being one.
type change struct {
	name     string
	isSender bool
	at       clock.Boot
}

// process is a simulated process with its own view of the senders.
type process struct {
	*cold.Senders

	seenChanges int
	lag         time.Duration
	// The process does nothing until stalledUntil and receives no changes until disconnectedUntil.
	stalledUntil, disconnectedUntil clock.Boot

	sent       map[string]*cold.RequestWindow
	knownUntil clock.Boot
}

// fleet simulates processes that send to cold servers as often as their quotas allow.
type fleet struct {
	t         *rapid.T
	now       clock.Boot
	changes   []change
	isSender  map[string]bool
	processes map[string]*process
	names     []string
	sent      map[string][]clock.Boot
}

func newFleet(t *rapid.T, count int) *fleet {
	f := &fleet{t: t, now: start, isSender: map[string]bool{}, processes: map[string]*process{}, sent: map[string][]clock.Boot{}}
	for i := range count {
		name := fmt.Sprint("p", i)
		f.names = append(f.names, name)
		f.begin(name)
		f.toggle(name)
	}
	return f
}

// begin starts or restarts a process with an empty state.
func (f *fleet) begin(name string) {
	f.processes[name] = &process{Senders: &cold.Senders{Self: name}, sent: map[string]*cold.RequestWindow{}}
}

func (f *fleet) toggle(name string) {
	f.isSender[name] = !f.isSender[name]
	f.changes = append(f.changes, change{name: name, isSender: f.isSender[name], at: f.now})
}

// step advances the time, may inject an event, and lets each process receive and send.
func (f *fleet) step(rate float64) {
	f.now = f.now.Add(step)
	if rapid.IntRange(0, 24).Draw(f.t, "event") == 0 {
		f.inject(f.names[rapid.IntRange(0, len(f.names)-1).Draw(f.t, "who")])
	}
	for _, name := range f.names {
		proc := f.processes[name]
		if f.now < proc.stalledUntil {
			continue
		}
		if f.now >= proc.disconnectedUntil {
			f.receive(proc)
		}
		f.send(proc, rate)
	}
}

func (f *fleet) inject(name string) {
	proc := f.processes[name]
	switch rapid.IntRange(0, 6).Draw(f.t, "what") {
	case 0:
		f.begin(name)
	case 1:
		proc.stalledUntil = f.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(f.t, "stall")) * time.Millisecond)
	case 2:
		proc.disconnectedUntil = f.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(f.t, "disconnect")) * time.Millisecond)
	case 3:
		proc.lag = time.Duration(rapid.IntRange(0, int(maxRelayAge/time.Millisecond)).Draw(f.t, "lag")) * time.Millisecond
	default:
		f.toggle(name)
	}
}

// receive applies the stored changes older than the process's lag, and never reverts an applied
// change.
func (f *fleet) receive(proc *process) {
	proc.knownUntil = max(proc.knownUntil, f.now.Add(-proc.lag))
	for ; proc.seenChanges < len(f.changes) && f.changes[proc.seenChanges].at <= proc.knownUntil; proc.seenChanges++ {
		if f.changes[proc.seenChanges].isSender {
			proc.Add(f.changes[proc.seenChanges].name, f.now)
		} else {
			proc.Remove(f.changes[proc.seenChanges].name, f.now)
		}
	}
	proc.MarkCurrent(f.now)
}

func (f *fleet) send(proc *process, rate float64) {
	for _, server := range []string{"s1", "s2"} {
		sent := proc.sent[server]
		if sent == nil {
			sent = &cold.RequestWindow{}
			proc.sent[server] = sent
		}
		for sent.Allows(proc.Quota(server, rate, f.now), f.now) {
			sent.Add(f.now)
			f.sent[server] = append(f.sent[server], f.now)
		}
	}
}
