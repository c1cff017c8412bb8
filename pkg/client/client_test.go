package client_test

import (
	"compress/gzip"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
	"github.com/bramleyhatch/bramleyhatch/pkg/client"
)

// Guards against a malformed response that a program takes for the answer to its request.
func TestMalformedResponses(t *testing.T) {
	answers := listentest.MalformedAnswers(http.StatusOK, "", `{"hours":1}`)
	for _, name := range []string{
		"status 000", "status 099", "status 101", "status 600", "status 999", "status with a plus", "status with a minus",
		"blank in a name", "blank after a name", "blank in a trailer's name", "blank after a trailer's name",
	} {
		t.Run(name, func(t *testing.T) {
			server := listentest.StartRaw(t, func(*http.Request) string { return answers[name] })
			var reply struct{ Hours int }
			err := (&client.Client{Address: "http://" + server.Address}).Get(t.Context(), "ledger", "/records/1", &reply)
			var malformed *client.MalformedResponseError
			must.True(t, errors.As(err, &malformed), must.Sprint(err))
			must.Eq(t, 0, reply.Hours)
		})
	}
}

// Guards against a part of a response that a program takes for the whole one, such as 12 for 1200.
func TestIncompleteResponses(t *testing.T) {
	get := func(t *testing.T, start func(http.Handler) *httptest.Server, answer http.HandlerFunc) (hours int, err error) {
		t.Helper()
		server := start(answer)
		t.Cleanup(server.Close)
		return hours, (&client.Client{Address: server.URL, HTTP: server.Client()}).Get(t.Context(), "ledger", "/records/1", &hours)
	}
	raw := func(text string) http.HandlerFunc { return listentest.AnswerEarly(text, listentest.EndSide) }
	startHTTP2 := func(handler http.Handler) *httptest.Server {
		server := httptest.NewUnstartedServer(handler)
		server.EnableHTTP2 = true
		server.StartTLS()
		return server
	}
	flushed := func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, "1200")
	}
	compressed := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		writer := gzip.NewWriter(w)
		_, _ = io.WriteString(writer, "1200")
		_ = writer.Close()
	}
	for name, text := range map[string]string{
		"without a length":           "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n12",
		"version 1.0, no length":     "HTTP/1.0 200 OK\r\n\r\n12",
		"longer than what is read":   "HTTP/1.1 200 OK\r\nContent-Length: 67108865\r\n\r\n1200" + strings.Repeat(" ", 64<<20-3),
		"created, without a length":  "HTTP/1.1 201 Created\r\n\r\n12",
		"closed, without its length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n12",
	} {
		t.Run(name, func(t *testing.T) {
			hours, err := get(t, httptest.NewServer, raw(text))
			var incomplete *client.IncompleteResponseError
			must.True(t, errors.As(err, &incomplete), must.Sprint(err))
			must.Eq(t, 0, hours)
		})
	}
	for name, test := range map[string]struct {
		start  func(http.Handler) *httptest.Server
		answer http.HandlerFunc
	}{
		"with a length": {httptest.NewServer, raw("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n1200")},
		"in chunks":     {httptest.NewServer, flushed},
		"compressed":    {httptest.NewServer, compressed},
		"HTTP/2":        {startHTTP2, flushed},
	} {
		t.Run(name, func(t *testing.T) {
			hours, err := get(t, test.start, test.answer)
			must.NoError(t, err)
			must.Eq(t, 1200, hours)
		})
	}
	t.Run("refusal without a length", func(t *testing.T) {
		_, err := get(t, httptest.NewServer, raw("HTTP/1.1 503 Text\r\n\r\n"+`{"error":{"code":"draining","outcome":"not-run"}}`))
		var refused *client.RefusedError
		must.True(t, errors.As(err, &refused), must.Sprint(err))
		must.Eq(t, client.NotRun, refused.Outcome)
	})
}
