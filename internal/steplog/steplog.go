// Package steplog reads the structured logs of gateways and tells for each step
// of a trainer where its time went.
package steplog

import (
	"bufio"
	"cmp"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/rotisserie/eris"
)

// mostLine is the longest line of a log that is read.
const mostLine = 1 << 20

// line matches what klog writes of a batch, whatever stands before it: what
// gathers the logs of many hosts puts names and times of its own there.
var line = regexp.MustCompile(`[IWE](\d{4} \d{2}:\d{2}:\d{2}\.\d{6})\s+\d+ \S+\] "batch: ([^"]*)"(.*)$`)

// lineTime is the time of a line; klog leaves the year out.
const lineTime = "0102 15:04:05.000000"

// Step is a trainer's step and where its time went. Its parts are those of its
// last text, the one that was made last before the trainer ended the step.
type Step struct {
	Batch  string
	Model  string
	Number int
	Items  int
	// Accepted is when the step was taken; the year is unknown.
	Accepted time.Time
	// HalfPlaced is when half of its items had a sampler, counted from Accepted.
	HalfPlaced time.Duration
	// Waited is how long the last text waited for its first sampler.
	Waited time.Duration
	// Interrupted is the time from its first placement to its last one: runs that were cut
	// or moved, and the waits after them.
	Interrupted time.Duration
	// Ran is the time of its last run.
	Ran time.Duration
	// Listed is the time from its end until the step's last outcome before its end was
	// in the store: scorers, gathering, and a store that is away.
	Listed time.Duration
	// Closed is the time from then on until the trainer ended the step.
	Closed time.Duration
	// RepeatedPlacements counts placements after the first one of an item, Takeovers owners after
	// the first one, Unwritten writes to the store that failed.
	RepeatedPlacements, Takeovers, Unwritten int
}

// Total returns the time from the step's acceptance to its end.
func (s *Step) Total() time.Duration { return s.Waited + s.Interrupted + s.Ran + s.Listed + s.Closed }

// reading is what is known of a step while its lines are read.
type reading struct {
	Step

	ended time.Time
	// listed are the times of writes of outcomes.
	listed []time.Time
	items  map[string]*item
}

// item is what is known of an item.
type item struct {
	placed []time.Time
	made   time.Time
}

// Read reads logs and returns the steps that were ended, in the order in which
// they were accepted. Lines that aren't of batches are passed over.
func Read(logs io.Reader) ([]Step, error) {
	found := map[string]*reading{}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, mostLine)
	for scanner.Scan() {
		match := line.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		at, err := time.Parse(lineTime, match[1])
		if err != nil {
			return nil, eris.Wrap(err, "read steps")
		}
		take(found, at, match[2], fields(match[3]))
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(err, "read steps")
	}
	var steps []Step
	for _, one := range found {
		if step, ok := one.finish(); ok {
			steps = append(steps, step)
		}
	}
	slices.SortFunc(steps, func(a, b Step) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.Batch, b.Batch))
	})
	return steps, nil
}

// fields returns the values of a line by their keys.
func fields(text string) map[string]string {
	values := map[string]string{}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			values[string(decoder.Key())] = string(decoder.Value())
		}
	}
	return values
}

// take takes one line.
func take(found map[string]*reading, at time.Time, what string, values map[string]string) {
	id := values["batch"]
	one := found[id]
	if one == nil {
		one = &reading{Step: Step{Batch: id}, items: map[string]*item{}}
		found[id] = one
	}
	switch what {
	case "accepted":
		one.Accepted, one.Model = at, values["model"]
		one.Number, one.Items = number(values["step"]), number(values["items"])
	case "placed":
		placed := one.item(values["id"])
		placed.placed = append(placed.placed, at)
	case "generated":
		one.item(values["id"]).made = at
	case "taken over", "taken from its owner":
		one.Takeovers++
	case "listed":
		one.listed = append(one.listed, at)
	case "a chunk was not written":
		one.Unwritten++
	case "its trainer has ended it":
		if one.ended.IsZero() {
			one.ended = at
		}
	}
}

// number reads a count; what isn't one is 0, as where a line lacks it.
func number(text string) int {
	value, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return value
}

func (r *reading) item(id string) *item {
	if r.items[id] == nil {
		r.items[id] = &item{}
	}
	return r.items[id]
}

// finish works out where the time went. It reports false for a step that wasn't
// accepted and ended within the logs, or of which no text was made.
func (r *reading) finish() (Step, bool) {
	if r.Accepted.IsZero() || r.ended.IsZero() {
		return Step{}, false
	}
	var last *item
	var first []time.Duration
	for _, one := range r.items {
		if len(one.placed) == 0 {
			continue
		}
		first = append(first, one.placed[0].Sub(r.Accepted))
		r.RepeatedPlacements += len(one.placed) - 1
		if !one.made.IsZero() && !one.made.After(r.ended) && (last == nil || one.made.After(last.made)) {
			last = one
		}
	}
	if last == nil {
		return Step{}, false
	}
	slices.Sort(first)
	latest := last.placed[len(last.placed)-1]
	r.HalfPlaced = first[len(first)/2]
	r.Waited = last.placed[0].Sub(r.Accepted)
	r.Interrupted = latest.Sub(last.placed[0])
	r.Ran = last.made.Sub(latest)
	listed := r.lastListed(last.made)
	r.Listed = listed.Sub(last.made)
	r.Closed = r.ended.Sub(listed)
	return r.Step, true
}

// lastListed returns the last write of outcomes between a time and the step's end; the
// time itself if there is none.
func (r *reading) lastListed(after time.Time) time.Time {
	last := after
	for _, at := range r.listed {
		if at.After(last) && !at.After(r.ended) {
			last = at
		}
	}
	return last
}
