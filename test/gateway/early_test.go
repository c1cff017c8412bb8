package gateway_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a step that waits for the store before its texts are generated.
func TestBatchWhileStoreIsAway(t *testing.T) {
	const items = 4
	w := newWorld(t)
	w.NewSampler(t, "a1", "app", "")
	sampler := w.NewSampler(t, "m1", "lm", "m")
	g := w.start(t, "g1")
	g.awaitLease(t)
	ran := sampler.Total()
	g.endpoint.SetUnavailable(true)
	got := g.send(t, http.MethodPost, "/batch/b1", "key-acme", "b1", batchBody(t, items))
	must.Eq(t, http.StatusGatewayTimeout, got.status)
	await(t, "the items run", func() bool { return sampler.Total() == ran+items })
	_, status := g.read(t, "b1", 0)
	must.NotEq(t, http.StatusOK, status)
	g.endpoint.SetUnavailable(false)
	g.submit(t, items)
	mustBeWhole(t, g.awaitResults(t, items), items, 5)
	must.Eq(t, ran+items, sampler.Total())
}
