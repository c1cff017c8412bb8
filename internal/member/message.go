package member

import (
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	// syncInterval is the least time between two comparisons of whole tables.
	syncInterval = 5 * time.Second
	// joinTime is how long after its start a process compares tables without pause.
	joinTime = 15 * time.Second
	// syncBuckets bounds the parts of the table sent at once.
	syncBuckets = 4
	// corrections bounds the records with which an outdated one is answered.
	corrections = 16
	// fewProcesses is the number up to which loads of others are passed on.
	fewProcesses = 64
	sentLoads    = 8
	// someDemands is the number of demands in a message among many processes.
	someDemands = 12
	// expectTime is how long an answer with facts is waited for before another
	// process is asked.
	expectTime = 300 * time.Millisecond
	// sentWithdrawals bounds the withdrawals in one message.
	sentWithdrawals = 512
)

// Answer takes another process's message and returns the answer.
func (m *Members) Answer(now time.Time, request *peerpb.Gossip) *peerpb.Gossip {
	olderRecords := m.olderRecordsOf(request.GetSender())
	outdated := m.take(now, request)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	answer := m.message(now)
	answer.SetProcesses(append(append(answer.GetProcesses(), outdated...), olderRecords...))
	if request.GetHeld() != m.facts.hash && m.expect(now, request.GetHeld()) {
		answer.SetDigest(m.facts.digest())
		answer.SetWithdrawals(m.someWithdrawals())
	}
	if len(request.GetDigest()) > 0 {
		answer.SetFacts(m.facts.newerThan(request.GetDigest()))
	}
	if len(request.GetBuckets()) == bucketCount {
		answer.SetBuckets(slices.Clone(m.table.buckets[:]))
		differing := append(m.differing(request.GetBuckets()), m.table.ended()...)
		answer.SetProcesses(append(answer.GetProcesses(), differing...))
	}
	return answer
}

// FollowUp takes the answer to a message. If the answer shows that either side
// lacks something, FollowUp returns the message that brings it or asks for it,
// else nil.
func (m *Members) FollowUp(now time.Time, answer *peerpb.Gossip) *peerpb.Gossip {
	outdated := m.take(now, answer)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	next := &peerpb.Gossip{}
	needed := len(outdated) > 0
	next.SetProcesses(outdated)
	if answer.GetHeld() != m.facts.hash && len(answer.GetDigest()) > 0 {
		needed = true
		next.SetDigest(m.facts.digest())
		next.SetFacts(m.facts.newerThan(answer.GetDigest()))
		next.SetWithdrawals(m.someWithdrawals())
	}
	if len(answer.GetBuckets()) == bucketCount && answer.GetTable() != m.table.hash {
		needed = true
		next.SetProcesses(append(next.GetProcesses(), m.differing(answer.GetBuckets())...))
	}
	if !needed {
		return nil
	}
	next.SetSender(m.self)
	next.SetTable(m.table.hash)
	next.SetHeld(m.facts.hash)
	return next
}

// Request returns the message that opens an exchange.
func (m *Members) Request(now time.Time) *peerpb.Gossip {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.started.IsZero() {
		m.started = now
	}
	request := m.message(now)
	if m.wantsSync(now) {
		m.synced = now
		request.SetBuckets(slices.Clone(m.table.buckets[:]))
	}
	return request
}

// MergeAnswer takes an answer that needs no message after it.
func (m *Members) MergeAnswer(now time.Time, gossip *peerpb.Gossip) {
	m.take(now, gossip)
}

func (m *Members) message(now time.Time) *peerpb.Gossip {
	return peerpb.Gossip_builder{
		Sender:    m.self,
		Processes: m.updates.take(&m.table),
		Loads:     m.someLoads(),
		Demands:   m.someDemands(now),
		Stamps:    m.stamps.newest(now),
		Table:     m.table.hash,
		Held:      m.facts.hash,
	}.Build()
}

// expect reports whether facts with this hash should be asked for: not if they
// were asked for just now. All neighbours tell a change at the same time, and
// each would send the same value.
func (m *Members) expect(now time.Time, held uint64) bool {
	if m.expected == held && now.Sub(m.expectedAt) < expectTime {
		return false
	}
	m.expected, m.expectedAt = held, now
	return true
}

func (m *Members) olderRecordsOf(process *peerpb.Process) []*peerpb.Process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.olderRecords(process)
}

func (m *Members) differing(buckets []uint64) []*peerpb.Process {
	var found []*peerpb.Process
	sent := 0
	for i, sum := range buckets {
		if sum == m.table.buckets[i] || sent == syncBuckets {
			continue
		}
		sent++
		found = append(found, m.table.inBucket(i)...)
	}
	return found
}

// someDemands returns fewer demands where there are many processes, to stay
// within the bytes of a message.
func (m *Members) someDemands(now time.Time) []*peerpb.Demand {
	most := sentDemands
	if len(m.table.records) > fewProcesses {
		most = someDemands
	}
	return m.demands.newest(now, most)
}

func (m *Members) someLoads() []*peerpb.Load {
	var sent []*peerpb.Load
	if own := m.loads[m.self.GetServer()]; own != nil {
		sent = append(sent, own)
	}
	if len(m.table.records) > fewProcesses {
		return sent
	}
	for server, load := range m.loads {
		if len(sent) == sentLoads {
			break
		}
		if server != m.self.GetServer() {
			sent = append(sent, load)
		}
	}
	return sent
}

func (m *Members) someWithdrawals() []*peerpb.Withdrawal {
	all := m.facts.listWithdrawals()
	return all[:min(sentWithdrawals, len(all))]
}

// take merges a message and returns the records that it has outdated.
func (m *Members) take(now time.Time, gossip *peerpb.Gossip) []*peerpb.Process {
	outdated := m.takeProcesses(now, gossip)
	for _, fact := range gossip.GetFacts() {
		m.Offer(fact)
	}
	for _, withdrawal := range gossip.GetWithdrawals() {
		m.Withdraw(withdrawal)
	}
	for _, load := range gossip.GetLoads() {
		m.OfferLoad(load)
	}
	m.OfferDemands(gossip.GetDemands(), now)
	return outdated
}

func (m *Members) takeProcesses(now time.Time, gossip *peerpb.Gossip) []*peerpb.Process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.exchanged = now
	m.stamps.merge(gossip.GetStamps(), now)
	var outdated []*peerpb.Process
	for _, process := range append(gossip.GetProcesses(), gossip.GetSender()) {
		if process == nil || process.GetName() == "" {
			continue
		}
		if m.mergeProcess(process, now) && len(outdated) < corrections {
			outdated = append(outdated, m.table.get(process.GetName()))
		}
	}
	m.differs = gossip.GetTable() != m.table.hash
	return outdated
}

// wantsSync reports whether the next exchange should compare whole tables: the
// first always, which also brings what failed before; then without pause while
// the process joins and the tables differ, else at a low rate.
func (m *Members) wantsSync(now time.Time) bool {
	if m.synced.IsZero() {
		return true
	}
	if !m.differs {
		return false
	}
	return now.Sub(m.started) < joinTime || now.Sub(m.synced) >= syncInterval
}
