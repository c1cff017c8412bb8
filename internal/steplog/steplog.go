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
	// Held is how long the step's model was held at its cap in a shared pool while the step ran, and
	// HeldShare the smallest share of the pool's slots that it had then.
	Held      time.Duration
	HeldShare float64
	// HeldBy is the model that ran most generations in the pool meanwhile, HeldByRunning their number,
	// as far as the logs show it.
	HeldBy        string
	HeldByRunning int
	// Moved counts runs that moved to a faster server.
	Moved int
	// SlowPlaced counts placements on slow servers: those of a gap above slowRatio times the least
	// gap of the step's placements.
	SlowPlaced int
}

const (
	// heldInterval is the time for which a line about a held model stands; the model is logged once
	// in it.
	heldInterval = time.Second
	// slowRatio is the ratio of gaps from which a server is slow, as in package route.
	slowRatio = 1.4
)

// Total returns the time from the step's acceptance to its end.
func (s *Step) Total() time.Duration { return s.Waited + s.Interrupted + s.Ran + s.Listed + s.Closed }

// stepTrace collects the events of a step while its lines are read.
type stepTrace struct {
	Step

	endedAt time.Time
	// listedAt are the times of writes of outcomes.
	listedAt []time.Time
	items    map[string]*itemTrace
	// held are the lines about the model held at its cap.
	held []heldLine
	// gaps are the gaps of the placements whose server's gap was known.
	gaps []time.Duration
}

// heldLine is a line about a model that is held at its cap.
type heldLine struct {
	at         time.Time
	cap, slots int
}

// itemTrace collects the events of an item.
type itemTrace struct {
	placedAt    []time.Time
	generatedAt time.Time
	// runEndedAt are the ends of its runs. Runs that were stopped or refused leave none.
	runEndedAt []time.Time
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
		if step, ok := trace.summarize(traces); ok {
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
		if gap, err := time.ParseDuration(values["gap"]); err == nil && gap > 0 {
			trace.gaps = append(trace.gaps, gap)
		}
	case "generated":
		item := trace.item(values["id"])
		item.generatedAt = at
		item.runEndedAt = append(item.runEndedAt, at)
	case "run ended":
		item := trace.item(values["id"])
		item.runEndedAt = append(item.runEndedAt, at)
	case "model is held at its cap":
		trace.held = append(trace.held, heldLine{at, parseCount(values["cap"]), parseCount(values["slots"])})
	case "moving a run to a faster server":
		trace.Moved++
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
func (t *stepTrace) summarize(traces map[string]*stepTrace) (Step, bool) {
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
	t.summarizeHeld(traces)
	t.SlowPlaced = countSlow(t.gaps)
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

// summarizeHeld computes how long the step's model was held at its cap, and which other model ran most
// meanwhile.
func (t *stepTrace) summarizeHeld(traces map[string]*stepTrace) {
	running := map[string]int{}
	// The logs of several gateways are read one after the other.
	slices.SortFunc(t.held, func(a, b heldLine) int { return a.at.Compare(b.at) })
	// The times are of the year 0, so the zero time, of the year 1, is after all of them.
	until := t.Accepted
	for _, line := range t.held {
		if line.at.After(t.endedAt) {
			break
		}
		from, end := line.at, line.at.Add(heldInterval)
		if end.After(t.endedAt) {
			end = t.endedAt
		}
		if from.Before(until) {
			from = until
		}
		if end.After(from) {
			t.Held += end.Sub(from)
			until = end
		}
		if share := float64(line.cap) / float64(max(1, line.slots)); t.HeldShare == 0 || share < t.HeldShare {
			t.HeldShare = share
		}
		for model, count := range runningAt(traces, line.at) {
			running[model] = max(running[model], count)
		}
	}
	delete(running, t.Model)
	for model, count := range running {
		if count > t.HeldByRunning || count == t.HeldByRunning && model < t.HeldBy {
			t.HeldBy, t.HeldByRunning = model, count
		}
	}
}

// runningAt returns the number of running generations of each model at a time.
func runningAt(traces map[string]*stepTrace, at time.Time) map[string]int {
	running := map[string]int{}
	for _, trace := range traces {
		if !trace.endedAt.IsZero() && trace.endedAt.Before(at) {
			continue
		}
		for _, item := range trace.items {
			if item.isRunningAt(at) {
				running[trace.Model]++
			}
		}
	}
	return running
}

// isRunningAt reports whether the last event of an item's runs up to a time is a placement.
func (i *itemTrace) isRunningAt(at time.Time) bool {
	placed, isPlaced := lastUntil(i.placedAt, at)
	ended, hasEnded := lastUntil(i.runEndedAt, at)
	return isPlaced && (!hasEnded || placed.After(ended))
}

// lastUntil returns the last of the times that isn't after a time.
func lastUntil(times []time.Time, until time.Time) (last time.Time, isFound bool) {
	for _, at := range times {
		if !at.After(until) && (!isFound || at.After(last)) {
			last, isFound = at, true
		}
	}
	return last, isFound
}

// countSlow returns the number of gaps above slowRatio times the least one.
func countSlow(gaps []time.Duration) int {
	count := 0
	for _, gap := range gaps {
		if float64(gap) > slowRatio*float64(slices.Min(gaps)) {
			count++
		}
	}
	return count
}
