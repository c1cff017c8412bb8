package fleet

import (
	"math"
	"slices"
	"time"
)

// tolerance is the part of a server for which none is started.
const tolerance = 0.01

// Need is what a pool needs at one moment, as far as it is known.
type Need struct {
	// Running and Queued are requests at all servers.
	Running float64
	Queued  float64
	// Slots are the requests that one server runs at the same time.
	Slots float64
}

// Sizer decides how many backend servers a pool needs. It has no clock and does
// no input or output. Exported fields are set before the first Decide.
//
// It follows a rise at once and a fall late: a need that comes and goes within
// Calm keeps its servers, and a few servers too many are kept as well, so that
// none is stopped and started in turns.
type Sizer struct {
	// Min and Max bound the servers over all zones.
	Min int
	Max int
	// Target is the share of slots in use that is aimed at.
	Target float64
	// ScaleDownDelay is how long fewer servers must have been enough before one is stopped.
	ScaleDownDelay time.Duration
	// Slack is the share of servers that must be too many before any is stopped.
	Slack float64

	decided int
	wanted  []count
}

// count is the number of servers that was enough at a time.
type count struct {
	at      time.Time
	servers int
}

// Decide returns the servers wanted over all zones.
func (s *Sizer) Decide(now time.Time, need Need) int {
	slots := max(need.Slots, 1) * s.Target
	enough := int(math.Ceil((need.Running+need.Queued)/slots - tolerance))
	s.decided = s.hold(s.calm(now, min(max(enough, s.Min), s.Max)))
	return s.decided
}

// Begin starts from the servers that are there. Without it a new holder, which
// knows no loads yet, would stop all servers but the fewest allowed.
func (s *Sizer) Begin(now time.Time, present int) {
	s.decided = present
	s.calm(now, present)
}

// hold keeps the last decision if few servers would be stopped.
func (s *Sizer) hold(servers int) int {
	if servers < s.decided && float64(servers) > float64(s.decided)*(1-s.Slack) {
		return s.decided
	}
	return servers
}

// calm returns the most servers that were wanted within Calm. The list holds
// only counts that are larger than all later ones, so it stays short.
func (s *Sizer) calm(now time.Time, servers int) int {
	for len(s.wanted) > 0 && s.wanted[len(s.wanted)-1].servers <= servers {
		s.wanted = s.wanted[:len(s.wanted)-1]
	}
	s.wanted = append(s.wanted, count{at: now, servers: servers})
	for now.Sub(s.wanted[0].at) > s.ScaleDownDelay {
		s.wanted = s.wanted[1:]
	}
	return s.wanted[0].servers
}

// Spread shares servers out over zones as evenly as can be. The zones that have
// most now get one more where it doesn't come out even, so that few servers move.
// A zone that is lost is left out by the caller, and its share goes to the others.
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
