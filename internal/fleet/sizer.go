package fleet

import (
	"math"
	"slices"
	"time"
)

// roundingTolerance is the largest excess need, as a fraction of a server, for which no additional
// server is ordered.
const roundingTolerance = 0.01

// Need is the need of a pool for servers at a time.
type Need struct {
	// Running and Queued are the numbers of requests at all servers.
	Running float64
	Queued  float64
	// Slots is the number of requests that one server runs concurrently.
	Slots float64
}

// Sizer decides how many backend servers a pool needs. It has no clock and does no I/O. Exported
// fields are set before the first Decide.
//
// Sizer scales up at once and scales down with a delay: it keeps servers while the need has been
// lower for less than ScaleDownDelay or the surplus is small, so that servers aren't repeatedly
// stopped and started.
type Sizer struct {
	// Min and Max are the limits of the number of servers across all zones.
	Min int
	Max int
	// Target is the target share of slots in use.
	Target float64
	// ScaleDownDelay is how long fewer servers must have sufficed before servers are stopped.
	ScaleDownDelay time.Duration
	// Slack is the share of servers that must be surplus before servers are stopped.
	Slack float64

	lastDecision int
	recent       []timedCount
}

// timedCount is the number of servers that sufficed at a time.
type timedCount struct {
	at      time.Time
	servers int
}

// Decide returns the target number of servers across all zones.
func (s *Sizer) Decide(now time.Time, need Need) int {
	slots := max(need.Slots, 1) * s.Target
	enough := int(math.Ceil((need.Running+need.Queued)/slots - roundingTolerance))
	s.lastDecision = s.applySlack(s.maxRecent(now, min(max(enough, s.Min), s.Max)))
	return s.lastDecision
}

// Begin sets the present number of servers as the initial decision. Otherwise a new holder, which
// knows no loads yet, would stop all servers down to the minimum.
func (s *Sizer) Begin(now time.Time, present int) {
	s.lastDecision = present
	s.maxRecent(now, present)
}

// applySlack keeps the last decision if only a few servers would be stopped.
func (s *Sizer) applySlack(servers int) int {
	if servers < s.lastDecision && float64(servers) > float64(s.lastDecision)*(1-s.Slack) {
		return s.lastDecision
	}
	return servers
}

// maxRecent returns the maximum number of servers needed within ScaleDownDelay. The recent list
// holds only counts larger than all later counts, so it stays short.
func (s *Sizer) maxRecent(now time.Time, servers int) int {
	for len(s.recent) > 0 && s.recent[len(s.recent)-1].servers <= servers {
		s.recent = s.recent[:len(s.recent)-1]
	}
	s.recent = append(s.recent, timedCount{at: now, servers: servers})
	for now.Sub(s.recent[0].at) > s.ScaleDownDelay {
		s.recent = s.recent[1:]
	}
	return s.recent[0].servers
}

// Spread distributes servers as evenly as possible over zones. Any remainder goes to the zones that
// have the most servers now, one server each, so that few servers move. The caller omits lost
// zones, whose shares go to the other zones.
func Spread(servers int, present map[string]int) map[string]int {
	var zones []string
	for zone := range present {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b string) int {
		if present[a] != present[b] {
			return present[b] - present[a]
		}
		if a < b {
			return -1
		}
		return 1
	})
	shares := map[string]int{}
	for i, zone := range zones {
		shares[zone] = servers / len(zones)
		if i < servers%len(zones) {
			shares[zone]++
		}
	}
	return shares
}
