package roster

import (
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

// Set takes a registration.
func (r *Roster) Set(entry Entry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prepare()
	known := r.servers[entry.ID]
	if known != nil && known.entry.StartedAtMillis > entry.StartedAtMillis {
		klog.InfoS("roster: an older start of the server is passed over", "server", entry.ID, "born", entry.StartedAtMillis, "known", known.entry.StartedAtMillis)
		return
	}
	if known == nil || known.entry.StartedAtMillis != entry.StartedAtMillis || known.entry.Address != entry.Address || known.entry.Pool != entry.Pool {
		r.add(entry)
	} else {
		known.entry = entry
		known.missing, known.gone = 0, false
	}
	server, now := r.servers[entry.ID], clock.Now()
	server.SetSlots(int64(entry.Slots))
	server.chill(entry.ColdFor, now)
	r.mark(server, now)
	r.wake()
}

// add takes a server that wasn't known, or one that has started again: nothing
// of what was known before holds for it.
func (r *Roster) add(entry Entry) {
	r.drop(entry.ID)
	klog.InfoS("roster: server", "server", entry.ID, "pool", entry.Pool, "address", entry.Address, "zone", entry.Zone, "born", entry.StartedAtMillis, "draining", entry.Draining)
	server := &Server{
		Server: route.NewServer(entry.ID, r.Region, entry.Zone),
		entry:  entry,
		seen:   map[string]uint64{},
		direct: &backend.Direct{
			Server: backend.Server{Address: "http://" + entry.Address, Name: entry.ID, Idle: r.Idle},
			Wire:   r.Wire,
		},
	}
	r.servers[entry.ID] = server
	r.pools[entry.Pool] = append(r.pools[entry.Pool], server.Server)
	if r.zones[entry.Pool] == nil {
		r.zones[entry.Pool] = map[string]bool{}
	}
	r.zones[entry.Pool][entry.Zone] = true
}

func (r *Roster) drop(id string) {
	known := r.servers[id]
	if known == nil {
		return
	}
	known.gone = true
	delete(r.servers, id)
	pool := r.pools[known.entry.Pool]
	for i, one := range pool {
		if one == known.Server {
			r.pools[known.entry.Pool] = append(pool[:i:i], pool[i+1:]...)
		}
	}
}

// Remove takes the end of a registration.
//
// Registrations lapse while the store is away though their servers live, and
// are back within Back of its return; taking them as gone at once would leave
// no server for that time. One that is still missing then is gone.
func (r *Roster) Remove(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prepare()
	server := r.servers[id]
	if server == nil {
		return
	}
	now := clock.Now()
	if r.lost || r.regained != 0 && now.Sub(r.regained) < r.ReregisterTimeout {
		klog.InfoS("roster: registration lapsed while the store was away", "server", id)
		server.missing = now
		return
	}
	klog.InfoS("roster: registration ended", "server", id, "pool", server.entry.Pool)
	server.SetEligibility(route.Closed)
	r.drop(id)
	r.wake()
}

// RecordStoreLost notes that the store no longer answers.
func (r *Roster) RecordStoreLost() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lost = true
}

// RecordStoreRegained notes that the store answers again.
func (r *Roster) RecordStoreRegained() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lost = false
	r.regained = clock.Now()
}

// MarkListed notes that all registrations were read once.
func (r *Roster) MarkListed() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.listed = true
}

// IsListed reports whether the servers are known.
func (r *Roster) IsListed() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.listed
}
