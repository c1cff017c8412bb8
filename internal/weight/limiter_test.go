package weight

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// recordLoads records loads with the durations of a store that serves two loads at a time.
func recordLoads(l *limiter, count int) {
	for range count {
		inFlight := l.limit(5)
		l.recordLoad(time.Duration(float64(time.Second)*max(1, float64(inFlight)/2)), float64(inFlight))
	}
}

func TestSmallLimit(t *testing.T) {
	t.Run("as many as the store carries", func(t *testing.T) {
		var l limiter
		recordLoads(&l, 30)
		must.Between(t, 2, l.limit(5), 3)
	})
	// Guards against mistaking a slow sampler for queueing at the store, which limited loads to one
	// at a time for 10 s: the sampler is slow although no other load is in progress.
	t.Run("one slow sampler", func(t *testing.T) {
		var l limiter
		recordLoads(&l, 12)
		l.recordLoad(3*time.Second, 2)
		must.GreaterEq(t, 2, l.limit(5))
	})
	t.Run("store capacity recovers", func(t *testing.T) {
		var l limiter
		recordLoads(&l, 20)
		for range 40 {
			l.recordLoad(time.Second, float64(l.limit(5)))
		}
		must.GreaterEq(t, 4, l.limit(5))
	})
}
