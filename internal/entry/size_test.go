package entry

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/claim"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// BenchmarkRememberedRun measures the memory of an ended run whose answer was
// forgotten, in bytes a run.
func BenchmarkRememberedRun(b *testing.B) {
	var r registry
	measureHeap(b, func(i int) {
		request := peerpb.RunRequest_builder{Id: fmt.Sprintf("90bc38b1-6ff1-49cc-9ec9-%012d", i), Body: make([]byte, 1000)}.Build()
		run, _, _ := r.join(request, true)
		run.refuse(refusal.Unknown(http.StatusBadGateway, "cut", "cut"))
		r.ended(run, time.Now())
		run.forget()
	})
	runtime.KeepAlive(&r)
}

// BenchmarkKeptClaim measures the memory of a claim, in bytes a claim.
func BenchmarkKeptClaim(b *testing.B) {
	journal := &claim.Journal{Retention: time.Hour, Capacity: 1 << 30}
	measureHeap(b, func(i int) {
		request := peerpb.RunRequest_builder{Body: fmt.Append(nil, i)}.Build()
		record := claim.NewRecord(fmt.Sprintf("90bc38b1-6ff1-49cc-9ec9-%012d", i), "server-s1", digest(request))
		_, _, _ = journal.Add(digest(request), record, time.Now())
	})
	runtime.KeepAlive(journal)
}

func measureHeap(b *testing.B, add func(i int)) {
	before := heapInUse()
	count := 0
	for b.Loop() {
		if count < maxPostings {
			add(count)
			count++
		}
	}
	b.ReportMetric(float64(heapInUse()-before)/float64(count), "heap-B/item")
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkAdmit measures a request's way through the gate.
func BenchmarkAdmit(b *testing.B) {
	var g gate
	g.open(16, 256)
	request := peerpb.RunRequest_builder{Account: "a", Body: []byte(`{"max_tokens":128}`)}.Build()
	b.ReportAllocs()
	for b.Loop() {
		share := newShare(request, time.Now().Add(time.Minute))
		if refused := g.enter(b.Context(), share); refused != nil {
			b.Fatal(refused)
		}
		g.leave(share, share.Cost)
	}
}

// BenchmarkFrame measures a frame's way into a run and out to a reader.
func BenchmarkFrame(b *testing.B) {
	run := newRun(peerpb.RunRequest_builder{Id: "r"}.Build())
	b.ReportAllocs()
	for b.Loop() {
		chunk := peerpb.Chunk_builder{Data: []byte("word "), Tokens: []int32{1}, Version: 1}.Build()
		_ = run.add(peerpb.Frame_builder{Chunk: chunk}.Build())
		frames, _, _, _ := run.after(run.read)
		for _, frame := range frames {
			_ = copyFrame(frame)
		}
		run.got(run.read + uint64(len(frames)))
	}
}

// BenchmarkHeldFrame measures the memory of a frame of one token that a run holds.
func BenchmarkHeldFrame(b *testing.B) {
	run := newRun(peerpb.RunRequest_builder{Id: "r"}.Build())
	measureHeap(b, func(int) {
		chunk := peerpb.Chunk_builder{Data: []byte("word "), Tokens: []int32{1}, Version: 1, Logprobs: []float32{-1}}.Build()
		if run.bytes < heldBytes {
			_ = run.add(peerpb.Frame_builder{Chunk: chunk}.Build())
		}
	})
	b.ReportMetric(float64(run.bytes)/float64(len(run.frames)), "counted-B/item")
	b.ReportMetric(float64(len(run.frames)), "frames")
}
