package gateway_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

// always makes a server fail all runs in the same way.
func always(fault wiretest.Fault) func(string, int) wiretest.Fault {
	return func(string, int) wiretest.Fault { return fault }
}

// atFirst makes the first run of each request fail, whichever of the servers it reaches.
func atFirst(fault wiretest.Fault, servers ...*wiretest.Sampler) {
	var mutex sync.Mutex
	seen := map[string]bool{}
	for _, server := range servers {
		server.SetFault(func(id string, _ int) wiretest.Fault {
			mutex.Lock()
			defer mutex.Unlock()
			if seen[id] {
				return wiretest.NoFault
			}
			seen[id] = true
			return fault
		})
	}
}

// Guards against a body without end that is passed on for longer than the request has time, or looks whole.
func TestBodyWithoutEndLooksCut(t *testing.T) {
	const requestTime, slack = 2 * time.Second, 500 * time.Millisecond
	for name, path := range map[string]string{"idempotent": "/look/x", "not idempotent": "/post/x"} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			app := d.NewSampler(t, "a1", "app", "")
			app.SetFault(always(wiretest.FaultEndless))
			g := d.start(t, "g1")
			began := time.Now()
			got := g.send(t, http.MethodPost, path, "key-acme", "r1", nil)
			must.Error(t, got.err)
			must.Less(t, requestTime+slack, time.Since(began))
			must.Eq(t, 1, app.Runs("r1"))
		})
	}
}

// Guards against a request or an item that waits at a server which sends bytes slowly and without end, although another
// server could answer it.
func TestSlowBytesWithoutEnd(t *testing.T) {
	d := newDeployment(t)
	atFirst(wiretest.FaultTrickle, d.NewSampler(t, "a1", "app", ""), d.NewSampler(t, "a2", "app", ""))
	first, second := d.NewSampler(t, "m1", "lm", "m"), d.NewSampler(t, "m2", "lm", "m")
	atFirst(wiretest.FaultTrickle, first, second)
	g := d.start(t, "g1")
	t.Run("idempotent", func(t *testing.T) {
		must.Eq(t, "answer to ask", g.send(t, http.MethodPost, "/look/x", "key-acme", "r1", []byte("ask")).body)
	})
	t.Run("resumable stream", func(t *testing.T) {
		got := g.send(t, http.MethodPost, "/stream/x", "key-acme", "s1", nil)
		must.NoError(t, got.err)
		must.StrContains(t, got.body, "id: 5\n")
	})
	t.Run("items", func(t *testing.T) {
		// More items than slots, so that none leaves a slow server for a free slot of another one.
		const items, bound = 12, 10 * time.Second
		g.submit(t, items)
		began := time.Now()
		mustBeComplete(t, g.awaitResults(t, items), items, 5)
		must.Less(t, bound, time.Since(began))
	})
}
