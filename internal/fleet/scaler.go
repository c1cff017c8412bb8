package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// startTimeout is how long an ordered server may be absent from the platform's list
// before it counts as missing again.
const startTimeout = time.Minute

// Scaler decides the number of servers of each pool in a zone. It has no clock and does no I/O.
// Exported fields are set before use.
//
// The holders of all zones' duties reach consistent decisions, each for its own zone,
// as they see the same servers in the store and nearly the same loads.
type Scaler struct {
	// Target, ScaleDownDelay and Slack are passed to each pool's Sizer.
	Target         float64
	ScaleDownDelay time.Duration
	Slack          float64
	// ZoneLossTimeout is how long no process of a zone may be known before the zone counts as lost.
	ZoneLossTimeout time.Duration

	zone             string
	sizers           map[string]*Sizer
	unreachableSince map[string]time.Time
	orderedAt        map[string]map[string]time.Time
}

// Observation is the known state of a pool and of the zones at one time.
type Observation struct {
	Fleet *statepb.Fleet
	// ReachableZones are the zones with a known process.
	ReachableZones map[string]bool
	// Load returns the newest known load of a server, or nil.
	Load func(server string) *peerpb.Load
}

// Share returns the target number of servers of a pool in the zone, and whether the pool has
// servers in this zone.
func (s *Scaler) Share(now time.Time, pool *listpb.Pool, observed Observation) (int, bool) {
	if pool.GetMax() <= 0 || !slices.Contains(pool.GetZones(), s.zone) {
		return 0, false
	}
	present := s.presentServers(now, pool, observed)
	wanted := s.sizer(now, pool, present).Decide(now, estimateNeed(observed))
	return Spread(wanted, present)[s.zone], true
}

// Missing returns the number of servers to start so that the zone has its share.
func (s *Scaler) Missing(now time.Time, pool string, share int, fleet *statepb.Fleet) int {
	known := map[string]bool{}
	for _, server := range fleet.GetServers() {
		known[server.GetId()] = true
		if server.GetZone() == s.zone && isActive(server) {
			share--
		}
	}
	for server, at := range s.orderedAt[pool] {
		if known[server] || now.Sub(at) > startTimeout {
			delete(s.orderedAt[pool], server)
			continue
		}
		share--
	}
	return share
}

// RecordOrdered records that a server was ordered, since the platform's list may not contain the
// server yet.
func (s *Scaler) RecordOrdered(now time.Time, pool, server string) {
	if s.orderedAt[pool] == nil {
		s.orderedAt[pool] = map[string]time.Time{}
	}
	s.orderedAt[pool][server] = now
}

// Surplus returns the servers of the zone in excess of its share: servers that don't serve yet come
// first, followed by the least loaded.
func (s *Scaler) Surplus(share int, observed Observation) []string {
	var active []*statepb.Server
	for _, server := range observed.Fleet.GetServers() {
		if server.GetZone() == s.zone && isActive(server) {
			active = append(active, server)
		}
	}
	if len(active) <= share {
		return nil
	}
	slices.SortFunc(active, func(a, b *statepb.Server) int {
		return cmp.Or(cmp.Compare(servingRank(observed, a), servingRank(observed, b)), cmp.Compare(activeRequests(observed, a), activeRequests(observed, b)), strings.Compare(b.GetId(), a.GetId()))
	})
	var surplus []string
	for _, server := range active[:len(active)-share] {
		surplus = append(surplus, server.GetId())
	}
	return surplus
}

// Begin sets the zone and discards the state of an earlier term.
func (s *Scaler) Begin(zone string) {
	s.zone = zone
	s.sizers = map[string]*Sizer{}
	s.unreachableSince = map[string]time.Time{}
	s.orderedAt = map[string]map[string]time.Time{}
}

// presentServers counts a pool's servers in each zone that is not lost.
func (s *Scaler) presentServers(now time.Time, pool *listpb.Pool, observed Observation) map[string]int {
	counts := map[string]int{}
	for _, server := range observed.Fleet.GetServers() {
		if isActive(server) {
			counts[server.GetZone()]++
		}
	}
	present := map[string]int{}
	for _, zone := range pool.GetZones() {
		if !s.isLost(now, zone, counts[zone], observed) {
			present[zone] = counts[zone]
		}
	}
	return present
}

// isLost reports whether a zone with servers has had no known process for ZoneLossTimeout. A new
// holder knows no processes at first, so the time is counted from the holder's first observation.
func (s *Scaler) isLost(now time.Time, zone string, servers int, observed Observation) bool {
	if zone == s.zone || servers == 0 || observed.ReachableZones[zone] {
		delete(s.unreachableSince, zone)
		return false
	}
	if s.unreachableSince[zone].IsZero() {
		s.unreachableSince[zone] = now
	}
	return now.Sub(s.unreachableSince[zone]) >= s.ZoneLossTimeout
}

func (s *Scaler) sizer(now time.Time, pool *listpb.Pool, present map[string]int) *Sizer {
	sizer := s.sizers[pool.GetName()]
	if sizer == nil {
		sizer = &Sizer{Target: s.Target, ScaleDownDelay: s.ScaleDownDelay, Slack: s.Slack}
		total := 0
		for _, servers := range present {
			total += servers
		}
		sizer.Begin(now, total)
		s.sizers[pool.GetName()] = sizer
	}
	sizer.Min, sizer.Max = int(pool.GetMin()), int(pool.GetMax())
	return sizer
}

// estimateNeed extrapolates the need of the whole pool from the known loads, as a
// process holds only part of the loads of a large pool.
func estimateNeed(observed Observation) Need {
	var total Need
	active, known := 0.0, 0.0
	for _, server := range observed.Fleet.GetServers() {
		if !isActive(server) {
			continue
		}
		active++
		load := observed.Load(server.GetId())
		if load == nil {
			continue
		}
		known++
		total.Running += float64(load.GetRunning())
		total.Queued += float64(load.GetQueued())
		total.Slots += float64(load.GetSlots())
	}
	if known == 0 {
		return Need{Slots: 1}
	}
	scale := active / known
	return Need{Running: total.Running * scale, Queued: total.Queued * scale, Slots: total.Slots / known}
}

// servingRank returns 1 for a live server with a known load, otherwise 0.
func servingRank(observed Observation, server *statepb.Server) int {
	if server.GetState() == StateLive && observed.Load(server.GetId()) != nil {
		return 1
	}
	return 0
}

func activeRequests(observed Observation, server *statepb.Server) uint32 {
	load := observed.Load(server.GetId())
	return load.GetRunning() + load.GetQueued()
}

func isActive(server *statepb.Server) bool {
	return server.GetState() == StateLive || server.GetState() == StateStarting
}
