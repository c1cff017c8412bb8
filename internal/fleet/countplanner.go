package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// scaleDownStartups is how long the need must have been lower before fewer servers are ordered,
	// as a multiple of a server's startup time: a server stopped too early is missing for one
	// startup time, while a server kept too long costs its running time.
	scaleDownStartups = 3
	// minScaleDownDelay is the minimum delay before fewer servers are ordered: the length of two
	// steps of a trainer, since samplers are idle for some seconds between steps.
	minScaleDownDelay = 10 * time.Second
	// lateOrderBound is the maximum time after which the platform may still carry out an unanswered
	// order, and the maximum lag of the registrations behind an order that was carried out.
	lateOrderBound = 5 * time.Second
)

// CountedPool is a pool whose servers the platform starts and stops to match an ordered number per
// zone.
type CountedPool struct {
	Name string
	// Min and Max are the minimum and maximum number of servers of each zone.
	Min int
	Max int
	// StartupTime is the time from an order to the first request served.
	StartupTime time.Duration
	// Present is the number of servers that may get work, by zone. Zones that only had servers in
	// the past are included.
	Present map[string]int
	Need    Need
}

// PoolZone is the pool and the zone of an order.
type PoolZone struct {
	Pool string
	Zone string
}

// Count is the target number of servers of a pool in a zone.
type Count struct {
	PoolZone

	Servers int
}

// CountPlanner decides the number of servers of each pool in each zone, and when to order it. It
// has no clock and does no I/O. Exported fields are set before use; it is not safe for concurrent
// use.
type CountPlanner struct {
	// Target and Slack are passed to each pool's Sizer.
	Target float64
	Slack  float64

	sizers map[string]*Sizer
	orders map[PoolZone]order
	// emptySince is the time since which a zone that should have servers has had none.
	emptySince map[PoolZone]time.Time
}

// order is the last order sent for a pool in a zone.
type order struct {
	servers    int
	at         time.Time
	isAccepted bool
}

// Due returns the orders to send now for a pool.
func (p *CountPlanner) Due(now time.Time, pool CountedPool) []Count {
	p.initialize()
	var due []Count
	for zone, servers := range p.targetCounts(now, pool) {
		poolZone := PoolZone{Pool: pool.Name, Zone: zone}
		if p.isDue(now, poolZone, servers, pool) {
			due = append(due, Count{PoolZone: poolZone, Servers: servers})
		}
	}
	slices.SortFunc(due, func(a, b Count) int { return cmp.Compare(a.Zone, b.Zone) })
	return due
}

// RecordSent records that an order was sent, and whether the platform is known to have
// accepted it.
func (p *CountPlanner) RecordSent(now time.Time, count Count, isAccepted bool) {
	p.initialize()
	p.orders[count.PoolZone] = order{servers: count.Servers, at: now, isAccepted: isAccepted}
}

// isDue reports whether a number of servers must be ordered now.
//
// An unanswered order may be carried out seconds later, after newer orders, and would leave a zone
// with an outdated number permanently. So the number is ordered again until the platform accepts
// it, and again if the registrations still differ from it when no earlier order can be outstanding.
func (p *CountPlanner) isDue(now time.Time, poolZone PoolZone, servers int, pool CountedPool) bool {
	last, isKnown := p.orders[poolZone]
	switch {
	case !isKnown:
		return servers != pool.Present[poolZone.Zone]
	case last.servers != servers, !last.isAccepted:
		return true
	default:
		return servers != pool.Present[poolZone.Zone] && now.Sub(last.at) > pool.StartupTime+lateOrderBound
	}
}

// targetCounts returns the target number of servers of each zone.
func (p *CountPlanner) targetCounts(now time.Time, pool CountedPool) map[string]int {
	present := map[string]int{}
	for zone, servers := range pool.Present {
		if !p.isLost(now, zone, pool) {
			present[zone] = servers
		}
	}
	sizer := p.sizer(now, pool)
	sizer.Min, sizer.Max = pool.Min*len(present), pool.Max*len(present)
	shares := Spread(sizer.Decide(now, pool.Need), present)
	p.retainServers(pool, shares)
	for zone := range pool.Present {
		if _, hasShare := shares[zone]; !hasShare {
			// A lost zone still gets an order for one server, whose registration shows that the
			// zone is available again.
			shares[zone] = 1
		}
		shares[zone] = min(max(shares[zone], pool.Min), pool.Max)
	}
	return shares
}

// retainServers keeps surplus servers of zones while other zones lack servers.
//
// When a lost zone is available again, the other zones release the servers that replaced that
// zone's servers. If they were released at once, the pool would lack servers until those of the
// recovered zone have started.
func (p *CountPlanner) retainServers(pool CountedPool, shares map[string]int) {
	missing := 0
	for zone, share := range shares {
		missing += max(0, share-pool.Present[zone])
	}
	for zone, share := range shares {
		last := p.orders[PoolZone{Pool: pool.Name, Zone: zone}].servers
		kept := min(last, pool.Present[zone], share+missing)
		shares[zone] = max(share, kept)
	}
}

// isLost reports whether a zone has had no server for longer than a server takes to
// start. The other zones then get its share.
func (p *CountPlanner) isLost(now time.Time, zone string, pool CountedPool) bool {
	poolZone := PoolZone{Pool: pool.Name, Zone: zone}
	if pool.Present[zone] > 0 || pool.Min == 0 && p.orders[poolZone].servers == 0 {
		delete(p.emptySince, poolZone)
		return false
	}
	if p.emptySince[poolZone].IsZero() {
		p.emptySince[poolZone] = now
	}
	return now.Sub(p.emptySince[poolZone]) > pool.StartupTime+lateOrderBound
}

func (p *CountPlanner) sizer(now time.Time, pool CountedPool) *Sizer {
	sizer := p.sizers[pool.Name]
	if sizer == nil {
		sizer = &Sizer{Target: p.Target, Slack: p.Slack}
		total := 0
		for _, servers := range pool.Present {
			total += servers
		}
		sizer.Begin(now, total)
		p.sizers[pool.Name] = sizer
	}
	sizer.ScaleDownDelay = max(scaleDownStartups*pool.StartupTime, minScaleDownDelay)
	return sizer
}

func (p *CountPlanner) initialize() {
	if p.sizers != nil {
		return
	}
	p.sizers = map[string]*Sizer{}
	p.orders = map[PoolZone]order{}
	p.emptySince = map[PoolZone]time.Time{}
}
