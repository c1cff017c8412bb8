package batch

import "sync"

// minRemaining is the expected number of further events of any text: even a text that is longer than its hint rarely ends
// with the next event.
const minRemaining = 4

// maxExpectedEvents bounds the expected events of a text: more than a run can generate before it is stopped. A trainer's hint
// has no bound, and its product with a gap would overflow.
const maxExpectedEvents = 1e6

// Lengths learns how many events a text has for each token that its trainer expects; an event may hold several tokens. It is
// safe for concurrent use. The zero value, and nil, know nothing.
type Lengths struct {
	mutex sync.Mutex
	// ratios is the sum of the ratios of events to expected tokens of the texts.
	ratios float64
	texts  int
}

// Record records the events of a complete text and its expected tokens.
func (l *Lengths) Record(events int, expected uint64) {
	if l == nil || expected == 0 || events == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ratios += float64(events) / float64(expected)
	l.texts++
}

// Events returns the expected events of a text with these expected tokens; 0 while no text has completed.
func (l *Lengths) Events(expected uint64) int {
	if l == nil {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.texts == 0 {
		return 0
	}
	return int(min(l.ratios/float64(l.texts)*float64(expected), maxExpectedEvents))
}

// UseLengths makes the plan expect and learn lengths. It is called before the first other call.
func (p *Plan) UseLengths(lengths *Lengths) { p.lengths = lengths }

// Remaining returns the expected number of events that an item still generates: by its hint, or by what it has generated so
// far, which says more once it is beyond the hint.
func (p *Plan) Remaining(index int) int {
	item := p.items[index]
	generated := len(item.events)
	return max(p.lengths.Events(item.spec.GetExpected())-generated, generated/2, minRemaining)
}
