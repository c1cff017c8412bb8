// Package rollout runs the steps of trainers: it opens a step, runs its slots on
// samplers, binds each sample to a place in the trainer's stream and delivers the
// samples exactly once.
//
// Step makes the decisions and takes the time from its caller. Holder runs a step;
// Service serves the other entry processes.
package rollout

import (
	"crypto/sha256"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// Step decides about the slots of one open step. It performs no I/O, takes the time
// from its caller and is not safe for concurrent use.
type Step struct {
	open *peerpb.OpenRequest
	// term is the fencing token under which attempts start; fence is the fencing
	// token of the holder's newest term.
	term          uint64
	fence         uint64
	firstPlace    uint64
	newestVersion uint64
	slots         []*slot
	// placedCount counts the slots that have a place.
	placedCount  uint64
	acknowledged uint64
	released     []uint32
	writeNumber  uint64
	isChanged    bool
	proposal     *proposal
	budget       budget
	// promptsHash is the digest of the encoded prompts.
	promptsHash     []byte
	lengths         history
	throughputs     history
	firstTokenWaits history
	counts          Counts
}

// Counts are the attempts and samples of a step by outcome.
type Counts struct {
	started    uint64
	secondRuns uint64
	failed     uint64
	stale      uint64
	lost       uint64
	wasted     uint64
	refused    uint64
	accepted   uint64
}

// Accepted returns the number of accepted samples.
func (c Counts) Accepted() uint64 { return c.accepted }

// Failed returns the number of attempts that produced no complete sample.
func (c Counts) Failed() uint64 { return c.failed }

// Lost returns the number of samples whose bytes were lost before they were acknowledged.
func (c Counts) Lost() uint64 { return c.lost }

// Refused returns the number of attempts that were not run.
func (c Counts) Refused() uint64 { return c.refused }

// SecondRuns returns the number of second runs.
func (c Counts) SecondRuns() uint64 { return c.secondRuns }

// Stale returns the number of samples and attempts dropped as stale.
func (c Counts) Stale() uint64 { return c.stale }

// Started returns the number of attempts.
func (c Counts) Started() uint64 { return c.started }

// Wasted returns the number of complete samples that arrived after their slot had
// been filled.
func (c Counts) Wasted() uint64 { return c.wasted }

// NewStep returns an open step without samples. Place is its first place in the
// trainer's stream, term the fencing token of its holder and newest the newest version
// that the trainer announced.
func NewStep(open *peerpb.OpenRequest, place, term, newest uint64) *Step {
	step := &Step{open: open, term: term, fence: term, firstPlace: place, acknowledged: place, newestVersion: newest, isChanged: true}
	for group, prompt := range open.GetPrompts() {
		for range prompt.GetSamples() {
			step.slots = append(step.slots, &slot{index: uint32(len(step.slots)), group: uint32(group), running: map[uint32]*runningAttempt{}})
		}
	}
	step.budget = newBudget(len(step.slots))
	step.promptsHash = promptsDigest(EncodePrompts(open))
	return step
}

// Counts returns the counts so far.
func (s *Step) Counts() Counts { return s.counts }

// End returns the first place after the step.
func (s *Step) End() uint64 { return s.firstPlace + uint64(len(s.slots)) }

// IsAcknowledged reports whether the trainer has acknowledged the whole step.
func (s *Step) IsAcknowledged() bool { return s.acknowledged == s.End() }

// IsUsableBy reports whether an account may use the step. Accounts can share a plan,
// and with it the right to run a trainer; without this check one account could receive
// and acknowledge another's samples.
func (s *Step) IsUsableBy(account string) bool {
	return len(s.slots) == 0 || s.open.GetAccount() == account
}

// IsComplete reports whether each slot is committed in the store or acknowledged by the trainer.
func (s *Step) IsComplete() bool {
	for _, slot := range s.slots {
		if !slot.acknowledged && !slot.committed {
			return false
		}
	}
	return true
}

// Number returns the step number that the trainer assigned.
func (s *Step) Number() uint64 { return s.open.GetStep() }

// FirstPlace returns the first place of the step.
func (s *Step) FirstPlace() uint64 { return s.firstPlace }

// Matches reports whether a request opens this step with the same content.
func (s *Step) Matches(open *peerpb.OpenRequest) bool {
	return proto.Equal(comparableRequest(s.open), comparableRequest(open))
}

// Renew records a new term of the same holder; its attempts continue.
func (s *Step) Renew(fence uint64) {
	s.fence = fence
	s.isChanged = true
}

// Slots returns the number of slots.
func (s *Step) Slots() int { return len(s.slots) }

// comparableRequest returns a copy without the fields that may differ between two
// requests for the same step.
func comparableRequest(open *peerpb.OpenRequest) *peerpb.OpenRequest {
	cleared, ok := proto.Clone(open).(*peerpb.OpenRequest)
	if !ok {
		return nil
	}
	cleared.SetWeight(0)
	cleared.SetPriority(0)
	return cleared
}

// Next returns the attempt to start now, if there is one: first for slots whose place
// the trainer waits for, then for other empty slots, then second runs that save time.
func (s *Step) Next(now time.Time) (Attempt, bool) {
	var chosen *slot
	for _, slot := range s.slots {
		if !slot.shouldStart(now) {
			continue
		}
		if chosen == nil || slot.place > 0 && chosen.place == 0 {
			chosen = slot
		}
	}
	if chosen != nil {
		return s.startAttempt(chosen, now, false), true
	}
	if chosen = s.findStraggler(now); chosen != nil {
		s.budget.spend()
		return s.startAttempt(chosen, now, true), true
	}
	return Attempt{}, false
}

// StartSecondRun starts a second run of a slot regardless of the budget, to compare other
// policies with this one.
func (s *Step) StartSecondRun(slot uint32, now time.Time) (Attempt, bool) {
	if int(slot) >= len(s.slots) || !s.slots[slot].isEmpty() || len(s.slots[slot].running) == 0 {
		return Attempt{}, false
	}
	return s.startAttempt(s.slots[slot], now, true), true
}

// DisableSecondRuns disables second runs in Next.
func (s *Step) DisableSecondRuns() {
	s.budget = budget{}
}

func (s *Step) startAttempt(slot *slot, now time.Time, isSecondRun bool) Attempt {
	slot.attempts++
	attempt := Attempt{
		slot:        slot.index,
		term:        s.term,
		number:      slot.attempts,
		id:          attemptID(s.open.GetTrainer(), s.open.GetStep(), slot.index, s.term, slot.attempts),
		group:       slot.group,
		prompt:      s.open.GetPrompts()[slot.group].GetText(),
		isSecondRun: isSecondRun,
		minVersion:  s.minVersion(slot),
	}
	slot.running[attempt.number] = &runningAttempt{attempt: attempt, throughput: throughput{start: now}}
	s.counts.started++
	if isSecondRun {
		s.counts.secondRuns++
	}
	return attempt
}

// minVersion returns the lowest version that an attempt at a slot may use.
//
// An announcement stops stale attempts at a time when most samplers still serve the
// previous version. An attempt restarted on such a sampler becomes stale one
// version earlier: a long answer is stopped repeatedly, and the step never
// completes. So the attempt waits for a sampler with the newest version.
func (s *Step) minVersion(slot *slot) uint64 {
	if slot.wasStale {
		return s.newestVersion
	}
	if s.newestVersion <= s.open.GetStaleness() {
		return 0
	}
	return s.newestVersion - s.open.GetStaleness()
}

// Progress records tokens of an attempt and the version that the engine reported for
// them. It reports false if the attempt must stop: its sample is already stale, or its
// slot no longer needs it.
func (s *Step) Progress(attempt Attempt, tokens int, version uint64, now time.Time) bool {
	slot := s.slots[attempt.slot]
	run := slot.running[attempt.number]
	if run == nil || attempt.term != s.term || !slot.isEmpty() {
		return false
	}
	run.throughput.add(uint64(tokens), now)
	if tokens > 0 && (run.oldestVersion == 0 || version < run.oldestVersion) {
		run.oldestVersion = version
	}
	return !s.isStaleRun(run)
}

func (s *Step) isStaleRun(run *runningAttempt) bool {
	return run.oldestVersion > 0 && isStale(s.newestVersion, run.oldestVersion, s.open.GetStaleness())
}

// Fail records that an attempt produced no complete sample. Its slot runs again after the
// given wait and the slot's own growing backoff.
func (s *Step) Fail(attempt Attempt, wait time.Duration, now time.Time) {
	slot := s.slots[attempt.slot]
	run := slot.running[attempt.number]
	if run == nil {
		return
	}
	delete(slot.running, attempt.number)
	if s.isStaleRun(run) {
		s.counts.stale++
		slot.wasStale = true
		return
	}
	s.counts.failed++
	slot.failures++
	slot.notBefore = now.Add(s.budget.backoff(slot.failures, wait))
}

// Refuse records that an attempt was not run: no sampler had capacity, or none served
// a version that is new enough. It added no load to the samplers, so it spends no
// budget and the backoff stays short: samplers that have just loaded new weights would
// otherwise idle while slots wait out long backoffs.
func (s *Step) Refuse(attempt Attempt, wait time.Duration, now time.Time) {
	slot := s.slots[attempt.slot]
	if slot.running[attempt.number] == nil {
		return
	}
	delete(slot.running, attempt.number)
	s.counts.refused++
	slot.notBefore = now.Add(max(minRefusedBackoff, min(wait, maxRefusedBackoff)))
}

// Finish accepts a complete sample. It reports false if the slot already has one or the
// sample is stale. The caller cancels the other attempts at the slot.
func (s *Step) Finish(attempt Attempt, sample *peerpb.Sample, now time.Time) bool {
	slot := s.slots[attempt.slot]
	run := slot.running[attempt.number]
	if run == nil || attempt.term != s.term {
		s.counts.wasted++
		return false
	}
	delete(slot.running, attempt.number)
	if !slot.isEmpty() {
		s.counts.wasted++
		return false
	}
	oldest := OldestVersion(sample)
	if isStale(s.newestVersion, oldest, s.open.GetStaleness()) {
		s.counts.stale++
		slot.wasStale = true
		return false
	}
	s.recordFinished(run, now)
	slot.sample = sample
	slot.term, slot.attempt = attempt.term, attempt.number
	slot.digest = Digest(sample)
	slot.oldestVersion = oldest
	clear(slot.running)
	s.counts.accepted++
	return true
}

// MarkReplicated records the processes that hold the sample of an attempt.
func (s *Step) MarkReplicated(attempt Attempt, holders []string) {
	slot := s.slots[attempt.slot]
	if slot.sample == nil || slot.term != attempt.term || slot.attempt != attempt.number {
		return
	}
	slot.holders = holders
	slot.replicated = true
	s.isChanged = true
}

// Announce records a newer version of the trainer and drops the undelivered samples
// that it makes stale; see StaleAttempts for attempts.
func (s *Step) Announce(version uint64) {
	if version <= s.newestVersion {
		return
	}
	s.newestVersion = version
	s.isChanged = true
	for _, slot := range s.slots {
		if slot.sample != nil && !slot.delivered {
			s.resetIfStale(slot)
		}
	}
}

// StaleAttempts returns the running attempts whose sample would be stale.
func (s *Step) StaleAttempts() []Attempt {
	var stale []Attempt
	for _, slot := range s.slots {
		for _, run := range slot.running {
			if s.isStaleRun(run) {
				stale = append(stale, run.attempt)
			}
		}
	}
	return stale
}

// NewestVersion returns the newest version that the trainer announced.
func (s *Step) NewestVersion() uint64 { return s.newestVersion }

func (s *Step) resetIfStale(slot *slot) {
	if isStale(s.newestVersion, slot.oldestVersion, s.open.GetStaleness()) {
		s.counts.stale++
		slot.wasStale = true
		slot.reset()
	}
}

// promptsDigest returns the digest that binds the value of the prompts to the state.
func promptsDigest(data []byte) []byte {
	sum := sha256.Sum256(data)
	return sum[:]
}

// OldestVersion returns the lowest version among a sample's tokens.
func OldestVersion(sample *peerpb.Sample) uint64 {
	var oldest uint64
	for i, part := range sample.GetVersions() {
		if i == 0 || part.GetVersion() < oldest {
			oldest = part.GetVersion()
		}
	}
	return oldest
}

// Others returns the other running attempts at an attempt's slot.
func (s *Step) Others(attempt Attempt) []Attempt {
	var others []Attempt
	for number, run := range s.slots[attempt.slot].running {
		if number != attempt.number {
			others = append(others, run.attempt)
		}
	}
	return others
}
