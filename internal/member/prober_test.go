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
		Members:  p.a,
		Interval: time.Second,
		SuspectTimeout:  4 * time.Second,
		Rand:     rand.New(rand.NewPCG(1, 1)),
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

// exchange lets a ask b, with the message that follows if one is needed.
func (p *pair) exchange() {
	exchange(p.a, p.b, p.now)
}

func exchange(from, to *member.Members, now time.Time) {
	next := from.FollowUp(now, to.Answer(now, from.Request(now)))
	if next != nil {
		from.MergeAnswer(now, to.Answer(now, next))
	}
}

func (p *pair) pass(length time.Duration) {
	for range length / time.Second {
		p.now = p.now.Add(time.Second)
		p.prober.NextTarget(p.now)
	}
}

func (p *pair) mustSee(t *testing.T, state peerpb.State) {
	t.Helper()
	found := find(p.a, "b")
	if state == peerpb.State_STATE_FAILED {
		must.Nil(t, found)
		return
	}
	must.Eq(t, state, found.GetState())
}

func TestSuspectThenFailed(t *testing.T) {
	p := newPair()
	p.prober.ProbeFailed(p.now, find(p.a, "b"))
	p.mustSee(t, peerpb.State_STATE_SUSPECT)
	p.pass(3 * time.Second)
	p.mustSee(t, peerpb.State_STATE_SUSPECT)
	p.pass(2 * time.Second)
	p.mustSee(t, peerpb.State_STATE_FAILED)
}

// A process was slow for a moment and is suspected, or even taken as failed.
// It runs on, but would get no more work. It hears of it and objects.
func TestSuspicionIsRefuted(t *testing.T) {
	for name, length := range map[string]time.Duration{"suspect": time.Second, "failed": 6 * time.Second} {
		t.Run(name, func(t *testing.T) {
			p := newPair()
			p.prober.ProbeFailed(p.now, find(p.a, "b"))
			p.pass(length)
			p.exchange()
			p.mustSee(t, peerpb.State_STATE_LIVE)
		})
	}
}

// A process is frozen while it suspects another; the machine thaws it a minute
// later. Nobody was asked in that minute, so the other must not be taken as
// failed at once, or a thawed process would fail all that it suspected.
func TestPauseFailsNobody(t *testing.T) {
	p := newPair()
	p.pass(2 * time.Second)
	p.prober.ProbeFailed(p.now, find(p.a, "b"))
	p.now = p.now.Add(time.Minute)
	p.prober.NextTarget(p.now)
	p.mustSee(t, peerpb.State_STATE_SUSPECT)
}

// A draining process gives no answer for a moment. Were it shown as suspected,
// the mark that it drains would be lost, and it would get work again.
func TestDrainingIsNotHidden(t *testing.T) {
	p := newPair()
	p.b.SetState(peerpb.State_STATE_DRAINING)
	p.exchange()
	p.mustSee(t, peerpb.State_STATE_DRAINING)
	p.prober.ProbeFailed(p.now, find(p.a, "b"))
	p.mustSee(t, peerpb.State_STATE_FAILED)
	p.exchange()
	p.mustSee(t, peerpb.State_STATE_DRAINING)
}

// A process is replaced on another host; the old one was only frozen and thaws.
// It must learn that it is not the one any more, and not push the new one out.
func TestLaterProcessReplaces(t *testing.T) {
	p := newPair()
	later := entryRecord("b", 2)
	later.SetAddress("b2")
	next := member.NewMembers(later)
	exchange(next, p.a, p.now)
	must.Eq(t, "b2", find(p.a, "b").GetAddress())
	p.now = p.now.Add(time.Hour)
	exchange(p.b, p.a, p.now)
	must.True(t, p.b.Replaced())
	must.Eq(t, "b2", find(p.a, "b").GetAddress())
	must.False(t, next.Replaced())
}

// A host's clock was an hour ahead and is set right; its process restarts with
// a lower incarnation than before. Without a way out it would take itself as
// replaced and never serve again.
func TestRestartAfterClockWentBack(t *testing.T) {
	p := newPair()
	ahead := entryRecord("c", 9)
	ahead.SetAddress("c")
	exchange(member.NewMembers(ahead), p.a, p.now)
	right := entryRecord("c", 3)
	right.SetAddress("c2")
	again := member.NewMembers(right)
	exchange(again, p.a, p.now)
	must.False(t, again.Replaced())
	must.Eq(t, "c2", find(p.a, "c").GetAddress())
}

// Every process must be watched by another one, whatever the names are.
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
	asked := map[string]bool{}
	for _, members := range all {
		prober := &member.Prober{Members: members, Interval: time.Second, Rand: rand.New(rand.NewPCG(1, 1))}
		for range 8 {
			asked[prober.NextTarget(start).GetName()] = true
		}
	}
	must.MapLen(t, len(all), asked)
}

// A sidecar is started again and has lost what it kept in memory. The processes
// that knew the earlier one replace its record at the first message. If none
// told the new one, it would take its empty memory for whole and run a posting
// a second time.
func TestRestartedProcessLearnsOfEarlier(t *testing.T) {
	tests := map[string]func(p *pair) string{
		"same name":               func(*pair) string { return "s1" },
		"other name, same server": func(*pair) string { return "s2" },
		"earlier one has failed": func(p *pair) string {
			p.failEarlier(t)
			return "s2"
		},
		"told by one that came later": func(p *pair) string {
			p.failEarlier(t)
			p.a = joined(p)
			return "s2"
		},
	}
	for name, restart := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPair()
			exchange(member.NewMembers(sidecarRecord("s1", 1)), p.a, p.now)
			again := member.NewMembers(sidecarRecord(restart(p), 2))
			exchange(again, p.a, p.now)
			must.False(t, again.IsFirstProcess())
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
	p.prober.ProbeFailed(p.now, find(p.a, "s1"))
	p.pass(5 * time.Second)
	must.Nil(t, find(p.a, "s1"))
}

// joined returns a process that came after another had failed.
func joined(p *pair) *member.Members {
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
