package usage

import (
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// Counter counts what one incarnation of a process served.
// Exported fields are set before the first Add. It is safe for concurrent use.
type Counter struct {
	Process     string
	Incarnation uint64
	// Window is the length of a usage window.
	Window time.Duration

	ledger Ledger
	mutex  sync.Mutex
}

// Add counts an answer that was given whole and returns the counters that it
// raised, for whoever receives the answer's end to keep.
func (c *Counter) Add(account, pool string, now time.Time, prompt, output uint64) []*peerpb.Count {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	next := peerpb.Count_builder{
		Process:     c.Process,
		Incarnation: c.Incarnation,
		Account:     account,
		Window:      WindowStart(now, c.Window),
		Pool:        pool,
	}.Build()
	known := c.ledger.get(keyOf(next))
	next.SetRequests(known.GetRequests() + 1)
	next.SetPromptTokens(known.GetPromptTokens() + prompt)
	next.SetOutputTokens(known.GetOutputTokens() + output)
	counts := []*peerpb.Count{next}
	c.ledger.Merge(counts)
	return counts
}

// Changed returns the counters raised since a mark, and the next mark.
// Mark 0 returns all of them.
func (c *Counter) Changed(mark uint64) ([]*peerpb.Count, uint64) {
	return c.ledger.Changed(mark)
}

// Counts returns the counters of the windows that start at or after since and before until.
func (c *Counter) Counts(since, until int64) []*peerpb.Count {
	return c.ledger.Counts(since, until)
}

// Forget drops the windows that start before a time and returns how many counters that were.
func (c *Counter) Forget(before int64) int {
	return c.ledger.Forget(before)
}
