package backend_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
)

const (
	eventsHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	// maxAcceptedBytes is more than a client reads of an answer without end, including the buffers of its connection.
	maxAcceptedBytes = 16 << 20
)

var endlessEvents = map[string]string{
	"one line":      strings.Repeat("x", 4096),
	"lines of data": "data: " + strings.Repeat("x", 4096) + "\n",
	"comments":      ": " + strings.Repeat("x", 4096) + "\n",
	"empty lines":   strings.Repeat("\n", 4096),
}

// Guards against an event without end that is read until the process has no memory left.
func TestEventWithoutEnd(t *testing.T) {
	for name, repeated := range endlessEvents {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, reply{text: answerTo("r1", eventsHead, "id: 1\ndata: x\n\nid: 2\n"), repeat: repeated})
			if name == "empty lines" {
				server.replies[0].text = answerTo("r1", eventsHead, "id: 1\ndata: x\n\n")
			}
			answer, err := newDirect(server).Do(t.Context(), backend.Request{ID: "r1", Method: http.MethodPost, Target: "/", ReadTimeout: time.Minute})
			must.NoError(t, err)
			events := answer.Events()
			first, err := events.Next()
			must.NoError(t, err)
			must.Eq(t, "x", first.Data)
			_, err = events.Next()
			mustEnd(t, unknown, "bad_event", err)
			must.NoError(t, answer.Body.Close())
			must.Less(t, maxAcceptedBytes, server.repeated.Load())
		})
	}
}

// Guards against a generation that never ends because its engine sends no event, but bytes without end.
func TestEngineEventWithoutEnd(t *testing.T) {
	for name, repeated := range endlessEvents {
		if strings.HasPrefix(repeated, "data:") {
			continue // Each of these lines is an event of an engine.
		}
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, reply{text: "HTTP/1.1 200 OK\r\n\r\n", repeat: repeated})
			request := generation()
			request.SetIdempotent(false)
			_, _, end, err := run(newEngine(server.url()), request)
			must.Nil(t, end)
			mustEnd(t, unknown, backend.CodeInterrupted, err)
			must.Less(t, maxAcceptedBytes, server.repeated.Load())
		})
	}
}

// Guards against a process that runs out of memory, or a request that waits until its deadline, because a server sends
// bytes without end where the head of an answer is due.
func TestHeadWithoutEnd(t *testing.T) {
	for name, bytes := range map[string]reply{
		"status line":           {repeat: strings.Repeat("x", 4096)},
		"field":                 {text: servedHead + "X-Long: ", repeat: strings.Repeat("x", 4096)},
		"fields":                {text: servedHead, repeat: "X-Field: " + strings.Repeat("x", 1024) + "\r\n"},
		"informational answers": {repeat: "HTTP/1.1 102 x\r\nX-Field: " + strings.Repeat("x", 1024) + "\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, bytes, reply{text: answerTo("r2", servedHead, servedBody)})
			direct := newDirect(server)
			_, err := post(t, direct, "r1")
			mustEnd(t, unknown, backend.CodeInterrupted, err)
			must.Less(t, maxHeadBytes, server.repeated.Load())
			answer, err := post(t, direct, "r2")
			mustBeServed(t, answer, err)
		})
	}
}

// maxHeadBytes is more than a client reads of a head without end, including the buffers of its connection.
const maxHeadBytes = 8 << 20

// Guards against an answer without end that is taken for a whole one, or that a process buffers.
func TestBodyWithoutEnd(t *testing.T) {
	const limit = 256 << 10
	chunk := "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"
	read := func(t *testing.T, bytes reply) (server *fakeServer, body []byte, isComplete bool, err error) {
		t.Helper()
		server = newFakeServer(t, bytes)
		answer, err := post(t, newDirect(server), "r1")
		must.NoError(t, err)
		body, isComplete, err = answer.ReadAll(limit)
		must.NoError(t, answer.Body.Close())
		return server, body, isComplete, err
	}
	for name, bytes := range map[string]reply{
		"without a length": {text: answerTo("r1", "HTTP/1.1 200 OK\r\n", ""), repeat: strings.Repeat("x", 4096)},
		"in chunks":        {text: answerTo("r1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", ""), repeat: chunk},
	} {
		t.Run(name, func(t *testing.T) {
			server, body, isComplete, err := read(t, bytes)
			must.NoError(t, err)
			must.False(t, isComplete)
			must.LessEq(t, limit+1, len(body))
			must.Less(t, maxAcceptedBytes, server.repeated.Load())
		})
	}
	for name, bytes := range map[string]reply{
		"chunk's extension": {text: answerTo("r1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "2;"), repeat: strings.Repeat("x", 4096)},
		"trailer":           {text: answerTo("r1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "2\r\n{}\r\n0\r\n"), repeat: "X-Field: " + strings.Repeat("x", 1024) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			server, _, isComplete, err := read(t, bytes)
			mustEnd(t, unknown, backend.CodeInterrupted, err)
			must.False(t, isComplete)
			must.Less(t, maxAcceptedBytes, server.repeated.Load())
		})
	}
}

// Guards against a refused request that waits, instead of going to another server, while the body of the refusal goes on.
func TestRefusalWithoutEnd(t *testing.T) {
	const refusedEndless, maxWait = "HTTP/1.1 503 x\r\nNot-Executed: 1\r\n", 5 * time.Second
	for name, bytes := range map[string]reply{
		"bytes without end": {text: answerTo("r1", refusedEndless, ""), repeat: strings.Repeat("x", 4096)},
		"a silent body":     {text: answerTo("r1", refusedEndless+"Content-Length: 10\r\n", "x"), hold: true},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, bytes)
			began := time.Now()
			_, err := post(t, newDirect(server), "r1")
			mustEnd(t, notRun, backend.CodeFull, err)
			must.Less(t, maxWait, time.Since(began))
			must.Less(t, maxAcceptedBytes, server.repeated.Load())
		})
	}
}
