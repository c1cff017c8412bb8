package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// calmBoots is how many times the start of a server a need must have been lower
	// before fewer servers are ordered: one that is given up too early is missing
	// for one start, and one that is kept costs its time.
	calmBoots = 3
	// leastCalm bounds that from below: two steps of a trainer, between which its
	// samplers are idle for some seconds.
	leastCalm = 10 * time.Second
	// lateBound is how long an order that got no answer may still be carried out,
	// and how long the registrations may lag behind one that was.
	lateBound = 5 * time.Second
)

// CountedPool is a pool of which the platform itself starts and stops servers
// when it is told how many a zone is to have.
type CountedPool struct {
	Name string
	// Min and Most bound the servers of each zone.
	Min int
	Max  int
	// StartupTime is the time from an order to the first request served.
	StartupTime time.Duration
	// Present are the servers that may get work, by the zones that have or had one.
	Present map[string]int
	Need    Need
}

// PoolZone is what one order is about.
type PoolZone struct {
	Pool string
	Zone string
}

// Count is the number of servers that a zone is to have of a pool.
type Count struct {
	PoolZone

	Servers int
}

// CountPlanner decides how many servers each zone is to have of each pool, and when
// that has to be ordered. It has no clock and does no input or output. Exported
// fields are set before use; it is not safe for concurrent use.
type CountPlanner struct {
	// Target and Slack are those of a Sizer.
	Target float64
	Slack  float64

	sizers map[string]*Sizer
	orders map[PoolZone]order
	// empty is since when a zone has had no server though it was to have some.
	empty map[PoolZone]time.Time
}

// order is the last one sent for a subject.
type order struct {
	servers int
	at      time.Time
	isTaken bool
}

// Due returns the orders that are to be sent now for a pool.
func (n *CountPlanner) Due(now time.Time, pool CountedPool) []Count {
	n.prepare()
	var due []Count
	for zone, servers := range n.wanted(now, pool) {
		subject := PoolZone{Pool: pool.Name, Zone: zone}
		if n.isDue(now, subject, servers, pool) {
			due = append(due, Count{PoolZone: subject, Servers: servers})
		}
	}
	slices.SortFunc(due, func(a, b Count) int { return cmp.Compare(a.Zone, b.Zone) })
	return due
}

// RecordSent notes that an order was sent, and whether the platform is known to have taken it.
func (n *CountPlanner) RecordSent(now time.Time, count Count, isTaken bool) {
	n.prepare()
	n.orders[count.PoolZone] = order{servers: count.Servers, at: now, isTaken: isTaken}
}

// isDue reports whether a number has to be ordered.
//
// An order without an answer may be carried out seconds later, after newer ones,
// and would leave a zone with an old number for good. So the number is ordered
// again until the platform says that it took it, and once more where the
// registrations still differ when every earlier order must have been carried out.
func (n *CountPlanner) isDue(now time.Time, subject PoolZone, servers int, pool CountedPool) bool {
	last, isKnown := n.orders[subject]
	switch {
	case !isKnown:
		return servers != pool.Present[subject.Zone]
	case last.servers != servers, !last.isTaken:
		return true
	default:
		return servers != pool.Present[subject.Zone] && now.Sub(last.at) > pool.StartupTime+lateBound
	}
}

// wanted returns the servers that each zone is to have.
func (n *CountPlanner) wanted(now time.Time, pool CountedPool) map[string]int {
	present := map[string]int{}
	for zone, servers := range pool.Present {
		if !n.isLost(now, zone, pool) {
			present[zone] = servers
		}
	}
	sizer := n.sizer(now, pool)
	sizer.Min, sizer.Max = pool.Min*len(present), pool.Max*len(present)
	shares := Spread(sizer.Decide(now, pool.Need), present)
	n.keep(pool, shares)
	for zone := range pool.Present {
		if _, isLive := shares[zone]; !isLive {
			// One server is asked for all the same: it shows when the zone is back.
			shares[zone] = 1
		}
		shares[zone] = min(max(shares[zone], pool.Min), pool.Max)
	}
	return shares
}

// keep leaves servers in zones that are to have fewer as long as others lack
// theirs.
//
// When a lost zone is back, the others give up what they had in its place. Given
// up at once, that is missing until the zone's own servers have started.
func (n *CountPlanner) keep(pool CountedPool, shares map[string]int) {
	missing := 0
	for zone, share := range shares {
		missing += max(0, share-pool.Present[zone])
	}
	for zone, share := range shares {
		last := n.orders[PoolZone{Pool: pool.Name, Zone: zone}].servers
		kept := min(last, pool.Present[zone], share+missing)
		shares[zone] = max(share, kept)
	}
}

// isLost reports whether a zone has had no server for longer than one takes to
// start. The others get its share.
func (n *CountPlanner) isLost(now time.Time, zone string, pool CountedPool) bool {
	subject := PoolZone{Pool: pool.Name, Zone: zone}
	if pool.Present[zone] > 0 || pool.Min == 0 && n.orders[subject].servers == 0 {
		delete(n.empty, subject)
		return false
	}
	if n.empty[subject].IsZero() {
		n.empty[subject] = now
	}
	return now.Sub(n.empty[subject]) > pool.StartupTime+lateBound
}

func (n *CountPlanner) sizer(now time.Time, pool CountedPool) *Sizer {
	sizer := n.sizers[pool.Name]
	if sizer == nil {
		sizer = &Sizer{Target: n.Target, Slack: n.Slack}
		total := 0
		for _, servers := range pool.Present {
			total += servers
		}
		sizer.Begin(now, total)
		n.sizers[pool.Name] = sizer
	}
	sizer.ScaleDownDelay = max(calmBoots*pool.StartupTime, leastCalm)
	return sizer
}

func (n *CountPlanner) prepare() {
	if n.sizers != nil {
		return
	}
	n.sizers = map[string]*Sizer{}
	n.orders = map[PoolZone]order{}
	n.empty = map[PoolZone]time.Time{}
}
