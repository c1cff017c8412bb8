package backend_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/platform"
)

// forEachMalformed calls check with a server that sends a malformed answer to each request.
func forEachMalformed(t *testing.T, status int, fields, body string, check func(t *testing.T, server *listentest.RawServer)) {
	t.Helper()
	for name, text := range listentest.MalformedAnswers(status, fields, body) {
		t.Run(name, func(t *testing.T) {
			server := listentest.StartRaw(t, func(*http.Request) string { return text })
			check(t, server)
			must.Eq(t, 1, server.Requests())
		})
	}
}

// Guards against a malformed answer of a sidecar's server that is passed on, is called "not run", or is taken for a loaded
// version.
func TestMalformedAnswersAtSidecar(t *testing.T) {
	const json = "Content-Type: application/json\r\n"
	t.Run("plain service", func(t *testing.T) {
		forEachMalformed(t, http.StatusCreated, json, `{"posting":1}`, func(t *testing.T, server *listentest.RawServer) {
			_, _, end, err := run(newPlain("http://"+server.Address), posting())
			mustBeRefused(t, unknown, backend.CodeMalformed, end, err)
		})
	})
	t.Run("refusal of an engine", func(t *testing.T) {
		forEachMalformed(t, http.StatusServiceUnavailable, json, `{"error":"full"}`, func(t *testing.T, server *listentest.RawServer) {
			_, _, end, err := run(newEngine("http://"+server.Address), generation())
			mustBeRefused(t, unknown, backend.CodeMalformed, end, err)
		})
	})
	t.Run("generation", func(t *testing.T) {
		events := oneToken + finish + done
		forEachMalformed(t, http.StatusOK, "Content-Type: text/event-stream\r\n", events, func(t *testing.T, server *listentest.RawServer) {
			_, _, end, err := run(newEngine("http://"+server.Address), generation())
			mustBeRefused(t, unknown, backend.CodeMalformed, end, err)
		})
	})
	t.Run("order", func(t *testing.T) {
		forEachMalformed(t, http.StatusOK, json, `{"version":7}`, func(t *testing.T, server *listentest.RawServer) {
			engine := newEngine("http://" + server.Address)
			version, err := engine.Load(t.Context(), peerpb.OrderRequest_builder{Model: "m", Version: 7, Fence: 1}.Build(), time.Minute)
			must.Error(t, err)
			must.Eq(t, unknown, refusal.Of(err).Outcome)
			must.Eq(t, 0, version)
			must.Eq(t, 0, engine.Version())
		})
	})
	t.Run("order with an old fence", func(t *testing.T) {
		forEachMalformed(t, http.StatusConflict, json, `{}`, func(t *testing.T, server *listentest.RawServer) {
			_, err := newEngine("http://"+server.Address).Load(t.Context(), peerpb.OrderRequest_builder{Model: "m", Version: 7, Fence: 1}.Build(), time.Minute)
			must.Eq(t, unknown, refusal.Of(err).Outcome)
		})
	})
	t.Run("version report", func(t *testing.T) {
		for name, text := range listentest.MalformedAnswers(http.StatusOK, json, `{"weight_version":7}`) {
			t.Run(name, func(t *testing.T) {
				server := listentest.StartRaw(t, func(*http.Request) string { return text })
				engine := newEngine("http://" + server.Address)
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- engine.Watch(ctx) }()
				must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return server.Requests() > 0 && server.Open() == 0 }), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
				cancel()
				must.NoError(t, <-ended)
				must.Eq(t, 0, engine.Version())
			})
		}
	})
}

// Guards against a request that ends with another reason than the refusal by which its process ended it, and against a
// refusal that requests share and change.
func TestRefusalEndsRequest(t *testing.T) {
	stopping := refusal.Unknown(http.StatusBadGateway, "stopping", "the process stops")
	for name, text := range map[string]string{"before the answer": "", "within the body": "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nContent-Length: 10\r\n\r\n01234"} {
		t.Run(name, func(t *testing.T) {
			server := listentest.StartRaw(t, func(*http.Request) string { return text })
			direct := &backend.Direct{Server: backend.Server{Address: "http://" + server.Address, Name: "s1"}, Wire: platform.Wire{}}
			ctx, cancel := context.WithCancelCause(t.Context())
			timer := time.AfterFunc(100*time.Millisecond, func() { cancel(stopping) })
			defer timer.Stop()
			answer, err := direct.Do(ctx, backend.Request{ID: "r1", Method: http.MethodPost, Target: "/", ReadTimeout: time.Minute})
			if err == nil {
				_, _, err = answer.ReadAll(1000, nil)
			}
			mustBeRefused(t, unknown, "stopping", nil, err)
			must.NotEqOp(t, stopping, refusal.Of(err))
		})
	}
}
