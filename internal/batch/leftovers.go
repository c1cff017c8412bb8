package batch

import "sync"

// leftoverBytes bounds the texts kept for later batches: those of a few steps.
const leftoverBytes = 8 << 20

// leftovers keeps the texts of groups that weren't whole when their batch ended.
// Its zero value is empty. It is safe for concurrent use.
type leftovers struct {
	mutex sync.Mutex
	kept  map[string]Leftover
	// order holds the items, the oldest first.
	order []string
	bytes int
}

// add keeps texts, in place of those kept of the same items.
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
	for l.bytes > leftoverBytes && len(l.order) > 0 {
		oldest := l.order[0]
		l.order = l.order[1:]
		l.drop(oldest)
	}
}

// of returns the texts kept of items.
func (l *leftovers) of(items []string) []Leftover {
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
