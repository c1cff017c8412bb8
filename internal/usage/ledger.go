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
	mutex    sync.Mutex
	counts   map[counterKey]ledgerRecord
	sequence uint64
}

// ledgerRecord is a counter and the sequence number of its last change.
type ledgerRecord struct {
	count    *peerpb.Count
	sequence uint64
}

// Changed returns the counters that changed after a sequence number, and the
// latest sequence number. 0 returns all counters.
func (l *Ledger) Changed(sequence uint64) ([]*peerpb.Count, uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []*peerpb.Count
	for _, record := range l.counts {
		if record.sequence > sequence {
			found = append(found, record.count)
		}
	}
	return found, l.sequence
}

// Counts returns the counters of the windows that start in [since, until), sorted.
func (l *Ledger) Counts(since, until int64) []*peerpb.Count {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []*peerpb.Count
	for _, record := range l.counts {
		if window := record.count.GetWindow(); window >= since && window < until {
			found = append(found, record.count)
		}
	}
	slices.SortFunc(found, compareCounts)
	return found
}

// Forget removes the windows that start before a time and returns the number of removed counters.
func (l *Ledger) Forget(before int64) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	removed := 0
	for key := range l.counts {
		if key.window < before {
			delete(l.counts, key)
			removed++
		}
	}
	return removed
}

// Merge merges counters by maximum. A counter only grows, so the larger value of
// each field is the newer one, and a late or repeated copy changes nothing.
func (l *Ledger) Merge(counts []*peerpb.Count) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.counts == nil {
		l.counts = map[counterKey]ledgerRecord{}
	}
	for _, count := range counts {
		l.merge(count)
	}
}

// Size returns the number of counters.
func (l *Ledger) Size() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.counts)
}

func (l *Ledger) get(key counterKey) *peerpb.Count {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.counts[key].count
}

// merge replaces a counter with a new message, since the old one may be in use by an RPC.
func (l *Ledger) merge(count *peerpb.Count) {
	key := keyOf(count)
	current := l.counts[key].count
	if current != nil && !increases(count, current) {
		return
	}
	l.sequence++
	l.counts[key] = ledgerRecord{sequence: l.sequence, count: peerpb.Count_builder{
		Process:      key.process,
		Incarnation:  key.incarnation,
		Account:      key.account,
		Window:       key.window,
		Pool:         key.pool,
		Requests:     max(count.GetRequests(), current.GetRequests()),
		PromptTokens: max(count.GetPromptTokens(), current.GetPromptTokens()),
		OutputTokens: max(count.GetOutputTokens(), current.GetOutputTokens()),
	}.Build()}
}

func increases(count, current *peerpb.Count) bool {
	return count.GetRequests() > current.GetRequests() ||
		count.GetPromptTokens() > current.GetPromptTokens() ||
		count.GetOutputTokens() > current.GetOutputTokens()
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
