package usage

import (
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// Counter counts the responses of one incarnation of a process.
// Exported fields are set before the first Add. It is safe for concurrent use.
type Counter struct {
	Process     string
	Incarnation uint64
	// Window is the length of a usage window.
	Window time.Duration

	ledger Ledger
	mutex  sync.Mutex
}

// Add counts a completely delivered response. It returns the increased counters, which
// are sent with the end of the response so that its receiver keeps a copy.
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
	current := c.ledger.get(keyOf(next))
	next.SetRequests(current.GetRequests() + 1)
	next.SetPromptTokens(current.GetPromptTokens() + prompt)
	next.SetOutputTokens(current.GetOutputTokens() + output)
	counts := []*peerpb.Count{next}
	c.ledger.Merge(counts)
	return counts
}

// Changed returns the counters that changed after a sequence number, and the
// latest sequence number. 0 returns all counters.
func (c *Counter) Changed(sequence uint64) ([]*peerpb.Count, uint64) {
	return c.ledger.Changed(sequence)
}

// Counts returns the counters of the windows that start in [since, until).
func (c *Counter) Counts(since, until int64) []*peerpb.Count {
	return c.ledger.Counts(since, until)
}

// Forget removes the windows that start before a time and returns the number of removed counters.
func (c *Counter) Forget(before int64) int {
	return c.ledger.Forget(before)
}
