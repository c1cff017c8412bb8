// Package weight brings new weights to all samplers of a model in waves.
//
// Wave decides which samplers change next and takes the time from its caller;
// Coordinator sends the orders.
package weight

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	leastPause    = 200 * time.Millisecond
	greatestPause = 5 * time.Second
	// DefaultLag is for how long a load report may show what was before a change.
	DefaultLag = 3 * time.Second
)

// Wave decides which samplers of one model change their weights next. It does
// no input or output and is not safe for concurrent use.
type Wave struct {
	// Share is the greatest share of the samplers that change at the same time.
	Share float64
	// Lag is for how long a load report may show what was before a change.
	Lag time.Duration

	target   uint64
	samplers map[string]*sampler
	width    width
}

// sampler is what is known of one sampler.
type sampler struct {
	server  string
	zone    string
	shown   uint64
	running uint32
	// ordered is the version of the newest order.
	ordered  uint64
	changing bool
	since    time.Time
	// settled is when it last answered an order.
	settled   time.Time
	failures  int
	notBefore time.Time
}

// Sampler is what the other parts know of a sampler.
type Sampler struct {
	Server string
	Zone   string
	// Version that it shows; 0 if it is not known.
	Version uint64
	Running uint32
}

// Announce sets the version wanted; a lower one than before is ignored. It
// reports whether it is newer.
func (w *Wave) Announce(version uint64) bool {
	if version <= w.target {
		return false
	}
	w.target = version
	for _, sampler := range w.samplers {
		sampler.failures = 0
		sampler.notBefore = time.Time{}
	}
	return true
}

// Behind returns the number of samplers that don't show the version wanted.
func (w *Wave) Behind() int {
	behind := 0
	for _, sampler := range w.samplers {
		if sampler.shown < w.target {
			behind++
		}
	}
	return behind
}

// Changing returns the number of samplers with an order under way.
func (w *Wave) Changing() int {
	changing := 0
	for _, sampler := range w.samplers {
		if sampler.changing {
			changing++
		}
	}
	return changing
}

// Done notes the version that a sampler showed after an order.
//
// A swap can fail while the order is answered, and an engine that ignores
// fencing numbers can be set back by an old order: only the version shown
// counts, and one that is too old is ordered again.
func (w *Wave) Done(server string, shown uint64, now time.Time) {
	sampler := w.samplers[server]
	if sampler == nil || !sampler.changing {
		return
	}
	sampler.changing = false
	sampler.settled = now
	sampler.shown = shown
	if shown < sampler.ordered {
		w.fail(sampler, now)
		return
	}
	sampler.failures = 0
	w.width.learn(now.Sub(sampler.since))
}

// Failed notes that an order was not answered, or refused.
func (w *Wave) Failed(server string, now time.Time) {
	sampler := w.samplers[server]
	if sampler == nil || !sampler.changing {
		return
	}
	sampler.changing = false
	// An order that timed out has waited for the store; one refused at once says nothing of it.
	w.width.narrow(now.Sub(sampler.since))
	w.fail(sampler, now)
}

func (w *Wave) fail(sampler *sampler, now time.Time) {
	sampler.failures++
	sampler.notBefore = now.Add(min(leastPause<<min(sampler.failures-1, 5), greatestPause))
}

// Next returns the samplers to order now, those in the zones with the most
// capacity left first, and of them the least busy.
func (w *Wave) Next(now time.Time) []string {
	free := w.Limit() - w.Changing()
	if free <= 0 {
		return nil
	}
	waiting := w.waitingByZone(now)
	changing := w.changingByZone()
	var chosen []string
	for len(chosen) < free && len(waiting) > 0 {
		zone := leastChanging(waiting, changing)
		sampler := waiting[zone][0]
		waiting[zone] = waiting[zone][1:]
		if len(waiting[zone]) == 0 {
			delete(waiting, zone)
		}
		changing[zone]++
		sampler.changing = true
		sampler.since = now
		sampler.ordered = w.target
		chosen = append(chosen, sampler.server)
	}
	return chosen
}

// Limit returns how many samplers may change at the same time now.
func (w *Wave) Limit() int {
	most := int(math.Max(1, w.Share*float64(len(w.samplers))))
	return w.width.limit(most)
}

// Observe takes the samplers that are live now, as load reports show them.
func (w *Wave) Observe(live []Sampler, now time.Time) {
	known := w.samplers
	w.samplers = make(map[string]*sampler, len(live))
	for _, one := range live {
		present := known[one.Server]
		if present == nil {
			present = &sampler{server: one.Server}
		}
		present.zone = one.Zone
		present.running = one.Running
		w.see(present, one.Version, now)
		w.samplers[one.Server] = present
	}
}

// see takes the version of a load report. Reports lag: just after a change they
// still show the version before, and believing them would order it again.
func (w *Wave) see(sampler *sampler, version uint64, now time.Time) {
	if version == 0 || version == sampler.shown {
		return
	}
	if version < sampler.shown && now.Sub(sampler.settled) < w.Lag {
		return
	}
	sampler.shown = version
}

// Target returns the version wanted.
func (w *Wave) Target() uint64 { return w.target }

// waitingByZone returns the samplers that may be ordered, the least busy first.
func (w *Wave) waitingByZone(now time.Time) map[string][]*sampler {
	waiting := map[string][]*sampler{}
	for _, sampler := range w.samplers {
		if sampler.shown < w.target && !sampler.changing && !now.Before(sampler.notBefore) {
			waiting[sampler.zone] = append(waiting[sampler.zone], sampler)
		}
	}
	for _, zone := range waiting {
		slices.SortFunc(zone, func(a, b *sampler) int {
			return cmp.Or(cmp.Compare(a.running, b.running), cmp.Compare(a.server, b.server))
		})
	}
	return waiting
}

func (w *Wave) changingByZone() map[string]int {
	changing := map[string]int{}
	for _, sampler := range w.samplers {
		if sampler.changing {
			changing[sampler.zone]++
		}
	}
	return changing
}

// leastChanging returns the zone with waiting samplers where the fewest change.
func leastChanging(waiting map[string][]*sampler, changing map[string]int) string {
	best, found := "", false
	for zone := range waiting {
		if !found || changing[zone] < changing[best] || changing[zone] == changing[best] && zone < best {
			best, found = zone, true
		}
	}
	return best
}
