package sidecar

import (
	"sync"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// FleetHomes finds the homes of claims in the newest known fleet of a pool. Exported
// fields are set before the first call.
type FleetHomes struct {
	Members *member.Members
	// Choose returns the home of a claim in a fleet, or "" if the claim has none.
	Choose func(claim string, fleet *statepb.Fleet) string

	mutex  sync.Mutex
	fleets map[string]decodedFleet
}

// decodedFleet is a fleet with the fact from which it was decoded.
type decodedFleet struct {
	fact  *peerpb.Fact
	fleet *statepb.Fleet
}

var _ Homes = &FleetHomes{}

// Home returns the home of a claim and the epoch of the fleet that determined it.
func (h *FleetHomes) Home(pool, claim string) (server string, epoch uint64) {
	fleet := h.fleet(pool)
	if fleet == nil {
		return "", 0
	}
	return h.Choose(claim, fleet), fleet.GetEpoch()
}

func (h *FleetHomes) fleet(pool string) *statepb.Fleet {
	fact := h.Members.Fact(member.FactFleet + pool)
	if fact == nil {
		return nil
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if decoded := h.fleets[pool]; decoded.fact == fact {
		return decoded.fleet
	}
	fleet := &statepb.Fleet{}
	if err := proto.Unmarshal(fact.GetValue(), fleet); err != nil {
		klog.Errorf("route: cannot decode the fleet of pool %s at revision %d: %v", pool, fact.GetRevision(), err)
		return nil
	}
	if h.fleets == nil {
		h.fleets = map[string]decodedFleet{}
	}
	h.fleets[pool] = decodedFleet{fact: fact, fleet: fleet}
	return fleet
}
