package rollout

import "time"

const (
	// leastFinished is the number of finished attempts from which others are judged.
	leastFinished = 4
	// secondGain is by how much an attempt's remaining time must exceed a fresh run's.
	secondGain = 1.5
	// secondLeast is the shortest remaining time for which a second run is started.
	secondLeast = 500 * time.Millisecond
	// silentWaits is how many usual waits for a first token an attempt may take.
	silentWaits = 3
	usualShare  = 0.9
	// queuedShare of the running attempts without a token means that samplers are full.
	queuedShare = 0.125
)

// outlook is what is expected of fresh runs, from those that have finished.
type outlook struct {
	// Tokens a second and seconds.
	pace float64
	wait float64
	late float64
}

// straggler returns the slot whose second run pays most, or nil.
//
// A slot is judged by its engine's pace and not by its length: the second run
// uses the same seed, so a long answer stays long, and taking whichever comes
// first doesn't favour short answers.
func (s *Step) straggler(now time.Time) *slot {
	if len(s.paces.values) < leastFinished || !s.budget.has() || s.isQueued() {
		return nil
	}
	usual := outlook{pace: s.paces.quantile(0.5), wait: s.waits.quantile(0.5), late: s.waits.quantile(usualShare)}
	var chosen *slot
	most := 0.0
	for _, slot := range s.slots {
		if !slot.isEmpty() || len(slot.runs) != 1 {
			continue
		}
		if gain := s.gain(slot, usual, now); gain > most {
			chosen, most = slot, gain
		}
	}
	return chosen
}

// isQueued reports whether many attempts wait for their first token: then the
// samplers are full, and a second run would only wait too and make others wait.
func (s *Step) isQueued() bool {
	waiting, running := 0, 0
	for _, slot := range s.slots {
		for _, run := range slot.runs {
			running++
			if run.pace.tokens == 0 {
				waiting++
			}
		}
	}
	return waiting > 1 && float64(waiting) > queuedShare*float64(running)
}

// gain returns the seconds that a second run saves; 0 if it doesn't pay.
func (s *Step) gain(slot *slot, usual outlook, now time.Time) float64 {
	for _, run := range slot.runs {
		rest, known := s.lengths.residual(float64(run.pace.tokens))
		if !known {
			rest = s.lengths.quantile(0.5)
		}
		fresh := usual.wait + (float64(run.pace.tokens)+rest)/usual.pace
		remaining := s.remaining(run, rest, usual, now)
		if remaining > secondGain*fresh && remaining > secondLeast.Seconds() {
			return remaining - fresh
		}
	}
	return 0
}

// remaining returns the seconds that a run is expected to take still.
func (s *Step) remaining(run *run, rest float64, usual outlook, now time.Time) float64 {
	rate := run.pace.rate(now)
	if rate > 0 {
		return rest / rate
	}
	if run.pace.tokens == 0 && now.Sub(run.pace.start).Seconds() <= silentWaits*usual.late {
		return 0
	}
	// It stands still: the longer, the more another engine is worth.
	return secondGain*(usual.wait+(float64(run.pace.tokens)+rest)/usual.pace) + now.Sub(run.pace.start).Seconds()
}

// learn takes the figures of a finished run.
func (s *Step) learn(run *run, now time.Time) {
	s.budget.earn()
	if run.pace.first.IsZero() {
		return
	}
	s.lengths.add(float64(run.pace.tokens))
	s.waits.add(run.pace.first.Sub(run.pace.start).Seconds())
	if length := now.Sub(run.pace.first).Seconds(); length > 0 {
		s.paces.add(float64(run.pace.tokens) / length)
	}
}
