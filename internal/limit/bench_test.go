package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/limit"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

func BenchmarkAdmit400Entries(b *testing.B) {
	one := &limit.Limiter{Self: "e0", Entries: 400}
	now := time.Unix(1_000_000, 0)
	var demands []*peerpb.Demand
	for i := range 400 {
		demands = append(demands, peerpb.Demand_builder{Entry: fmt.Sprint("e", i), Account: "astana", Seq: 1, Rate: 10, Running: 5}.Build())
	}
	one.Receive(demands, now)
	limits := limit.Limits{Rate: 1e9, Concurrency: 1e6, Tokens: 1e9}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		one.Admit("astana", limits, 100, now)
		one.Finish("astana", 100, 100)
	}
}
