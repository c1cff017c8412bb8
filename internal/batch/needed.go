package batch

import (
	"cmp"
	"slices"
)

// groupWork is the work that a group still needs.
type groupWork struct {
	// position is the order of the group in the batch.
	position int
	work     float64
	// isLost is true if one of the group's items was given up: the group can't be complete.
	isLost   bool
	isNeeded bool
}

// classify sets which items are spare: those of groups for which the trainer doesn't wait.
//
// A trainer waits for its wanted groups and ends the step; it submits the incomplete groups again, and they come first in the
// next batch, at most half of its wanted groups. The trainer waits for exactly these whatever else is complete. So the first
// half is always needed, and of the other groups those that need the least work.
func (p *Plan) classify() {
	for _, group := range p.groupWorks {
		*group = groupWork{position: group.position}
	}
	for _, item := range p.items {
		item.group.work += p.work(item)
		item.group.isLost = item.group.isLost || item.outcome.GetFailed()
	}
	p.markNeeded()
	for _, item := range p.items {
		item.isSpare = !item.group.isNeeded
	}
}

// addGroups finds the groups of the items, in the order of the batch.
func (p *Plan) addGroups() {
	groups := map[string]*groupWork{}
	for _, item := range p.items {
		id := item.spec.GetGroup()
		if groups[id] == nil {
			groups[id] = &groupWork{position: len(groups)}
			p.groupWorks = append(p.groupWorks, groups[id])
		}
		item.group = groups[id]
	}
}

func (p *Plan) markNeeded() {
	wanted := int(p.batch.GetWanted())
	if wanted == 0 {
		wanted = len(p.groupWorks)
	}
	always := (wanted + 1) / 2
	slices.SortFunc(p.groupWorks, func(a, b *groupWork) int {
		if a.position < always || b.position < always {
			return cmp.Compare(a.position, b.position)
		}
		return cmp.Or(cmp.Compare(a.work, b.work), cmp.Compare(a.position, b.position))
	})
	for _, group := range p.groupWorks {
		if group.isLost || wanted == 0 {
			continue
		}
		group.isNeeded = true
		wanted--
	}
}

// work returns the expected events that an item still generates. While the events of a text can't be expected yet, the hint
// in tokens orders the groups.
func (p *Plan) work(item *itemState) float64 {
	if item.phase != waiting && item.phase != running {
		return 0
	}
	if expected := item.spec.GetExpected(); expected > 0 && p.lengths.Events(expected) == 0 {
		return float64(expected)
	}
	return float64(p.Remaining(item.index))
}

// IsNeeded reports whether the trainer waits for an item, as of the last call of Slack or change of the waiting items: a check
// for each of a thousand placements would take a second of CPU time.
func (p *Plan) IsNeeded(job Job) bool { return !p.items[job.index].isSpare }
