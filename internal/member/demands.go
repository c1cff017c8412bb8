package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	// sentDemands is the most that one exchange carries, the newest first.
	sentDemands = 64
	// keptDemand is how long a demand is passed on after it was told.
	keptDemand = 45 * time.Second
)

// demandKey names the demand of an account at an entry.
type demandKey struct {
	entry, account string
}

// keptDemands are the demands known, and when each came. The mutex of Members guards it.
type keptDemands map[demandKey]keptDemandAt

type keptDemandAt struct {
	demand *peerpb.Demand
	time   time.Time
}

// Demands returns the demands of accounts at all entries that are known.
func (m *Members) Demands(now time.Time) []*peerpb.Demand {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.demands.newest(now, len(m.demands))
}

// OfferDemands takes demands that are newer than those known.
func (m *Members) OfferDemands(demands []*peerpb.Demand, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.demands == nil {
		m.demands = keptDemands{}
	}
	for _, demand := range demands {
		key := demandKey{entry: demand.GetEntry(), account: demand.GetAccount()}
		if known, ok := m.demands[key]; !ok || known.demand.GetSeq() < demand.GetSeq() {
			m.demands[key] = keptDemandAt{demand: demand, time: now}
		}
	}
}

// newest returns up to most demands, those that came last first, and drops old ones.
func (k keptDemands) newest(now time.Time, most int) []*peerpb.Demand {
	kept := make([]keptDemandAt, 0, len(k))
	for key, one := range k {
		if now.Sub(one.time) > keptDemand {
			delete(k, key)
			continue
		}
		kept = append(kept, one)
	}
	slices.SortFunc(kept, func(a, b keptDemandAt) int { return cmp.Compare(b.time.UnixNano(), a.time.UnixNano()) })
	demands := make([]*peerpb.Demand, 0, min(most, len(kept)))
	for _, one := range kept[:min(most, len(kept))] {
		demands = append(demands, one.demand)
	}
	return demands
}
