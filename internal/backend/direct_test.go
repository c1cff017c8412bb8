package backend_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/platform"
)

const (
	refusedHead  = "HTTP/1.1 503 x\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
	replacedHead = "HTTP/1.1 421 x\r\nContent-Length: 0\r\n"
	servedHead   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
	servedBody   = "{}"
)

// answerTo returns an answer to the request with this ID.
func answerTo(id, head, body string) string { return head + "Attempt-Id: " + id + "\r\n\r\n" + body }

func newDirect(server *fakeServer) *backend.Direct {
	return &backend.Direct{Server: backend.Server{Address: server.url(), Name: "s1"}, Wire: platform.Wire{}}
}

// post sends a request that may run once.
func post(t *testing.T, direct *backend.Direct, id string) (*backend.Answer, error) {
	t.Helper()
	return direct.Do(t.Context(), backend.Request{ID: id, Method: http.MethodPost, Target: "/", Body: []byte("{}"), ReadTimeout: time.Minute})
}

func mustEnd(t *testing.T, outcome peerpb.Outcome, code string, err error) {
	t.Helper()
	must.Error(t, err)
	must.Eq(t, code, refusal.Of(err).Code)
	must.Eq(t, outcome, refusal.Of(err).Outcome)
}

func mustBeServed(t *testing.T, answer *backend.Answer, err error) {
	t.Helper()
	must.NoError(t, err)
	body, _, err := answer.ReadAll(100, nil)
	must.NoError(t, err)
	must.Eq(t, servedBody, string(body))
	must.NoError(t, answer.Body.Close())
}

// Guards against a request that runs twice, or runs after it was refused as not run, because a late second answer to an
// earlier request states that nothing ran.
func TestLateSecondAnswer(t *testing.T) {
	for name, first := range map[string]struct {
		text string
		code string
	}{
		"of a full server":     {answerTo("r1", refusedHead, ""), backend.CodeFull},
		"of a replaced server": {answerTo("r1", replacedHead, ""), backend.CodeWrongServer},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t)
			server.choose = func(onConnection, total int) reply {
				switch {
				case total == 1:
					return reply{text: first.text, keepAlive: true}
				case onConnection == 2:
					return reply{text: first.text, keepAlive: true}
				case onConnection == 3:
					return reply{text: answerTo("r2", servedHead, servedBody) + answerTo("r3", servedHead, servedBody), keepAlive: true}
				default:
					return reply{text: answerTo("r3", servedHead, servedBody), keepAlive: true}
				}
			}
			registry := prometheus.NewRegistry()
			direct := newDirect(server)
			direct.Metrics = backend.NewMetrics(registry)
			_, err := post(t, direct, "r1")
			mustEnd(t, notRun, first.code, err)
			_, err = post(t, direct, "r2")
			mustEnd(t, unknown, backend.CodeWrongRequest, err)
			answer, err := post(t, direct, "r3")
			mustBeServed(t, answer, err)
			must.Len(t, 3, server.requests())
			families, err := registry.Gather()
			must.NoError(t, err)
			must.Len(t, 1, families)
			counter := families[0].GetMetric()[0]
			must.Eq(t, "not_run", counter.GetLabel()[0].GetValue())
			must.Eq(t, 1, counter.GetCounter().GetValue())
		})
	}
}

// Guards against a late second answer to an earlier attempt of the same request, which bears the ID of the next one.
func TestRetriedRequestGetsItsOwnAnswer(t *testing.T) {
	refused, served := answerTo("r1", refusedHead, ""), answerTo("r1", servedHead, servedBody)
	server := newFakeServer(t)
	server.choose = func(onConnection, total int) reply {
		switch {
		case total == 1:
			return reply{text: refused, keepAlive: true}
		case onConnection == 2:
			return reply{text: refused + served, keepAlive: true}
		default:
			return reply{text: served, keepAlive: true}
		}
	}
	direct := newDirect(server)
	_, err := post(t, direct, "r1")
	mustEnd(t, notRun, backend.CodeFull, err)
	answer, err := post(t, direct, "r1")
	mustBeServed(t, answer, err)
	must.Len(t, 2, server.requests())
}

// Guards against a posting that net/http repeats when its server closes a reused connection without an answer.
func TestPostingOnReusedConnectionIsSentOnce(t *testing.T) {
	server := newFakeServer(t, reply{text: answerTo("r1", servedHead, servedBody), keepAlive: true}, reply{}, reply{text: answerTo("r2", servedHead, servedBody)})
	direct := newDirect(server)
	answer, err := post(t, direct, "r1")
	mustBeServed(t, answer, err)
	_, err = direct.Do(t.Context(), backend.Request{
		ID: "r2", Method: http.MethodPost, Target: "/", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("{}"), ReadTimeout: time.Minute,
	})
	mustEnd(t, unknown, backend.CodeInterrupted, err)
	must.Len(t, 2, server.requests())
}

// Guards against a stalled stream that keeps the read timeout of its first event, and that
// is reported as an interrupted connection.
func TestReadTimeoutWithinAnswer(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: i0\r\nTransfer-Encoding: chunked\r\n\r\n"
	server := newFakeServer(t, reply{text: head + "f\r\n" + event + "\r\n", hold: true})
	direct := newDirect(server)
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

// Guards against a request that is rejected as malformed because its server's address can't be used.
func TestUnusableAddress(t *testing.T) {
	for _, address := range []string{"http://[::1%lo]:80", "http://127.0.0.1:x", "http://127.0.0.1:70000"} {
		t.Run(address, func(t *testing.T) {
			_, err := post(t, &backend.Direct{Server: backend.Server{Address: address, Name: "s1"}, Wire: platform.Wire{}}, "r1")
			mustEnd(t, peerpb.Outcome_OUTCOME_NOT_RUN, backend.CodeUnreachable, err)
			must.Eq(t, http.StatusServiceUnavailable, refusal.Of(err).Status)
		})
	}
}
