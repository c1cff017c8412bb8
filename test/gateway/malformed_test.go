package gateway_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

// answerFields returns the fields of a server's answer to a request.
func answerFields(id string) string {
	return fmt.Sprintf("Attempt-Id: %s\r\nSampler-Signature: proof.%s\r\nWeight-Versions: 1\r\n", id, id)
}

// malformedNames are the names of all malformed answers, in order.
var malformedNames = slices.Sorted(maps.Keys(listentest.MalformedAnswers(http.StatusOK, "", "")))

// malformedAt returns malformed answers with a body. The number at the end of an ID, such as "r-3" or "b1-i3", selects one.
func malformedAt(body func(id, fault string) string) func(id string) (string, bool) {
	return func(id string) (string, bool) {
		index, err := strconv.Atoi(id[strings.LastIndexAny(id, "-i")+1:])
		if err != nil || index >= len(malformedNames) {
			return "", false
		}
		fault := malformedNames[index]
		return listentest.MalformedAnswers(http.StatusOK, answerFields(id), body(id, fault))[fault], true
	}
}

// startMalformed starts a gateway before two servers of a pool, of which the first run of each request is answered badly.
func startMalformed(t *testing.T, pool, model string, answer func(id string) (string, bool)) (g *gateway, first, second *wiretest.Sampler) {
	t.Helper()
	d := newDeployment(t)
	raw := firstRun(answer)
	first, second = d.NewSampler(t, "s1", pool, model), d.NewSampler(t, "s2", pool, model)
	first.SetRawAnswer(raw)
	second.SetRawAnswer(raw)
	return d.start(t, "g1"), first, second
}

// mustBeClean checks that a reply has no fields that only a malformed answer has.
func mustBeClean(t *testing.T, got reply) {
	t.Helper()
	for name := range got.header {
		must.False(t, strings.HasPrefix(strings.TrimSpace(name), "X"), must.Sprint(name))
	}
}

// Guards against a malformed answer of a server that reaches a caller, ends its connection without an answer, or isn't
// repeated although it may be.
func TestMalformedAnswers(t *testing.T) {
	t.Parallel()
	plainBody := func(string, string) string { return "answer to x" }
	t.Run("a request that may be repeated", func(t *testing.T) {
		t.Parallel()
		g, first, second := startMalformed(t, "app", "", malformedAt(plainBody))
		for index, name := range malformedNames {
			id := fmt.Sprintf("r-%d", index)
			got := g.send(t, http.MethodPost, "/look/x", "key-acme", id, []byte("x"))
			must.NoError(t, got.err, must.Sprint(name))
			must.Eq(t, http.StatusOK, got.status, must.Sprint(name))
			must.Eq(t, "answer to x", got.body, must.Sprint(name))
			must.Eq(t, 2, first.Runs(id)+second.Runs(id), must.Sprint(name))
			mustBeClean(t, got)
		}
		must.Eq(t, 0, first.ReusedBytes()+second.ReusedBytes())
	})
	t.Run("a posting", func(t *testing.T) {
		t.Parallel()
		g, first, second := startMalformed(t, "app", "", malformedAt(plainBody))
		for index, name := range malformedNames {
			id := fmt.Sprintf("p-%d", index)
			got := g.send(t, http.MethodPost, "/post/x", "key-acme", id, []byte("x"))
			must.NoError(t, got.err, must.Sprint(name))
			must.Eq(t, http.StatusBadGateway, got.status, must.Sprint(name))
			must.Eq(t, "unknown", got.header.Get("X-Bramleyhatch-Outcome"))
			must.Eq(t, "", got.header.Get("Sampler-Signature"))
			must.StrContains(t, got.body, "malformed_answer")
			must.Eq(t, 1, first.Runs(id)+second.Runs(id), must.Sprint(name))
		}
		must.Eq(t, 0, first.ReusedBytes()+second.ReusedBytes())
	})
	t.Run("a refusal", func(t *testing.T) {
		t.Parallel()
		d := newDeployment(t)
		server := d.NewSampler(t, "a1", "app", "")
		server.SetRawAnswer(func(id string, _ int) (string, bool) {
			fields := answerFields(id) + "Not-Executed: 1\r\n"
			var index int
			_, _ = fmt.Sscanf(id, "n-%d", &index)
			return listentest.MalformedAnswers(http.StatusServiceUnavailable, fields, "")[malformedNames[index]], true
		})
		g := d.start(t, "g1")
		for index, name := range malformedNames {
			if strings.Contains(name, "trailer") {
				// The statement stands in a sound head.
				continue
			}
			got := g.send(t, http.MethodPost, "/post/x", "key-acme", fmt.Sprintf("n-%d", index), []byte("x"))
			must.NoError(t, got.err, must.Sprint(name))
			must.Eq(t, http.StatusBadGateway, got.status, must.Sprint(name))
			must.Eq(t, "unknown", got.header.Get("X-Bramleyhatch-Outcome"))
		}
	})
	t.Run("a stream", func(t *testing.T) {
		t.Parallel()
		g, first, second := startMalformed(t, "lm", "m", malformedAt(streamBody))
		for index, name := range malformedNames {
			id := fmt.Sprintf("s-%d", index)
			got := g.send(t, http.MethodPost, "/stream/x", "key-acme", id, []byte("x"))
			must.NoError(t, got.err, must.Sprint(name))
			must.Eq(t, http.StatusOK, got.status, must.Sprint(name))
			must.StrContains(t, got.body, "id: 5\ndata: "+wiretest.EventText(id, 5), must.Sprint(name))
			must.Eq(t, 5, strings.Count(got.body, "id: "), must.Sprintf("%s: %s", name, got.body))
			mustBeClean(t, got)
		}
		must.Eq(t, 0, first.ReusedBytes()+second.ReusedBytes())
	})
	t.Run("items and their scores", func(t *testing.T) {
		t.Parallel()
		d := newDeployment(t)
		d.NewSampler(t, "s1", "lm", "m").SetRawAnswer(firstRun(malformedAt(streamBody)))
		d.NewSampler(t, "a1", "app", "").SetRawAnswer(firstRun(malformedAt(plainBody)))
		g := d.start(t, "g1")
		items := len(malformedNames)
		g.submit(t, items)
		mustBeComplete(t, g.awaitResults(t, items), items, 5)
	})
}

// streamBody returns the events of a whole stream. They have another text, unless the fault may arrive after them.
func streamBody(id, fault string) string {
	text := ""
	for event := 1; event <= 5; event++ {
		data := "broken"
		if strings.Contains(fault, "trailer") {
			data = wiretest.EventText(id, event)
		}
		text += fmt.Sprintf("id: %d\ndata: %s\n\n", event, data)
	}
	return text
}

// firstRun returns raw answers to the first run of each request, whichever of the servers that share it runs it.
func firstRun(answer func(id string) (string, bool)) func(string, int) (string, bool) {
	var mutex sync.Mutex
	seen := map[string]bool{}
	return func(id string, _ int) (string, bool) {
		mutex.Lock()
		defer mutex.Unlock()
		if seen[id] {
			return "", false
		}
		seen[id] = true
		return answer(id)
	}
}

// Guards against a malformed answer of a sampler that is taken for a load that is under way or done.
func TestMalformedAnswersToOrders(t *testing.T) {
	d := newDeployment(t)
	d.NewSampler(t, "a1", "app", "")
	sampler := d.NewSampler(t, "s1", "lm", "m")
	loaded := listentest.MalformedAnswers(http.StatusOK, "", `{"busy":false,"seq":1,"models":[{"name":"m","version":2}]}`)
	accepted := listentest.MalformedAnswers(http.StatusAccepted, "", "{}")
	sampler.SetRawControlAnswers(
		[]string{loaded["blank in a name"], loaded["status 000"]},
		[]string{accepted["blank after the name of the length"], accepted["blank before a name"]},
	)
	d.start(t, "g1")
	d.Put(t, "op/version/m", map[string]any{"model": "m", "version": 2})
	await(t, "the sampler has version 2", func() bool { return sampler.Version() == 2 })
	must.Eq(t, 0, sampler.RawControlLeft())
	must.Eq(t, 0, sampler.ReusedBytes())
}
