package rollout

import "time"

const (
	// minFinished is the number of finished attempts required to judge the others.
	minFinished = 4
	// minSecondRunRatio is the factor by which an attempt's remaining time must exceed
	// a fresh run's.
	minSecondRunRatio = 1.5
	// minSecondRunRemaining is the minimum remaining time for which a second run starts.
	minSecondRunRemaining = 500 * time.Millisecond
	// An attempt without a token is stalled after maxFirstTokenWaits times the
	// lateQuantile of the waits for a first token.
	maxFirstTokenWaits = 3
	lateQuantile       = 0.9
	// The samplers count as full if the share of running attempts without a token
	// exceeds maxQueuedShare.
	maxQueuedShare = 0.125
)

// estimate is the expected performance of a fresh run, from the attempts that have finished.
type estimate struct {
	// throughput is in tokens per second, the others are in seconds.
	throughput     float64
	firstTokenWait float64
	lateFirstToken float64
}

// findStraggler returns the slot whose second run saves the most time, or nil.
//
// It judges a slot by its engine's throughput and not by the answer's length: the
// second run uses the same seed, so a long answer stays long, and accepting whichever
// finishes first does not favour short answers.
func (s *Step) findStraggler(now time.Time) *slot {
	if len(s.throughputs.values) < minFinished || !s.budget.isAvailable() || s.hasFullSamplers() {
		return nil
	}
	typical := estimate{throughput: s.throughputs.quantile(0.5), firstTokenWait: s.firstTokenWaits.quantile(0.5), lateFirstToken: s.firstTokenWaits.quantile(lateQuantile)}
	var chosen *slot
	maxGain := 0.0
	for _, slot := range s.slots {
		if !slot.isEmpty() || len(slot.running) != 1 {
			continue
		}
		if gain := s.secondRunGain(slot, typical, now); gain > maxGain {
			chosen, maxGain = slot, gain
		}
	}
	return chosen
}

// hasFullSamplers reports whether many attempts wait for their first token: then the
// samplers are full, and a second run would only wait too and delay others.
func (s *Step) hasFullSamplers() bool {
	waiting, running := 0, 0
	for _, slot := range s.slots {
		for _, run := range slot.running {
			running++
			if run.throughput.tokens == 0 {
				waiting++
			}
		}
	}
	return waiting > 1 && float64(waiting) > maxQueuedShare*float64(running)
}

// secondRunGain returns the seconds that a second run saves; 0 if it is not worthwhile.
func (s *Step) secondRunGain(slot *slot, typical estimate, now time.Time) float64 {
	for _, run := range slot.running {
		tokensLeft, ok := s.lengths.residual(float64(run.throughput.tokens))
		if !ok {
			tokensLeft = s.lengths.quantile(0.5)
		}
		freshSeconds := typical.firstTokenWait + (float64(run.throughput.tokens)+tokensLeft)/typical.throughput
		remainingSeconds := s.remainingSeconds(run, tokensLeft, typical, now)
		if remainingSeconds > minSecondRunRatio*freshSeconds && remainingSeconds > minSecondRunRemaining.Seconds() {
			return remainingSeconds - freshSeconds
		}
	}
	return 0
}

// remainingSeconds returns the expected time until a run finishes.
func (s *Step) remainingSeconds(run *runningAttempt, tokensLeft float64, typical estimate, now time.Time) float64 {
	rate := run.throughput.rate(now)
	if rate > 0 {
		return tokensLeft / rate
	}
	if run.throughput.tokens == 0 && now.Sub(run.throughput.start).Seconds() <= maxFirstTokenWaits*typical.lateFirstToken {
		return 0
	}
	// The attempt is stalled: the longer it has run, the more a second run gains.
	return minSecondRunRatio*(typical.firstTokenWait+(float64(run.throughput.tokens)+tokensLeft)/typical.throughput) + now.Sub(run.throughput.start).Seconds()
}

// recordFinished adds the measurements of a finished run.
func (s *Step) recordFinished(run *runningAttempt, now time.Time) {
	s.budget.earn()
	if run.throughput.firstToken.IsZero() {
		return
	}
	s.lengths.add(float64(run.throughput.tokens))
	s.firstTokenWaits.add(run.throughput.firstToken.Sub(run.throughput.start).Seconds())
	if duration := now.Sub(run.throughput.firstToken).Seconds(); duration > 0 {
		s.throughputs.add(float64(run.throughput.tokens) / duration)
	}
}
