package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/fleet"
)

const (
	fleetStep      = 10 * time.Second
	fleetDay       = 24 * time.Hour
	fleetStart     = 3 * time.Minute
	fleetDrain     = time.Minute
	fleetService   = 20 * time.Second
	fleetSlots     = 16
	fleetQueue     = 4
	fleetLag       = 3
	fleetPeak      = 800.0
	fleetMin       = 7
	fleetMax       = 120
	fleetLossFrom  = 12 * time.Hour
	fleetLossUntil = 13 * time.Hour
)

var fleetZones = []string{"a", "b", "c", "d", "e", "f", "g"}

// Fleet measures the size of a pool's fleet over a day with a zone lost at the peak.
func Fleet() Experiment {
	return Experiment{Name: "fleet size: one pool, 7 zones, a day, a zone lost at the peak", Run: func(seed uint64) []Result {
		return []Result{
			runFleet("sizer", seed, newSizerPolicy(0.75, 10*time.Minute, 0.3)),
			runFleet("sizer, target 0.7", seed, newSizerPolicy(0.7, 10*time.Minute, 0.3)),
			runFleet("sizer, no slack", seed, newSizerPolicy(0.75, 10*time.Minute, 0)),
			runFleet("sizer, calm 1m", seed, newSizerPolicy(0.75, time.Minute, 0.3)),
			runFleet("fixed for the peak", seed, fixedPolicy(int(math.Ceil(fleetPeak*1.2/fleetSlots)))),
			runFleet("fixed, one zone spare", seed, fixedPolicy(int(math.Ceil(fleetPeak*1.2/fleetSlots*7/6)))),
			runFleet("threshold", seed, thresholdPolicy()),
		}
	}}
}

// sizePolicy returns the servers wanted, given those that are live or starting.
type sizePolicy func(now time.Time, need fleet.Need, present int) int

func newSizerPolicy(target float64, calm time.Duration, slack float64) sizePolicy {
	sizer := &fleet.Sizer{Min: fleetMin, Max: fleetMax, Target: target, ScaleDownDelay: calm, Slack: slack}
	return func(now time.Time, need fleet.Need, _ int) int { return sizer.Decide(now, need) }
}

func fixedPolicy(servers int) sizePolicy {
	return func(time.Time, fleet.Need, int) int { return servers }
}

// thresholdPolicy adds a tenth above four fifths of the slots and gives up a tenth below a half.
func thresholdPolicy() sizePolicy {
	return func(_ time.Time, need fleet.Need, present int) int {
		use := (need.Running + need.Queued) / (float64(max(present, 1)) * need.Slots)
		change := max(present/10, 1)
		switch {
		case use > 0.8:
			return min(present+change, fleetMax)
		case use < 0.5:
			return max(present-change, fleetMin)
		default:
			return present
		}
	}
}

// demand is the requests a second through a day.
type demand struct {
	random *rand.Rand
	burst  float64
}

func (d *demand) at(elapsed time.Duration) float64 {
	day := 0.5 - 0.45*math.Cos(2*math.Pi*elapsed.Hours()/24)
	d.burst *= math.Exp(-fleetStep.Minutes() / 5)
	if d.random.Float64() < fleetStep.Hours()*2 {
		d.burst += 0.2 + 0.5*d.random.Float64()
	}
	noise := 1 + 0.05*d.random.NormFloat64()
	return max(0, (day+d.burst*day)*noise) * fleetPeak / fleetService.Seconds()
}

// zoneFleet is the servers of one zone: live, and when the starting and draining ones end.
type zoneFleet struct {
	live     int
	starting []time.Time
	draining []time.Time
	lost     bool
}

func (z *zoneFleet) present() int { return z.live + len(z.starting) }

func (z *zoneFleet) advance(now time.Time) {
	for len(z.starting) > 0 && !now.Before(z.starting[0]) {
		z.starting = z.starting[1:]
		z.live++
	}
	for len(z.draining) > 0 && !now.Before(z.draining[0]) {
		z.draining = z.draining[1:]
	}
}

// resize starts or drains servers and returns how many orders that took.
func (z *zoneFleet) resize(now time.Time, wanted int) int {
	orders := 0
	for ; z.present() < wanted; orders++ {
		z.starting = append(z.starting, now.Add(fleetStart))
	}
	for ; z.present() > wanted && z.live > 0; orders++ {
		z.live--
		z.draining = append(z.draining, now.Add(fleetDrain))
	}
	return orders
}

// fleetRun is one day under one policy.
type fleetRun struct {
	zones   map[string]*zoneFleet
	system  float64
	arrived float64
	refused float64
	paid    float64
	least   float64
	orders  int
	waiting float64
	// needs are the newest needs; the policy sees the oldest of them.
	needs []fleet.Need
}

func runFleet(name string, seed uint64, policy sizePolicy) Result {
	demand := &demand{random: rand.New(rand.NewPCG(seed, 5))}
	run := &fleetRun{zones: map[string]*zoneFleet{}}
	for _, zone := range fleetZones {
		run.zones[zone] = &zoneFleet{live: 2}
	}
	for elapsed := time.Duration(0); elapsed < fleetDay; elapsed += fleetStep {
		run.step(time.Unix(0, 0).Add(elapsed), elapsed, demand.at(elapsed), policy)
	}
	return Result{Policy: name, Figures: []Figure{
		{Name: "hours/least", Value: run.paid / run.least},
		{Name: "refused %", Value: 100 * run.refused / run.arrived},
		{Name: "starts+stops/h", Value: float64(run.orders) / fleetDay.Hours()},
		{Name: "mean wait s", Value: run.waiting / run.arrived},
	}}
}

func (r *fleetRun) step(now time.Time, elapsed time.Duration, rate float64, policy sizePolicy) {
	r.lose(elapsed)
	live := 0
	for _, zone := range r.zones {
		zone.advance(now)
		live += zone.live
	}
	r.serve(rate, float64(live))
	r.pay(rate)
	r.resize(now, policy)
}

// lose takes a zone away and gives it back empty.
func (r *fleetRun) lose(elapsed time.Duration) {
	zone := r.zones[fleetZones[0]]
	if elapsed == fleetLossFrom {
		*zone = zoneFleet{lost: true}
	}
	if elapsed == fleetLossUntil {
		zone.lost = false
	}
}

func (r *fleetRun) serve(rate, live float64) {
	seconds := fleetStep.Seconds()
	arrived := rate * seconds
	running := min(r.system, live*fleetSlots)
	r.waiting += (r.system - running) * seconds
	r.system += arrived - running*seconds/fleetService.Seconds()
	over := max(0, r.system-live*(fleetSlots+fleetQueue))
	r.system -= over
	r.arrived += arrived
	r.refused += over
}

func (r *fleetRun) pay(rate float64) {
	for _, zone := range r.zones {
		r.paid += float64(zone.present()+len(zone.draining)) * fleetStep.Hours()
	}
	r.least += math.Ceil(rate*fleetService.Seconds()/fleetSlots) * fleetStep.Hours()
}

func (r *fleetRun) resize(now time.Time, policy sizePolicy) {
	present, total, live := map[string]int{}, 0, 0
	for name, zone := range r.zones {
		if zone.lost {
			continue
		}
		present[name] = zone.present()
		total += zone.present()
		live += zone.live
	}
	running := min(r.system, float64(live)*fleetSlots)
	need := fleet.Need{Running: running, Queued: r.system - running, Slots: fleetSlots}
	r.needs = append(r.needs, need)
	if len(r.needs) > fleetLag {
		r.needs = r.needs[1:]
	}
	shares := fleet.Spread(policy(now, r.needs[0], total), present)
	for name, wanted := range shares {
		r.orders += r.zones[name].resize(now, wanted)
	}
}
