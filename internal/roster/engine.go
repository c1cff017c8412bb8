package roster

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

const (
	// paceWeight is the weight of a new event in the moving mean of a server's pace:
	// small, since events come in bursts where a host is short of processor time.
	paceWeight = 0.04
	// paceAge is how long a pace says anything: a slow server is tried again
	// after that.
	paceAge = 5 * time.Second
	// leastPaceEvents is how many events must have come before a pace counts.
	leastPaceEvents = 12
	// heardTime is how long ago a server has sent something that is heard just now:
	// some events, and less than it takes to see that a server is silent.
	heardTime = 300 * time.Millisecond
)

// pace is the moving mean of the time between two events of a server.
type pace struct {
	mean   time.Duration
	events int
	at     clock.Boot
}

// add takes the time from one event to the next.
func (p *pace) add(gap time.Duration, now clock.Boot) {
	if p.events == 0 || now.Sub(p.at) > paceAge {
		p.mean, p.events = gap, 0
	}
	p.events++
	p.at = now
	p.mean += time.Duration(paceWeight * float64(gap-p.mean))
}

// isHeard reports whether an event came just now.
func (p *pace) isHeard(now clock.Boot) bool { return p.events > 0 && now.Sub(p.at) < heardTime }

// value returns the pace; 0 if it isn't known.
func (p *pace) value(now clock.Boot) time.Duration {
	if p.events < leastPaceEvents || now.Sub(p.at) > paceAge {
		return 0
	}
	return p.mean
}

// Need is what a generation needs of its server.
type Need struct {
	Pool  string
	Model string
	// MinVersion is the oldest weight version that will do.
	MinVersion uint64
	// Tried servers are passed over.
	Tried map[string]bool
	// PreferActive asks for a server that has sent something just now, if one of these has room.
	PreferActive bool
}

// Place returns a server with a free slot for a generation, and counts it there
// until Finish; nil if none has one.
func (r *Roster) Place(need Need) *Server {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	chosen := r.roomiest(need)
	if chosen == nil {
		return nil
	}
	server := r.begin(chosen)
	server.isAsked = server.refusals > 0
	return server
}

// HasFasterServer reports whether a generation that runs at a slow server would find a
// free slot at one that is not slow.
func (r *Roster) HasFasterServer(server *Server, need Need) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clock.Now()
	usual := r.usualPace(need.Pool, now)
	if !route.IsSlow(slowness(server.pace.value(now), usual)) {
		return false
	}
	need.Tried = map[string]bool{server.Name(): true}
	chosen := r.roomiest(need)
	if chosen == nil || chosen.Eligibility() != route.Open {
		return false
	}
	better := r.servers[chosen.Name()].pace.value(now)
	if route.IsSlow(slowness(better, usual)) {
		return false
	}
	klog.InfoS("roster: a run would be faster elsewhere", "server", server.Name(), "pace", server.pace.value(now), "events", server.pace.events, "usual", usual, "other", chosen.Name(), "otherPace", better)
	return true
}

func (r *Roster) roomiest(need Need) *route.Server {
	r.prepare()
	now := clock.Now()
	usual := r.usualPace(need.Pool, now)
	var candidates, heard []route.Candidate
	for _, one := range r.pools[need.Pool] {
		server := r.servers[one.Name()]
		r.mark(server, now)
		if need.Tried[one.Name()] || now < server.full || server.isAsked || server.version(need.Model) < need.MinVersion {
			continue
		}
		if r.isTooCold(server, SenderBatch, now) {
			continue
		}
		candidate := route.Candidate{Server: one, Slowness: slowness(server.pace.value(now), usual)}
		candidates = append(candidates, candidate)
		if need.PreferActive && server.pace.isHeard(now) {
			heard = append(heard, candidate)
		}
	}
	if chosen := route.LeastUtilized(heard, r.Zone); chosen != nil && chosen.Eligibility() == route.Open {
		return chosen
	}
	return route.LeastUtilized(candidates, r.Zone)
}

// RecordVersion notes the weight version that an answer has shown.
func (r *Roster) RecordVersion(server *Server, model string, version uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if version > 0 {
		server.seen[model] = version
	}
}

// EntriesWithVersions returns the servers of a pool that may get work, with the weight
// versions that they have shown.
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

// RecordEvent notes the time between two events of a server, and returns its pace; 0 if that
// isn't known.
func (r *Roster) RecordEvent(server *Server, gap time.Duration) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clock.Now()
	server.pace.add(gap, now)
	return server.pace.value(now)
}

// usualPace returns the pace that a quarter of the servers of a pool reach; 0 if
// none is known. The very best one is often a chance.
func (r *Roster) usualPace(pool string, now clock.Boot) time.Duration {
	var paces []time.Duration
	for _, one := range r.pools[pool] {
		if value := r.servers[one.Name()].pace.value(now); value > 0 {
			paces = append(paces, value)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/4]
}

func slowness(own, usual time.Duration) float64 {
	if own == 0 || usual == 0 {
		return 1
	}
	return float64(own) / float64(usual)
}

// version returns the weight version of a model that the server has shown last.
func (s *Server) version(model string) uint64 {
	return max(s.entry.Versions[model], s.seen[model])
}
