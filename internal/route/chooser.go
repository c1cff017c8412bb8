package route

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// DefaultPrefixBytes of a prompt decide its server; requests of one
	// assistant share their first bytes and so the engine's cache.
	DefaultPrefixBytes = 256
	// DefaultBound is how much above the mean utilization a server of a prefix may be.
	DefaultBound = 1.25
	// DefaultSpread is how much more servers a prefix gets than its share of the requests.
	DefaultSpread = 2
	// leastReplicas of a prefix share its requests.
	leastReplicas = 2
	// spareBound is the utilization from which on an unused connection decides nothing.
	spareBound = 0.5
	// zoneMargin is the utilization by which another zone must be better.
	zoneMargin = 0.25
)

// Reason names why a server was chosen.
type Reason string

// Reasons.
const (
	ReasonNone    Reason = "none gets new work"
	ReasonPrefix  Reason = "less loaded of two for the prefix"
	ReasonRandom   Reason = "less loaded of two random ones"
	ReasonZone    Reason = "less loaded of two random ones of the zone"
	ReasonIdleConn   Reason = "less loaded of two random ones of the zone with an unused connection"
	ReasonOtherZone    Reason = "of another zone, this one is loaded"
	ReasonSuspect Reason = "suspected, no open one is left"
)

// Choice is the server chosen and why.
type Choice struct {
	// Server is nil if none gets new work.
	Server *Server
	Reason Reason
}

// Request is what the choice depends on.
type Request struct {
	// Prefix is the hash of the prompt's first bytes; 0 if there is none.
	Prefix uint64
	// Version is the oldest weight version wanted; 0 takes any.
	Version uint64
	// Now is the time by which the age of reports is told.
	Now time.Time
	// Tried holds the servers that are not to be chosen; nil for none.
	Tried map[string]bool
}

// Chooser chooses servers. Exported fields are set before the first choice.
// It is not safe for concurrent use.
type Chooser struct {
	// Region and Zone of this entry.
	Region string
	Zone   string
	// Bound is how much above the mean utilization a prefix's server may be;
	// 0 takes DefaultBound.
	Bound float64
	// Spread is how much more servers a prefix gets than its share of the
	// requests; 0 takes DefaultSpread.
	Spread float64
	// Random draws; nil takes the process's own.
	Random *rand.Rand

	popularity Popularity
	// mean is the mean utilization by other entries, as of the last choice.
	mean     float64
	eligible []*Server
	near     []*Server
	spare    []*Server
}

// Choose returns the server for a request. With a prefix it prefers the servers
// that score highest for it, which all entries agree on without a word; where
// those are loaded it takes the less loaded of two random servers. Without a
// prefix it does so too, in this zone first.
func (c *Chooser) Choose(servers []*Server, request Request) Choice {
	c.gather(servers, request, Open)
	if len(c.eligible) == 0 {
		return c.chooseSuspect(servers, request)
	}
	if request.Prefix != 0 {
		if choice := c.byPrefix(request.Prefix); choice.Server != nil {
			return choice
		}
		return Choice{Server: c.draw(c.eligible), Reason: ReasonRandom}
	}
	return c.byZone()
}

// gather keeps the servers that may be chosen, those of this region if there are any.
func (c *Chooser) gather(servers []*Server, request Request, worst Eligibility) {
	c.eligible = c.eligible[:0]
	c.near = c.near[:0]
	for _, server := range servers {
		if !mayRun(server, request, worst) {
			continue
		}
		if server.region == c.Region {
			c.near = append(c.near, server)
		} else {
			c.eligible = append(c.eligible, server)
		}
	}
	if len(c.near) > 0 {
		c.eligible = append(c.eligible[:0], c.near...)
	}
	c.near = c.near[:0]
	var others, slots int64
	for _, server := range c.eligible {
		server.weigh(request.Now, c.mean)
		others += server.Load() - server.own
		slots += server.Slots()
		if server.zone == c.Zone {
			c.near = append(c.near, server)
		}
	}
	c.mean = float64(others) / float64(max(1, slots))
}

func mayRun(server *Server, request Request, worst Eligibility) bool {
	if server.standing > worst || request.Tried[server.name] {
		return false
	}
	return request.Version == 0 || server.report.Version == 0 || server.report.Version >= request.Version
}

func (c *Chooser) chooseSuspect(servers []*Server, request Request) Choice {
	c.gather(servers, request, Suspect)
	if len(c.eligible) == 0 {
		return Choice{Reason: ReasonNone}
	}
	return Choice{Server: c.draw(c.eligible), Reason: ReasonSuspect}
}

// byPrefix returns the less loaded of two replicas of the prefix if it is within
// the bound, or none.
func (c *Chooser) byPrefix(prefix uint64) Choice {
	replicas := c.replicas(c.popularity.Add(prefix))
	first := c.random(replicas)
	second := (first + 1 + c.random(replicas-1)) % replicas
	one, other := rank(c.eligible, mix(prefix, uint64(first)), mix(prefix, uint64(second)))
	if other.utilization() < one.utilization() {
		one = other
	}
	if one.utilization() < 1 || one.utilization() <= c.limit() {
		return Choice{Server: one, Reason: ReasonPrefix}
	}
	return Choice{}
}

// replicas returns over how many servers a prefix is spread: as many as its
// share of the requests needs, and at least two.
//
// A fixed number fails either way: reports lag, so many entries send a prefix
// that all want to the same few servers long before they hear of the queue
// there, while rare prefixes spread over many would be cached nowhere.
func (c *Chooser) replicas(share float64) int {
	spread := c.Spread
	if spread == 0 {
		spread = DefaultSpread
	}
	return max(leastReplicas, int(math.Ceil(spread*share*float64(len(c.eligible)))))
}

// limit returns the utilization up to which a prefix keeps its server.
func (c *Chooser) limit() float64 {
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

// rank returns the server that scores highest with each of two keys. When a
// server comes or goes, only the keys that it scores highest for move.
func rank(servers []*Server, key, otherKey uint64) (one, other *Server) {
	var score, otherScore uint64
	for _, server := range servers {
		if next := mix(server.hash, key); one == nil || next > score {
			one, score = server, next
		}
		if next := mix(server.hash, otherKey); other == nil || next > otherScore {
			other, otherScore = server, next
		}
	}
	return one, other
}

// byZone draws in this zone, and elsewhere if that is clearly less loaded.
func (c *Chooser) byZone() Choice {
	if len(c.near) == 0 {
		return Choice{Server: c.draw(c.eligible), Reason: ReasonRandom}
	}
	if server := c.bySpare(); server != nil {
		return Choice{Server: server, Reason: ReasonIdleConn}
	}
	near := c.draw(c.near)
	away := c.draw(c.eligible)
	if near.utilization() >= 1 && away.utilization()+zoneMargin < near.utilization() {
		return Choice{Server: away, Reason: ReasonOtherZone}
	}
	return Choice{Server: near, Reason: ReasonZone}
}

// bySpare draws among the servers of this zone to which a connection is open and
// unused, or returns nil if none of them has room enough.
//
// Where many entries share many servers, each sends to one server so rarely that its
// connection is closed before the next request. Kept to those that it has used lately,
// an entry uses a few servers, and others once these are half taken.
func (c *Chooser) bySpare() *Server {
	c.spare = c.spare[:0]
	for _, server := range c.near {
		if server.hasSpare {
			c.spare = append(c.spare, server)
		}
	}
	if len(c.spare) == 0 {
		return nil
	}
	server := c.draw(c.spare)
	if server.utilization() >= spareBound {
		return nil
	}
	return server
}

// draw returns the less loaded of two random servers.
func (c *Chooser) draw(servers []*Server) *Server {
	first := c.random(len(servers))
	one := servers[first]
	if len(servers) == 1 {
		return one
	}
	other := servers[(first+1+c.random(len(servers)-1))%len(servers)]
	if other.utilization() < one.utilization() {
		return other
	}
	return one
}

func (c *Chooser) random(n int) int {
	if c.Random == nil {
		return rand.IntN(n)
	}
	return c.Random.IntN(n)
}
