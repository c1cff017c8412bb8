package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

func TestRequests(t *testing.T) {
	w := newWorld(t)
	app := w.NewSampler(t, "a1", "app", "")
	g := w.start(t, "g1")
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

// A server breaks off, or answers another request, in the middle of a member's
// look-up. The member gets the whole answer of another try, and never those bytes.
func TestServersThatSpoilAnswers(t *testing.T) {
	for name, fault := range map[string]wiretest.Fault{"cut": wiretest.FaultTruncate, "foreign": wiretest.FaultWrongRequest, "refused": wiretest.FaultRefuse, "failed": wiretest.FaultFail} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			once := func(_ string, runs int) wiretest.Fault {
				if runs == 0 {
					return fault
				}
				return wiretest.NoFault
			}
			w.NewSampler(t, "a1", "app", "").SetFault(once)
			w.NewSampler(t, "a2", "app", "")
			g := w.start(t, "g1")
			for _, id := range []string{"r1", "r2", "r3", "r4"} {
				got := g.send(t, http.MethodPost, "/look/x", "key-acme", id, []byte(id))
				must.NoError(t, got.err)
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, "answer to "+id, got.body)
			}
		})
	}
}

// A volunteer's hours are posted, and the server's answer is lost. Sent once
// more, they would be counted twice; "not run" would be untrue.
func TestPostingRunsOnce(t *testing.T) {
	w := newWorld(t)
	first, second := w.NewSampler(t, "a1", "app", ""), w.NewSampler(t, "a2", "app", "")
	g := w.start(t, "g1")
	for _, fault := range []wiretest.Fault{wiretest.FaultTruncate, wiretest.FaultWrongRequest} {
		for _, server := range []*wiretest.Sampler{first, second} {
			server.SetFault(func(string, int) wiretest.Fault { return fault })
		}
		id := map[wiretest.Fault]string{wiretest.FaultTruncate: "p1", wiretest.FaultWrongRequest: "p2"}[fault]
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
	w := newWorld(t)
	w.NewSampler(t, "a1", "app", "")
	sampler := w.NewSampler(t, "s1", "lm", "m")
	g, other := w.start(t, "g1"), w.start(t, "g2")
	g.submit(t, 6)
	page := g.awaitResults(t, 6)
	mustBeWhole(t, page, 6, 5)
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

// A trainer ends its step at another gateway than the one that runs it. The
// samplers' runs stop at once, and a repeated end is fine.
func TestEndAtAnotherGateway(t *testing.T) {
	w := newWorld(t)
	w.NewSampler(t, "a1", "app", "")
	sampler := w.NewSampler(t, "s1", "lm", "m")
	sampler.SetPace(1000, 20*time.Millisecond)
	g, other := w.start(t, "g1"), w.start(t, "g2")
	g.submit(t, 8)
	ran := func() int {
		sum := 0
		for _, id := range []string{"0", "1", "2", "3", "4", "5", "6", "7"} {
			sum += sampler.Runs("b1-i" + id)
		}
		return sum
	}
	// All that have a slot: an end may otherwise come before the last of them has
	// reached the sampler, and rightly keeps it from there.
	await(t, "four items run", func() bool { return ran() == 4 })
	for range 2 {
		must.Eq(t, http.StatusOK, other.send(t, http.MethodDelete, "/bramleyhatch/lots/b1", "key-acme", "", nil).status)
	}
	time.Sleep(300 * time.Millisecond)
	must.Eq(t, 4, ran())
}

// A sampler dies in the middle of its texts. They go on behind their last event
// at another one, and nothing is missing or stands twice.
func TestCutRunGoesOn(t *testing.T) {
	w := newWorld(t)
	w.NewSampler(t, "a1", "app", "")
	bad, good := w.NewSampler(t, "s1", "lm", "m"), w.NewSampler(t, "s2", "lm", "m")
	bad.SetFault(func(string, int) wiretest.Fault { return wiretest.FaultTruncate })
	g := w.start(t, "g1")
	g.submit(t, 6)
	mustBeWhole(t, g.awaitResults(t, 6), 6, 5)
	must.SliceNotEmpty(t, good.Resumed())
}

// A zone is lost within a step. Its samplers send no more events, and the longest
// texts waited 1.5 s for each silent one that they were placed at.
func TestStalledRunGoesOn(t *testing.T) {
	w := newWorld(t)
	w.NewSampler(t, "a1", "app", "")
	bad, good := w.NewSampler(t, "s1", "lm", "m"), w.NewSampler(t, "s2", "lm", "m")
	for _, sampler := range []*wiretest.Sampler{bad, good} {
		sampler.SetPace(20, 5*time.Millisecond)
	}
	bad.SetFault(func(string, int) wiretest.Fault { return wiretest.FaultStall })
	g := w.start(t, "g1")
	g.submit(t, 6)
	mustBeWhole(t, g.awaitResults(t, 6), 6, 20)
	must.SliceNotEmpty(t, good.Resumed())
}

// A sampler and a scorer are slow and answer several times that a run's time was
// over, and once that it failed. The next runs would succeed; counted as failed
// ones, the text is given up though nothing is wrong with it.
func TestLateAnswersAreNoFailures(t *testing.T) {
	w := newWorld(t)
	scorer, sampler := w.NewSampler(t, "a1", "app", ""), w.NewSampler(t, "s1", "lm", "m")
	troubled := func(_ string, runs int) wiretest.Fault {
		return []wiretest.Fault{wiretest.FaultTimeout, wiretest.FaultFail, wiretest.FaultTimeout, wiretest.FaultTimeout, wiretest.NoFault}[min(runs, 4)]
	}
	scorer.SetFault(troubled)
	sampler.SetFault(troubled)
	g := w.start(t, "g1")
	g.submit(t, 2)
	mustBeWhole(t, g.awaitResults(t, 2), 2, 5)
}

// Weights are named in the middle of a step. Samplers load them in waves, each
// order under a fence, and later steps allow no older version.
func TestNewWeights(t *testing.T) {
	w := newWorld(t)
	w.NewSampler(t, "a1", "app", "")
	first, second := w.NewSampler(t, "s1", "lm", "m"), w.NewSampler(t, "s2", "lm", "m")
	w.start(t, "g1")
	w.start(t, "g2")
	w.Put(t, "op/version/m", map[string]any{"model": "m", "version": 2})
	await(t, "both samplers have version 2", func() bool { return first.Version() == 2 && second.Version() == 2 })
}

// Windows of usage are reported once, with all requests that servers began.
func TestUsage(t *testing.T) {
	w := newWorld(t)
	w.NewSampler(t, "a1", "app", "")
	g, other := w.start(t, "g1"), w.start(t, "g2")
	for range 6 {
		must.Eq(t, http.StatusOK, g.send(t, http.MethodPost, "/look/x", "key-acme", "r", nil).status)
		must.Eq(t, http.StatusOK, other.send(t, http.MethodPost, "/look/x", "key-other", "q", nil).status)
	}
	await(t, "usage is reported", func() bool {
		return w.Reports()["acme"] == 6 && w.Reports()["other"] == 6
	})
}

// A caller reads a text as it is made. Its sampler dies in the middle: the
// answer must look cut off, and not whole.
func TestStreamCut(t *testing.T) {
	w := newWorld(t)
	sampler := w.NewSampler(t, "s1", "lm", "m")
	g := w.start(t, "g1")
	got := g.send(t, http.MethodPost, "/stream/x", "key-acme", "r1", nil)
	must.NoError(t, got.err)
	must.Eq(t, 5, strings.Count(got.body, "data: "))
	sampler.SetFault(func(string, int) wiretest.Fault { return wiretest.FaultTruncate })
	must.Error(t, g.send(t, http.MethodPost, "/stream/x", "key-acme", "r2", nil).err)
}

// A caller reads a text as it is made, and its sampler dies in the middle. The
// rest comes from another one, behind the last event that the caller has, within
// the same answer.
func TestStreamGoesOn(t *testing.T) {
	w := newWorld(t)
	once := func(_ string, runs int) wiretest.Fault {
		if runs == 0 {
			return wiretest.FaultTruncate
		}
		return wiretest.NoFault
	}
	bad, good := w.NewSampler(t, "s1", "lm", "m"), w.NewSampler(t, "s2", "lm", "m")
	bad.SetFault(once)
	g := w.start(t, "g1")
	// Which of the two is chosen for a request is drawn: requests are sent until the
	// bad one has had one.
	const enough, most = 4, 50
	for i := 1; i <= most && (i <= enough || len(good.Resumed()) == 0); i++ {
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

// Entries of the store that can't be read name no server, and change nothing.
func TestBadEntries(t *testing.T) {
	w := newWorld(t)
	w.NewSampler(t, "a1", "app", "")
	w.PutText(t, "servers/bad", []byte("{"))
	w.Put(t, "servers/odd", map[string]any{"backend": "app", "address": 7})
	g := w.start(t, "g1")
	w.PutText(t, "op/config", []byte(`{"version":"x"}`))
	time.Sleep(200 * time.Millisecond)
	for range 5 {
		must.Eq(t, http.StatusOK, g.send(t, http.MethodPost, "/look/x", "key-acme", "r", nil).status)
	}
}
