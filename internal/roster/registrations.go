package roster

import (
	"strconv"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

// Set adds or updates a server by its registration. A registration of an earlier start of the
// server is ignored.
func (r *Roster) Set(entry Entry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initMaps()
	known := r.servers[entry.ID]
	if known != nil && known.entry.StartedAtMillis > entry.StartedAtMillis {
		klog.InfoS("roster: ignoring the registration of an older start of the server", "server", entry.ID, "born", entry.StartedAtMillis, "known", known.entry.StartedAtMillis)
		return
	}
	if known == nil || known.entry.StartedAtMillis != entry.StartedAtMillis || known.entry.Address != entry.Address || known.entry.Pool != entry.Pool {
		r.addServer(entry)
	} else {
		known.entry = entry
		known.missingSince, known.isGone = 0, false
	}
	server, now := r.servers[entry.ID], clock.Now()
	server.SetSlots(int64(entry.Slots))
	server.markCold(entry.ColdFor, now)
	r.updateEligibility(server, now)
	r.notifyChanged()
}

// addServer adds a server that is new or has restarted, and discards the state of its earlier start.
func (r *Roster) addServer(entry Entry) {
	isKnown := r.servers[entry.ID] != nil
	r.removeServer(entry.ID)
	klog.InfoS("roster: server registered", "server", entry.ID, "pool", entry.Pool, "address", entry.Address, "zone", entry.Zone, "born", entry.StartedAtMillis, "draining", entry.Draining)
	server := &Server{
		Server:           route.NewServer(entry.ID, r.Region, entry.Zone),
		entry:            entry,
		instance:         entry.ID + "@" + strconv.FormatInt(entry.StartedAtMillis, 10),
		reportedVersions: map[string]uint64{},
		direct: &backend.Direct{
			Server:  backend.Server{Address: "http://" + entry.Address, Name: entry.ID, IdleTimeout: r.IdleTimeout},
			Wire:    r.Wire,
			Metrics: r.ServerMetrics,
		},
	}
	if isKnown {
		server.ignoresGapsUntil = clock.Now().Add(adoptDelay)
	}
	r.servers[entry.ID] = server
	r.pools[entry.Pool] = append(r.pools[entry.Pool], server.Server)
	if r.zones[entry.Pool] == nil {
		r.zones[entry.Pool] = map[string]bool{}
	}
	r.zones[entry.Pool][entry.Zone] = true
}

func (r *Roster) removeServer(id string) {
	known := r.servers[id]
	if known == nil {
		return
	}
	known.isGone = true
	delete(r.servers, id)
	pool := r.pools[known.entry.Pool]
	for i, routed := range pool {
		if routed == known.Server {
			r.pools[known.entry.Pool] = append(pool[:i:i], pool[i+1:]...)
		}
	}
}

// Remove removes a server whose registration has ended.
//
// During a store outage the registrations of running servers expire. The servers register again
// within ReregisterTimeout of the end of the outage; removing them at once would leave no server
// until then. A server that has not registered by then is gone.
func (r *Roster) Remove(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initMaps()
	server := r.servers[id]
	if server == nil {
		return
	}
	now := clock.Now()
	if r.isStoreLost || r.regainedAt != 0 && now.Sub(r.regainedAt) < r.ReregisterTimeout {
		klog.InfoS("roster: registration expired during a store outage", "server", id)
		server.missingSince = now
		return
	}
	klog.InfoS("roster: registration ended", "server", id, "pool", server.entry.Pool)
	server.SetEligibility(route.Closed)
	r.removeServer(id)
	r.notifyChanged()
}

// RecordStoreLost records the start of a store outage.
func (r *Roster) RecordStoreLost() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.isStoreLost = true
}

// RecordStoreRegained records the end of a store outage.
func (r *Roster) RecordStoreRegained() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.isStoreLost = false
	r.regainedAt = clock.Now()
}

// MarkListed records that all registrations have been read from the store at least once.
func (r *Roster) MarkListed() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.isListed = true
}

// IsListed reports whether all registrations have been read from the store at least once.
func (r *Roster) IsListed() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.isListed
}
