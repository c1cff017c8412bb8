package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

func TestRequests(t *testing.T) {
	d := newDeployment(t)
	app := d.NewSampler(t, "a1", "app", "")
	g := d.start(t, "g1")
	t.Run("served", func(t *testing.T) {
		got := g.send(t, http.MethodPost, "/look/x?q=1", "key-acme", "r1", []byte("ask"), "X-Own", "kept")
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, "answer to ask", got.body)
		must.Eq(t, "proof.r1", got.header.Get("Sampler-Signature"))
		must.Eq(t, "acme", app.Header("r1").Get("Tenant"))
		must.Eq(t, "kept", app.Header("r1").Get("X-Own"))
		must.Eq(t, "", app.Header("r1").Get("Authorization"))
	})
	t.Run("a caller can't name its account", func(t *testing.T) {
		g.send(t, http.MethodPost, "/look/x", "key-acme", "r2", nil, "Tenant", "other")
		must.Eq(t, "acme", app.Header("r2").Get("Tenant"))
	})
	t.Run("unknown key", func(t *testing.T) {
		must.Eq(t, http.StatusUnauthorized, g.send(t, http.MethodPost, "/look/x", "key-none", "r3", nil).status)
	})
	t.Run("unknown path", func(t *testing.T) {
		must.Eq(t, http.StatusNotFound, g.send(t, http.MethodPost, "/none/x", "key-acme", "r4", nil).status)
	})
	t.Run("a path is not cleaned", func(t *testing.T) {
		must.Eq(t, http.StatusOK, g.send(t, http.MethodPost, "/look//x/../y", "key-acme", "r5", nil).status)
	})
	t.Run("time over", func(t *testing.T) {
		app.SetFault(func(string, int) wiretest.Fault { return wiretest.FaultHang })
		began := time.Now()
		got := g.send(t, http.MethodPost, "/look/x", "key-acme", "r6", nil, "Deadline-Ms", "400")
		must.Eq(t, http.StatusGatewayTimeout, got.status)
		must.Less(t, 700*time.Millisecond, time.Since(began))
	})
}

// Guards against corrupt responses: a server cuts off its response, sends one that belongs
// to another request, refuses or fails. The caller must get the whole response of a retry,
// and none of the bad bytes.
func TestCorruptServerResponses(t *testing.T) {
	for name, fault := range map[string]wiretest.Fault{"cut": wiretest.FaultTruncate, "foreign": wiretest.FaultWrongRequest, "foreign refusal": wiretest.FaultWrongRefusal, "refused": wiretest.FaultRefuse, "failed": wiretest.FaultFail} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			once := func(_ string, runs int) wiretest.Fault {
				if runs == 0 {
					return fault
				}
				return wiretest.NoFault
			}
			d.NewSampler(t, "a1", "app", "").SetFault(once)
			d.NewSampler(t, "a2", "app", "")
			g := d.start(t, "g1")
			for _, id := range []string{"r1", "r2", "r3", "r4"} {
				got := g.send(t, http.MethodPost, "/look/x", "key-acme", id, []byte(id))
				must.NoError(t, got.err)
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, "answer to "+id, got.body)
			}
		})
	}
}

// Guards against a repeated non-idempotent request. The response to a posting is lost, or belongs to another request: a
// resend would run the posting twice, and reporting the posting as not run would be false.
func TestPostingRunsOnce(t *testing.T) {
	d := newDeployment(t)
	first, second := d.NewSampler(t, "a1", "app", ""), d.NewSampler(t, "a2", "app", "")
	g := d.start(t, "g1")
	for id, fault := range map[string]wiretest.Fault{"p1": wiretest.FaultTruncate, "p2": wiretest.FaultWrongRequest, "p4": wiretest.FaultWrongRefusal} {
		for _, server := range []*wiretest.Sampler{first, second} {
			server.SetFault(func(string, int) wiretest.Fault { return fault })
		}
		got := g.send(t, http.MethodPost, "/post/x", "key-acme", id, []byte("3 hours"))
		must.Eq(t, http.StatusBadGateway, got.status)
		must.Eq(t, 1, first.Runs(id)+second.Runs(id))
	}
	for _, server := range []*wiretest.Sampler{first, second} {
		server.SetFault(func(string, int) wiretest.Fault { return wiretest.FaultRefuse })
	}
	got := g.send(t, http.MethodPost, "/post/x", "key-acme", "p3", nil, "Deadline-Ms", "300")
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.Eq(t, 0, first.Runs("p3")+second.Runs("p3"))
	must.NotEq(t, "", got.header.Get("Retry-After"))
}

func TestBatch(t *testing.T) {
	d := newDeployment(t)
	d.NewSampler(t, "a1", "app", "")
	sampler := d.NewSampler(t, "s1", "lm", "m")
	g, other := d.start(t, "g1"), d.start(t, "g2")
	g.submit(t, 6)
	page := g.awaitResults(t, 6)
	mustBeComplete(t, page, 6, 5)
	t.Run("any gateway shows the same places", func(t *testing.T) {
		must.Eq(t, page, other.awaitResults(t, 6))
		rest, status := other.read(t, "b1", 4)
		must.Eq(t, http.StatusOK, status)
		must.Eq(t, page.Results[4:], rest.Results)
		must.Eq(t, 6, rest.Next)
	})
	t.Run("taken once", func(t *testing.T) {
		got := other.send(t, http.MethodPost, "/batch/b1", "key-acme", "b1", batchBody(t, 6))
		must.Eq(t, http.StatusAccepted, got.status)
		must.Eq(t, 1, sampler.Runs("b1-i0"))
	})
	t.Run("another account's", func(t *testing.T) {
		got := other.send(t, http.MethodGet, "/bramleyhatch/lots/b1?after=0", "key-other", "", nil)
		must.Eq(t, http.StatusNotFound, got.status)
	})
	t.Run("body of an item", func(t *testing.T) {
		got := other.send(t, http.MethodGet, "/bramleyhatch/items/b1?id=b1-i2", "key-acme", "", nil)
		must.Eq(t, "prompt b1-i2", got.body)
	})
	t.Run("unknown", func(t *testing.T) {
		_, status := other.read(t, "none", 0)
		must.Eq(t, http.StatusNotFound, status)
	})
	t.Run("can't be read", func(t *testing.T) {
		got := g.send(t, http.MethodPost, "/batch/b9", "key-acme", "b9", []byte(`{"items":[`))
		must.Eq(t, http.StatusBadRequest, got.status)
		_, status := g.read(t, "b9", 0)
		must.Eq(t, http.StatusNotFound, status)
	})
}

// A trainer ends its batch at a gateway other than its owner. The samplers' runs must
// stop at once, and a repeated end must succeed.
func TestEndAtAnotherGateway(t *testing.T) {
	d := newDeployment(t)
	d.NewSampler(t, "a1", "app", "")
	sampler := d.NewSampler(t, "s1", "lm", "m")
	sampler.SetPace(1000, 20*time.Millisecond)
	g, other := d.start(t, "g1"), d.start(t, "g2")
	g.submit(t, 8)
	countRuns := func() int {
		sum := 0
		for _, id := range []string{"0", "1", "2", "3", "4", "5", "6", "7"} {
			sum += sampler.Runs("b1-i" + id)
		}
		return sum
	}
	// Wait until all four slots run items: ending the batch earlier may correctly keep an item from
	// reaching the sampler.
	await(t, "four items run", func() bool { return countRuns() == 4 })
	for range 2 {
		must.Eq(t, http.StatusOK, other.send(t, http.MethodDelete, "/bramleyhatch/lots/b1", "key-acme", "", nil).status)
	}
	time.Sleep(300 * time.Millisecond)
	must.Eq(t, 4, countRuns())
}

// Guards against lost or repeated events when a sampler dies while it generates texts.
// Another sampler must resume them after their last event.
func TestCutRunResumes(t *testing.T) {
	d := newDeployment(t)
	d.NewSampler(t, "a1", "app", "")
	bad, good := d.NewSampler(t, "s1", "lm", "m"), d.NewSampler(t, "s2", "lm", "m")
	bad.SetFault(func(string, int) wiretest.Fault { return wiretest.FaultTruncate })
	g := d.start(t, "g1")
	g.submit(t, 6)
	mustBeComplete(t, g.awaitResults(t, 6), 6, 5)
	must.SliceNotEmpty(t, good.Resumed())
}

// Guards against long waits when a zone is lost during a step: its samplers send no more
// events, and the longest texts waited 1.5 s at each silent sampler in turn.
func TestStalledRunResumes(t *testing.T) {
	d := newDeployment(t)
	d.NewSampler(t, "a1", "app", "")
	bad, good := d.NewSampler(t, "s1", "lm", "m"), d.NewSampler(t, "s2", "lm", "m")
	for _, sampler := range []*wiretest.Sampler{bad, good} {
		sampler.SetPace(20, 5*time.Millisecond)
	}
	bad.SetFault(func(string, int) wiretest.Fault { return wiretest.FaultStall })
	g := d.start(t, "g1")
	g.submit(t, 6)
	mustBeComplete(t, g.awaitResults(t, 6), 6, 20)
	must.SliceNotEmpty(t, good.Resumed())
}

// Guards against counting timeouts as failures. A slow sampler and a slow scorer respond several
// times that a run timed out, and once that the run failed. The next runs would succeed, but if
// timeouts counted as failures, the gateway would abandon the text first.
func TestTimeoutsAreNotFailures(t *testing.T) {
	d := newDeployment(t)
	scorer, sampler := d.NewSampler(t, "a1", "app", ""), d.NewSampler(t, "s1", "lm", "m")
	faulty := func(_ string, runs int) wiretest.Fault {
		return []wiretest.Fault{wiretest.FaultTimeout, wiretest.FaultFail, wiretest.FaultTimeout, wiretest.FaultTimeout, wiretest.NoFault}[min(runs, 4)]
	}
	scorer.SetFault(faulty)
	sampler.SetFault(faulty)
	g := d.start(t, "g1")
	g.submit(t, 2)
	mustBeComplete(t, g.awaitResults(t, 2), 2, 5)
}

// A new weight version is published. Samplers must load the version in waves, by orders with
// fencing tokens, and later steps allow no older version.
func TestNewWeights(t *testing.T) {
	d := newDeployment(t)
	d.NewSampler(t, "a1", "app", "")
	first, second := d.NewSampler(t, "s1", "lm", "m"), d.NewSampler(t, "s2", "lm", "m")
	d.start(t, "g1")
	d.start(t, "g2")
	d.Put(t, "op/version/m", map[string]any{"model": "m", "version": 2})
	await(t, "both samplers have version 2", func() bool { return first.Version() == 2 && second.Version() == 2 })
}

// Usage windows must be reported once, with all requests that servers started.
func TestUsage(t *testing.T) {
	d := newDeployment(t)
	d.NewSampler(t, "a1", "app", "")
	g, other := d.start(t, "g1"), d.start(t, "g2")
	for range 6 {
		must.Eq(t, http.StatusOK, g.send(t, http.MethodPost, "/look/x", "key-acme", "r", nil).status)
		must.Eq(t, http.StatusOK, other.send(t, http.MethodPost, "/look/x", "key-other", "q", nil).status)
	}
	await(t, "usage is reported", func() bool {
		return d.Reports()["acme"] == 6 && d.Reports()["other"] == 6
	})
}

// Guards against a truncated stream that looks complete: the only sampler dies while a
// caller reads a stream, and the caller must see an error.
func TestStreamCut(t *testing.T) {
	d := newDeployment(t)
	sampler := d.NewSampler(t, "s1", "lm", "m")
	g := d.start(t, "g1")
	got := g.send(t, http.MethodPost, "/stream/x", "key-acme", "r1", nil)
	must.NoError(t, got.err)
	must.Eq(t, 5, strings.Count(got.body, "data: "))
	sampler.SetFault(func(string, int) wiretest.Fault { return wiretest.FaultTruncate })
	must.Error(t, g.send(t, http.MethodPost, "/stream/x", "key-acme", "r2", nil).err)
}

// Guards against a stream that looks complete because the sampler that should continue it fails. The caller must see an
// error.
func TestStreamCutByFailedResumption(t *testing.T) {
	d := newDeployment(t)
	var mutex sync.Mutex
	hasRun := map[string]bool{}
	fault := func(id string, _ int) wiretest.Fault {
		mutex.Lock()
		defer mutex.Unlock()
		if hasRun[id] {
			return wiretest.FaultFail
		}
		hasRun[id] = true
		return wiretest.FaultTruncate
	}
	samplers := []*wiretest.Sampler{d.NewSampler(t, "s1", "lm", "m"), d.NewSampler(t, "s2", "lm", "m")}
	for _, sampler := range samplers {
		sampler.SetFault(fault)
	}
	g := d.start(t, "g1")
	got := g.send(t, http.MethodPost, "/stream/x", "key-acme", "r1", nil)
	must.Error(t, got.err)
	must.Eq(t, 2, strings.Count(got.body, "data: "))
	must.Eq(t, 2, samplers[0].Runs("r1")+samplers[1].Runs("r1"))
}

// A sampler dies while a caller reads its stream. Another sampler must continue the same response
// after the last event that the caller received.
func TestStreamResumes(t *testing.T) {
	d := newDeployment(t)
	once := func(_ string, runs int) wiretest.Fault {
		if runs == 0 {
			return wiretest.FaultTruncate
		}
		return wiretest.NoFault
	}
	bad, good := d.NewSampler(t, "s1", "lm", "m"), d.NewSampler(t, "s2", "lm", "m")
	bad.SetFault(once)
	g := d.start(t, "g1")
	// Samplers are chosen at random: requests are sent until a stream of the faulty sampler has
	// been resumed.
	const minRequests, maxRequests = 4, 50
	for i := 1; i <= maxRequests && (i <= minRequests || len(good.Resumed()) == 0); i++ {
		id := "r" + strconv.Itoa(i)
		got := g.send(t, http.MethodPost, "/stream/x", "key-acme", id, nil)
		must.NoError(t, got.err)
		var want strings.Builder
		for event := 1; event <= 5; event++ {
			want.WriteString("id: " + strconv.Itoa(event) + "\ndata: " + wiretest.EventText(id, event) + "\n\n")
		}
		must.Eq(t, want.String(), got.body)
	}
	must.SliceNotEmpty(t, good.Resumed())
}

// Guards against malformed store values: they must register no server and change nothing.
func TestMalformedStoreValues(t *testing.T) {
	d := newDeployment(t)
	d.NewSampler(t, "a1", "app", "")
	d.PutText(t, "servers/bad", []byte("{"))
	d.Put(t, "servers/odd", map[string]any{"backend": "app", "address": 7})
	g := d.start(t, "g1")
	d.PutText(t, "op/config", []byte(`{"version":"x"}`))
	time.Sleep(200 * time.Millisecond)
	for range 5 {
		must.Eq(t, http.StatusOK, g.send(t, http.MethodPost, "/look/x", "key-acme", "r", nil).status)
	}
}
