package route

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// DefaultPrefixBytes is the length of the prompt prefix by which the server is chosen. Requests
	// of the same assistant share their first bytes and thus the engine's cache.
	DefaultPrefixBytes = 256
	// DefaultBound is the maximum utilization of a prefix's server relative to the mean.
	DefaultBound = 1.25
	// DefaultSpread is the ratio of a prefix's share of servers to its share of requests.
	DefaultSpread = 2
	// minReplicas is the minimum number of servers that share a prefix's requests.
	minReplicas = 2
	// maxIdleConnUtilization is the utilization from which a server with an idle
	// connection is no longer preferred.
	maxIdleConnUtilization = 0.5
	// zoneMargin is how much lower the utilization in another zone must be for a request to leave
	// this zone.
	zoneMargin = 0.25
)

// Reason is the reason for choosing a server.
type Reason string

// Reasons.
const (
	ReasonNone      Reason = "none gets new work"
	ReasonPrefix    Reason = "less loaded of two for the prefix"
	ReasonRandom    Reason = "less loaded of two random ones"
	ReasonZone      Reason = "less loaded of two random ones of the zone"
	ReasonIdleConn  Reason = "less loaded of two random ones of the zone with an unused connection"
	ReasonOtherZone Reason = "of another zone, this one is loaded"
	ReasonSuspect   Reason = "suspected, no open one is left"
)

// Choice is the chosen server and the reason.
type Choice struct {
	// Server is nil if no server gets new work.
	Server *Server
	Reason Reason
}

// Request describes the request that needs a server.
type Request struct {
	// Prefix is the hash of the prompt's first bytes; 0 if there is none.
	Prefix uint64
	// Version is the minimum weight version; 0 accepts any.
	Version uint64
	// Now is the time from which the age of reports is computed.
	Now time.Time
	// Tried holds the names of servers to exclude; nil for none.
	Tried map[string]bool
}

// Chooser chooses servers. Exported fields are set before the first choice.
// It is not safe for concurrent use.
type Chooser struct {
	// Region and Zone of this entry.
	Region string
	Zone   string
	// Bound is the maximum utilization of a prefix's server relative to the mean;
	// 0 means DefaultBound.
	Bound float64
	// Spread is the ratio of a prefix's share of servers to its share of requests;
	// 0 means DefaultSpread.
	Spread float64
	// Random is the source of random numbers; nil means the global one.
	Random *rand.Rand

	popularity Popularity
	// mean is the mean utilization caused by other entries, as of the last choice.
	mean     float64
	eligible []*Server
	nearby   []*Server
	idle     []*Server
}

// Choose returns the server for a request. With a prefix it prefers the servers with the highest
// rendezvous hash for it, on which all entries agree without communication; if those are loaded, it
// picks the less loaded of two random servers. Without a prefix it picks the less loaded of two
// random servers, preferably of this zone.
func (c *Chooser) Choose(servers []*Server, request Request) Choice {
	c.selectEligible(servers, request, Open)
	if len(c.eligible) == 0 {
		return c.chooseSuspect(servers, request)
	}
	if request.Prefix != 0 {
		if choice := c.chooseByPrefix(request.Prefix); choice.Server != nil {
			return choice
		}
		return Choice{Server: c.pickLessLoaded(c.eligible), Reason: ReasonRandom}
	}
	return c.chooseByZone()
}

// selectEligible collects the servers that may be chosen: those of this region, or those of all
// regions if this region has none.
func (c *Chooser) selectEligible(servers []*Server, request Request, worst Eligibility) {
	c.eligible = c.eligible[:0]
	c.nearby = c.nearby[:0]
	for _, server := range servers {
		if !isEligible(server, request, worst) {
			continue
		}
		if server.region == c.Region {
			c.nearby = append(c.nearby, server)
		} else {
			c.eligible = append(c.eligible, server)
		}
	}
	if len(c.nearby) > 0 {
		c.eligible = append(c.eligible[:0], c.nearby...)
	}
	c.nearby = c.nearby[:0]
	var others, slots int64
	for _, server := range c.eligible {
		server.updateEstimate(request.Now, c.mean)
		others += server.Load() - server.inflight
		slots += server.Slots()
		if server.zone == c.Zone {
			c.nearby = append(c.nearby, server)
		}
	}
	c.mean = float64(others) / float64(max(1, slots))
}

func isEligible(server *Server, request Request, worst Eligibility) bool {
	if server.eligibility > worst || request.Tried[server.name] {
		return false
	}
	return request.Version == 0 || server.report.Version == 0 || server.report.Version >= request.Version
}

func (c *Chooser) chooseSuspect(servers []*Server, request Request) Choice {
	c.selectEligible(servers, request, Suspect)
	if len(c.eligible) == 0 {
		return Choice{Reason: ReasonNone}
	}
	return Choice{Server: c.pickLessLoaded(c.eligible), Reason: ReasonSuspect}
}

// chooseByPrefix chooses the less loaded of two replicas of the prefix if its utilization is within
// the bound, otherwise no server.
func (c *Chooser) chooseByPrefix(prefix uint64) Choice {
	replicas := c.replicas(c.popularity.Add(prefix))
	i := c.randomIndex(replicas)
	j := (i + 1 + c.randomIndex(replicas-1)) % replicas
	chosen, alternative := highestScoring(c.eligible, mix(prefix, uint64(i)), mix(prefix, uint64(j)))
	if alternative.utilization() < chosen.utilization() {
		chosen = alternative
	}
	if chosen.utilization() < 1 || chosen.utilization() <= c.maxUtilization() {
		return Choice{Server: chosen, Reason: ReasonPrefix}
	}
	return Choice{}
}

// replicas returns the number of servers over which a prefix is spread: in
// proportion to its share of the requests, and at least two.
//
// No fixed number works. With a small one, a popular prefix overloads its few servers, since
// entries see the queues of these servers only in delayed reports. With a large number, a rare
// prefix is cached nowhere.
func (c *Chooser) replicas(share float64) int {
	spread := c.Spread
	if spread == 0 {
		spread = DefaultSpread
	}
	return max(minReplicas, int(math.Ceil(spread*share*float64(len(c.eligible)))))
}

// maxUtilization returns the utilization up to which a prefix stays with its server.
func (c *Chooser) maxUtilization() float64 {
	bound := c.Bound
	if bound == 0 {
		bound = DefaultBound
	}
	var load, slots float64
	for _, server := range c.eligible {
		load += server.estimate
		slots += float64(server.Slots())
	}
	return bound * (load + 1) / slots
}

// highestScoring returns the server with the highest score for each of two keys
// (rendezvous hashing). When a server joins or leaves, only the keys for which it
// scores highest move.
func highestScoring(servers []*Server, key1, key2 uint64) (best, best2 *Server) {
	var score1, score2 uint64
	for _, server := range servers {
		if candidate := mix(server.hash, key1); best == nil || candidate > score1 {
			best, score1 = server, candidate
		}
		if candidate := mix(server.hash, key2); best2 == nil || candidate > score2 {
			best2, score2 = server, candidate
		}
	}
	return best, best2
}

// chooseByZone chooses a server of this zone, or of any zone if the server of this zone is full and
// the other server's utilization is lower by more than zoneMargin.
func (c *Chooser) chooseByZone() Choice {
	if len(c.nearby) == 0 {
		return Choice{Server: c.pickLessLoaded(c.eligible), Reason: ReasonRandom}
	}
	if server := c.chooseByIdleConn(); server != nil {
		return Choice{Server: server, Reason: ReasonIdleConn}
	}
	local := c.pickLessLoaded(c.nearby)
	global := c.pickLessLoaded(c.eligible)
	if local.utilization() >= 1 && global.utilization()+zoneMargin < local.utilization() {
		return Choice{Server: global, Reason: ReasonOtherZone}
	}
	return Choice{Server: local, Reason: ReasonZone}
}

// chooseByIdleConn picks a server of this zone with an idle connection, or returns nil if the
// picked server is too loaded or no connection is idle.
//
// With many entries and servers, an entry sends to each server so rarely that the connection is
// closed before the next request. Preferring recently used servers keeps an entry's requests on a
// few servers until those are half full.
func (c *Chooser) chooseByIdleConn() *Server {
	c.idle = c.idle[:0]
	for _, server := range c.nearby {
		if server.hasIdleConn {
			c.idle = append(c.idle, server)
		}
	}
	if len(c.idle) == 0 {
		return nil
	}
	server := c.pickLessLoaded(c.idle)
	if server.utilization() >= maxIdleConnUtilization {
		return nil
	}
	return server
}

// pickLessLoaded returns the less loaded of two random servers.
func (c *Chooser) pickLessLoaded(servers []*Server) *Server {
	i := c.randomIndex(len(servers))
	chosen := servers[i]
	if len(servers) == 1 {
		return chosen
	}
	alternative := servers[(i+1+c.randomIndex(len(servers)-1))%len(servers)]
	if alternative.utilization() < chosen.utilization() {
		return alternative
	}
	return chosen
}

func (c *Chooser) randomIndex(n int) int {
	if c.Random == nil {
		return rand.IntN(n)
	}
	return c.Random.IntN(n)
}
