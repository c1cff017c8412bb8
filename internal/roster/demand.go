package roster

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

// Demand is what this process has asked of a pool since it started. All figures
// only grow, so that the difference of two is what came between them.
type Demand struct {
	// Busy is the time that requests have spent at servers, all added up.
	Busy time.Duration
	// Ended counts the requests that have left their server.
	Ended uint64
	// Refused counts the requests for which no server had room.
	Refused uint64
}

// Census is what is registered of a pool.
type Census struct {
	// Present are the servers that may get work, by the zones that have or had one.
	Present map[string]int
	// Slots is the mean number of requests that a server runs at the same time, or
	// ran while there was one; 0 if there never was.
	Slots float64
}

// meter adds up the demand of a pool.
type meter struct {
	Demand

	running int
	at      clock.Boot
}

// run notes that requests have begun or, below 0, ended.
func (m *meter) run(change int, now clock.Boot) {
	m.Busy += time.Duration(m.running) * now.Sub(m.at)
	m.at = now
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
	meter.run(0, clock.Now())
	return meter.Demand
}

// RecordRefusal notes that no server of a pool had room for a request.
func (r *Roster) RecordRefusal(pool string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.meter(pool).Refused++
}

// Census counts a pool's servers.
func (r *Roster) Census(pool string) Census {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prepare()
	census := Census{Present: map[string]int{}}
	for zone := range r.zones[pool] {
		census.Present[zone] = 0
	}
	now, servers, slots := clock.Now(), 0, 0
	for _, one := range r.pools[pool] {
		server := r.servers[one.Name()]
		r.mark(server, now)
		if server.Eligibility() == route.Closed {
			continue
		}
		census.Present[server.entry.Zone]++
		servers++
		slots += server.entry.Slots
	}
	if servers > 0 {
		r.slots[pool] = float64(slots) / float64(servers)
	}
	census.Slots = r.slots[pool]
	return census
}

// meter returns the meter of a pool. The mutex is held.
func (r *Roster) meter(pool string) *meter {
	r.prepare()
	if r.meters[pool] == nil {
		r.meters[pool] = &meter{at: clock.Now()}
	}
	return r.meters[pool]
}
