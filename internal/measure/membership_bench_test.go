package measure_test

import (
	"testing"

	"github.com/bramleyhatch/bramleyhatch/internal/measure"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// BenchmarkZoneLost shows how long it takes until all of 1,330 processes know
// that a zone of 190 is lost, and the bytes a second of a process meanwhile.
// Run it with -benchtime 1x.
func BenchmarkZoneLost(b *testing.B) {
	const size = 1330
	for b.Loop() {
		loop := measure.NewMemberLoop(size, 1)
		loop.Run(17*second, never)
		before := loop.Bytes()
		loop.Kill(func(process *peerpb.Process) bool { return process.GetZone() == "zone-3" })
		took := loop.Run(90*second, func() bool {
			return loop.Share(func(members *member.Members) bool { return failed(members, "zone-3") == 0 }) == 1
		})
		b.ReportMetric(took.Seconds(), "known-s")
		b.ReportMetric(float64(loop.Bytes()-before)/took.Seconds()/size, "B/s/process")
	}
}
