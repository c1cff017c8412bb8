package roster

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

const (
	// paceWeight is the weight of a new interval in the moving mean. It is small, since events
	// arrive in bursts on a host that is short of CPU time.
	paceWeight = 0.04
	// maxPaceAge is how long a pace is valid after its last event; afterwards a slow server gets
	// work again.
	maxPaceAge = 5 * time.Second
	// minPaceEvents is the number of events before a pace is valid.
	minPaceEvents = 12
	// activeWindow is the maximum time since the last event of an active server: several event
	// intervals, and less than the time in which a silent server is detected.
	activeWindow = 300 * time.Millisecond
)

// pace is the moving mean of the interval between events of a server.
type pace struct {
	meanGap     time.Duration
	events      int
	lastEventAt clock.Boot
}

// add records the interval between two events.
func (p *pace) add(gap time.Duration, now clock.Boot) {
	if p.events == 0 || now.Sub(p.lastEventAt) > maxPaceAge {
		p.meanGap, p.events = gap, 0
	}
	p.events++
	p.lastEventAt = now
	p.meanGap += time.Duration(paceWeight * float64(gap-p.meanGap))
}

// isActive reports whether an event arrived within the last activeWindow.
func (p *pace) isActive(now clock.Boot) bool {
	return p.events > 0 && now.Sub(p.lastEventAt) < activeWindow
}

// value returns the pace; 0 if unknown.
func (p *pace) value(now clock.Boot) time.Duration {
	if p.events < minPaceEvents || now.Sub(p.lastEventAt) > maxPaceAge {
		return 0
	}
	return p.meanGap
}

// Need is what a generation requires of its server.
type Need struct {
	Pool  string
	Model string
	// MinVersion is the lowest acceptable weight version.
	MinVersion uint64
	// Tried holds the names of servers to exclude.
	Tried map[string]bool
	// PreferActive prefers servers that have sent an event within activeWindow, if any of them has
	// a free slot.
	PreferActive bool
	// Sharing is nil if no other model uses the pool.
	Sharing *Sharing
}

// Place returns a server with a free slot for a generation, nil if no server has a free slot. The
// generation counts as running at the server until Finish.
func (r *Roster) Place(need Need) *Server {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clock.Now()
	target := r.selectServer(need, r.fastGap(need.Pool, now), now)
	if target == nil {
		return nil
	}
	server := r.startRequest(target)
	server.isProbed = server.refusals > 0
	return server
}

// HasFasterServer reports whether a generation on a slow server could move to a free slot of a
// server that is not slow.
func (r *Roster) HasFasterServer(server *Server, need Need) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clock.Now()
	typical := r.typicalPace(need.Pool, now)
	if !route.IsSlow(slowness(server.speed.pace.value(now), typical)) {
		return false
	}
	need.Tried = map[string]bool{server.Name(): true}
	target := r.selectServer(need, r.fastGap(need.Pool, now), now)
	if target == nil || target.Eligibility() != route.Open {
		return false
	}
	targetPace := r.servers[target.Name()].speed.pace.value(now)
	if route.IsSlow(slowness(targetPace, typical)) {
		return false
	}
	klog.InfoS("roster: another server would run a generation faster", "server", server.Name(), "pace", server.speed.pace.value(now), "events", server.speed.pace.events, "usual", typical, "other", target.Name(), "otherPace", targetPace)
	return true
}

// selectServer returns the server that Place would use, without starting a request; nil if no
// server has a free slot. fast is the result of fastGap. The caller holds the mutex.
func (r *Roster) selectServer(need Need, fast time.Duration, now clock.Boot) *route.Server {
	r.initMaps()
	typical := r.typicalPace(need.Pool, now)
	candidates, active := r.candidates[:0], r.active[:0]
	for _, routed := range r.pools[need.Pool] {
		server := r.servers[routed.Name()]
		r.updateEligibility(server, now)
		if need.Tried[routed.Name()] || now < server.backoffUntil || server.isProbed || server.version(need.Model) < need.MinVersion {
			continue
		}
		if r.isOverColdLimit(server, SenderBatch, now) {
			continue
		}
		candidate := route.Candidate{Server: routed, Slowness: slowness(server.speed.pace.value(now), typical)}
		candidate = compareByGap(candidate, server, fast, now)
		need.Sharing.addTo(&candidate, need.Model)
		candidates = append(candidates, candidate)
		if need.PreferActive && server.speed.pace.isActive(now) {
			active = append(active, candidate)
		}
	}
	r.candidates, r.active = candidates, active
	active, candidates = r.withoutFaulty(active, need, now), r.withoutFaulty(candidates, need, now)
	if target := route.LeastUtilized(active, r.Zone); target != nil && target.Eligibility() == route.Open {
		return target
	}
	return route.LeastUtilized(candidates, r.Zone)
}

// RecordVersion records the weight version that an answer reported.
func (r *Roster) RecordVersion(server *Server, model string, version uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if version > 0 {
		server.reportedVersions[model] = version
	}
}

// EntriesWithVersions returns the servers of a pool that may get work, with the weight
// versions that they reported last.
func (r *Roster) EntriesWithVersions(pool string) []Entry {
	entries := r.Entries(pool)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i := range entries {
		versions := map[string]uint64{}
		server := r.servers[entries[i].ID]
		for model := range entries[i].Versions {
			versions[model] = entries[i].Versions[model]
			if server != nil {
				versions[model] = server.version(model)
			}
		}
		entries[i].Versions = versions
	}
	return entries
}

// RecordEvent records the interval between two events of a server, and returns its
// pace; 0 if unknown.
func (r *Roster) RecordEvent(server *Server, gap time.Duration) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clock.Now()
	server.speed.Add(gap, now)
	return server.speed.pace.value(now)
}

// typicalPace returns the pace that the fastest quarter of a pool's servers reach; 0 if no pace is
// known. The single fastest server is often an outlier.
func (r *Roster) typicalPace(pool string, now clock.Boot) time.Duration {
	paces := r.paces[:0]
	for _, routed := range r.pools[pool] {
		if value := r.servers[routed.Name()].speed.pace.value(now); value > 0 {
			paces = append(paces, value)
		}
	}
	r.paces = paces
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/4]
}

func slowness(own, typical time.Duration) float64 {
	if own == 0 || typical == 0 {
		return 1
	}
	return float64(own) / float64(typical)
}

// version returns the newest weight version of a model that the server has reported.
func (s *Server) version(model string) uint64 {
	return max(s.entry.Versions[model], s.reportedVersions[model])
}
