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

// startBound is how long a server that was ordered may be missing from the
// platform's list before it counts as missing again.
const startBound = time.Minute

// Scale decides how many servers of each pool a zone is to have. It has no
// clock and does no input or output. Exported fields are set before use.
//
// The holders of all zones decide alike, each for its own zone: they see the same
// servers in the store and nearly the same loads.
type Scale struct {
	// Target, Calm and Slack are those of a Sizer.
	Target float64
	ScaleDownDelay   time.Duration
	Slack  float64
	// ZoneLossTimeout is how long none of a zone's processes is heard before it is lost.
	ZoneLossTimeout time.Duration

	zone    string
	sizers  map[string]*Sizer
	silent  map[string]time.Time
	ordered map[string]map[string]time.Time
}

// Observation is what is known of a pool and of the zones at one moment.
type Observation struct {
	Fleet *statepb.Fleet
	// ReachableZones are the zones of which a process is present.
	ReachableZones map[string]bool
	// Load returns the newest load known of a server, or nil.
	Load func(server string) *peerpb.Load
}

// Share returns the servers that the zone is to have of a pool, and whether the
// pool is to be kept at a size at all.
func (s *Scale) Share(now time.Time, pool *listpb.Pool, observed Observation) (int, bool) {
	if pool.GetMax() <= 0 || !slices.Contains(pool.GetZones(), s.zone) {
		return 0, false
	}
	present := s.present(now, pool, observed)
	wanted := s.sizer(now, pool, present).Decide(now, need(observed))
	return Spread(wanted, present)[s.zone], true
}

// Missing returns how many servers to start so that the zone has its share.
func (s *Scale) Missing(now time.Time, pool string, share int, fleet *statepb.Fleet) int {
	known := map[string]bool{}
	for _, server := range fleet.GetServers() {
		known[server.GetId()] = true
		if server.GetZone() == s.zone && isWanted(server) {
			share--
		}
	}
	for server, at := range s.ordered[pool] {
		if known[server] || now.Sub(at) > startBound {
			delete(s.ordered[pool], server)
			continue
		}
		share--
	}
	return share
}

// RecordOrdered notes that a server was ordered; the platform's list may lag.
func (s *Scale) RecordOrdered(now time.Time, pool, server string) {
	if s.ordered[pool] == nil {
		s.ordered[pool] = map[string]time.Time{}
	}
	s.ordered[pool][server] = now
}

// Surplus returns the servers of the zone that are too many: first those that
// don't serve yet, then the least loaded.
func (s *Scale) Surplus(share int, observed Observation) []string {
	var live []*statepb.Server
	for _, server := range observed.Fleet.GetServers() {
		if server.GetZone() == s.zone && isWanted(server) {
			live = append(live, server)
		}
	}
	if len(live) <= share {
		return nil
	}
	slices.SortFunc(live, func(a, b *statepb.Server) int {
		return cmp.Or(cmp.Compare(serves(observed, a), serves(observed, b)), cmp.Compare(busy(observed, a), busy(observed, b)), strings.Compare(b.GetId(), a.GetId()))
	})
	var surplus []string
	for _, server := range live[:len(live)-share] {
		surplus = append(surplus, server.GetId())
	}
	return surplus
}

// Begin makes it decide for a zone and forgets what an earlier term knew.
func (s *Scale) Begin(zone string) {
	s.zone = zone
	s.sizers = map[string]*Sizer{}
	s.silent = map[string]time.Time{}
	s.ordered = map[string]map[string]time.Time{}
}

// present counts a pool's servers in each zone that is not lost.
func (s *Scale) present(now time.Time, pool *listpb.Pool, observed Observation) map[string]int {
	counts := map[string]int{}
	for _, server := range observed.Fleet.GetServers() {
		if isWanted(server) {
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

// isLost reports whether a zone that has servers was not heard for Loss. A new
// holder hears nobody at first, so the time counts from its own first look.
func (s *Scale) isLost(now time.Time, zone string, servers int, observed Observation) bool {
	if zone == s.zone || servers == 0 || observed.ReachableZones[zone] {
		delete(s.silent, zone)
		return false
	}
	if s.silent[zone].IsZero() {
		s.silent[zone] = now
	}
	return now.Sub(s.silent[zone]) >= s.ZoneLossTimeout
}

func (s *Scale) sizer(now time.Time, pool *listpb.Pool, present map[string]int) *Sizer {
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

// need estimates the need of the whole pool from the loads that are known here:
// a process holds the loads of a part of a large pool only.
func need(observed Observation) Need {
	var total Need
	live, known := 0.0, 0.0
	for _, server := range observed.Fleet.GetServers() {
		if !isWanted(server) {
			continue
		}
		live++
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
	share := live / known
	return Need{Running: total.Running * share, Queued: total.Queued * share, Slots: total.Slots / known}
}

// serves returns 1 for a server that has shown a load, else 0.
func serves(observed Observation, server *statepb.Server) int {
	if server.GetState() == StateLive && observed.Load(server.GetId()) != nil {
		return 1
	}
	return 0
}

func busy(observed Observation, server *statepb.Server) uint32 {
	load := observed.Load(server.GetId())
	return load.GetRunning() + load.GetQueued()
}

func isWanted(server *statepb.Server) bool {
	return server.GetState() == StateLive || server.GetState() == StateStarting
}
