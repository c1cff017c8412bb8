package rollout

import (
	"fmt"
	"time"
)

// Attempt is one run of a slot's prompt.
type Attempt struct {
	slot   uint32
	term   uint64
	number uint32
	id     string
	group  uint32
	prompt string
	second bool
	oldest uint64
}

// Group returns the number of the prompt among those of the step.
func (a Attempt) Group() uint32 { return a.group }

// ID returns the identity of the request that runs the attempt.
func (a Attempt) ID() string { return a.id }

// Number returns the attempt's number among those of its slot and term, from 1.
func (a Attempt) Number() uint32 { return a.number }

// MinVersion returns the oldest version that a sampler may show to run the attempt.
func (a Attempt) MinVersion() uint64 { return a.oldest }

// Prompt returns the text to complete.
func (a Attempt) Prompt() string { return a.prompt }

// IsSecondRun reports whether another attempt at the slot was running.
func (a Attempt) IsSecondRun() bool { return a.second }

// Slot returns the number of the slot in the step.
func (a Attempt) Slot() uint32 { return a.slot }

// Term returns the fencing number of the holder that runs it.
func (a Attempt) Term() uint64 { return a.term }

// run is what is known of a running attempt.
type run struct {
	attempt Attempt
	pace    pace
	// oldest is the lowest version among its tokens; 0 while it has none.
	oldest uint64
}

func attemptID(trainer string, step uint64, slot uint32, term uint64, number uint32) string {
	return fmt.Sprintf("%s/%d/%d/%d.%d", trainer, step, slot, term, number)
}

// pace measures how fast an attempt yields tokens, over the newest one or two windows.
type pace struct {
	start time.Time
	first time.Time
	// Token counts and times at the two newest marks.
	markTime   time.Time
	markTokens uint64
	lastTime   time.Time
	lastTokens uint64
	tokens     uint64
}

const paceWindow = 2 * time.Second

func (p *pace) add(tokens uint64, now time.Time) {
	if p.first.IsZero() {
		p.first = now
		p.markTime, p.lastTime = now, now
	}
	p.tokens += tokens
	if now.Sub(p.lastTime) >= paceWindow {
		p.markTime, p.markTokens = p.lastTime, p.lastTokens
		p.lastTime, p.lastTokens = now, p.tokens
	}
}

// rate returns tokens a second. It falls while no token comes.
func (p *pace) rate(now time.Time) float64 {
	if p.first.IsZero() {
		return 0
	}
	elapsed := now.Sub(p.markTime).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return float64(p.tokens-p.markTokens) / elapsed
}
