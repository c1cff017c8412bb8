package gateway_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against generation of a step's texts being delayed until the store responds.
func TestBatchWhileStoreIsAway(t *testing.T) {
	const items = 4
	d := newDeployment(t)
	d.NewSampler(t, "a1", "app", "")
	sampler := d.NewSampler(t, "m1", "lm", "m")
	g := d.start(t, "g1")
	g.awaitLease(t)
	runsBefore := sampler.Total()
	g.storeEndpoint.SetUnavailable(true)
	got := g.send(t, http.MethodPost, "/batch/b1", "key-acme", "b1", batchBody(t, items))
	must.Eq(t, http.StatusGatewayTimeout, got.status)
	await(t, "the items have run", func() bool { return sampler.Total() == runsBefore+items })
	_, status := g.read(t, "b1", 0)
	must.NotEq(t, http.StatusOK, status)
	g.storeEndpoint.SetUnavailable(false)
	g.submit(t, items)
	mustBeComplete(t, g.awaitResults(t, items), items, 5)
	must.Eq(t, runsBefore+items, sampler.Total())
}
