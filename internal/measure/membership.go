package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	// callBytes is what HTTP/2, TCP and IP add to one message of an exchange,
	// as BenchmarkExchange of internal/member measures it on loopback, rounded up.
	callBytes = 250

	memberInterval = time.Second
	memberSuspect  = 4 * time.Second
	memberTimeout  = time.Second
	memberPush     = 20 * time.Millisecond
	memberPause    = 200 * time.Millisecond
	memberZones    = 7
	memberEntries  = 0.3
)

// memberEvent is something that happens to the processes at a time.
type memberEvent struct {
	at  time.Time
	seq int
	do  func()
}

// memberEvents is a heap by time.
type memberEvents []memberEvent

var _ heap.Interface = &memberEvents{}

// Len returns the number of events.
func (e memberEvents) Len() int { return len(e) }

// Less orders events by time.
func (e memberEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}

// Pop removes the last event.
func (e *memberEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Push adds an event.
func (e *memberEvents) Push(event any) { *e = append(*e, event.(memberEvent)) }

// Swap swaps two events.
func (e memberEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// memberNode is one process in the loop.
type memberNode struct {
	members *member.Members
	prober  *member.Prober
	dead    bool
	pushing bool
	pushed  time.Time
	bytes   int
}

// MemberLoop drives the membership of many processes with a clock of its own.
type MemberLoop struct {
	// NoPush leaves all news to the probes, for comparison.
	NoPush bool
	// Cut reports whether two processes can't reach each other; nil cuts nothing.
	Cut func(a, b *peerpb.Process) bool

	now    time.Time
	random *rand.Rand
	nodes  []*memberNode
	byName map[string]*memberNode
	events memberEvents
	seq    int
}

// NewMemberLoop returns a loop of processes that know each other.
func NewMemberLoop(size int, seed uint64) *MemberLoop {
	loop := &MemberLoop{
		now:    time.Unix(1_700_000_000, 0),
		random: rand.New(rand.NewPCG(seed, 1)),
		byName: map[string]*memberNode{},
	}
	all := member.NewMembers(loop.process(0, size))
	known := &peerpb.Gossip{}
	for i := range size {
		known.SetProcesses(append(known.GetProcesses(), loop.process(i, size)))
	}
	all.Take(loop.now, known)
	for i := range size {
		loop.add(member.NewMembersFrom(loop.process(i, size), all))
	}
	return loop
}

// Bytes returns the bytes sent so far by all processes.
func (l *MemberLoop) Bytes() int {
	total := 0
	for _, node := range l.nodes {
		total += node.bytes
	}
	return total
}

// Kill ends processes without a word.
func (l *MemberLoop) Kill(chosen func(*peerpb.Process) bool) int {
	killed := 0
	for _, node := range l.nodes {
		if chosen(node.members.Self()) {
			node.dead = true
			killed++
		}
	}
	return killed
}

// Run lets time pass until done or the end of the bound; it returns the time passed.
func (l *MemberLoop) Run(bound time.Duration, done func() bool) time.Duration {
	begin := l.now
	const step = 100 * time.Millisecond
	for l.now.Sub(begin) < bound && !done() {
		until := l.now.Add(step)
		for len(l.events) > 0 && l.events[0].at.Before(until) {
			event := heap.Pop(&l.events).(memberEvent)
			l.now = event.at
			event.do()
		}
		l.now = until
	}
	return l.now.Sub(begin)
}

// Share returns the share of live processes of which has holds.
func (l *MemberLoop) Share(has func(*member.Members) bool) float64 {
	live, having := 0, 0
	for _, node := range l.nodes {
		if node.dead {
			continue
		}
		live++
		if has(node.members) {
			having++
		}
	}
	return float64(having) / float64(live)
}

// Tell gives one live process something new.
func (l *MemberLoop) Tell(tell func(*member.Members)) {
	for _, node := range l.nodes {
		if !node.dead {
			tell(node.members)
			l.news(node)
			return
		}
	}
}

func (l *MemberLoop) add(members *member.Members) {
	node := &memberNode{members: members}
	node.prober = &member.Prober{
		Members:  members,
		Interval: memberInterval,
		Suspect:  memberSuspect,
		Rand:     rand.New(rand.NewPCG(l.random.Uint64(), 2)),
	}
	l.nodes = append(l.nodes, node)
	l.byName[members.Self().GetName()] = node
	l.after(time.Duration(l.random.Int64N(int64(memberInterval))), func() { l.tick(node) })
}

func (l *MemberLoop) after(wait time.Duration, do func()) {
	l.seq++
	heap.Push(&l.events, memberEvent{at: l.now.Add(wait), seq: l.seq, do: do})
}

// exchange lets one process send to another; lost is called if no answer comes.
func (l *MemberLoop) exchange(from, to *memberNode, answered, lost func()) {
	request := from.members.Request(l.now)
	l.send(from, to, request, func() {
		answer := to.members.Answer(l.now, request)
		l.news(to)
		l.send(to, from, answer, func() {
			next := from.members.FollowUp(l.now, answer)
			l.news(from)
			answered()
			if next != nil {
				l.followUp(from, to, next)
			}
		}, func() {})
	}, lost)
}

func (l *MemberLoop) followUp(from, to *memberNode, next *peerpb.Gossip) {
	l.send(from, to, next, func() {
		answer := to.members.Answer(l.now, next)
		l.news(to)
		l.send(to, from, answer, func() {
			from.members.Take(l.now, answer)
			l.news(from)
		}, func() {})
	}, func() {})
}

func (l *MemberLoop) send(from, to *memberNode, message *peerpb.Gossip, arrived, lost func()) {
	from.bytes += proto.Size(message) + callBytes
	cut := l.Cut != nil && l.Cut(from.members.Self(), to.members.Self())
	if to.dead || from.dead || cut {
		// One try on the open connection and one on a new one.
		l.after(2*memberTimeout, lost)
		return
	}
	l.after(time.Millisecond, arrived)
}

func (l *MemberLoop) news(node *memberNode) {
	select {
	case <-node.members.Urgent():
	default:
		return
	}
	if node.pushing || l.NoPush {
		return
	}
	node.pushing = true
	wait := max(memberPush, node.pushed.Add(memberPause).Sub(l.now))
	l.after(wait, func() { l.push(node) })
}

func (l *MemberLoop) push(node *memberNode) {
	node.pushing, node.pushed = false, l.now
	if node.dead {
		return
	}
	for _, target := range node.prober.Push(l.now) {
		l.exchange(node, l.byName[target.GetName()], func() {}, func() {})
	}
}

func (l *MemberLoop) tick(node *memberNode) {
	if node.dead {
		return
	}
	l.after(memberInterval, func() { l.tick(node) })
	target := node.prober.Next(l.now)
	l.news(node)
	if target == nil {
		return
	}
	l.exchange(node, l.byName[target.GetName()], func() {}, func() { l.askHelpers(node, target) })
}

func (l *MemberLoop) askHelpers(node *memberNode, target *peerpb.Process) {
	helpers := node.prober.Helpers(target)
	missing := len(helpers)
	for _, helper := range helpers {
		l.exchange(l.byName[helper.GetName()], l.byName[target.GetName()], func() {}, func() {
			missing--
			if missing == 0 {
				node.prober.Missed(l.now, target)
				l.news(node)
			}
		})
	}
}

func (l *MemberLoop) process(i, size int) *peerpb.Process {
	zone := i % memberZones
	process := peerpb.Process_builder{
		Name:        fmt.Sprintf("entry-%04d", i),
		Incarnation: uint64(l.now.UnixNano()) + uint64(i),
		Version:     2,
		Role:        peerpb.Role_ROLE_ENTRY,
		State:       peerpb.State_STATE_LIVE,
		Region:      fmt.Sprintf("region-%d", zone/4),
		Zone:        fmt.Sprintf("zone-%d", zone),
		Address:     fmt.Sprintf("10.%d.%d.%d:7400", zone, i/250, i%250),
	}.Build()
	if float64(i) >= memberEntries*float64(size) {
		process.SetName(fmt.Sprintf("sidecar-%04d", i))
		process.SetRole(peerpb.Role_ROLE_SIDECAR)
		process.SetServer(fmt.Sprintf("sampler-%04d", i))
		process.SetPool("assistant")
		process.SetKind("engine")
	}
	return process
}
