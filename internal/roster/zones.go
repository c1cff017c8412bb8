package roster

import (
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// DrainZone keeps new work from all servers of a zone until RestoreZone. What runs
// there ends by itself: started anew elsewhere, it would be done later.
func (r *Roster) DrainZone(zone string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prepare()
	if r.isDrained(zone) {
		return
	}
	r.drained[zone] = clock.Now()
	klog.InfoS("roster: zone is drained", "zone", zone, "running", r.runningIn(zone))
	r.wake()
}

// RestoreZone gives a drained zone's servers work again. They have had none, so they
// count as cold.
func (r *Roster) RestoreZone(zone string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prepare()
	if !r.isDrained(zone) {
		return
	}
	now := clock.Now()
	klog.InfoS("roster: zone gets work again", "zone", zone, "drained", now.Sub(r.drained[zone]), "running", r.runningIn(zone))
	delete(r.drained, zone)
	for _, server := range r.servers {
		if server.entry.Zone == zone && r.ColdLimits != nil {
			server.chill(r.ColdLimits.Duration(server.entry.Pool), now)
		}
	}
	r.wake()
}

// isDrained reports whether an operator has drained a zone. The mutex is held.
func (r *Roster) isDrained(zone string) bool {
	_, isDrained := r.drained[zone]
	return isDrained
}

// DrainedZones returns the number of drained zones, and of this process's requests
// that still run there.
func (r *Roster) DrainedZones() (zones int, running int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prepare()
	for zone := range r.drained {
		running += r.runningIn(zone)
	}
	return len(r.drained), running
}

// runningIn returns this process's requests at a zone's servers. The mutex is held.
func (r *Roster) runningIn(zone string) int64 {
	var running int64
	for _, server := range r.servers {
		if server.entry.Zone == zone {
			running += server.Inflight()
		}
	}
	return running
}
