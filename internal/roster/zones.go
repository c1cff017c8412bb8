package roster

import (
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// DrainZone withholds new work from all servers of a zone until RestoreZone. Running requests
// continue in the zone, since restarting them elsewhere would delay them.
func (r *Roster) DrainZone(zone string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initMaps()
	if r.isDrained(zone) {
		return
	}
	r.drainedAt[zone] = clock.Now()
	klog.InfoS("roster: zone is drained", "zone", zone, "running", r.runningIn(zone))
	r.notifyChanged()
}

// RestoreZone ends the drain of a zone. Its servers may get work again and count as cold, since
// they were idle.
func (r *Roster) RestoreZone(zone string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initMaps()
	if !r.isDrained(zone) {
		return
	}
	now := clock.Now()
	klog.InfoS("roster: zone is restored", "zone", zone, "drained", now.Sub(r.drainedAt[zone]), "running", r.runningIn(zone))
	delete(r.drainedAt, zone)
	for _, server := range r.servers {
		if server.entry.Zone == zone && r.ColdLimits != nil {
			server.markCold(r.ColdLimits.Duration(server.entry.Pool), now)
		}
	}
	r.notifyChanged()
}

// isDrained reports whether an operator has drained a zone. The caller holds the mutex.
func (r *Roster) isDrained(zone string) bool {
	_, isDrained := r.drainedAt[zone]
	return isDrained
}

// DrainedZones returns the number of drained zones and the number of this process's requests that
// still run in them.
func (r *Roster) DrainedZones() (zones int, running int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.initMaps()
	for zone := range r.drainedAt {
		running += r.runningIn(zone)
	}
	return len(r.drainedAt), running
}

// runningIn returns the number of this process's requests at a zone's servers. The caller holds the
// mutex.
func (r *Roster) runningIn(zone string) int64 {
	var running int64
	for _, server := range r.servers {
		if server.entry.Zone == zone {
			running += server.Inflight()
		}
	}
	return running
}
