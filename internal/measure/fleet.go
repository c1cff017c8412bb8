package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/fleet"
)

const (
	fleetStep        = 10 * time.Second
	fleetDay         = 24 * time.Hour
	fleetStartupTime = 3 * time.Minute
	fleetDrainTime   = time.Minute
	fleetServiceTime = 20 * time.Second
	fleetSlots       = 16
	fleetQueueSize   = 4
	fleetReportLag   = 3
	fleetPeakRunning = 800.0
	fleetMin         = 7
	fleetMax         = 120
	fleetOutageStart = 12 * time.Hour
	fleetOutageEnd   = 13 * time.Hour
)

var fleetZones = []string{"a", "b", "c", "d", "e", "f", "g"}

// Fleet compares policies for the size of a pool over a day with a zone outage at the peak.
func Fleet() Experiment {
	return Experiment{Name: "fleet size: one pool, 7 zones, a day, a zone lost at the peak", Run: func(seed uint64) []Result {
		return []Result{
			runFleet("sizer", seed, newSizerPolicy(0.75, 10*time.Minute, 0.3)),
			runFleet("sizer, target 0.7", seed, newSizerPolicy(0.7, 10*time.Minute, 0.3)),
			runFleet("sizer, no slack", seed, newSizerPolicy(0.75, 10*time.Minute, 0)),
			runFleet("sizer, calm 1m", seed, newSizerPolicy(0.75, time.Minute, 0.3)),
			runFleet("fixed for the peak", seed, fixedPolicy(int(math.Ceil(fleetPeakRunning*1.2/fleetSlots)))),
			runFleet("fixed, one zone spare", seed, fixedPolicy(int(math.Ceil(fleetPeakRunning*1.2/fleetSlots*7/6)))),
			runFleet("threshold", seed, thresholdPolicy()),
		}
	}}
}

// sizingPolicy returns the wanted number of servers; provisioned counts live and starting servers.
type sizingPolicy func(now time.Time, need fleet.Need, provisioned int) int

func newSizerPolicy(target float64, scaleDownDelay time.Duration, slack float64) sizingPolicy {
	sizer := &fleet.Sizer{Min: fleetMin, Max: fleetMax, Target: target, ScaleDownDelay: scaleDownDelay, Slack: slack}
	return func(now time.Time, need fleet.Need, _ int) int { return sizer.Decide(now, need) }
}

func fixedPolicy(servers int) sizingPolicy {
	return func(time.Time, fleet.Need, int) int { return servers }
}

// thresholdPolicy adds a tenth of the servers above a utilization of four fifths, and removes a
// tenth below a half.
func thresholdPolicy() sizingPolicy {
	return func(_ time.Time, need fleet.Need, provisioned int) int {
		utilization := (need.Running + need.Queued) / (float64(max(provisioned, 1)) * need.Slots)
		change := max(provisioned/10, 1)
		switch {
		case utilization > 0.8:
			return min(provisioned+change, fleetMax)
		case utilization < 0.5:
			return max(provisioned-change, fleetMin)
		default:
			return provisioned
		}
	}
}

// arrivals models the requests per second over a day.
type arrivals struct {
	random *rand.Rand
	burst  float64
}

func (a *arrivals) rate(elapsed time.Duration) float64 {
	daily := 0.5 - 0.45*math.Cos(2*math.Pi*elapsed.Hours()/24)
	a.burst *= math.Exp(-fleetStep.Minutes() / 5)
	if a.random.Float64() < fleetStep.Hours()*2 {
		a.burst += 0.2 + 0.5*a.random.Float64()
	}
	noise := 1 + 0.05*a.random.NormFloat64()
	return max(0, (daily+a.burst*daily)*noise) * fleetPeakRunning / fleetServiceTime.Seconds()
}

// zoneFleet holds the number of a zone's live servers, and the times at which its starting and
// draining servers are done.
type zoneFleet struct {
	live     int
	starting []time.Time
	draining []time.Time
	isDown   bool
}

func (z *zoneFleet) provisioned() int { return z.live + len(z.starting) }

func (z *zoneFleet) advance(now time.Time) {
	for len(z.starting) > 0 && !now.Before(z.starting[0]) {
		z.starting = z.starting[1:]
		z.live++
	}
	for len(z.draining) > 0 && !now.Before(z.draining[0]) {
		z.draining = z.draining[1:]
	}
}

// resize starts or drains servers and returns their number.
func (z *zoneFleet) resize(now time.Time, wanted int) int {
	orders := 0
	for ; z.provisioned() < wanted; orders++ {
		z.starting = append(z.starting, now.Add(fleetStartupTime))
	}
	for ; z.provisioned() > wanted && z.live > 0; orders++ {
		z.live--
		z.draining = append(z.draining, now.Add(fleetDrainTime))
	}
	return orders
}

// fleetRun simulates one day under one policy.
type fleetRun struct {
	zones          map[string]*zoneFleet
	inSystem       float64
	arrived        float64
	refused        float64
	serverHours    float64
	minServerHours float64
	orders         int
	waitSeconds    float64
	// needs holds the last fleetReportLag needs; the policy receives the oldest of them.
	needs []fleet.Need
}

func runFleet(name string, seed uint64, policy sizingPolicy) Result {
	arrivals := &arrivals{random: rand.New(rand.NewPCG(seed, 5))}
	run := &fleetRun{zones: map[string]*zoneFleet{}}
	for _, zone := range fleetZones {
		run.zones[zone] = &zoneFleet{live: 2}
	}
	for elapsed := time.Duration(0); elapsed < fleetDay; elapsed += fleetStep {
		run.step(time.Unix(0, 0).Add(elapsed), elapsed, arrivals.rate(elapsed), policy)
	}
	return Result{Policy: name, Figures: []Figure{
		{Name: "hours/least", Value: run.serverHours / run.minServerHours},
		{Name: "refused %", Value: 100 * run.refused / run.arrived},
		{Name: "starts+stops/h", Value: float64(run.orders) / fleetDay.Hours()},
		{Name: "mean wait s", Value: run.waitSeconds / run.arrived},
	}}
}

func (r *fleetRun) step(now time.Time, elapsed time.Duration, rate float64, policy sizingPolicy) {
	r.updateOutage(elapsed)
	live := 0
	for _, zone := range r.zones {
		zone.advance(now)
		live += zone.live
	}
	r.serve(rate, float64(live))
	r.countServerHours(rate)
	r.resize(now, policy)
}

// updateOutage starts and ends the outage of a zone, which has no servers when the outage ends.
func (r *fleetRun) updateOutage(elapsed time.Duration) {
	zone := r.zones[fleetZones[0]]
	if elapsed == fleetOutageStart {
		*zone = zoneFleet{isDown: true}
	}
	if elapsed == fleetOutageEnd {
		zone.isDown = false
	}
}

func (r *fleetRun) serve(rate, live float64) {
	seconds := fleetStep.Seconds()
	arrived := rate * seconds
	running := min(r.inSystem, live*fleetSlots)
	r.waitSeconds += (r.inSystem - running) * seconds
	r.inSystem += arrived - running*seconds/fleetServiceTime.Seconds()
	excess := max(0, r.inSystem-live*(fleetSlots+fleetQueueSize))
	r.inSystem -= excess
	r.arrived += arrived
	r.refused += excess
}

func (r *fleetRun) countServerHours(rate float64) {
	for _, zone := range r.zones {
		r.serverHours += float64(zone.provisioned()+len(zone.draining)) * fleetStep.Hours()
	}
	r.minServerHours += math.Ceil(rate*fleetServiceTime.Seconds()/fleetSlots) * fleetStep.Hours()
}

func (r *fleetRun) resize(now time.Time, policy sizingPolicy) {
	provisioned, total, live := map[string]int{}, 0, 0
	for name, zone := range r.zones {
		if zone.isDown {
			continue
		}
		provisioned[name] = zone.provisioned()
		total += zone.provisioned()
		live += zone.live
	}
	running := min(r.inSystem, float64(live)*fleetSlots)
	need := fleet.Need{Running: running, Queued: r.inSystem - running, Slots: fleetSlots}
	r.needs = append(r.needs, need)
	if len(r.needs) > fleetReportLag {
		r.needs = r.needs[1:]
	}
	shares := fleet.Spread(policy(now, r.needs[0], total), provisioned)
	for name, wanted := range shares {
		r.orders += r.zones[name].resize(now, wanted)
	}
}
