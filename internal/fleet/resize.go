package fleet

import (
	"context"
	"maps"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// resize brings a pool nearer to its size in the zone: it marks the servers that
// are too many for draining, and orders those that are missing.
func (z *Zone) resize(ctx context.Context, name string, fleet *statepb.Fleet, seen ZoneView) (*statepb.Fleet, error) {
	pool := z.pool(name)
	observed := Observation{Fleet: fleet, ReachableZones: z.heard(), Load: z.Members.Load}
	share, kept := z.Scale.Share(time.Now(), pool, observed)
	if !kept {
		return fleet, nil
	}
	surplus := z.Scale.Surplus(share, observed)
	if len(surplus) == 0 {
		return fleet, z.startMissing(ctx, name, share, fleet)
	}
	for _, server := range surplus {
		z.Decisions.Record(server, "order", "to drain, pool %s is to have %d servers in zone %s", name, share, z.Name)
	}
	return z.update(ctx, name, seen.with(surplus))
}

// startMissing orders the servers that a pool lacks in the zone.
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

// isStartPending reports whether an order to start has an unknown outcome. Its
// server may or may not come, so no other is ordered in its place until then.
func (z *Zone) isStartPending(pool string) bool {
	for _, order := range z.orderer.Pending() {
		if order.GetAction() == ActionStart && order.GetPool() == pool {
			return true
		}
	}
	return false
}

// pool returns what the lists say of a pool, or nil.
func (z *Zone) pool(name string) *listpb.Pool {
	for _, pool := range z.Pools() {
		if pool.GetName() == name {
			return pool
		}
	}
	return nil
}

// heard returns the zones of which a process is present.
func (z *Zone) heard() map[string]bool {
	heard := map[string]bool{}
	for _, role := range []peerpb.Role{peerpb.Role_ROLE_ENTRY, peerpb.Role_ROLE_SIDECAR} {
		for _, process := range z.Members.Processes(role) {
			heard[process.GetZone()] = true
		}
	}
	return heard
}

// with returns what is seen with more servers that are to drain.
func (s ZoneView) with(servers []string) ZoneView {
	leaving := maps.Clone(s.Leaving)
	if leaving == nil {
		leaving = map[string]bool{}
	}
	for _, server := range servers {
		leaving[server] = true
	}
	s.Leaving = leaving
	return s
}
