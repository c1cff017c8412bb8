package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

// wholeAnswer returns the answer of a server to a request, as it is sent.
func wholeAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nSampler-Signature: proof.%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

// wholeStream returns the answer of a sampler with two events, each in a chunk.
func wholeStream(id string) string {
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nSampler-Signature: proof.%s\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	for event := 1; event <= 2; event++ {
		data := fmt.Sprintf("id: %d\ndata: %s\n\n", event, wiretest.EventText(id, event))
		text += strconv.FormatInt(int64(len(data)), 16) + "\r\n" + data + "\r\n"
	}
	return text + "0\r\n\r\n"
}

// cutAt returns a server's answers that end after the number of bytes at the end of a request's ID, such as "r-37". With
// once, the server cuts the first answer to a request only.
func cutAt(whole func(id string) string, once bool) func(id string, runs int) (string, bool) {
	return func(id string, runs int) (string, bool) {
		_, end, ok := strings.Cut(id, "-")
		position, err := strconv.Atoi(end)
		if !ok || err != nil || once && runs > 0 {
			return "", false
		}
		text := whole(id)
		return text[:min(position, len(text)-1)], true
	}
}

// sendAll sends a request for each position at which its answer is cut.
func (g *gateway) sendAll(t *testing.T, path string, length int) map[int]reply {
	t.Helper()
	var mutex sync.Mutex
	replies := map[int]reply{}
	var sending sync.WaitGroup
	slots := make(chan struct{}, 4)
	for position := 0; position < length; position += 3 {
		sending.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			got := g.send(t, http.MethodPost, path, "key-acme", "r-"+strconv.Itoa(position), []byte("x"))
			mutex.Lock()
			defer mutex.Unlock()
			replies[position] = got
		})
	}
	sending.Wait()
	return replies
}

// Guards against an answer that a server ends in its head, right after it, or in its body, and that reaches a caller as
// whole.
func TestCutAnswerLooksCut(t *testing.T) {
	answer := func(id string) string { return wholeAnswer(id, "answer to x") }
	t.Run("a request that may be repeated", func(t *testing.T) {
		t.Parallel()
		d := newDeployment(t)
		d.NewSampler(t, "a1", "app", "").SetCutAnswer(cutAt(answer, false))
		d.NewSampler(t, "a2", "app", "")
		g := d.start(t, "g1")
		for position, got := range g.sendAll(t, "/look/x", len(answer("r-100"))) {
			must.NoError(t, got.err)
			must.Eq(t, http.StatusOK, got.status, must.Sprint(position))
			must.Eq(t, "answer to x", got.body)
		}
	})
	t.Run("a posting", func(t *testing.T) {
		t.Parallel()
		d := newDeployment(t)
		server := d.NewSampler(t, "a1", "app", "")
		server.SetCutAnswer(cutAt(answer, false))
		g := d.start(t, "g1")
		for position, got := range g.sendAll(t, "/post/x", len(answer("r-100"))) {
			runs := server.Runs("r-" + strconv.Itoa(position))
			if got.status == http.StatusServiceUnavailable {
				must.Eq(t, 0, runs, must.Sprint(position))
				continue
			}
			must.Eq(t, http.StatusBadGateway, got.status, must.Sprint(position))
			must.Eq(t, 1, runs)
		}
	})
	t.Run("a stream", func(t *testing.T) {
		t.Parallel()
		d := newDeployment(t)
		d.NewSampler(t, "s1", "lm", "m").SetCutAnswer(cutAt(wholeStream, false))
		g := d.start(t, "g1")
		for position, got := range g.sendAll(t, "/stream/x", len(wholeStream("r-100"))) {
			must.True(t, got.err != nil || got.status >= http.StatusInternalServerError, must.Sprintf("%d: %d %q", position, got.status, got.body))
		}
	})
}

// Guards against a text or a score that is listed although a server ended its answer early.
func TestCutAnswersOfABatch(t *testing.T) {
	d := newDeployment(t)
	// The IDs of items and scorers are "b1-i0", "s-b1-i0" and so on; each answer is cut elsewhere.
	cut := func(whole func(id string) string, length int) func(id string, runs int) (string, bool) {
		return func(id string, runs int) (string, bool) {
			_, number, ok := strings.Cut(id, "b1-i")
			if !ok || runs > 0 {
				return "", false
			}
			item, _ := strconv.Atoi(number)
			return whole(id)[:item*length/40], true
		}
	}
	answer := func(id string) string { return wholeAnswer(id, "score") }
	d.NewSampler(t, "s1", "lm", "m").SetCutAnswer(cut(wholeStream, len(wholeStream("b1-i0"))))
	d.NewSampler(t, "a1", "app", "").SetCutAnswer(cut(answer, len(answer("s-b1-i0"))))
	g := d.start(t, "g1")
	g.submit(t, 40)
	mustBeComplete(t, g.awaitResults(t, 40), 40, 5)
}
