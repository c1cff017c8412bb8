package fleet

import (
	"context"
	"maps"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// resize adjusts a pool to its target size in the zone: it marks surplus servers for draining or
// orders missing servers.
func (z *Zone) resize(ctx context.Context, name string, fleet *statepb.Fleet, view ZoneView) (*statepb.Fleet, error) {
	pool := z.findPool(name)
	observed := Observation{Fleet: fleet, ReachableZones: z.reachableZones(), Load: z.Members.Load}
	share, isSized := z.Scale.Share(time.Now(), pool, observed)
	if !isSized {
		return fleet, nil
	}
	surplus := z.Scale.Surplus(share, observed)
	if len(surplus) == 0 {
		return fleet, z.startMissing(ctx, name, share, fleet)
	}
	for _, server := range surplus {
		z.Decisions.Record(server, "order", "to drain, pool %s is to have %d servers in zone %s", name, share, z.Name)
	}
	return z.updateFleet(ctx, name, view.withLeaving(surplus))
}

// startMissing orders the start of the servers that a pool lacks in the zone.
func (z *Zone) startMissing(ctx context.Context, pool string, share int, fleet *statepb.Fleet) error {
	if !z.orderer.Ready() || z.isStartPending(pool) {
		return nil
	}
	for range z.Scale.Missing(time.Now(), pool, share, fleet) {
		order := z.orderer.New(ActionStart, pool, "", "the pool's share of the zone has grown")
		if err := z.send(ctx, order); err != nil {
			return err
		}
		z.Scale.RecordOrdered(time.Now(), pool, order.GetServer())
	}
	return nil
}

// isStartPending reports whether the outcome of a start order of the pool is unknown. The server
// may still start, so no other server is ordered until the outcome is known.
func (z *Zone) isStartPending(pool string) bool {
	for _, order := range z.orderer.Pending() {
		if order.GetAction() == ActionStart && order.GetPool() == pool {
			return true
		}
	}
	return false
}

// findPool returns a pool of the lists, or nil.
func (z *Zone) findPool(name string) *listpb.Pool {
	for _, pool := range z.Pools() {
		if pool.GetName() == name {
			return pool
		}
	}
	return nil
}

// reachableZones returns the zones with a known process.
func (z *Zone) reachableZones() map[string]bool {
	zones := map[string]bool{}
	for _, role := range []peerpb.Role{peerpb.Role_ROLE_ENTRY, peerpb.Role_ROLE_SIDECAR} {
		for _, process := range z.Members.Processes(role) {
			zones[process.GetZone()] = true
		}
	}
	return zones
}

// withLeaving returns a copy of the view with more leaving servers.
func (v ZoneView) withLeaving(servers []string) ZoneView {
	leaving := maps.Clone(v.Leaving)
	if leaving == nil {
		leaving = map[string]bool{}
	}
	for _, server := range servers {
		leaving[server] = true
	}
	v.Leaving = leaving
	return v
}
