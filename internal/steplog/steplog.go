// Package steplog reads the structured logs of gateways and reports how the time of
// each step of a trainer was spent.
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

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// batchLine matches the lines that klog writes about batches, with any prefix: log
// collectors prepend host names and their own times.
var batchLine = regexp.MustCompile(`[IWE](\d{4} \d{2}:\d{2}:\d{2}\.\d{6})\s+\d+ \S+\] "batch: ([^"]*)"(.*)$`)

// lineTimeLayout is the layout of a line's time; klog omits the year.
const lineTimeLayout = "0102 15:04:05.000000"

// Step is a trainer's step and how its time was spent. The parts describe the
// step's last text: the one generated last before the trainer ended the step.
type Step struct {
	Batch  string
	Model  string
	Number int
	Items  int
	// Accepted is when the step was accepted; the year is unknown.
	Accepted time.Time
	// HalfPlaced is the time from Accepted until half of the items had a sampler.
	HalfPlaced time.Duration
	// Waited is how long the last text waited for its first sampler.
	Waited time.Duration
	// Interrupted is the time from the last text's first placement to its last
	// placement: interrupted or moved runs, and the waits after them.
	Interrupted time.Duration
	// Ran is the duration of the last text's last run.
	Ran time.Duration
	// Listed is the time from the end of that run until the store held the last
	// outcome listed before the step's end: scoring, gathering, and an unavailable
	// store.
	Listed time.Duration
	// Closed is the time from that write until the trainer ended the step.
	Closed time.Duration
	// RepeatedPlacements counts placements after the first one of an item, Takeovers owners after
	// the first one, and Unwritten failed writes to the store.
	RepeatedPlacements, Takeovers, Unwritten int
}

// Total returns the time from the step's acceptance to its end.
func (s *Step) Total() time.Duration { return s.Waited + s.Interrupted + s.Ran + s.Listed + s.Closed }

// stepTrace collects the events of a step while its lines are read.
type stepTrace struct {
	Step

	endedAt time.Time
	// listedAt are the times of writes of outcomes.
	listedAt []time.Time
	items    map[string]*itemTrace
}

// itemTrace collects the events of an item.
type itemTrace struct {
	placedAt    []time.Time
	generatedAt time.Time
}

// Read reads logs and returns the steps that have ended, in the order of their
// acceptance. It skips lines that are not about batches.
func Read(logs io.Reader) ([]Step, error) {
	traces := map[string]*stepTrace{}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		match := batchLine.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		at, err := time.Parse(lineTimeLayout, match[1])
		if err != nil {
			return nil, eris.Wrap(err, "parse the time of a log line")
		}
		addLine(traces, at, match[2], parseFields(match[3]))
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(err, "read logs")
	}
	var steps []Step
	for _, trace := range traces {
		if step, ok := trace.summarize(); ok {
			steps = append(steps, step)
		}
	}
	slices.SortFunc(steps, func(a, b Step) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.Batch, b.Batch))
	})
	return steps, nil
}

// parseFields returns the values of a line by key.
func parseFields(text string) map[string]string {
	values := map[string]string{}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			values[string(decoder.Key())] = string(decoder.Value())
		}
	}
	return values
}

// addLine adds the event of one line to the trace of its batch.
func addLine(traces map[string]*stepTrace, at time.Time, event string, values map[string]string) {
	id := values["batch"]
	trace := traces[id]
	if trace == nil {
		trace = &stepTrace{Step: Step{Batch: id}, items: map[string]*itemTrace{}}
		traces[id] = trace
	}
	switch event {
	case "accepted":
		trace.Accepted, trace.Model = at, values["model"]
		trace.Number, trace.Items = parseCount(values["step"]), parseCount(values["items"])
	case "placed":
		item := trace.item(values["id"])
		item.placedAt = append(item.placedAt, at)
	case "generated":
		trace.item(values["id"]).generatedAt = at
	case "taken over", "taken from its owner":
		trace.Takeovers++
	case "listed":
		trace.listedAt = append(trace.listedAt, at)
	case "a chunk was not written":
		trace.Unwritten++
	case "its trainer has ended it":
		if trace.endedAt.IsZero() {
			trace.endedAt = at
		}
	}
}

// parseCount parses a count; a missing or malformed one is 0.
func parseCount(text string) int {
	value, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return value
}

func (t *stepTrace) item(id string) *itemTrace {
	if t.items[id] == nil {
		t.items[id] = &itemTrace{}
	}
	return t.items[id]
}

// summarize computes how the step's time was spent. It reports false for a step
// that was not accepted and ended within the logs, or that has no generated text.
func (t *stepTrace) summarize() (Step, bool) {
	if t.Accepted.IsZero() || t.endedAt.IsZero() {
		return Step{}, false
	}
	var last *itemTrace
	var firstWaits []time.Duration
	for _, candidate := range t.items {
		if len(candidate.placedAt) == 0 {
			continue
		}
		firstWaits = append(firstWaits, candidate.placedAt[0].Sub(t.Accepted))
		t.RepeatedPlacements += len(candidate.placedAt) - 1
		if !candidate.generatedAt.IsZero() && !candidate.generatedAt.After(t.endedAt) && (last == nil || candidate.generatedAt.After(last.generatedAt)) {
			last = candidate
		}
	}
	if last == nil {
		return Step{}, false
	}
	slices.Sort(firstWaits)
	lastPlacedAt := last.placedAt[len(last.placedAt)-1]
	t.HalfPlaced = firstWaits[len(firstWaits)/2]
	t.Waited = last.placedAt[0].Sub(t.Accepted)
	t.Interrupted = lastPlacedAt.Sub(last.placedAt[0])
	t.Ran = last.generatedAt.Sub(lastPlacedAt)
	listed := t.lastListed(last.generatedAt)
	t.Listed = listed.Sub(last.generatedAt)
	t.Closed = t.endedAt.Sub(listed)
	return t.Step, true
}

// lastListed returns the last write of outcomes between a time and the step's end, or
// the time itself if there is none.
func (t *stepTrace) lastListed(after time.Time) time.Time {
	last := after
	for _, at := range t.listedAt {
		if at.After(last) && !at.After(t.endedAt) {
			last = at
		}
	}
	return last
}
