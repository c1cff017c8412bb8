package rollout

import (
	"net/http"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// MaxStateBytes bounds the value of a step in the store, which takes a megabyte.
const MaxStateBytes = 900 << 10

// proposal is a state that is on its way into the store.
type proposal struct {
	state *statepb.Step
	// fixes are the samples that it binds.
	fixes []fix
}

type fix struct {
	slot    *slot
	term    uint64
	attempt uint32
	place   uint64
}

// Propose returns the state to write next, or nil if nothing has changed. It
// returns the same one until Commit: an answer of the store that got lost may
// stand for a write that took effect, and only the same bytes can be known again.
func (s *Step) Propose() *statepb.Step {
	if s.proposal != nil {
		return s.proposal.state
	}
	if !s.changed {
		return nil
	}
	s.changed = false
	s.write++
	next := &proposal{}
	bound := s.bound
	for _, slot := range s.slots {
		if slot.sample == nil || !slot.kept || slot.fixed {
			continue
		}
		place := slot.place
		if place == 0 {
			place = s.place + bound + 1
			bound++
		}
		next.fixes = append(next.fixes, fix{slot: slot, term: slot.term, attempt: slot.attempt, place: place})
	}
	next.state = s.state(next.fixes)
	s.proposal = next
	return next.state
}

// Commit notes that the store holds the state proposed last. From then on its
// samples may be handed over.
func (s *Step) Commit() []*peerpb.Sample {
	if s.proposal == nil {
		return nil
	}
	var fixed []*peerpb.Sample
	for _, fix := range s.proposal.fixes {
		slot := fix.slot
		if slot.place == 0 {
			s.bound++
		}
		slot.place = fix.place
		if slot.sample == nil || slot.term != fix.term || slot.attempt != fix.attempt {
			continue
		}
		slot.fixed = true
		slot.sample = withPlace(slot.sample, fix.place-1)
		fixed = append(fixed, slot.sample)
	}
	s.proposal = nil
	return fixed
}

// state returns the value for the store with the given samples bound.
func (s *Step) state(fixes []fix) *statepb.Step {
	state := statepb.Step_builder{
		Trainer:      s.open.GetTrainer(),
		Account:      s.open.GetAccount(),
		Step:         s.open.GetStep(),
		Model:        s.open.GetModel(),
		Staleness:    s.open.GetStaleness(),
		MaxTokens:    s.open.GetMaxTokens(),
		Temperature:  s.open.GetTemperature(),
		Weight:       s.open.GetWeight(),
		Priority:     s.open.GetPriority(),
		Prompts:      s.prompts,
		Place:        s.place,
		Acknowledged: s.acknowledged,
		Version:      s.newest,
		Fence:        s.fence,
		Write:        s.write,
	}.Build()
	for _, prompt := range s.open.GetPrompts() {
		state.SetCounts(append(state.GetCounts(), prompt.GetSamples()))
	}
	places := map[uint32]uint64{}
	for _, fix := range fixes {
		places[fix.slot.index] = fix.place
	}
	names := map[string]uint32{}
	for _, slot := range s.slots {
		place, fixing := places[slot.index]
		if !fixing {
			place = slot.place
		}
		state.SetSlots(append(state.GetSlots(), slotState(state, slot, place, fixing || slot.fixed, names)))
	}
	return state
}

func slotState(state *statepb.Step, slot *slot, place uint64, bound bool, names map[string]uint32) *statepb.Slot {
	entry := statepb.Slot_builder{Place: place}.Build()
	// A successor writes before it has fetched the bytes that are bound already.
	if !bound && !slot.isMissing() {
		return entry
	}
	entry.SetTerm(slot.term)
	entry.SetAttempt(slot.attempt)
	entry.SetDigest(slot.digest)
	entry.SetOldest(slot.oldest)
	for _, holder := range slot.holders {
		position, known := names[holder]
		if !known {
			position = uint32(len(names))
			names[holder] = position
			state.SetProcesses(append(state.GetProcesses(), holder))
		}
		entry.SetHolders(append(entry.GetHolders(), position))
	}
	return entry
}

// Restore returns the step that the store holds, for a new holder with its own
// fencing number. No sample's bytes are in memory yet: see Missing.
func Restore(state *statepb.Step, prompts *statepb.Prompts, term uint64) (*Step, error) {
	if len(prompts.GetPrompts()) != len(state.GetCounts()) {
		return nil, refusal.NotRun(http.StatusInternalServerError, "state_broken", "the prompts of step %d are not those of its state", state.GetStep())
	}
	open := peerpb.OpenRequest_builder{
		Account:     state.GetAccount(),
		Trainer:     state.GetTrainer(),
		Step:        state.GetStep(),
		Model:       state.GetModel(),
		Staleness:   state.GetStaleness(),
		MaxTokens:   state.GetMaxTokens(),
		Temperature: state.GetTemperature(),
		Weight:      state.GetWeight(),
		Priority:    state.GetPriority(),
	}.Build()
	for group, text := range prompts.GetPrompts() {
		prompt := peerpb.Prompt_builder{Text: text, Samples: state.GetCounts()[group]}.Build()
		open.SetPrompts(append(open.GetPrompts(), prompt))
	}
	step := NewStep(open, state.GetPlace(), term, state.GetVersion())
	step.acknowledged = state.GetAcknowledged()
	step.write = state.GetWrite()
	for index, entry := range state.GetSlots() {
		step.restoreSlot(step.slots[index], entry, state)
	}
	return step, nil
}

func (s *Step) restoreSlot(slot *slot, entry *statepb.Slot, state *statepb.Step) {
	slot.place = entry.GetPlace()
	if slot.place == 0 {
		return
	}
	s.bound++
	if slot.place <= s.acknowledged {
		slot.acknowledge()
		return
	}
	slot.term = entry.GetTerm()
	slot.attempt = entry.GetAttempt()
	slot.digest = entry.GetDigest()
	slot.oldest = entry.GetOldest()
	for _, position := range entry.GetHolders() {
		slot.holders = append(slot.holders, state.GetProcesses()[position])
	}
}

// Missing returns, by process, the slots whose fixed sample it may hold and
// this process does not.
func (s *Step) Missing() map[string][]uint32 {
	missing := map[string][]uint32{}
	for _, slot := range s.slots {
		if !slot.isMissing() {
			continue
		}
		for _, holder := range slot.holders {
			missing[holder] = append(missing[holder], slot.index)
		}
	}
	return missing
}

// RestoreSample takes a sample that another process kept, if it is the one that the
// store binds to its slot, byte for byte.
func (s *Step) RestoreSample(sample *peerpb.Sample) bool {
	if int(sample.GetSlot()) >= len(s.slots) {
		return false
	}
	slot := s.slots[sample.GetSlot()]
	if !slot.isMissing() || !hasDigest(sample, slot.digest) {
		return false
	}
	slot.sample = withPlace(sample, slot.place-1)
	slot.kept = true
	slot.fixed = true
	// The holder before may have handed it over.
	slot.handed = true
	return true
}

// ResetMissing empties the slots whose bytes no process has any more; they run again
// for the same places. It returns their number.
func (s *Step) ResetMissing() int {
	lost := 0
	for _, slot := range s.slots {
		if slot.isMissing() {
			slot.drop()
			lost++
		}
	}
	s.counts.lost += uint64(lost)
	return lost
}
