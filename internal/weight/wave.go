// Package weight rolls out new weights to the samplers of models.
//
// Schedule decides which samplers load next and takes the time from its caller; Wave is the
// schedule of samplers that all serve the same single model. PoolCoordinator and Coordinator send
// the orders.
package weight

import "time"

// Wave decides which samplers load next where all of them serve the same single model. It does
// no I/O and is not safe for concurrent use.
type Wave struct {
	Schedule

	target uint64
}

// Sampler is the observed state of a sampler.
type Sampler struct {
	Server string
	Zone   string
	// Version is the version that the sampler shows, 0 if unknown.
	Version uint64
	Running uint32
}

// soleModel is the name of the only model in a wave's schedule.
const soleModel = ""

// Announce sets the target version if it is newer than the current one, and reports whether it is.
func (w *Wave) Announce(version uint64) bool {
	if version <= w.target {
		return false
	}
	w.target = version
	w.SetDemand([]Demand{{Model: soleModel, NewestVersion: version, MinVersion: version, NextMinVersion: version}})
	return true
}

// Behind returns the number of samplers that don't show the target version.
func (w *Wave) Behind() int {
	behind := 0
	for _, sampler := range w.samplers {
		if sampler.versions[soleModel] < w.target {
			behind++
		}
	}
	return behind
}

// Next returns the samplers to order now: samplers in the zones with the fewest loads first, and
// within a zone the least busy first.
func (w *Wave) Next(now time.Time) []string {
	loads := w.Schedule.Next(now)
	var chosen []string
	for _, load := range loads {
		chosen = append(chosen, load.Sampler)
	}
	return chosen
}

// Observe sets the samplers that are live now, from load reports.
func (w *Wave) Observe(live []Sampler, now time.Time) {
	known := w.resetSamplers(len(live), now)
	for i := range live {
		entry := w.observeSampler(known, live[i].Server, live[i].Zone, 0)
		entry.running = live[i].Running
		w.observeVersion(entry, soleModel, live[i].Version, now)
	}
}

// Target returns the version that all samplers are to load.
func (w *Wave) Target() uint64 { return w.target }
