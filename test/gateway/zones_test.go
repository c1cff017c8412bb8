package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against requests, items and loads at a drained zone's servers, also by a
// gateway that starts later or saw nothing of the store when the zone was drained.
func TestZoneIsDrained(t *testing.T) {
	// The zone of the gateways, whose servers they prefer.
	const drain = "op/evacuate/z1"
	w := newWorld(t)
	near, far := w.NewSampler(t, "a1", "app", ""), w.NewSampler(t, "a2", "app", "")
	far.MoveToZone(t, "z2")
	drained, sampler := w.NewSampler(t, "m1", "lm", "m"), w.NewSampler(t, "m2", "lm", "m")
	sampler.MoveToZone(t, "z2")
	away := w.start(t, "g0")
	away.endpoint.SetUnavailable(true)
	w.Put(t, drain, map[string]any{})
	g := w.start(t, "g1")
	ask := func(from *gateway, first, count int) {
		t.Helper()
		for i := range count {
			id := "r" + strconv.Itoa(first+i)
			must.Eq(t, http.StatusOK, from.send(t, http.MethodPost, "/look/x", "key-acme", id, []byte("ask")).status)
		}
	}
	t.Run("a gateway that starts", func(t *testing.T) {
		ask(g, 0, 20)
		g.submit(t, 6)
		g.awaitResults(t, 6)
		must.Eq(t, 0, near.Total())
		must.Eq(t, 0, drained.Total())
		// Both gateways may run the items: the first one has no lease once it is cut off.
		must.GreaterEq(t, 20+6, far.Total())
		must.GreaterEq(t, 6, sampler.Total())
		g.awaitMetric(t, "bramleyhatch_gateway_drained_zones 1")
	})
	t.Run("a gateway that is back at the store", func(t *testing.T) {
		away.endpoint.SetUnavailable(false)
		away.awaitMetric(t, "bramleyhatch_gateway_drained_zones 1")
		ask(away, 100, 20)
		must.Eq(t, 0, near.Total())
	})
	t.Run("refused at once where no zone is left", func(t *testing.T) {
		w.Put(t, "op/evacuate/z2", map[string]any{})
		g.awaitMetric(t, "bramleyhatch_gateway_drained_zones 2")
		began := time.Now()
		got := g.send(t, http.MethodPost, "/look/x", "key-acme", "r200", []byte("ask"))
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.NotEq(t, "", got.header.Get("Retry-After"))
		must.Less(t, 500*time.Millisecond, time.Since(began))
		w.RemoveKey(t, "op/evacuate/z2")
	})
	t.Run("taken back", func(t *testing.T) {
		w.RemoveKey(t, drain)
		g.awaitMetric(t, "bramleyhatch_gateway_drained_zones 0")
		ask(g, 300, 20)
		must.Positive(t, near.Total())
	})
}
