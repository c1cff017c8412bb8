package usage_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/usage"
)

var noon = time.Date(2026, 1, 2, 12, 0, 30, 0, time.UTC)

func newCounter() *usage.Counter {
	return &usage.Counter{Process: "s1", Incarnation: 1, Window: time.Minute}
}

func requests(counts []*peerpb.Count) uint64 {
	var sum uint64
	for _, count := range counts {
		sum += count.GetRequests()
	}
	return sum
}

func TestCounterGrows(t *testing.T) {
	counter := newCounter()
	counter.Add("a", "m", noon, 3, 4)
	counts := counter.Add("a", "m", noon, 5, 6)
	must.Len(t, 1, counts)
	must.Eq(t, uint64(2), counts[0].GetRequests())
	must.Eq(t, uint64(8), counts[0].GetPromptTokens())
	must.Eq(t, uint64(10), counts[0].GetOutputTokens())
	must.Eq(t, noon.Truncate(time.Minute).Unix(), counts[0].GetWindow())
}

// Guards against billing a client account twice for one response: a sidecar's
// counter reaches an entry with the response's end, again by a push and late as
// an older copy. Copies of one counter must not add up.
func TestLedgerMergesCopies(t *testing.T) {
	counter := newCounter()
	first := counter.Add("a", "m", noon, 3, 4)
	second := counter.Add("a", "m", noon, 3, 4)
	ledger := &usage.Ledger{}
	for _, counts := range [][]*peerpb.Count{second, first, second} {
		ledger.Merge(counts)
	}
	must.Eq(t, uint64(2), requests(ledger.Counts(0, noon.Unix()+1)))
}

func TestLedgerKeepsIncarnationsApart(t *testing.T) {
	ledger := &usage.Ledger{}
	ledger.Merge(newCounter().Add("a", "m", noon, 1, 1))
	restarted := newCounter()
	restarted.Incarnation = 2
	ledger.Merge(restarted.Add("a", "m", noon, 1, 1))
	must.Eq(t, uint64(2), requests(ledger.Counts(0, noon.Unix()+1)))
}

func TestLedgerForget(t *testing.T) {
	counter := newCounter()
	ledger := &usage.Ledger{}
	ledger.Merge(counter.Add("a", "m", noon, 1, 1))
	ledger.Merge(counter.Add("a", "m", noon.Add(time.Minute), 1, 1))
	must.Eq(t, 1, ledger.Forget(noon.Unix()))
	must.Eq(t, 1, ledger.Size())
}

func TestChangedSinceSequence(t *testing.T) {
	counter := newCounter()
	counter.Add("a", "m", noon, 1, 1)
	counts, sequence := counter.Changed(0)
	must.Len(t, 1, counts)
	counts, sequence = counter.Changed(sequence)
	must.Len(t, 0, counts)
	counter.Add("b", "m", noon, 1, 1)
	counts, _ = counter.Changed(sequence)
	must.Len(t, 1, counts)
}
