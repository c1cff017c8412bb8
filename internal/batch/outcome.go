package batch

import (
	"slices"
	"strings"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// Reason returns why an item was given up.
func (p *Plan) Reason(id string) string {
	if item := p.byID[id]; item != nil {
		return item.reason
	}
	return ""
}

func (p *Plan) fail(item *itemState, reason string) {
	item.reason = reason
	p.order = slices.DeleteFunc(p.order, func(other *itemState) bool { return other == item })
	p.list(item, statepb.Outcome_builder{Item: item.spec.GetId(), Failed: true}.Build())
}

func (p *Plan) succeed(item *itemState, proof string) {
	text := strings.Join(item.events, "\n")
	p.list(item, statepb.Outcome_builder{Item: item.spec.GetId(), Text: text, Versions: distinct(item.versions), Score: proof}.Build())
}

// distinct returns the versions sorted and without duplicates.
func distinct(versions []uint64) []uint64 {
	found := slices.Clone(versions)
	slices.Sort(found)
	return slices.Compact(found)
}

func (p *Plan) list(item *itemState, outcome *statepb.Outcome) {
	if item.phase == settled {
		return
	}
	item.phase = settled
	item.outcome = outcome
	p.openItems--
	p.pending = append(p.pending, outcome)
	p.recordInGroup(item)
}

// recordInGroup records an item's outcome in its group, and completes the group once every item
// has one.
func (p *Plan) recordInGroup(item *itemState) {
	p.groups[item.spec.GetGroup()]--
	if p.groups[item.spec.GetGroup()] > 0 {
		return
	}
	p.completeGroups++
	p.dropEvents(item.spec.GetGroup())
	if p.completeGroups >= int(p.batch.GetWanted()) {
		p.urgent = true
	}
}

// dropEvents drops the events of a group whose items all have their outcomes. No later batch
// reuses them, and a batch stays in memory for its whole retention.
func (p *Plan) dropEvents(group string) {
	for _, item := range p.items {
		if item.spec.GetGroup() == group {
			item.events, item.versions = nil, nil
		}
	}
}

// Pending returns and clears the outcomes that were not passed to the ledger yet. They are urgent
// if they complete the groups that the trainer waits for. Until then the trainer cannot use any,
// and each write costs a call of the store.
func (p *Plan) Pending() (outcomes []*statepb.Outcome, isUrgent bool) {
	pending := p.pending
	p.pending = nil
	isUrgent = p.urgent || p.IsComplete()
	p.urgent = false
	return pending, isUrgent
}
