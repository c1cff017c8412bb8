// Package weight brings new weights to the samplers of models.
//
// Schedule decides which samplers change next and takes the time from its
// caller; Wave is the schedule of one model that all its samplers serve.
// Steering and Coordinator send the orders.
package weight

import "time"

// Wave decides which samplers of one model change their weights next, where all
// of them serve that model only. It does no input or output and is not safe for
// concurrent use.
type Wave struct {
	Schedule

	target uint64
}

// Sampler is what the other parts know of a sampler.
type Sampler struct {
	Server string
	Zone   string
	// Version that it shows; 0 if it is not known.
	Version uint64
	Running uint32
}

// soleModel is the name under which a wave's schedule holds its only model.
const soleModel = ""

// Announce sets the version wanted; a lower one than before is ignored. It
// reports whether it is newer.
func (w *Wave) Announce(version uint64) bool {
	if version <= w.target {
		return false
	}
	w.target = version
	w.SetDemand([]Demand{{Model: soleModel, NewestVersion: version, MinVersion: version, NextMinVersion: version}})
	return true
}

// Behind returns the number of samplers that don't show the version wanted.
func (w *Wave) Behind() int {
	behind := 0
	for _, sampler := range w.samplers {
		if sampler.shown[soleModel] < w.target {
			behind++
		}
	}
	return behind
}

// Next returns the samplers to order now, those in the zones where the fewest
// change first, and of them the least busy.
func (w *Wave) Next(now time.Time) []string {
	changes := w.Schedule.Next(now)
	var chosen []string
	for _, change := range changes {
		chosen = append(chosen, change.Sampler)
	}
	return chosen
}

// Observe takes the samplers that are live now, as load reports show them.
func (w *Wave) Observe(live []Sampler, now time.Time) {
	known := w.begin(len(live), now)
	for i := range live {
		one := w.observe(known, live[i].Server, live[i].Zone, 0)
		one.running = live[i].Running
		w.see(one, soleModel, live[i].Version, now)
	}
}

// Target returns the version wanted.
func (w *Wave) Target() uint64 { return w.target }
