package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	// maxSentDemands is the maximum number of demands in one message, newest first.
	maxSentDemands = 64
	// demandTTL is how long a demand is passed on after it was received.
	demandTTL = 45 * time.Second
)

// demandKey identifies the demand of an account at an entry.
type demandKey struct {
	entry, account string
}

// demandTable holds the known demands. It is guarded by the mutex of Members.
type demandTable map[demandKey]demandRecord

type demandRecord struct {
	demand     *peerpb.Demand
	receivedAt time.Time
}

// Demands returns the known demands of accounts at all entries.
func (m *Members) Demands(now time.Time) []*peerpb.Demand {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.demands.newest(now, len(m.demands))
}

// OfferDemands stores the demands that are newer than the known ones.
func (m *Members) OfferDemands(demands []*peerpb.Demand, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.demands == nil {
		m.demands = demandTable{}
	}
	for _, demand := range demands {
		key := demandKey{entry: demand.GetEntry(), account: demand.GetAccount()}
		if known, ok := m.demands[key]; !ok || known.demand.GetSeq() < demand.GetSeq() {
			m.demands[key] = demandRecord{demand: demand, receivedAt: now}
		}
	}
}

// newest returns up to limit demands, most recently received first, and deletes expired ones.
func (d demandTable) newest(now time.Time, limit int) []*peerpb.Demand {
	records := make([]demandRecord, 0, len(d))
	for key, record := range d {
		if now.Sub(record.receivedAt) > demandTTL {
			delete(d, key)
			continue
		}
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b demandRecord) int { return cmp.Compare(b.receivedAt.UnixNano(), a.receivedAt.UnixNano()) })
	demands := make([]*peerpb.Demand, 0, min(limit, len(records)))
	for _, record := range records[:min(limit, len(records))] {
		demands = append(demands, record.demand)
	}
	return demands
}
