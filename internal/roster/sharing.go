package roster

import (
	"slices"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/occupancy"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

// Sharing is what a model's owner knows of the others that use its pool.
type Sharing struct {
	// Elsewhere returns the number of generations that other processes run at a server.
	Elsewhere func(server string) int
	// Part is the model's part of the pool.
	Part occupancy.Part
}

// addTo adds to a candidate for a generation of a model what is known of other processes there.
func (s *Sharing) addTo(candidate *route.Candidate, model string) {
	if s == nil {
		return
	}
	server := candidate.Server
	candidate.Elsewhere = int64(s.Elsewhere(server.Name()))
	candidate.IsWithinPart = server.Inflight() < int64(s.Part.At(server.HashFraction(), int(server.Slots())))
	candidate.Rank = server.RankFor(route.Hash([]byte(model)))
}

// withoutFaulty removes servers whose requests fail from the candidates for a generation in a shared
// pool, while the pool has open servers. The caller holds the mutex.
//
// While the open servers are full, a server that resets every connection is the only one with free
// slots: it would fail the same generation again and again, until that one counts as the cause. A
// generation that a server has failed isn't used to probe another faulty one either.
func (r *Roster) withoutFaulty(candidates []route.Candidate, need Need, now clock.Boot) []route.Candidate {
	if need.Sharing == nil || !r.hasOpen(need.Pool, now) {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(candidate route.Candidate) bool {
		server := r.servers[candidate.Server.Name()]
		return !server.isUsable(now) || need.PreferActive && server.failures > 0
	})
}

// hasOpen reports whether a pool has an open server. The caller holds the mutex.
func (r *Roster) hasOpen(pool string, now clock.Boot) bool {
	return slices.ContainsFunc(r.pools[pool], func(routed *route.Server) bool {
		server := r.servers[routed.Name()]
		r.updateEligibility(server, now)
		return server.Eligibility() == route.Open && server.failures == 0
	})
}

// isUsable reports whether a server is open, or suspect but still sends the events of generations.
func (s *Server) isUsable(now clock.Boot) bool {
	return s.Eligibility() == route.Open || s.Eligibility() == route.Suspect && s.speed.pace.isActive(now)
}

// UsableSlots returns the number of slots of a pool's servers that may get work now: usable servers
// that are not in backoff. Other suspect servers count only if none is usable, because only then they
// get work; counted beside the others, the slots of lost servers would be divided among the models.
func (r *Roster) UsableSlots(pool string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initMaps()
	now := clock.Now()
	usable, suspect := 0, 0
	for _, routed := range r.pools[pool] {
		server := r.servers[routed.Name()]
		r.updateEligibility(server, now)
		if now < server.backoffUntil || server.Eligibility() == route.Closed {
			continue
		}
		if server.isUsable(now) {
			usable += int(server.Slots())
			continue
		}
		suspect += int(server.Slots())
	}
	if usable > 0 {
		return usable
	}
	return suspect
}

// SlotsOf returns the number of slots of a pool's servers that may run a model's generations of at least
// a version now.
func (r *Roster) SlotsOf(pool, model string, minVersion uint64) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initMaps()
	now, slots := clock.Now(), 0
	for _, routed := range r.pools[pool] {
		server := r.servers[routed.Name()]
		r.updateEligibility(server, now)
		if now < server.backoffUntil || server.Eligibility() == route.Closed || server.version(model) < minVersion {
			continue
		}
		slots += int(server.Slots())
	}
	return slots
}

// RunningByServer returns the number of this process's requests that run at each server of a pool;
// servers without any are left out.
func (r *Roster) RunningByServer(pool string) map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	running := map[string]int{}
	for _, routed := range r.pools[pool] {
		if count := routed.Inflight(); count > 0 {
			running[routed.Name()] = int(count)
		}
	}
	return running
}
