package weight

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func samplers(count int, version uint64) []Sampler {
	live := make([]Sampler, count)
	for i := range live {
		live[i] = Sampler{Server: fmt.Sprintf("s%04d", i), Zone: fmt.Sprintf("z%d", i%7), Version: version}
	}
	return live
}

func newWave(count int, version uint64) *Wave {
	wave := &Wave{Schedule: Schedule{Share: 0.34, Lag: DefaultLag}}
	wave.Observe(samplers(count, version), start)
	wave.Announce(2)
	return wave
}

func TestWaveKeepsCapacity(t *testing.T) {
	wave := newWave(930, 1)
	now := start
	for wave.Behind() > 0 {
		chosen := wave.Next(now)
		must.LessEq(t, 316, wave.InFlight())
		now = now.Add(time.Second)
		for _, server := range chosen {
			wave.RecordLoaded(server, 2, now)
		}
	}
	must.LessEq(t, 24*time.Second, now.Sub(start))
	must.SliceEmpty(t, wave.Next(now))
}

// Guards against treating a rollout as complete while samplers serve old weights: one sampler's
// swap fails, and an old order reverts another sampler that ignores fencing tokens. Only the
// version that a sampler shows counts.
func TestWaveOrdersAgain(t *testing.T) {
	t.Run("a swap that fails is retried after a pause", func(t *testing.T) {
		wave := newWave(1, 1)
		must.Len(t, 1, wave.Next(start))
		wave.RecordFailed("s0000", start)
		must.SliceEmpty(t, wave.Next(start))
		must.Len(t, 1, wave.Next(start.Add(minBackoff)))
	})
	t.Run("an answer that shows the old version counts as failed", func(t *testing.T) {
		wave := newWave(1, 1)
		must.Len(t, 1, wave.Next(start))
		wave.RecordLoaded("s0000", 1, start)
		must.Eq(t, 1, wave.Behind())
		must.SliceEmpty(t, wave.Next(start))
		must.Len(t, 1, wave.Next(start.Add(minBackoff)))
	})
	t.Run("a sampler set back is ordered again", func(t *testing.T) {
		wave := newWave(1, 1)
		wave.Next(start)
		wave.RecordLoaded("s0000", 2, start)
		must.Eq(t, 0, wave.Behind())
		wave.Observe(samplers(1, 1), start.Add(DefaultLag))
		must.Eq(t, 1, wave.Behind())
		must.Len(t, 1, wave.Next(start.Add(DefaultLag)))
	})
	t.Run("a report that lags is not believed", func(t *testing.T) {
		wave := newWave(1, 1)
		wave.Next(start)
		wave.RecordLoaded("s0000", 2, start)
		wave.Observe(samplers(1, 1), start.Add(DefaultLag/2))
		must.Eq(t, 0, wave.Behind())
	})
	t.Run("a version announced meanwhile is ordered next", func(t *testing.T) {
		wave := newWave(1, 1)
		wave.Next(start)
		must.True(t, wave.Announce(3))
		must.False(t, wave.Announce(2))
		wave.RecordLoaded("s0000", 2, start)
		must.Len(t, 1, wave.Next(start))
	})
	t.Run("a sampler that starts later is ordered too", func(t *testing.T) {
		wave := newWave(1, 2)
		must.SliceEmpty(t, wave.Next(start))
		wave.Observe(append(samplers(1, 2), samplers(2, 1)[1]), start)
		must.Eq(t, 1, wave.Behind())
	})
}

func TestWaveSpreadsZones(t *testing.T) {
	wave := newWave(70, 1)
	for range 20 {
		wave.limiter.recordLoad(time.Second, 1)
	}
	zones := map[string]int{}
	for _, server := range wave.Next(start) {
		zones[wave.samplers[server].zone]++
	}
	for zone, count := range zones {
		must.LessEq(t, 4, count, must.Sprint(zone))
	}
}

// BenchmarkWave runs one round of the coordinator over 930 samplers; the coordinator runs ten
// rounds a second.
func BenchmarkWave(b *testing.B) {
	wave := newWave(930, 1)
	live := samplers(930, 1)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		wave.Observe(live, now)
		for _, server := range wave.Next(now) {
			wave.RecordFailed(server, now)
		}
	}
}
