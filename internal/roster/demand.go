package roster

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

// Demand is the use of a pool by this process's requests. All fields are totals since the process
// started.
type Demand struct {
	// Busy is the total time that requests have spent at servers.
	Busy time.Duration
	// Ended counts the requests that have ended at their server.
	Ended uint64
	// Refused counts the requests for which no server had capacity.
	Refused uint64
}

// Census counts the registered servers of a pool.
type Census struct {
	// Present counts the servers that may get work, by zone. Zones that only had servers in the
	// past are included.
	Present map[string]int
	// Slots is the mean number of requests that a server runs concurrently; the last known mean if
	// the pool has no server now, 0 if it never had one.
	Slots float64
}

// meter accumulates the demand of a pool.
type meter struct {
	Demand

	running   int
	updatedAt clock.Boot
}

// adjust changes the number of running requests; a negative change is the end of a request.
func (m *meter) adjust(change int, now clock.Boot) {
	m.Busy += time.Duration(m.running) * now.Sub(m.updatedAt)
	m.updatedAt = now
	m.running += change
	if change < 0 {
		m.Ended++
	}
}

// Demand returns the demand of a pool up to now.
func (r *Roster) Demand(pool string) Demand {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	meter := r.meter(pool)
	meter.adjust(0, clock.Now())
	return meter.Demand
}

// RecordNoRoom records that no server of a pool had capacity for a request.
func (r *Roster) RecordNoRoom(pool string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.meter(pool).Refused++
}

// Census counts a pool's servers.
func (r *Roster) Census(pool string) Census {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initMaps()
	census := Census{Present: map[string]int{}}
	for zone := range r.zones[pool] {
		census.Present[zone] = 0
	}
	now, servers, slots := clock.Now(), 0, 0
	for _, routed := range r.pools[pool] {
		server := r.servers[routed.Name()]
		r.updateEligibility(server, now)
		if server.Eligibility() == route.Closed {
			continue
		}
		census.Present[server.entry.Zone]++
		servers++
		slots += server.entry.Slots
	}
	if servers > 0 {
		r.meanSlots[pool] = float64(slots) / float64(servers)
	}
	census.Slots = r.meanSlots[pool]
	return census
}

// AnsweringSlots returns the slots of a pool's servers that may get work and are not suspected. A full server counts,
// since it answers.
func (r *Roster) AnsweringSlots(pool string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initMaps()
	now, slots := clock.Now(), 0
	for _, routed := range r.pools[pool] {
		server := r.servers[routed.Name()]
		r.updateEligibility(server, now)
		if server.Eligibility() != route.Closed && now >= server.suspectUntil {
			slots += server.entry.Slots
		}
	}
	return slots
}

// meter returns the meter of a pool. The caller holds the mutex.
func (r *Roster) meter(pool string) *meter {
	r.initMaps()
	if r.meters[pool] == nil {
		r.meters[pool] = &meter{updatedAt: clock.Now()}
	}
	return r.meters[pool]
}
