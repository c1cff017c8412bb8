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
