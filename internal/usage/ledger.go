package usage

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// Ledger holds counters of many processes, merged by maximum.
// Its zero value is empty. It is safe for concurrent use.
type Ledger struct {
	mutex  sync.Mutex
	counts map[key]held
	mark   uint64
}

// held is a counter and the mark of its last change.
type held struct {
	count *peerpb.Count
	mark  uint64
}

// Changed returns the counters raised since a mark, and the next mark.
// Mark 0 returns all of them.
func (l *Ledger) Changed(mark uint64) ([]*peerpb.Count, uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []*peerpb.Count
	for _, held := range l.counts {
		if held.mark > mark {
			found = append(found, held.count)
		}
	}
	return found, l.mark
}

// Counts returns the counters of the windows that start at or after since and before until, in a fixed order.
func (l *Ledger) Counts(since, until int64) []*peerpb.Count {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []*peerpb.Count
	for _, held := range l.counts {
		if window := held.count.GetWindow(); window >= since && window < until {
			found = append(found, held.count)
		}
	}
	slices.SortFunc(found, compareCounts)
	return found
}

// Forget drops the windows that start before a time and returns how many counters that were.
func (l *Ledger) Forget(before int64) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	dropped := 0
	for key := range l.counts {
		if key.window < before {
			delete(l.counts, key)
			dropped++
		}
	}
	return dropped
}

// Merge takes counters. A counter only grows, so the larger value of each
// part is the newer one and a copy that arrives late or twice changes nothing.
func (l *Ledger) Merge(counts []*peerpb.Count) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.counts == nil {
		l.counts = map[key]held{}
	}
	for _, count := range counts {
		l.merge(count)
	}
}

// Size returns the number of counters held.
func (l *Ledger) Size() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.counts)
}

func (l *Ledger) get(key key) *peerpb.Count {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.counts[key].count
}

// merge replaces a counter by a new message, since the old one may be on its way to another process.
func (l *Ledger) merge(count *peerpb.Count) {
	key := keyOf(count)
	known := l.counts[key].count
	if known != nil && !raises(count, known) {
		return
	}
	l.mark++
	l.counts[key] = held{mark: l.mark, count: peerpb.Count_builder{
		Process:      key.process,
		Incarnation:  key.incarnation,
		Account:      key.account,
		Window:       key.window,
		Pool:         key.pool,
		Requests:     max(count.GetRequests(), known.GetRequests()),
		PromptTokens: max(count.GetPromptTokens(), known.GetPromptTokens()),
		OutputTokens: max(count.GetOutputTokens(), known.GetOutputTokens()),
	}.Build()}
}

func raises(count, known *peerpb.Count) bool {
	return count.GetRequests() > known.GetRequests() ||
		count.GetPromptTokens() > known.GetPromptTokens() ||
		count.GetOutputTokens() > known.GetOutputTokens()
}

func compareCounts(a, b *peerpb.Count) int {
	return cmp.Or(
		cmp.Compare(a.GetWindow(), b.GetWindow()),
		strings.Compare(a.GetAccount(), b.GetAccount()),
		strings.Compare(a.GetPool(), b.GetPool()),
		strings.Compare(a.GetProcess(), b.GetProcess()),
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
	)
}
