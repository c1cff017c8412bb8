// Package rollout runs the steps of trainers: it opens a step, runs its slots on
// samplers, binds each sample to a place in the trainer's stream and hands the
// samples over exactly once.
//
// Step holds the decisions and takes the time from its caller. Holder runs a
// step; Service answers the other entries.
package rollout

import (
	"crypto/sha256"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// Step decides about the slots of one open step. It does no input or output,
// takes the time from its caller and is not safe for concurrent use.
type Step struct {
	open *peerpb.OpenRequest
	// term is that of the attempts, fence that of the newest term of the same holder.
	term   uint64
	fence  uint64
	place  uint64
	newest uint64
	slots  []*slot
	// bound counts the slots that have a place.
	bound        uint64
	acknowledged uint64
	released     []uint32
	write        uint64
	changed      bool
	proposal     *proposal
	budget       budget
	// prompts is the digest of the encoded prompts.
	prompts []byte
	lengths spread
	paces   spread
	waits   spread
	counts  Counts
}

// Counts is what happened to the attempts of a step.
type Counts struct {
	started  uint64
	seconds  uint64
	failed   uint64
	stale    uint64
	lost     uint64
	wasted   uint64
	refused  uint64
	accepted uint64
}

// Accepted returns the number of samples taken.
func (c Counts) Accepted() uint64 { return c.accepted }

// Failed returns the number of attempts that gave no whole sample.
func (c Counts) Failed() uint64 { return c.failed }

// Lost returns the number of samples whose bytes were lost before they were acknowledged.
func (c Counts) Lost() uint64 { return c.lost }

// Refused returns the number of attempts that were not run.
func (c Counts) Refused() uint64 { return c.refused }

// SecondRuns returns the number of second runs.
func (c Counts) SecondRuns() uint64 { return c.seconds }

// Stale returns the number of samples and attempts dropped as stale.
func (c Counts) Stale() uint64 { return c.stale }

// Started returns the number of attempts.
func (c Counts) Started() uint64 { return c.started }

// Wasted returns the number of whole samples that came after another one of their slot.
func (c Counts) Wasted() uint64 { return c.wasted }

// NewStep returns an open step without samples. Place is its first place in the
// trainer's stream, term the fencing number of its holder and newest the
// newest version that the trainer announced.
func NewStep(open *peerpb.OpenRequest, place, term, newest uint64) *Step {
	step := &Step{open: open, term: term, fence: term, place: place, acknowledged: place, newest: newest, changed: true}
	for group, prompt := range open.GetPrompts() {
		for range prompt.GetSamples() {
			step.slots = append(step.slots, &slot{index: uint32(len(step.slots)), group: uint32(group), runs: map[uint32]*run{}})
		}
	}
	step.budget = newBudget(len(step.slots))
	step.prompts = promptsDigest(EncodePrompts(open))
	return step
}

// Counts returns what happened so far.
func (s *Step) Counts() Counts { return s.counts }

// End returns the first place after the step.
func (s *Step) End() uint64 { return s.place + uint64(len(s.slots)) }

// IsAcknowledged reports whether the trainer has acknowledged the whole step.
func (s *Step) IsAcknowledged() bool { return s.acknowledged == s.End() }

// IsUsableBy reports whether an account may use the step. Accounts can share a
// plan, and with it the right to run a trainer; without this check one of them
// would get the other's samples, and acknowledge them.
func (s *Step) IsUsableBy(account string) bool {
	return len(s.slots) == 0 || s.open.GetAccount() == account
}

// IsWhole reports whether the store binds a sample to every slot, or the
// trainer has acknowledged it.
func (s *Step) IsWhole() bool {
	for _, slot := range s.slots {
		if !slot.acknowledged && !slot.fixed {
			return false
		}
	}
	return true
}

// Number returns the trainer's number of the step.
func (s *Step) Number() uint64 { return s.open.GetStep() }

// FirstPlace returns the first place of the step.
func (s *Step) FirstPlace() uint64 { return s.place }

// Matches reports whether a request opens this same step with the same content.
func (s *Step) Matches(open *peerpb.OpenRequest) bool {
	return proto.Equal(content(s.open), content(open))
}

// Renew notes that the same holder has a new term; its attempts go on.
func (s *Step) Renew(fence uint64) {
	s.fence = fence
	s.changed = true
}

// Slots returns the number of slots.
func (s *Step) Slots() int { return len(s.slots) }

// content leaves out what may differ between two calls that open the same step.
func content(open *peerpb.OpenRequest) *peerpb.OpenRequest {
	same, ok := proto.Clone(open).(*peerpb.OpenRequest)
	if !ok {
		return nil
	}
	same.SetWeight(0)
	same.SetPriority(0)
	return same
}

// Next returns the attempt to start now, if there is one: first slots whose
// place the trainer waits for, then empty ones, then second runs that pay.
func (s *Step) Next(now time.Time) (Attempt, bool) {
	var chosen *slot
	for _, slot := range s.slots {
		if !slot.wants(now) {
			continue
		}
		if chosen == nil || slot.place > 0 && chosen.place == 0 {
			chosen = slot
		}
	}
	if chosen != nil {
		return s.start(chosen, now, false), true
	}
	if chosen = s.straggler(now); chosen != nil {
		s.budget.take()
		return s.start(chosen, now, true), true
	}
	return Attempt{}, false
}

// StartSecondRun starts a second run of a slot whatever its budget, for policies that
// are measured beside this one.
func (s *Step) StartSecondRun(slot uint32, now time.Time) (Attempt, bool) {
	if int(slot) >= len(s.slots) || !s.slots[slot].isEmpty() || len(s.slots[slot].runs) == 0 {
		return Attempt{}, false
	}
	return s.start(s.slots[slot], now, true), true
}

// DisableSecondRuns makes Next start no second runs.
func (s *Step) DisableSecondRuns() {
	s.budget = budget{}
}

func (s *Step) start(slot *slot, now time.Time, second bool) Attempt {
	slot.attempts++
	attempt := Attempt{
		slot:   slot.index,
		term:   s.term,
		number: slot.attempts,
		id:     attemptID(s.open.GetTrainer(), s.open.GetStep(), slot.index, s.term, slot.attempts),
		group:  slot.group,
		prompt: s.open.GetPrompts()[slot.group].GetText(),
		second: second,
		oldest: s.oldest(slot),
	}
	slot.runs[attempt.number] = &run{attempt: attempt, pace: pace{start: now}}
	s.counts.started++
	if second {
		s.counts.seconds++
	}
	return attempt
}

// oldest returns the oldest version that an attempt at a slot may use.
//
// An announcement stops an attempt as stale at a time when most samplers still
// show the version before. Started again on one of those, it has a version less
// to go: a long answer is stopped again and again, and the step never comes
// whole. So it waits for a sampler with the newest version.
func (s *Step) oldest(slot *slot) uint64 {
	if slot.stale {
		return s.newest
	}
	if s.newest <= s.open.GetStaleness() {
		return 0
	}
	return s.newest - s.open.GetStaleness()
}

// Progress notes tokens of an attempt and the version that the engine showed
// for them. It reports false if the attempt is to be stopped: its sample is
// already too old, or its slot needs it no more.
func (s *Step) Progress(attempt Attempt, tokens int, version uint64, now time.Time) bool {
	slot := s.slots[attempt.slot]
	run := slot.runs[attempt.number]
	if run == nil || attempt.term != s.term || !slot.isEmpty() {
		return false
	}
	run.pace.add(uint64(tokens), now)
	if tokens > 0 && (run.oldest == 0 || version < run.oldest) {
		run.oldest = version
	}
	return !s.isDoomed(run)
}

func (s *Step) isDoomed(run *run) bool {
	return run.oldest > 0 && lags(s.newest, run.oldest, s.open.GetStaleness())
}

// Fail notes that an attempt gave no whole sample. Its slot runs again, not
// before the given wait and the slot's own growing pause are over.
func (s *Step) Fail(attempt Attempt, wait time.Duration, now time.Time) {
	slot := s.slots[attempt.slot]
	run := slot.runs[attempt.number]
	if run == nil {
		return
	}
	delete(slot.runs, attempt.number)
	if s.isDoomed(run) {
		s.counts.stale++
		slot.stale = true
		return
	}
	s.counts.failed++
	slot.failures++
	slot.notBefore = now.Add(s.budget.pause(slot.failures, wait))
}

// Refuse notes that an attempt was not run: no sampler had room, or none showed
// a version that is new enough. Nothing was added to the samplers' work, so it
// uses no budget up and the pause stays short: samplers that have just loaded
// new weights would else stand idle while slots sit out long pauses.
func (s *Step) Refuse(attempt Attempt, wait time.Duration, now time.Time) {
	slot := s.slots[attempt.slot]
	if slot.runs[attempt.number] == nil {
		return
	}
	delete(slot.runs, attempt.number)
	s.counts.refused++
	slot.notBefore = now.Add(max(refusedPause, min(wait, greatestRefusedPause)))
}

// Finish takes a whole sample. It reports false if the slot has one already or
// the sample is stale. The other attempts at the slot are to be cancelled.
func (s *Step) Finish(attempt Attempt, sample *peerpb.Sample, now time.Time) bool {
	slot := s.slots[attempt.slot]
	run := slot.runs[attempt.number]
	if run == nil || attempt.term != s.term {
		s.counts.wasted++
		return false
	}
	delete(slot.runs, attempt.number)
	if !slot.isEmpty() {
		s.counts.wasted++
		return false
	}
	oldest := OldestVersion(sample)
	if lags(s.newest, oldest, s.open.GetStaleness()) {
		s.counts.stale++
		slot.stale = true
		return false
	}
	s.learn(run, now)
	slot.sample = sample
	slot.term, slot.attempt = attempt.term, attempt.number
	slot.digest = Digest(sample)
	slot.oldest = oldest
	clear(slot.runs)
	s.counts.accepted++
	return true
}

// MarkReplicated notes the processes that hold the sample of an attempt.
func (s *Step) MarkReplicated(attempt Attempt, holders []string) {
	slot := s.slots[attempt.slot]
	if slot.sample == nil || slot.term != attempt.term || slot.attempt != attempt.number {
		return
	}
	slot.holders = holders
	slot.kept = true
	s.changed = true
}

// Announce notes a newer version of the trainer. Samples not yet handed over
// that are too old by it are dropped; see Doomed for attempts.
func (s *Step) Announce(version uint64) {
	if version <= s.newest {
		return
	}
	s.newest = version
	s.changed = true
	for _, slot := range s.slots {
		if slot.sample != nil && !slot.handed {
			s.dropStale(slot)
		}
	}
}

// StaleAttempts returns the running attempts whose sample would be stale.
func (s *Step) StaleAttempts() []Attempt {
	var doomed []Attempt
	for _, slot := range s.slots {
		for _, run := range slot.runs {
			if s.isDoomed(run) {
				doomed = append(doomed, run.attempt)
			}
		}
	}
	return doomed
}

// NewestVersion returns the newest version that the trainer announced.
func (s *Step) NewestVersion() uint64 { return s.newest }

func (s *Step) dropStale(slot *slot) {
	if lags(s.newest, slot.oldest, s.open.GetStaleness()) {
		s.counts.stale++
		slot.stale = true
		slot.drop()
	}
}

// promptsDigest binds the value of the prompts to the state.
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
	for number, run := range s.slots[attempt.slot].runs {
		if number != attempt.number {
			others = append(others, run.attempt)
		}
	}
	return others
}
