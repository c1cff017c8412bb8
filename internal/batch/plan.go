// Package batch runs trainers' batches: it takes a batch so that it outlives
// every process, runs its items on samplers, has their texts judged, and lists
// the outcomes at places that never change.
//
// Plan holds the decisions and takes the time from its caller; owner runs a
// batch by it; Board holds the batches of a process.
package batch

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

const (
	// faultPause is the wait before an item runs again after its server failed;
	// it doubles up to greatestPause. The first is a few events long.
	faultPause    = 100 * time.Millisecond
	greatestPause = 2 * time.Second
	// rejectionsPerItem is how often a server must say that an item can never
	// be done before it is given up.
	rejectionsPerItem = 1
	// mostMoves is how often one item leaves a slow server. Each time its prompt
	// and text are read in again; a second move is worth that only where the first
	// one met a server that has just become slow too.
	mostMoves = 2
)

// Rules are what the batch's route says.
type Rules struct {
	// Attempts is the most failed answers of an item, and of its scorer.
	Attempts int
	// GiveUpAfter is when an item may be given up after the batch was accepted; 0 never.
	GiveUpAfter time.Duration
	// SingleVersion asks for texts that one weight version made.
	SingleVersion bool
}

// phase of an item.
type phase int

const (
	waiting phase = iota
	running
	unscored
	scoring
	settled
)

// item is one item of a plan.
type item struct {
	spec  *statepb.Item
	index int
	phase phase
	// events and versions are the text so far, a version for each event.
	events   []string
	versions []uint64
	// kept is the number of events that a keeper has.
	kept int
	// failures counts answers that say that the run failed, faults all others.
	failures       int
	faults         int
	scorerFailures int
	moves          int
	notBefore      clock.Boot
	outcome        *statepb.Outcome
	// reason says why the item was given up.
	reason string
}

// Job is an item to run or to have judged.
type Job struct {
	index  int
	spec   *statepb.Item
	events int
	// isFaulty says that a run of the item has ended by a fault of its server.
	isFaulty bool
}

// Spec returns the item.
func (j Job) Spec() *statepb.Item { return j.spec }

// Events returns the number of events that are there already.
func (j Job) Events() int { return j.events }

// Plan decides about the items of one batch. It does no input or output, takes
// the time from its caller and is not safe for concurrent use.
type Plan struct {
	rules Rules
	batch *statepb.Batch
	items []*item
	byID  map[string]*item
	// order holds the items that wait, in the order in which they run.
	order   []*item
	open    int
	pending []*statepb.Outcome
	// groups holds the number of each group's items without an outcome, whole
	// counts the groups that have none left.
	groups map[string]int
	whole  int
	urgent bool
	ended  bool
	// until is when items may be given up; 0 never.
	until clock.Boot
}

// NewPlan returns the plan of a batch of which nothing has run, accepted at a
// time of this host's clock.
func NewPlan(batch *statepb.Batch, rules Rules, accepted clock.Boot) *Plan {
	plan := &Plan{rules: rules, batch: batch, byID: map[string]*item{}, groups: map[string]int{}}
	if rules.GiveUpAfter > 0 {
		plan.until = accepted.Add(rules.GiveUpAfter)
	}
	for index, spec := range batch.GetItems() {
		one := &item{spec: spec, index: index}
		plan.items = append(plan.items, one)
		plan.byID[spec.GetId()] = one
		plan.groups[spec.GetGroup()]++
		plan.order = append(plan.order, one)
	}
	plan.open = len(plan.items)
	plan.sort()
	return plan
}

// sort puts the longest items first.
//
// A step is done with its last group. A long item that starts last keeps the
// trainer waiting while all other slots stand idle; started first, it overlaps
// with the short ones. The estimate is off for single items, and right for most.
func (p *Plan) sort() {
	slices.SortStableFunc(p.order, func(a, b *item) int {
		return cmp.Or(
			cmp.Compare(len(b.events), len(a.events)),
			cmp.Compare(b.spec.GetExpected(), a.spec.GetExpected()),
			cmp.Compare(a.index, b.index),
		)
	})
}

// Restore takes what an earlier owner has listed and handed over.
func (p *Plan) Restore(listed []*statepb.Outcome, partials []*statepb.Partial) {
	for _, outcome := range listed {
		if one := p.byID[outcome.GetItem()]; one != nil && one.phase != settled {
			one.phase = settled
			one.outcome = outcome
			p.open--
			p.closeGroup(one)
		}
	}
	for _, partial := range partials {
		one := p.byID[partial.GetItem()]
		if one == nil || one.phase != waiting || !p.fits(partial.GetVersions()) || len(partial.GetEvents()) != len(partial.GetVersions()) {
			continue
		}
		if len(partial.GetEvents()) > len(one.events) {
			one.events, one.versions = partial.GetEvents(), partial.GetVersions()
		}
	}
	p.order = slices.DeleteFunc(p.order, func(one *item) bool { return one.phase != waiting })
	p.sort()
}

func (p *Plan) fits(versions []uint64) bool {
	for _, version := range versions {
		if version < p.batch.GetOldest() {
			return false
		}
	}
	return !p.rules.SingleVersion || len(distinct(versions)) <= 1
}

// End notes that the trainer has ended the batch: nothing starts any more.
func (p *Plan) End() {
	p.ended = true
	p.order = nil
}

// IsEnded reports whether the trainer has ended the batch.
func (p *Plan) IsEnded() bool { return p.ended }

// IsComplete reports whether every item has its outcome.
func (p *Plan) IsComplete() bool { return p.open == 0 }

// Waiting returns the number of items that wait for a server.
func (p *Plan) Waiting() int { return len(p.order) }

// Next returns the item to run now, if there is one. It waits still until Start.
func (p *Plan) Next(now clock.Boot) (Job, bool) {
	p.giveUp(now)
	for _, one := range p.order {
		if one.notBefore <= now {
			return p.job(one), true
		}
	}
	return Job{}, false
}

// Start notes that an item runs.
func (p *Plan) Start(job Job) {
	one := p.items[job.index]
	one.phase = running
	p.order = slices.DeleteFunc(p.order, func(other *item) bool { return other == one })
}

// giveUp lists the items whose time is over as failed.
func (p *Plan) giveUp(now clock.Boot) {
	if p.until == 0 || now < p.until {
		return
	}
	p.GiveUp("its time was over")
}

// GiveUp lists all items that wait as failed.
func (p *Plan) GiveUp(reason string) {
	for len(p.order) > 0 {
		p.fail(p.order[0], reason)
	}
}

func (p *Plan) job(one *item) Job {
	return Job{index: one.index, spec: one.spec, events: len(one.events), isFaulty: one.faults > 0}
}

// Event takes the next event of a running item. It reports false if the run is
// to be stopped: its text would not be allowed, or is wanted no more.
func (p *Plan) Event(job Job, data string, version uint64) bool {
	one := p.items[job.index]
	if p.ended || one.phase != running {
		return false
	}
	if version < p.batch.GetOldest() {
		return false
	}
	if p.rules.SingleVersion && len(one.versions) > 0 && one.versions[0] != version {
		// Nothing of the text can be used: the rest is of another version.
		one.events, one.versions, one.kept = nil, nil, 0
		return false
	}
	one.events = append(one.events, data)
	one.versions = append(one.versions, version)
	return true
}

// MayMove reports whether a running item may leave its server for a faster one.
func (p *Plan) MayMove(index int) bool { return p.items[index].moves < mostMoves }

// Events returns the number of events of an item so far.
func (p *Plan) Events(job Job) int { return len(p.items[job.index].events) }

// Moved notes that a running item leaves its server for a faster one.
func (p *Plan) Moved(index int) { p.items[index].moves++ }

// Generated notes that a running item's text is whole.
func (p *Plan) Generated(job Job) { p.made(p.items[job.index]) }

// made notes that an item's text is whole, whether it was made now or by an
// earlier batch: it is judged, or listed where it has no scorer.
func (p *Plan) made(one *item) {
	if one.spec.GetScorer() == nil {
		p.settle(one, "")
		return
	}
	one.phase = unscored
}

// NextScore returns an item whose text is to be judged now, if there is one.
func (p *Plan) NextScore(now clock.Boot) (Job, bool) {
	if p.ended {
		return Job{}, false
	}
	for _, one := range p.items {
		if one.phase == unscored && one.notBefore <= now {
			one.phase = scoring
			return p.job(one), true
		}
	}
	return Job{}, false
}

// Scored notes the proof of the scorer's answer.
func (p *Plan) Scored(job Job, proof string) { p.settle(p.items[job.index], proof) }

// ScoringFailed notes that the scorer gave no judgement.
func (p *Plan) ScoringFailed(job Job, now clock.Boot) {
	one := p.items[job.index]
	one.phase = unscored
	one.notBefore = now.Add(faultPause)
}

// ScorerFailed notes that the scorer answered with failures.
//
// Some texts make their scorer fail each time. Asked on and on, it would keep a
// plain service busy with work that nobody gets anything of; so the item is
// given up after as many failures as the scorer's route allows attempts.
func (p *Plan) ScorerFailed(job Job, failed *ScoreError, now clock.Boot) {
	one := p.items[job.index]
	one.scorerFailures += failed.Failures
	if one.scorerFailures >= failed.MaxFailures {
		p.fail(one, "its scorer failed "+strconv.Itoa(one.scorerFailures)+" times")
		return
	}
	p.ScoringFailed(job, now)
}

// Interrupted notes that a run ended before its text was whole. What came of it stays,
// and the item goes on from there at the next server.
func (p *Plan) Interrupted(job Job, pause time.Duration, now clock.Boot) {
	one := p.items[job.index]
	if one.phase != running {
		return
	}
	one.phase = waiting
	one.notBefore = now.Add(pause)
	if !p.ended {
		p.order = append(p.order, one)
		p.sort()
	}
}

// Faulted notes that a server failed under a run; the item waits longer each time.
func (p *Plan) Faulted(job Job, now clock.Boot) {
	one := p.items[job.index]
	one.faults++
	p.Interrupted(job, min(faultPause<<min(one.faults-1, 5), greatestPause), now)
}

// Failed notes that a server answered that a run failed. An item that fails
// each time, or that can never be done, is given up.
func (p *Plan) Failed(job Job, never bool, now clock.Boot) {
	one := p.items[job.index]
	one.failures++
	if never && one.failures >= rejectionsPerItem || one.failures >= p.rules.Attempts {
		one.phase = waiting
		p.fail(one, "its runs failed "+strconv.Itoa(one.failures)+" times")
		return
	}
	p.Faulted(job, now)
}
