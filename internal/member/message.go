package member

import (
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	// minSyncInterval is the minimum time between two comparisons of whole tables.
	minSyncInterval = 5 * time.Second
	// joinPeriod is how long after its start a process compares tables in every
	// exchange while they differ.
	joinPeriod = 15 * time.Second
	// maxSyncBuckets bounds the table buckets sent in one message.
	maxSyncBuckets = 4
	// maxCorrections bounds the newer records sent in reply to outdated ones.
	maxCorrections = 16
	// smallClusterSize is the number of processes up to which a process forwards the
	// loads of other backend servers.
	smallClusterSize = 64
	maxSentLoads     = 8
	// maxSentDemandsLarge is the number of demands per message above smallClusterSize.
	maxSentDemandsLarge = 12
	// factRequestTimeout is how long to wait for requested facts before asking another process.
	factRequestTimeout = 300 * time.Millisecond
	// maxSentWithdrawals bounds the withdrawals in one message.
	maxSentWithdrawals = 512
)

// Answer merges another process's message and returns the answer.
func (m *Members) Answer(now time.Time, request *peerpb.Gossip) *peerpb.Gossip {
	olderRecords := m.findOlderRecords(request.GetSender())
	outdated := m.merge(now, request)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	answer := m.newMessage(now)
	answer.SetProcesses(append(append(answer.GetProcesses(), outdated...), olderRecords...))
	if request.GetHeld() != m.facts.hash && m.shouldRequestFacts(now, request.GetHeld()) {
		answer.SetDigest(m.facts.digest())
		answer.SetWithdrawals(m.withdrawalsToSend())
	}
	if len(request.GetDigest()) > 0 {
		answer.SetFacts(m.facts.newerThan(request.GetDigest()))
	}
	if len(request.GetBuckets()) == bucketCount {
		answer.SetBuckets(slices.Clone(m.table.buckets[:]))
		differing := append(m.differingRecords(request.GetBuckets()), m.table.ended()...)
		answer.SetProcesses(append(answer.GetProcesses(), differing...))
	}
	return answer
}

// FollowUp merges the answer to a message. If the answer shows that either side
// lacks data, FollowUp returns the message that sends or requests it, else nil.
func (m *Members) FollowUp(now time.Time, answer *peerpb.Gossip) *peerpb.Gossip {
	outdated := m.merge(now, answer)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	next := &peerpb.Gossip{}
	needed := len(outdated) > 0
	next.SetProcesses(outdated)
	if answer.GetHeld() != m.facts.hash && len(answer.GetDigest()) > 0 {
		needed = true
		next.SetDigest(m.facts.digest())
		next.SetFacts(m.facts.newerThan(answer.GetDigest()))
		next.SetWithdrawals(m.withdrawalsToSend())
	}
	if len(answer.GetBuckets()) == bucketCount && answer.GetTable() != m.table.hash {
		needed = true
		next.SetProcesses(append(next.GetProcesses(), m.differingRecords(answer.GetBuckets())...))
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
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	request := m.newMessage(now)
	if m.needsSync(now) {
		m.lastSync = now
		request.SetBuckets(slices.Clone(m.table.buckets[:]))
	}
	return request
}

// MergeAnswer merges an answer that needs no further message.
func (m *Members) MergeAnswer(now time.Time, gossip *peerpb.Gossip) {
	m.merge(now, gossip)
}

func (m *Members) newMessage(now time.Time) *peerpb.Gossip {
	return peerpb.Gossip_builder{
		Sender:    m.self,
		Processes: m.updates.nextBatch(&m.table),
		Loads:     m.loadsToSend(),
		Demands:   m.demandsToSend(now),
		Stamps:    m.stamps.newest(now),
		Table:     m.table.hash,
		Held:      m.facts.hash,
	}.Build()
}

// shouldRequestFacts reports whether to request the facts with this hash. It returns
// false shortly after a request for the same hash, because all neighbours announce a
// change at the same time and each would send the same value.
func (m *Members) shouldRequestFacts(now time.Time, factsHash uint64) bool {
	if m.requestedHash == factsHash && now.Sub(m.requestedAt) < factRequestTimeout {
		return false
	}
	m.requestedHash, m.requestedAt = factsHash, now
	return true
}

func (m *Members) findOlderRecords(process *peerpb.Process) []*peerpb.Process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.olderRecords(process)
}

func (m *Members) differingRecords(buckets []uint64) []*peerpb.Process {
	var found []*peerpb.Process
	sent := 0
	for i, sum := range buckets {
		if sum == m.table.buckets[i] || sent == maxSyncBuckets {
			continue
		}
		sent++
		found = append(found, m.table.inBucket(i)...)
	}
	return found
}

// demandsToSend returns fewer demands if there are many processes, to limit the message size.
func (m *Members) demandsToSend(now time.Time) []*peerpb.Demand {
	limit := maxSentDemands
	if len(m.table.records) > smallClusterSize {
		limit = maxSentDemandsLarge
	}
	return m.demands.newest(now, limit)
}

func (m *Members) loadsToSend() []*peerpb.Load {
	var sent []*peerpb.Load
	if own := m.loads[m.self.GetServer()]; own != nil {
		sent = append(sent, own)
	}
	if len(m.table.records) > smallClusterSize {
		return sent
	}
	for server, load := range m.loads {
		if len(sent) == maxSentLoads {
			break
		}
		if server != m.self.GetServer() {
			sent = append(sent, load)
		}
	}
	return sent
}

func (m *Members) withdrawalsToSend() []*peerpb.Withdrawal {
	all := m.facts.listWithdrawals()
	return all[:min(maxSentWithdrawals, len(all))]
}

// merge merges a message and returns the known records that are newer than the received
// ones.
func (m *Members) merge(now time.Time, gossip *peerpb.Gossip) []*peerpb.Process {
	outdated := m.mergeProcesses(now, gossip)
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

func (m *Members) mergeProcesses(now time.Time, gossip *peerpb.Gossip) []*peerpb.Process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastExchange = now
	m.stamps.merge(gossip.GetStamps(), now)
	var outdated []*peerpb.Process
	for _, process := range append(gossip.GetProcesses(), gossip.GetSender()) {
		if process == nil || process.GetName() == "" {
			continue
		}
		if m.mergeProcess(process, now) && len(outdated) < maxCorrections {
			outdated = append(outdated, m.table.get(process.GetName()))
		}
	}
	m.tableDiffers = gossip.GetTable() != m.table.hash
	return outdated
}

// needsSync reports whether the next exchange should compare whole tables. The first
// exchange always does, which also fetches the processes that failed earlier. While the
// tables differ, every exchange compares them during joinPeriod, and afterwards one
// exchange per minSyncInterval.
func (m *Members) needsSync(now time.Time) bool {
	if m.lastSync.IsZero() {
		return true
	}
	if !m.tableDiffers {
		return false
	}
	return now.Sub(m.startedAt) < joinPeriod || now.Sub(m.lastSync) >= minSyncInterval
}
