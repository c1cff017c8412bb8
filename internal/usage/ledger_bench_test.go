package usage_test

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/usage"
)

// counters returns one counter for each sidecar and account.
func counters(sidecars, accounts int) []*peerpb.Count {
	var counts []*peerpb.Count
	for i := range sidecars {
		for j := range accounts {
			counts = append(counts, peerpb.Count_builder{
				Process:      fmt.Sprintf("sidecar-%d", i),
				Incarnation:  1764720000000000000,
				Account:      fmt.Sprintf("account-%d", j),
				Window:       1764720000,
				Pool:         "assistant",
				Requests:     1000,
				PromptTokens: 1000000,
				OutputTokens: 1000000,
			}.Build())
		}
	}
	return counts
}

func BenchmarkMerge(b *testing.B) {
	counts := counters(930, 8)
	ledger := &usage.Ledger{}
	ledger.Merge(counts)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ledger.Merge(counts[i%len(counts) : i%len(counts)+1])
	}
}

func BenchmarkAdd(b *testing.B) {
	counter := newCounter()
	b.ReportAllocs()
	for b.Loop() {
		counter.Add("a", "m", noon, 10, 20)
	}
}

// BenchmarkCloseWindow closes a window of 930 sidecars and 8 accounts.
func BenchmarkCloseWindow(b *testing.B) {
	counts := counters(930, 8)
	b.ReportAllocs()
	for b.Loop() {
		usage.CloseWindow(1764720000, counts, nil)
	}
}

// BenchmarkLedgerSize reports the memory and the encoded size of a counter.
func BenchmarkLedgerSize(b *testing.B) {
	counts := counters(930, 8)
	for b.Loop() {
		ledger := &usage.Ledger{}
		before := heapBytes()
		ledger.Merge(counts)
		after := heapBytes()
		b.ReportMetric(float64(after-before)/float64(ledger.Size()), "B/counter")
		b.ReportMetric(float64(proto.Size(peerpb.KeepRequest_builder{Counts: counts}.Build()))/float64(len(counts)), "messageB/counter")
		runtime.KeepAlive(ledger)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
