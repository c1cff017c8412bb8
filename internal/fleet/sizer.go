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
// It starts servers early and stops them late: a server takes a while to start,
// so the need is looked at ahead by that time; and a need that comes and goes
// within Calm keeps its servers, so that none is stopped and started in turns.
type Sizer struct {
	// Min and Max bound the servers over all zones.
	Min int
	Max int
	// Target is the share of slots in use that is aimed at.
	Target float64
	// StartTime is how long a server takes to start.
	StartTime time.Duration
	// Calm is how long fewer servers must have been enough before one is stopped.
	Calm time.Duration
	// Smooth is the time over which the need is averaged; its rise is averaged over StartTime.
	Smooth time.Duration
	// Slack is the share of servers that must be too many before any is stopped.
	Slack float64

	decided int
	last    time.Time
	need    float64
	rise    float64
	started bool
	wanted  []wish
}

// wish is the number of servers that was enough at a time.
type wish struct {
	at      time.Time
	servers int
}

// Decide returns the servers wanted over all zones.
func (s *Sizer) Decide(now time.Time, need Need) int {
	s.average(now, need.Running+need.Queued)
	ahead := s.need + max(s.rise, 0)*s.StartTime.Seconds()
	enough := int(math.Ceil(ahead/(max(need.Slots, 1)*s.Target) - tolerance))
	s.decided = s.hold(s.calm(now, min(max(enough, s.Min), s.Max)))
	return s.decided
}

// hold keeps the last decision if few servers would be stopped.
func (s *Sizer) hold(servers int) int {
	if servers < s.decided && float64(servers) > float64(s.decided)*(1-s.Slack) {
		return s.decided
	}
	return servers
}

// average follows the need and its rise a second.
func (s *Sizer) average(now time.Time, need float64) {
	if !s.started {
		s.started, s.last, s.need = true, now, need
		return
	}
	elapsed := now.Sub(s.last).Seconds()
	if elapsed <= 0 {
		return
	}
	before := s.need
	s.need += weigh(elapsed, s.Smooth) * (need - s.need)
	s.rise += weigh(elapsed, s.StartTime) * ((s.need-before)/elapsed - s.rise)
	s.last = now
}

// weigh returns the weight of a new value in an average over a time.
func weigh(elapsed float64, over time.Duration) float64 {
	return 1 - math.Exp(-elapsed/over.Seconds())
}

// calm returns the most servers that were wanted within Calm. The list holds
// only wishes that are larger than all later ones, so it stays short.
func (s *Sizer) calm(now time.Time, servers int) int {
	for len(s.wanted) > 0 && s.wanted[len(s.wanted)-1].servers <= servers {
		s.wanted = s.wanted[:len(s.wanted)-1]
	}
	s.wanted = append(s.wanted, wish{at: now, servers: servers})
	for now.Sub(s.wanted[0].at) > s.Calm {
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
