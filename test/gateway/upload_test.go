package gateway_test

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

const (
	// earlyAnswers is the number of requests of each kind: which call sees a reset is a race.
	earlyAnswers = 20
	// uploadsPerBatch keeps a batch within the limit on bodies.
	uploadsPerBatch = 2
)

// earlyHead is the head of an answer without a length.
func earlyHead(id string) string { return "HTTP/1.1 200 OK\r\n" + answerFields(id) + "\r\n" }

// earlyPart returns the beginning of a plain answer.
func earlyPart(id string) string { return earlyHead(id) + "answer" }

// earlyEvents returns the first two events of a stream.
func earlyEvents(id string) string {
	text := earlyHead(id)
	for event := 1; event <= 2; event++ {
		text += fmt.Sprintf("id: %d\ndata: %s\n\n", event, wiretest.EventText(id, event))
	}
	return text
}

// startEarly starts a gateway before two servers of each pool. The first run of each request whose ID begins with the
// prefix is answered with a text before its upload has ended.
func startEarly(t *testing.T, prefix string, text func(id string) string, ending listentest.Ending) (g *gateway, app, lm [2]*wiretest.Sampler) {
	t.Helper()
	d := newDeployment(t)
	d.SetMaxBodyBytes(64 << 20)
	routes := append(wiretest.Routes(), wiretest.Route{
		"name": "talk", "hostname": "h.example", "prefix": "/talk/", "type": "stream", "timeout-ms": 5000, "target-latency-ms": 500, "backend": "lm", "max-attempts": 2,
	})
	for _, route := range routes {
		route["timeout-ms"] = 10000
	}
	d.PutTable(t, 3, []string{"acme", "other"}, routes...)
	early := firstRun(func(id string) (string, bool) { return text(id), true })
	answer := func(id string, runs int) (string, bool) {
		if !strings.HasPrefix(id, prefix) {
			return "", false
		}
		return early(id, runs)
	}
	for i := range 2 {
		app[i] = d.NewSampler(t, fmt.Sprintf("a%d", i), "app", "")
		lm[i] = d.NewSampler(t, fmt.Sprintf("s%d", i), "lm", "m")
		app[i].SetEarlyAnswer(t, answer, ending)
		lm[i].SetEarlyAnswer(t, answer, ending)
	}
	return d.start(t, "g1"), app, lm
}

// submitUploads submits batches with an upload in each of the named requests of their items, and returns the IDs of their
// items.
func (g *gateway) submitUploads(t *testing.T, field string) (batches []string) {
	t.Helper()
	for first := 0; first < earlyAnswers; first += uploadsPerBatch {
		id := fmt.Sprintf("b%d", first)
		small := map[string]string{"item": "prompt ", "scorer": ""}[field]
		text := strings.ReplaceAll(string(batchBody(t, uploadsPerBatch)), "b1-", id+"-")
		for i := range uploadsPerBatch {
			body := base64.StdEncoding.EncodeToString(fmt.Appendf(nil, "%sb1-i%d", small, i))
			must.StrContains(t, text, body)
			text = strings.Replace(text, body, base64.StdEncoding.EncodeToString(upload(id+strconv.Itoa(i))), 1)
		}
		await(t, "batch is accepted", func() bool {
			return g.send(t, http.MethodPost, "/batch/"+id, "key-acme", id, []byte(text)).status == http.StatusAccepted
		})
		batches = append(batches, id)
	}
	return batches
}

// upload returns the body of a request. Those of different requests differ, as servers that crash by one request are kept
// from it.
func upload(id string) []byte {
	return append(bytes.Repeat([]byte("x"), listentest.UploadBytes), id...)
}

// runs returns how often two servers ran a request.
func runs(servers [2]*wiretest.Sampler, id string) int {
	return servers[0].Runs(id) + servers[1].Runs(id)
}

// sendUploads sends uploads whose IDs begin with a prefix, and checks each reply.
func (g *gateway) sendUploads(t *testing.T, path, prefix string, check func(id string, got reply)) {
	t.Helper()
	for i := range earlyAnswers {
		id := fmt.Sprint(prefix, i)
		check(id, g.send(t, http.MethodPost, path, "key-acme", id, upload(id)))
	}
}

// Guards against a part of an answer without a length that passes as whole, since its server reset the connection during
// the upload.
func TestResetDuringUpload(t *testing.T) {
	for name, ending := range listentest.CutEndings() {
		t.Run(name+", a posting", func(t *testing.T) {
			g, app, _ := startEarly(t, "p-", earlyPart, ending)
			g.sendUploads(t, "/post/x", "p-", func(id string, got reply) {
				must.NoError(t, got.err)
				must.Eq(t, http.StatusBadGateway, got.status)
				must.Eq(t, "unknown", got.header.Get("X-Bramleyhatch-Outcome"))
				must.Eq(t, "", got.header.Get("Sampler-Signature"))
				must.StrContains(t, got.body, "backend_cut")
				must.Eq(t, 1, runs(app, id))
			})
		})
		t.Run(name+", a request that may be repeated", func(t *testing.T) {
			g, app, _ := startEarly(t, "r-", earlyPart, ending)
			g.sendUploads(t, "/look/x", "r-", func(id string, got reply) {
				must.NoError(t, got.err)
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, len("answer to ")+len(upload(id)), len(got.body))
				must.Eq(t, 2, runs(app, id))
			})
		})
		t.Run(name+", a stream", func(t *testing.T) {
			g, _, lm := startEarly(t, "s-", earlyEvents, ending)
			g.sendUploads(t, "/talk/x", "s-", func(id string, got reply) {
				must.True(t, got.err != nil || got.status == http.StatusBadGateway, must.Sprintf("%d %q", got.status, got.body))
				must.Eq(t, 1, runs(lm, id))
			})
		})
		t.Run(name+", a stream that may be resumed", func(t *testing.T) {
			g, _, lm := startEarly(t, "s-", earlyEvents, ending)
			g.sendUploads(t, "/stream/x", "s-", func(id string, got reply) {
				must.NoError(t, got.err)
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, 5, strings.Count(got.body, "id: "))
				must.StrContains(t, got.body, "id: 5\ndata: "+wiretest.EventText(id, 5))
				must.Eq(t, 2, runs(lm, id))
			})
		})
		t.Run(name+", items", func(t *testing.T) {
			g, _, lm := startEarly(t, "b", earlyEvents, ending)
			for _, id := range g.submitUploads(t, "item") {
				g.mustListAll(t, id, func(item string) { must.GreaterEq(t, 2, runs(lm, item)) })
			}
		})
		t.Run(name+", scorers", func(t *testing.T) {
			g, app, _ := startEarly(t, "s-", earlyPart, ending)
			for _, id := range g.submitUploads(t, "scorer") {
				g.mustListAll(t, id, func(item string) { must.Eq(t, 2, runs(app, "s-"+item)) })
			}
		})
	}
}

// mustListAll checks the results of a batch of submitUploads.
func (g *gateway) mustListAll(t *testing.T, id string, check func(item string)) {
	t.Helper()
	var page results
	await(t, "batch is complete", func() bool {
		page, _ = g.read(t, id, 0)
		return len(page.Results) == uploadsPerBatch
	})
	mustBeComplete(t, page, uploadsPerBatch, 5)
	for _, result := range page.Results {
		check(result.ID)
	}
}

// Guards against an answer without a length that is called cut, since it ends before the upload.
func TestAnswerThatEndsBeforeUpload(t *testing.T) {
	for name, ending := range listentest.SoundEndings() {
		t.Run(name+", a posting", func(t *testing.T) {
			g, app, _ := startEarly(t, "p-", earlyPart, ending)
			g.sendUploads(t, "/post/x", "p-", func(id string, got reply) {
				must.NoError(t, got.err)
				must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
				must.Eq(t, "answer", got.body)
				must.Eq(t, "proof."+id, got.header.Get("Sampler-Signature"))
				must.Eq(t, 1, runs(app, id))
			})
		})
		t.Run(name+", a stream", func(t *testing.T) {
			g, _, lm := startEarly(t, "s-", earlyEvents, ending)
			for path, prefix := range map[string]string{"/talk/x": "s-talk", "/stream/x": "s-stream"} {
				g.sendUploads(t, path, prefix, func(id string, got reply) {
					must.NoError(t, got.err)
					must.Eq(t, http.StatusOK, got.status)
					must.Eq(t, 2, strings.Count(got.body, "id: "))
					must.Eq(t, 1, runs(lm, id))
				})
			}
		})
	}
}
