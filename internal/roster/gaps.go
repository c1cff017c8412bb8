package roster

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

// adoptDelay is how long figures of other processes are ignored after a server has started again under its name: the time in
// which they learn of the start, and in which their reports expire.
const adoptDelay = 2 * time.Second

// ServerGap is the usual interval between events of a server, as this process has measured it.
type ServerGap struct {
	Server string
	Gap    time.Duration
	// Events is the number of events that were measured.
	Events int
}

// Gaps returns the usual gaps of a pool's servers that this process has measured. Those adopted from other processes are left
// out: passed on, they would outlive the process that has measured them.
func (r *Roster) Gaps(pool string) []ServerGap {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initMaps()
	var gaps []ServerGap
	for _, routed := range r.pools[pool] {
		speed := &r.servers[routed.Name()].speed
		if speed.usual > 0 {
			gaps = append(gaps, ServerGap{Server: routed.Name(), Gap: speed.usual, Events: speed.events})
		}
	}
	return gaps
}

// AdoptGap records the usual gap of a server that another process has measured. It applies while this process has no figure
// of its own, and until the server starts again.
func (r *Roster) AdoptGap(server string, gap time.Duration, events int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initMaps()
	known, now := r.servers[server], clock.Now()
	if known == nil || now < known.ignoresGapsUntil {
		return
	}
	known.speed.Adopt(gap, events, now)
}

// ExpectedGap returns the expected interval between events of a server; 0 if unknown.
func (r *Roster) ExpectedGap(server *Server) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return server.speed.Gaps(clock.Now()).Expected()
}

// HasOnlySlowSlots reports whether the pool's servers differ lastingly and Place would return one of the slow ones.
func (r *Roster) HasOnlySlowSlots(need Need) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clock.Now()
	fast := r.fastGap(need.Pool, now)
	if fast == 0 {
		return false
	}
	target := r.selectServer(need, fast, now)
	return target != nil && route.IsSlowGap(r.servers[target.Name()].speed.Gaps(now).Expected(), fast)
}

// FastGap returns the usual gap of the fastest quarter of a pool's servers, whether or not they differ; 0 if unknown.
func (r *Roster) FastGap(pool string) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initMaps()
	fast, _ := route.QuarterGaps(r.poolGaps(pool, clock.Now()))
	return fast
}

// FreeGap returns the expected gap of the open server that Place would return. It returns 0 if there is none, if its gap is
// unknown, or if the pool's servers don't differ lastingly; isLasting is false in the last case.
func (r *Roster) FreeGap(need Need) (gap time.Duration, isLasting bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clock.Now()
	fast := r.fastGap(need.Pool, now)
	if fast == 0 {
		return 0, false
	}
	target := r.selectServer(need, fast, now)
	if target == nil || target.Eligibility() != route.Open {
		return 0, true
	}
	return r.servers[target.Name()].speed.Gaps(now).Expected(), true
}

// fastGap returns the usual gap of the fastest servers of a pool whose servers differ lastingly, otherwise 0. The caller holds
// the mutex.
func (r *Roster) fastGap(pool string, now clock.Boot) time.Duration {
	if !r.Speeds {
		return 0
	}
	r.initMaps()
	return route.FastGap(r.poolGaps(pool, now))
}

// poolGaps returns the gaps of a pool's servers that may get work, until its next call. Suspect servers are left out, because
// they get work only if there is no other: while all fast servers are lost, slow ones must not leave the longest texts to them.
// Full servers count, since they have free slots soon. The caller holds the mutex.
func (r *Roster) poolGaps(pool string, now clock.Boot) []route.Gaps {
	servers := r.gaps[:0]
	for _, routed := range r.pools[pool] {
		if server := r.servers[routed.Name()]; server.Eligibility() != route.Closed && now >= server.suspectUntil {
			servers = append(servers, server.speed.Gaps(now))
		}
	}
	r.gaps = servers
	return servers
}

// compareByGap makes a candidate of a pool with a fast gap be compared by its expected gap. A slowed server isn't put last: a
// fast server that is slowed may still be faster than a slow one.
func compareByGap(candidate route.Candidate, server *Server, fast time.Duration, now clock.Boot) route.Candidate {
	if fast == 0 {
		return candidate
	}
	candidate.Slowness = 1
	candidate.Gap = route.RoundGap(server.speed.Gaps(now).Expected(), fast)
	return candidate
}
