package member

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	helperCount = 2
	// retryEvery is the number of probes between two of a failed process, so
	// that the two sides of a healed cut find each other.
	retryEvery = 5
	// pushRate and pushBurst bound the messages with changes of others: messages
	// a second, and messages at once.
	pushRate  = 4
	pushBurst = 24
	// pauseFactor intervals without a call mean that this process was paused.
	pauseFactor = 4
)

// Prober decides whom a process asks and what a missing answer means.
// Exported fields are set before use. It is for one goroutine at a time.
type Prober struct {
	Members *Members
	// Interval is the time between two calls of Next.
	Interval time.Duration
	// SuspectTimeout is the time after which a suspected process has failed.
	SuspectTimeout time.Duration
	Rand    *rand.Rand

	turn     int
	last     time.Time
	tokens   float64
	refilled time.Time
}

// Expire takes suspected processes as failed once their time is over and
// forgets those that are long gone.
//
// After a pause of this process (a frozen host, a long stop of the machine)
// all suspicions look old, though nobody was asked meanwhile. Their time then
// begins anew.
func (p *Prober) Expire(now time.Time) {
	m := p.Members
	m.mutex.Lock()
	defer m.mutex.Unlock()
	paused := !p.last.IsZero() && now.Sub(p.last) > max(pauseFactor*p.Interval, p.SuspectTimeout/2)
	p.last = now
	m.forgetReplaced(now)
	for name := range m.table.unsettled {
		known := m.table.records[name]
		age := now.Sub(known.since)
		switch state := known.process.GetState(); {
		case name == m.self.GetName():
		case state == peerpb.State_STATE_SUSPECT && paused:
			known.since = now
			m.table.records[name] = known
		case state == peerpb.State_STATE_SUSPECT && age >= p.SuspectTimeout:
			p.mark(known.process, peerpb.State_STATE_FAILED, now)
		case hasExpired(known.process, now):
			m.table.remove(name)
		}
	}
}

// Helpers returns processes that should ask the target once more.
func (p *Prober) Helpers(target *peerpb.Process) []*peerpb.Process {
	m := p.Members
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.rings.update(&m.table, m.self.GetName())
	around := m.rings.all()
	var found []*peerpb.Process
	for _, i := range p.Rand.Perm(len(around)) {
		if around[i].GetName() != target.GetName() && len(found) < helperCount {
			found = append(found, around[i])
		}
	}
	return found
}

// ProbeFailed takes note that neither this process nor its helpers got an answer.
func (p *Prober) ProbeFailed(now time.Time, target *peerpb.Process) {
	m := p.Members
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.table.get(target.GetName())
	if known == nil || known.GetIncarnation() != target.GetIncarnation() || known.GetVersion() != target.GetVersion() {
		return
	}
	switch known.GetState() {
	case peerpb.State_STATE_LIVE:
		p.mark(known, peerpb.State_STATE_SUSPECT, now)
	case peerpb.State_STATE_DRAINING:
		// A suspicion would hide that it drains, and it would get work again.
		p.mark(known, peerpb.State_STATE_FAILED, now)
	default:
	}
}

// Neighbours returns the successors and predecessors on all rings.
func (p *Prober) Neighbours() []*peerpb.Process {
	m := p.Members
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.rings.update(&m.table, m.self.GetName())
	return m.rings.all()
}

// PushTargets returns the processes to which news is sent at once: all neighbours for
// facts, withdrawals and this process's own state, for changes of others as
// many as the rate allows.
//
// Where a zone fails, hundreds of processes change within seconds. Sent at once
// by everybody to all neighbours, that would take many times the bytes that a
// process may spend; so what goes beyond the rate waits for the next exchange.
func (p *Prober) PushTargets(now time.Time) []*peerpb.Process {
	targets := p.Neighbours()
	m := p.Members
	m.mutex.Lock()
	defer m.mutex.Unlock()
	passed := now.Sub(p.refilled).Seconds()
	p.tokens = min(pushBurst, p.tokens+pushRate*passed)
	p.refilled = now
	if m.important {
		m.important = false
		return targets
	}
	allowed := min(len(targets), int(p.tokens))
	p.tokens -= float64(allowed)
	p.Rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:allowed]
}

// NextTarget returns the process to ask now: each of the successors in turn, now and
// then one that has failed. It returns nil if no other is known.
func (p *Prober) NextTarget(now time.Time) *peerpb.Process {
	p.Expire(now)
	m := p.Members
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.rings.update(&m.table, m.self.GetName())
	p.turn++
	if p.turn%retryEvery == 0 {
		if lost := p.lost(); lost != nil {
			return lost
		}
	}
	if len(m.rings.successors) == 0 {
		return p.lost()
	}
	return m.rings.successors[p.turn%len(m.rings.successors)]
}

func (p *Prober) lost() *peerpb.Process {
	var chosen *peerpb.Process
	seen := 0
	for name := range p.Members.table.unsettled {
		process := p.Members.table.get(name)
		if process.GetState() != peerpb.State_STATE_FAILED {
			continue
		}
		seen++
		if p.Rand.IntN(seen) == 0 {
			chosen = process
		}
	}
	return chosen
}

func (p *Prober) mark(known *peerpb.Process, state peerpb.State, now time.Time) {
	next := proto.CloneOf(known)
	next.SetState(state)
	next.SetEnded(endedAt(state, now))
	klog.Infof("member: %s at %s gives no answer, it is taken as %s", known.GetName(), known.GetAddress(), state)
	p.Members.setProcess(next, known, now)
}
