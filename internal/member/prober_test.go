package member_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

var start = time.Unix(1_700_000_000, 0)

// pair is two processes that know each other, without connections.
type pair struct {
	a, b   *member.Members
	prober *member.Prober
	now    time.Time
}

func newPair() *pair {
	p := &pair{a: newMembers("a"), b: newMembers("b"), now: start}
	p.prober = &member.Prober{
		Members:        p.a,
		Interval:       time.Second,
		SuspectTimeout: 4 * time.Second,
		Rand:           rand.New(rand.NewPCG(1, 1)),
	}
	p.exchange()
	exchange(p.b, p.a, p.now)
	return p
}

func newMembers(name string) *member.Members {
	record := entryRecord(name, 1)
	record.SetAddress(name)
	members := member.NewMembers(record)
	members.IsolationTimeout = 10 * time.Second
	return members
}

// exchange runs an exchange from a to b, with the follow-up message if one is needed.
func (p *pair) exchange() {
	exchange(p.a, p.b, p.now)
}

func exchange(from, to *member.Members, now time.Time) {
	next := from.FollowUp(now, to.Answer(now, from.Request(now)))
	if next != nil {
		from.MergeAnswer(now, to.Answer(now, next))
	}
}

func (p *pair) advance(duration time.Duration) {
	for range duration / time.Second {
		p.now = p.now.Add(time.Second)
		p.prober.NextTarget(p.now)
	}
}

func (p *pair) mustHaveState(t *testing.T, state peerpb.State) {
	t.Helper()
	found := findEntry(p.a, "b")
	if state == peerpb.State_STATE_FAILED {
		must.Nil(t, found)
		return
	}
	must.Eq(t, state, found.GetState())
}

func TestSuspectThenFailed(t *testing.T) {
	p := newPair()
	p.prober.ProbeFailed(p.now, findEntry(p.a, "b"))
	p.mustHaveState(t, peerpb.State_STATE_SUSPECT)
	p.advance(3 * time.Second)
	p.mustHaveState(t, peerpb.State_STATE_SUSPECT)
	p.advance(2 * time.Second)
	p.mustHaveState(t, peerpb.State_STATE_FAILED)
}

// Guards against a running process that gets no more work after a short delay made
// others suspect it or mark it as failed. The process must refute their records.
func TestSuspicionIsRefuted(t *testing.T) {
	for name, duration := range map[string]time.Duration{"suspect": time.Second, "failed": 6 * time.Second} {
		t.Run(name, func(t *testing.T) {
			p := newPair()
			p.prober.ProbeFailed(p.now, findEntry(p.a, "b"))
			p.advance(duration)
			p.exchange()
			p.mustHaveState(t, peerpb.State_STATE_LIVE)
		})
	}
}

// Guards against a process that resumes after a pause and marks all suspected processes
// as failed. It sent no probes during the pause, so the suspicion timeout must restart.
func TestPauseMarksNobodyFailed(t *testing.T) {
	p := newPair()
	p.advance(2 * time.Second)
	p.prober.ProbeFailed(p.now, findEntry(p.a, "b"))
	p.now = p.now.Add(time.Minute)
	p.prober.NextTarget(p.now)
	p.mustHaveState(t, peerpb.State_STATE_SUSPECT)
}

// Guards against work for a draining process that misses a probe: the state
// SUSPECT would replace DRAINING.
func TestDrainingIsNotHidden(t *testing.T) {
	p := newPair()
	p.b.SetState(peerpb.State_STATE_DRAINING)
	p.exchange()
	p.mustHaveState(t, peerpb.State_STATE_DRAINING)
	p.prober.ProbeFailed(p.now, findEntry(p.a, "b"))
	p.mustHaveState(t, peerpb.State_STATE_FAILED)
	p.exchange()
	p.mustHaveState(t, peerpb.State_STATE_DRAINING)
}

// A frozen process is replaced by a process on another host. When the frozen process
// resumes, it must detect that it was replaced, and its record must not replace that of
// the new process.
func TestLaterProcessReplaces(t *testing.T) {
	p := newPair()
	newer := entryRecord("b", 2)
	newer.SetAddress("b2")
	replacement := member.NewMembers(newer)
	exchange(replacement, p.a, p.now)
	must.Eq(t, "b2", findEntry(p.a, "b").GetAddress())
	p.now = p.now.Add(time.Hour)
	exchange(p.b, p.a, p.now)
	must.True(t, p.b.Replaced())
	must.Eq(t, "b2", findEntry(p.a, "b").GetAddress())
	must.False(t, replacement.Replaced())
}

// Guards against a process that considers itself replaced and never serves again:
// after a clock that was ahead is corrected, it restarts with a lower incarnation than before.
func TestRestartAfterClockWentBack(t *testing.T) {
	p := newPair()
	ahead := entryRecord("c", 9)
	ahead.SetAddress("c")
	exchange(member.NewMembers(ahead), p.a, p.now)
	corrected := entryRecord("c", 3)
	corrected.SetAddress("c2")
	restarted := member.NewMembers(corrected)
	exchange(restarted, p.a, p.now)
	must.False(t, restarted.Replaced())
	must.Eq(t, "c2", findEntry(p.a, "c").GetAddress())
}

// Every process must be probed by another process, for any set of names.
func TestEveryoneIsProbed(t *testing.T) {
	all := map[string]*member.Members{}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		all[name] = newMembers(name)
	}
	for range 2 {
		for _, members := range all {
			exchange(members, all["a"], start)
		}
	}
	probed := map[string]bool{}
	for _, members := range all {
		prober := &member.Prober{Members: members, Interval: time.Second, Rand: rand.New(rand.NewPCG(1, 1))}
		for range 8 {
			probed[prober.NextTarget(start).GetName()] = true
		}
	}
	must.MapLen(t, len(all), probed)
}

// Guards against a non-idempotent request that runs twice: a restarted sidecar has lost
// its in-memory state, and its first message replaces its earlier record at the other
// processes. They must report the earlier record, or the sidecar treats its empty state
// as complete.
func TestRestartedProcessLearnsOfEarlier(t *testing.T) {
	tests := map[string]func(p *pair) string{
		"same name":               func(*pair) string { return "s1" },
		"other name, same server": func(*pair) string { return "s2" },
		"earlier one has failed": func(p *pair) string {
			p.failEarlier(t)
			return "s2"
		},
		"reported by a late joiner": func(p *pair) string {
			p.failEarlier(t)
			p.a = newLateJoiner(p)
			return "s2"
		},
	}
	for name, restart := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPair()
			exchange(member.NewMembers(sidecarRecord("s1", 1)), p.a, p.now)
			restarted := member.NewMembers(sidecarRecord(restart(p), 2))
			exchange(restarted, p.a, p.now)
			must.False(t, restarted.IsFirstProcess())
		})
	}
	t.Run("first one", func(t *testing.T) {
		p := newPair()
		first := member.NewMembers(sidecarRecord("x", 2))
		exchange(first, p.a, p.now)
		must.True(t, first.IsFirstProcess())
	})
}

func (p *pair) failEarlier(t *testing.T) {
	t.Helper()
	p.prober.ProbeFailed(p.now, findEntry(p.a, "s1"))
	p.advance(5 * time.Second)
	must.Nil(t, findEntry(p.a, "s1"))
}

// newLateJoiner returns a process that joins after another has failed.
func newLateJoiner(p *pair) *member.Members {
	late := newMembers("late")
	for range 3 {
		exchange(late, p.a, p.now)
	}
	return late
}

func sidecarRecord(name string, incarnation uint64) *peerpb.Process {
	record := entryRecord(name, incarnation)
	record.SetAddress(name)
	record.SetServer("server-1")
	return record
}
