package batch

import (
	"slices"
	"strings"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// Reason says why an item was given up.
func (p *Plan) Reason(id string) string {
	if one := p.byID[id]; one != nil {
		return one.reason
	}
	return ""
}

func (p *Plan) fail(one *item, reason string) {
	one.reason = reason
	p.order = slices.DeleteFunc(p.order, func(other *item) bool { return other == one })
	p.list(one, statepb.Outcome_builder{Item: one.spec.GetId(), Failed: true}.Build())
}

func (p *Plan) settle(one *item, proof string) {
	text := strings.Join(one.events, "\n")
	p.list(one, statepb.Outcome_builder{Item: one.spec.GetId(), Text: text, Versions: distinct(one.versions), Score: proof}.Build())
}

// distinct returns the versions, each once.
func distinct(versions []uint64) []uint64 {
	found := slices.Clone(versions)
	slices.Sort(found)
	return slices.Compact(found)
}

func (p *Plan) list(one *item, outcome *statepb.Outcome) {
	if one.phase == settled {
		return
	}
	one.phase = settled
	one.outcome = outcome
	p.open--
	p.pending = append(p.pending, outcome)
	p.closeGroup(one)
}

// closeGroup notes an item of a group that has its outcome.
func (p *Plan) closeGroup(one *item) {
	p.groups[one.spec.GetGroup()]--
	if p.groups[one.spec.GetGroup()] > 0 {
		return
	}
	p.whole++
	p.forget(one.spec.GetGroup())
	if p.whole >= int(p.batch.GetWanted()) {
		p.urgent = true
	}
}

// forget drops the events of a group whose items all have their outcomes. No later
// batch asks for them, and a batch is kept in memory as long as it can be read.
func (p *Plan) forget(group string) {
	for _, one := range p.items {
		if one.spec.GetGroup() == group {
			one.events, one.versions = nil, nil
		}
	}
}

// Pending returns the outcomes that aren't in the store yet, and forgets them.
// They are urgent if they complete what the trainer waits for: all others it
// would only look at, and each write costs the store a call.
func (p *Plan) Pending() (outcomes []*statepb.Outcome, isUrgent bool) {
	pending := p.pending
	p.pending = nil
	isUrgent = p.urgent || p.IsComplete()
	p.urgent = false
	return pending, isUrgent
}
