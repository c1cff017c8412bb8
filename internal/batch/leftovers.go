package batch

import (
	"slices"
	"sync"
)

// maxLeftoverBytes bounds the texts kept for later batches: it holds the texts of a few steps.
const maxLeftoverBytes = 8 << 20

// leftovers holds the texts of groups that were incomplete when their batch ended. Its zero
// value is empty. It is safe for concurrent use.
type leftovers struct {
	mutex sync.Mutex
	kept  map[string]Leftover
	// order holds the item IDs, the oldest first.
	order []string
	bytes int
}

// add stores texts and replaces earlier texts of the same items.
func (l *leftovers) add(texts []Leftover) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.kept == nil {
		l.kept = map[string]Leftover{}
	}
	for _, text := range texts {
		l.drop(text.item)
		l.kept[text.item] = text
		l.order = append(l.order, text.item)
		l.bytes += text.size()
	}
	for l.bytes > maxLeftoverBytes && len(l.order) > 0 {
		oldest := l.order[0]
		l.order = l.order[1:]
		l.drop(oldest)
	}
}

// find returns the stored texts of the given items.
func (l *leftovers) find(items []string) []Leftover {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []Leftover
	for _, item := range items {
		if text, ok := l.kept[item]; ok {
			found = append(found, text)
		}
	}
	return found
}

func (l *leftovers) drop(item string) {
	if text, ok := l.kept[item]; ok {
		l.bytes -= text.size()
		delete(l.kept, item)
	}
}

// Leftover is the text of an item whose group was incomplete when its batch ended.
type Leftover struct {
	item       string
	events     []string
	versions   []uint64
	isComplete bool
}

// size returns the length of the text in bytes.
func (l Leftover) size() int {
	bytes := 0
	for _, event := range l.events {
		bytes += len(event)
	}
	return bytes
}

// Leftovers returns the texts of incomplete groups, whose items a later batch may contain again.
func (p *Plan) Leftovers() []Leftover {
	return p.texts(func(item *itemState) bool { return p.groups[item.spec.GetGroup()] > 0 })
}

// Texts returns the texts of all items, for a batch that is loaded again from the store.
func (p *Plan) Texts() []Leftover {
	return p.texts(func(*itemState) bool { return true })
}

func (p *Plan) texts(isWanted func(*itemState) bool) []Leftover {
	var leftovers []Leftover
	for _, item := range p.items {
		if !isWanted(item) || len(item.events) == 0 || item.outcome.GetFailed() {
			continue
		}
		isComplete := item.phase == unscored || item.phase == scoring || item.phase == settled
		leftovers = append(leftovers, Leftover{item: item.spec.GetId(), events: item.events, versions: item.versions, isComplete: isComplete})
	}
	return leftovers
}

// Reuse adds the texts of an earlier batch whose weight versions this batch allows. It returns
// the number of items with a reused text.
//
// A trainer ends its step once enough groups are complete, and sends the other groups again in a
// later step, where it waits for them first. Usually all items but one of such a group are
// complete; generating them again would take a tenth of a step's slots.
func (p *Plan) Reuse(leftovers []Leftover) int {
	reused := 0
	for _, leftover := range leftovers {
		item := p.byID[leftover.item]
		if item == nil || item.phase != waiting || !p.areVersionsAllowed(leftover.versions) || len(leftover.events) <= len(item.events) {
			continue
		}
		reused++
		item.events, item.versions = slices.Clone(leftover.events), slices.Clone(leftover.versions)
		if leftover.isComplete {
			p.completeText(item)
		}
	}
	p.order = slices.DeleteFunc(p.order, func(item *itemState) bool { return item.phase != waiting })
	p.sort()
	return reused
}
