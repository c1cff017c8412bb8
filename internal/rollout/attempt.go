package rollout

import (
	"fmt"
	"time"
)

// Attempt is one run of a slot's prompt.
type Attempt struct {
	slot        uint32
	term        uint64
	number      uint32
	id          string
	group       uint32
	prompt      string
	isSecondRun bool
	minVersion  uint64
}

// Group returns the index of the prompt within the step.
func (a Attempt) Group() uint32 { return a.group }

// ID returns the ID of the request that runs the attempt.
func (a Attempt) ID() string { return a.id }

// Number returns the attempt's number within its slot and term, from 1.
func (a Attempt) Number() uint32 { return a.number }

// MinVersion returns the lowest weight version that a sampler may serve to run the attempt.
func (a Attempt) MinVersion() uint64 { return a.minVersion }

// Prompt returns the text to complete.
func (a Attempt) Prompt() string { return a.prompt }

// IsSecondRun reports whether another attempt at the slot was running when this one
// started.
func (a Attempt) IsSecondRun() bool { return a.isSecondRun }

// Slot returns the index of the slot within the step.
func (a Attempt) Slot() uint32 { return a.slot }

// Term returns the fencing token of the holder that runs the attempt.
func (a Attempt) Term() uint64 { return a.term }

// runningAttempt is the state of an attempt in progress.
type runningAttempt struct {
	attempt    Attempt
	throughput throughput
	// oldestVersion is the lowest version among its tokens; 0 while it has none.
	oldestVersion uint64
}

func attemptID(trainer string, step uint64, slot uint32, term uint64, number uint32) string {
	return fmt.Sprintf("%s/%d/%d/%d.%d", trainer, step, slot, term, number)
}

// throughput measures an attempt's tokens per second over the newest one or two windows.
type throughput struct {
	start      time.Time
	firstToken time.Time
	// Token counts and times at the starts of the two newest windows.
	markTime   time.Time
	markTokens uint64
	lastTime   time.Time
	lastTokens uint64
	tokens     uint64
}

const throughputWindow = 2 * time.Second

func (t *throughput) add(tokens uint64, now time.Time) {
	if t.firstToken.IsZero() {
		t.firstToken = now
		t.markTime, t.lastTime = now, now
	}
	t.tokens += tokens
	if now.Sub(t.lastTime) >= throughputWindow {
		t.markTime, t.markTokens = t.lastTime, t.lastTokens
		t.lastTime, t.lastTokens = now, t.tokens
	}
}

// rate returns tokens per second. It falls while no token arrives.
func (t *throughput) rate(now time.Time) float64 {
	if t.firstToken.IsZero() {
		return 0
	}
	elapsed := now.Sub(t.markTime).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return float64(t.tokens-t.markTokens) / elapsed
}
