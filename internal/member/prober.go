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
	// Every retryEvery-th probe goes to a failed process, so that the two sides of a
	// healed network partition find each other.
	retryEvery = 5
	// pushRate (per second) and pushBurst limit the messages that push changes of other processes.
	pushRate  = 4
	pushBurst = 24
	// pauseFactor is the number of intervals without a call after which this process
	// is considered to have been paused.
	pauseFactor = 4
)

// Prober selects the processes to probe and handles missing answers. Exported
// fields are set before use. It is not safe for concurrent use.
type Prober struct {
	Members *Members
	// Interval is the time between two calls of NextTarget.
	Interval time.Duration
	// SuspectTimeout is the time after which a suspected process is marked as failed.
	SuspectTimeout time.Duration
	Rand           *rand.Rand

	probeCount int
	lastExpiry time.Time
	tokens     float64
	refilledAt time.Time
}

// Expire marks suspected processes as failed after SuspectTimeout and deletes
// records past their retention.
//
// After a pause of this process (a frozen or stopped host) all suspicions look old
// although no process was probed meanwhile, so their timeouts restart.
func (p *Prober) Expire(now time.Time) {
	m := p.Members
	m.mutex.Lock()
	defer m.mutex.Unlock()
	paused := !p.lastExpiry.IsZero() && now.Sub(p.lastExpiry) > max(pauseFactor*p.Interval, p.SuspectTimeout/2)
	p.lastExpiry = now
	m.forgetReplaced(now)
	for name := range m.table.suspectOrEnded {
		known := m.table.records[name]
		age := now.Sub(known.since)
		switch state := known.process.GetState(); {
		case name == m.self.GetName():
		case state == peerpb.State_STATE_SUSPECT && paused:
			known.since = now
			m.table.records[name] = known
		case state == peerpb.State_STATE_SUSPECT && age >= p.SuspectTimeout:
			p.setState(known.process, peerpb.State_STATE_FAILED, now)
		case hasExpired(known.process, now):
			m.table.remove(name)
		}
	}
}

// Helpers returns random neighbours that should probe the target indirectly.
func (p *Prober) Helpers(target *peerpb.Process) []*peerpb.Process {
	m := p.Members
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.rings.update(&m.table, m.self.GetName())
	neighbours := m.rings.all()
	var found []*peerpb.Process
	for _, i := range p.Rand.Perm(len(neighbours)) {
		if neighbours[i].GetName() != target.GetName() && len(found) < helperCount {
			found = append(found, neighbours[i])
		}
	}
	return found
}

// ProbeFailed records that neither this process nor its helpers got an answer from the target.
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
		p.setState(known, peerpb.State_STATE_SUSPECT, now)
	case peerpb.State_STATE_DRAINING:
		// SUSPECT would hide that the process drains, and it would get work again.
		p.setState(known, peerpb.State_STATE_FAILED, now)
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

// PushTargets returns the processes to which changes are sent at once: all neighbours
// for facts, withdrawals and this process's own state; for changes of other
// processes as many as the rate limit allows.
//
// When a zone fails, hundreds of processes change within seconds. Pushing each
// change to all neighbours would exceed a process's bandwidth limit many times
// over, so changes beyond the rate wait for the next exchange.
func (p *Prober) PushTargets(now time.Time) []*peerpb.Process {
	targets := p.Neighbours()
	m := p.Members
	m.mutex.Lock()
	defer m.mutex.Unlock()
	elapsed := now.Sub(p.refilledAt).Seconds()
	p.tokens = min(pushBurst, p.tokens+pushRate*elapsed)
	p.refilledAt = now
	if m.pushToAll {
		m.pushToAll = false
		return targets
	}
	allowed := min(len(targets), int(p.tokens))
	p.tokens -= float64(allowed)
	p.Rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:allowed]
}

// NextTarget returns the process to probe now: the successors in turn, and at every
// retryEvery-th call a failed process, if any. It returns nil if there is no process to
// probe.
func (p *Prober) NextTarget(now time.Time) *peerpb.Process {
	p.Expire(now)
	m := p.Members
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.rings.update(&m.table, m.self.GetName())
	p.probeCount++
	if p.probeCount%retryEvery == 0 {
		if failed := p.randomFailed(); failed != nil {
			return failed
		}
	}
	if len(m.rings.successors) == 0 {
		return p.randomFailed()
	}
	return m.rings.successors[p.probeCount%len(m.rings.successors)]
}

func (p *Prober) randomFailed() *peerpb.Process {
	var chosen *peerpb.Process
	failedCount := 0
	for name := range p.Members.table.suspectOrEnded {
		process := p.Members.table.get(name)
		if process.GetState() != peerpb.State_STATE_FAILED {
			continue
		}
		failedCount++
		if p.Rand.IntN(failedCount) == 0 {
			chosen = process
		}
	}
	return chosen
}

func (p *Prober) setState(known *peerpb.Process, state peerpb.State, now time.Time) {
	next := proto.CloneOf(known)
	next.SetState(state)
	next.SetEnded(endedAt(state, now))
	klog.Infof("member: no response from %s at %s; marking the process as %s", known.GetName(), known.GetAddress(), state)
	p.Members.setProcess(next, known, now)
}
