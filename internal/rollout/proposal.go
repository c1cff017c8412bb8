package rollout

import (
	"net/http"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// MaxStateBytes bounds a step's value in the store, which accepts up to a megabyte.
const MaxStateBytes = 900 << 10

// proposal is a state that is being written to the store.
type proposal struct {
	state *statepb.Step
	// bindings are the samples that the state binds to places.
	bindings []binding
}

type binding struct {
	slot    *slot
	term    uint64
	attempt uint32
	place   uint64
}

// Propose returns the state to write next, or nil if nothing has changed. It returns
// the same state until Commit: a write may take effect although the store's reply is
// lost, and only identical bytes are recognized as that write.
func (s *Step) Propose() *statepb.Step {
	if s.proposal != nil {
		return s.proposal.state
	}
	if !s.isChanged {
		return nil
	}
	s.isChanged = false
	s.writeNumber++
	next := &proposal{}
	placed := s.placedCount
	for _, slot := range s.slots {
		if slot.sample == nil || !slot.replicated || slot.committed {
			continue
		}
		place := slot.place
		if place == 0 {
			place = s.firstPlace + placed + 1
			placed++
		}
		next.bindings = append(next.bindings, binding{slot: slot, term: slot.term, attempt: slot.attempt, place: place})
	}
	next.state = s.state(next.bindings)
	s.proposal = next
	return next.state
}

// Commit records that the store holds the last proposed state, whose samples may be
// delivered from then on.
func (s *Step) Commit() []*peerpb.Sample {
	if s.proposal == nil {
		return nil
	}
	var committed []*peerpb.Sample
	for _, binding := range s.proposal.bindings {
		slot := binding.slot
		if slot.place == 0 {
			s.placedCount++
		}
		slot.place = binding.place
		if slot.sample == nil || slot.term != binding.term || slot.attempt != binding.attempt {
			continue
		}
		slot.committed = true
		slot.sample = withPlace(slot.sample, binding.place-1)
		committed = append(committed, slot.sample)
	}
	s.proposal = nil
	return committed
}

// state returns the value to store with the given samples bound.
func (s *Step) state(bindings []binding) *statepb.Step {
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
		Prompts:      s.promptsHash,
		Place:        s.firstPlace,
		Acknowledged: s.acknowledged,
		Version:      s.newestVersion,
		Fence:        s.fence,
		Write:        s.writeNumber,
	}.Build()
	for _, prompt := range s.open.GetPrompts() {
		state.SetCounts(append(state.GetCounts(), prompt.GetSamples()))
	}
	places := map[uint32]uint64{}
	for _, binding := range bindings {
		places[binding.slot.index] = binding.place
	}
	processIndexes := map[string]uint32{}
	for _, slot := range s.slots {
		place, isNew := places[slot.index]
		if !isNew {
			place = slot.place
		}
		state.SetSlots(append(state.GetSlots(), slotState(state, slot, place, isNew || slot.committed, processIndexes)))
	}
	return state
}

func slotState(state *statepb.Step, slot *slot, place uint64, isBound bool, processIndexes map[string]uint32) *statepb.Slot {
	entry := statepb.Slot_builder{Place: place}.Build()
	// A successor writes before it has fetched the samples that are already bound.
	if !isBound && !slot.isMissing() {
		return entry
	}
	entry.SetTerm(slot.term)
	entry.SetAttempt(slot.attempt)
	entry.SetDigest(slot.digest)
	entry.SetOldest(slot.oldestVersion)
	for _, holder := range slot.holders {
		index, known := processIndexes[holder]
		if !known {
			index = uint32(len(processIndexes))
			processIndexes[holder] = index
			state.SetProcesses(append(state.GetProcesses(), holder))
		}
		entry.SetHolders(append(entry.GetHolders(), index))
	}
	return entry
}

// Restore returns the step that the store holds, for a new holder with its own fencing
// token. No sample is in memory yet: see Missing.
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
	step.writeNumber = state.GetWrite()
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
	s.placedCount++
	if slot.place <= s.acknowledged {
		slot.acknowledge()
		return
	}
	slot.term = entry.GetTerm()
	slot.attempt = entry.GetAttempt()
	slot.digest = entry.GetDigest()
	slot.oldestVersion = entry.GetOldest()
	for _, index := range entry.GetHolders() {
		slot.holders = append(slot.holders, state.GetProcesses()[index])
	}
}

// Missing returns the slots whose committed sample this process lacks, by process
// that may hold the sample.
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

// RestoreSample accepts a sample from another process if it has the digest that the
// store binds to its slot.
func (s *Step) RestoreSample(sample *peerpb.Sample) bool {
	if int(sample.GetSlot()) >= len(s.slots) {
		return false
	}
	slot := s.slots[sample.GetSlot()]
	if !slot.isMissing() || !matchesDigest(sample, slot.digest) {
		return false
	}
	slot.sample = withPlace(sample, slot.place-1)
	slot.replicated = true
	slot.committed = true
	// The previous holder may have delivered the sample.
	slot.delivered = true
	return true
}

// ResetMissing resets the slots whose samples no process holds any more and returns their
// number. They run again for the same places.
func (s *Step) ResetMissing() int {
	lost := 0
	for _, slot := range s.slots {
		if slot.isMissing() {
			slot.reset()
			lost++
		}
	}
	s.counts.lost += uint64(lost)
	return lost
}
