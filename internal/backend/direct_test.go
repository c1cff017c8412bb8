package backend_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/platform"
)

// Guards against a stalled stream that keeps the read timeout of its first event, and that
// is reported as an interrupted connection.
func TestReadTimeoutWithinAnswer(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: i0\r\nTransfer-Encoding: chunked\r\n\r\n"
	server := newFakeServer(t, reply{text: head + "f\r\n" + event + "\r\n", hold: true})
	direct := &backend.Direct{Server: backend.Server{Address: server.url(), Name: "s1"}, Wire: platform.Wire{}}
	answer, err := direct.Do(t.Context(), backend.Request{ID: "i0", Method: http.MethodPost, Target: "/", ReadTimeout: time.Hour})
	must.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	events := answer.Events()
	first, err := events.Next()
	must.NoError(t, err)
	must.Eq(t, "x", first.Data)
	answer.SetReadTimeout(20 * time.Millisecond)
	_, err = events.Next()
	must.Eq(t, "backend_silent", refusal.Of(err).Code)
}
