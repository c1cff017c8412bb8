package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// calmStarts is how long the need must have been lower before fewer servers are
	// ordered, in start times of a server: a server stopped too early is missing for
	// one start time, while one kept too long costs its running time.
	calmStarts = 3
	// minCalm is the lower bound of that time: two steps of a trainer, between which
	// its samplers are idle for some seconds.
	minCalm = 10 * time.Second
	// lateOrderBound is how long after an unanswered order it may still be carried
	// out, and how long the registrations may lag behind one that was.
	lateOrderBound = 5 * time.Second
)

// CountedPool is a pool whose servers the platform starts and stops by itself, given
// their number per zone.
type CountedPool struct {
	Name string
	// Least and Most are the minimum and maximum number of servers of each zone.
	Least int
	Most  int
	// Boot is the time from an order to the first request served.
	Boot time.Duration
	// Present is the number of servers that may get work, by zones that have or had one.
	Present map[string]int
	Need    Need
}

// Subject is the pool and the zone of an order.
type Subject struct {
	Pool string
	Zone string
}

// Count is the target number of servers of a pool in a zone.
type Count struct {
	Subject

	Servers int
}

// Numbers decides the number of servers of each pool in each zone, and when to
// order it. It has no clock and does no input or output. Exported fields are set
// before use; it is not safe for concurrent use.
type Numbers struct {
	// Target and Slack are those of a Sizer.
	Target float64
	Slack  float64

	sizers map[string]*Sizer
	orders map[Subject]order
	// emptySince is the time since which a zone has had no server though it should.
	emptySince map[Subject]time.Time
}

// order is the last order sent for a subject.
type order struct {
	servers    int
	at         time.Time
	isAccepted bool
}

// Due returns the orders to send now for a pool.
func (n *Numbers) Due(now time.Time, pool CountedPool) []Count {
	n.initialize()
	var due []Count
	for zone, servers := range n.targetCounts(now, pool) {
		subject := Subject{Pool: pool.Name, Zone: zone}
		if n.isDue(now, subject, servers, pool) {
			due = append(due, Count{Subject: subject, Servers: servers})
		}
	}
	slices.SortFunc(due, func(a, b Count) int { return cmp.Compare(a.Zone, b.Zone) })
	return due
}

// Sent records that an order was sent, and whether the platform is known to have
// accepted it.
func (n *Numbers) Sent(now time.Time, count Count, isTaken bool) {
	n.initialize()
	n.orders[count.Subject] = order{servers: count.Servers, at: now, isAccepted: isTaken}
}

// isDue reports whether a number has to be ordered.
//
// An unanswered order may be carried out seconds later, after newer ones, and would
// leave a zone with an outdated number for good. So the number is ordered again until
// the platform accepts it, and again if the registrations still differ after every
// earlier order must have been carried out.
func (n *Numbers) isDue(now time.Time, subject Subject, servers int, pool CountedPool) bool {
	last, isKnown := n.orders[subject]
	switch {
	case !isKnown:
		return servers != pool.Present[subject.Zone]
	case last.servers != servers, !last.isAccepted:
		return true
	default:
		return servers != pool.Present[subject.Zone] && now.Sub(last.at) > pool.Boot+lateOrderBound
	}
}

// targetCounts returns the target number of servers of each zone.
func (n *Numbers) targetCounts(now time.Time, pool CountedPool) map[string]int {
	present := map[string]int{}
	for zone, servers := range pool.Present {
		if !n.isLost(now, zone, pool) {
			present[zone] = servers
		}
	}
	sizer := n.sizer(now, pool)
	sizer.Min, sizer.Max = pool.Least*len(present), pool.Most*len(present)
	shares := Spread(sizer.Decide(now, pool.Need), present)
	n.retainServers(pool, shares)
	for zone := range pool.Present {
		if _, isLive := shares[zone]; !isLive {
			// Still order one server: its registration shows that the zone is back.
			shares[zone] = 1
		}
		shares[zone] = min(max(shares[zone], pool.Least), pool.Most)
	}
	return shares
}

// retainServers keeps surplus servers of zones as long as other zones lack theirs.
//
// When a lost zone is back, the other zones release the servers that replaced its
// own. Released at once, they would be missing until the zone's own have started.
func (n *Numbers) retainServers(pool CountedPool, shares map[string]int) {
	missing := 0
	for zone, share := range shares {
		missing += max(0, share-pool.Present[zone])
	}
	for zone, share := range shares {
		last := n.orders[Subject{Pool: pool.Name, Zone: zone}].servers
		kept := min(last, pool.Present[zone], share+missing)
		shares[zone] = max(share, kept)
	}
}

// isLost reports whether a zone has had no server for longer than a server takes to
// start. The other zones then get its share.
func (n *Numbers) isLost(now time.Time, zone string, pool CountedPool) bool {
	subject := Subject{Pool: pool.Name, Zone: zone}
	if pool.Present[zone] > 0 || pool.Least == 0 && n.orders[subject].servers == 0 {
		delete(n.emptySince, subject)
		return false
	}
	if n.emptySince[subject].IsZero() {
		n.emptySince[subject] = now
	}
	return now.Sub(n.emptySince[subject]) > pool.Boot+lateOrderBound
}

func (n *Numbers) sizer(now time.Time, pool CountedPool) *Sizer {
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
	sizer.Calm = max(calmStarts*pool.Boot, minCalm)
	return sizer
}

func (n *Numbers) initialize() {
	if n.sizers != nil {
		return
	}
	n.sizers = map[string]*Sizer{}
	n.orders = map[Subject]order{}
	n.emptySince = map[Subject]time.Time{}
}
