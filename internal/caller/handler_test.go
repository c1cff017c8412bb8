package caller_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/caller"
	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/sidecar"
)

const (
	goodKey  = "astana-key-5b1f"
	otherKey = "uruguay-key-77c2"
)

// fakeRunner is a Runner that calls a function of the test.
type fakeRunner struct {
	run func(ctx context.Context, request *peerpb.RunRequest, sink sidecar.Sink) (*peerpb.End, error)

	mutex    sync.Mutex
	received []*peerpb.RunRequest
}

func (r *fakeRunner) RunRestartable(ctx context.Context, request *peerpb.RunRequest, sink sidecar.Sink, _ sidecar.Restart) (*peerpb.End, error) {
	r.mutex.Lock()
	r.received = append(r.received, request)
	r.mutex.Unlock()
	return r.run(ctx, request, sink)
}

func (r *fakeRunner) requests() []*peerpb.RunRequest {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.received
}

func config(withdrawn bool) *listpb.Config {
	return listpb.Config_builder{
		Accounts: []*listpb.Account{
			listpb.Account_builder{Name: "astana", Plan: "large"}.Build(),
			listpb.Account_builder{Name: "salto", Plan: "small"}.Build(),
		},
		Plans: []*listpb.Plan{
			listpb.Plan_builder{Name: "large", Models: []string{"assist", "draft"}, Services: []string{"ledger"}, Weight: 2}.Build(),
			listpb.Plan_builder{Name: "small"}.Build(),
		},
		Keys: []*listpb.Key{
			listpb.Key_builder{Hash: lists.HashKey(goodKey), Account: "astana", Withdrawn: withdrawn}.Build(),
			listpb.Key_builder{Hash: lists.HashKey(otherKey), Account: "salto"}.Build(),
		},
	}.Build()
}

// testServer serves a Handler on its own port.
type testServer struct {
	view    *lists.View
	runner  *fakeRunner
	address string
	// isolated is the result of Handler.IsIsolated.
	isolated atomic.Bool
	// stop ends the requests that still run, with a *refusal.Error.
	stop context.CancelCauseFunc
}

func (s *testServer) setConfig(t *testing.T, config *listpb.Config, revision uint64) {
	t.Helper()
	value, err := proto.Marshal(config)
	must.NoError(t, err)
	s.view.Apply(peerpb.Fact_builder{Name: "config", Revision: revision, Value: value}.Build())
}

func serve(t *testing.T, run func(context.Context, *peerpb.RunRequest, sidecar.Sink) (*peerpb.End, error)) *testServer {
	t.Helper()
	s := serveUnconfigured(t, run)
	s.setConfig(t, config(false), 1)
	return s
}

// serveUnconfigured serves a Handler that knows no configuration yet.
func serveUnconfigured(t *testing.T, run func(context.Context, *peerpb.RunRequest, sidecar.Sink) (*peerpb.End, error)) *testServer {
	t.Helper()
	s := &testServer{view: &lists.View{}, runner: &fakeRunner{run: run}}
	handler := &caller.Handler{
		Grants:       s.view,
		Runner:       s.runner,
		Admission:    &caller.Admission{Peers: member.NewMembers(&peerpb.Process{})},
		IsIsolated:   func(time.Time) bool { return s.isolated.Load() },
		Decisions:    &decision.Log{},
		Metrics:      prometheus.NewRegistry(),
		MaxBodyBytes: 4096,
		Timeout:      10 * time.Second,
	}
	handler.Stopping, s.stop = context.WithCancelCause(context.Background())
	handler.RegisterMetrics()
	listening := make(chan string, 1)
	server := &listen.HTTP{
		Address:     "127.0.0.1:0",
		Routes:      handler.Routes(),
		NotFound:    http.HandlerFunc(handler.NotFound),
		NotAllowed:  http.HandlerFunc(handler.NotAllowed),
		OnListening: func(address string) { listening <- address },
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx, 5*time.Second) }()
	s.address = "http://" + <-listening
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return s
}

func (s *testServer) send(t *testing.T, method, path, key, body string, headers ...string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, s.address+path, strings.NewReader(body))
	must.NoError(t, err)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func text(t *testing.T, response *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return string(body)
}

func mustRefuse(t *testing.T, response *http.Response, status int, code, outcome string) {
	t.Helper()
	var body refusal.Body
	must.NoError(t, json.Unmarshal([]byte(text(t, response)), &body))
	must.Eq(t, code, body.Error.Code)
	must.Eq(t, outcome, body.Error.Outcome)
	must.Eq(t, outcome, response.Header.Get(refusal.HeaderOutcome))
	must.Eq(t, status, response.StatusCode)
}

func chunk(text string) *peerpb.Frame {
	return peerpb.Frame_builder{Chunk: peerpb.Chunk_builder{Data: []byte(text)}.Build()}.Build()
}

func respondWith(parts ...string) func(context.Context, *peerpb.RunRequest, sidecar.Sink) (*peerpb.End, error) {
	return func(_ context.Context, _ *peerpb.RunRequest, sink sidecar.Sink) (*peerpb.End, error) {
		for _, part := range parts {
			if err := sink(chunk(part)); err != nil {
				return nil, err
			}
		}
		return peerpb.End_builder{Finish: "stop", PromptTokens: 3, OutputTokens: uint64(len(parts))}.Build(), nil
	}
}

func TestRefusals(t *testing.T) {
	completion := func(fields string) string { return `{"model":"assist","prompt":"p"` + fields + `}` }
	tests := map[string]struct {
		method, path, key, body string
		status                  int
		code                    string
	}{
		"no key":               {"POST", "/v1/completions", "", completion(""), 401, "missing_key"},
		"unknown key":          {"POST", "/v1/completions", "nobody", completion(""), 401, "unknown_key"},
		"malformed":            {"POST", "/v1/completions", goodKey, `{"model":`, 400, "invalid_request"},
		"two values":           {"POST", "/v1/completions", goodKey, completion("") + "{}", 400, "invalid_request"},
		"no prompt":            {"POST", "/v1/completions", goodKey, `{"model":"assist"}`, 400, "invalid_request"},
		"no model":             {"POST", "/v1/completions", goodKey, `{"prompt":"p"}`, 400, "invalid_request"},
		"wrong type":           {"POST", "/v1/completions", goodKey, completion(`,"max_tokens":"many"`), 400, "invalid_request"},
		"negative tokens":      {"POST", "/v1/completions", goodKey, completion(`,"max_tokens":-1`), 400, "invalid_request"},
		"temperature too high": {"POST", "/v1/completions", goodKey, completion(`,"temperature":9`), 400, "invalid_request"},
		"several answers":      {"POST", "/v1/completions", goodKey, completion(`,"n":2`), 400, "invalid_request"},
		"no messages":          {"POST", "/v1/chat/completions", goodKey, `{"model":"assist"}`, 400, "invalid_request"},
		"unknown role":         {"POST", "/v1/chat/completions", goodKey, `{"model":"assist","messages":[{"role":"x"}]}`, 400, "invalid_request"},
		"oversized":            {"POST", "/v1/completions", goodKey, completion(`,"stop":"` + strings.Repeat("x", 5000) + `"`), 413, "body_too_large"},
		"model not in plan":    {"POST", "/v1/completions", otherKey, completion(""), 403, "not_in_plan"},
		"service not in plan":  {"GET", "/services/ledger/records/1", otherKey, "", 403, "not_in_plan"},
		"dot segments":         {"GET", "/services/ledger/%2e%2e/x", goodKey, "", 404, "not_found"},
		"key in query":         {"GET", "/services/ledger/records/1?key=" + goodKey, goodKey, "", 400, "key_in_request"},
		"escaped key in query": {"GET", "/services/ledger/records/1?key=%61" + goodKey[1:], goodKey, "", 400, "key_in_request"},
		"key in prompt":        {"POST", "/v1/completions", goodKey, `{"model":"assist","prompt":"` + goodKey + `"}`, 400, "key_in_request"},
		"no such path":         {"GET", "/v2", goodKey, "", 404, "not_found"},
		"method not allowed":   {"GET", "/v1/completions", goodKey, "", 405, "method_not_allowed"},
	}
	server := serve(t, respondWith("never"))
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			response := server.send(t, test.method, test.path, test.key, test.body)
			mustRefuse(t, response, test.status, test.code, "not-run")
		})
	}
	must.SliceEmpty(t, server.runner.requests())
}

// Guards against a final refusal of a valid request: an entry listens before it knows its
// first configuration, and callers take 401 and 403 as final. Only what no configuration
// can change is refused with its own status.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	const completion = `{"model":"assist","prompt":"p"}`
	tests := map[string]struct {
		method, path, key, body string
		status                  int
		code                    string
	}{
		"completion":           {"POST", "/v1/completions", goodKey, completion, 503, "no_configuration"},
		"chat":                 {"POST", "/v1/chat/completions", goodKey, `{"model":"assist","messages":[{"role":"user","content":"p"}]}`, 503, "no_configuration"},
		"models":               {"GET", "/v1/models", goodKey, "", 503, "no_configuration"},
		"service":              {"GET", "/services/ledger/records/1", goodKey, "", 503, "no_configuration"},
		"unknown key":          {"POST", "/v1/completions", "nobody", completion, 503, "no_configuration"},
		"service outside plan": {"GET", "/services/ledger/records/1", otherKey, "", 503, "no_configuration"},
		"no key":               {"POST", "/v1/completions", "", completion, 401, "missing_key"},
		"no such path":         {"GET", "/v2", goodKey, "", 404, "not_found"},
		"method not allowed":   {"GET", "/v1/completions", goodKey, "", 405, "method_not_allowed"},
	}
	server := serveUnconfigured(t, respondWith("never"))
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			response := server.send(t, test.method, test.path, test.key, test.body)
			mustRefuse(t, response, test.status, test.code, "not-run")
			must.Eq(t, test.status == http.StatusServiceUnavailable, response.Header.Get("Retry-After") == "1")
		})
	}
	must.SliceEmpty(t, server.runner.requests())
	server.setConfig(t, config(false), 1)
	must.Eq(t, 200, server.send(t, "GET", "/v1/models", goodKey, "").StatusCode)
	mustRefuse(t, server.send(t, "GET", "/v1/models", "nobody", ""), 401, "unknown_key", "not-run")
}

func TestCompletion(t *testing.T) {
	server := serve(t, respondWith("Hel", "lo"))
	response := server.send(t, "POST", "/v1/completions", goodKey, `{"model":"assist","prompt":"p","stop":"x","user":"u","key":"secret"}`)
	must.Eq(t, 200, response.StatusCode)
	body := text(t, response)
	must.StrContains(t, body, `"text":"Hello","finish_reason":"stop"`)
	must.StrContains(t, body, `"total_tokens":5`)
	request := server.runner.requests()[0]
	must.Eq(t, response.Header.Get(caller.HeaderRequest), request.GetId())
	must.Eq(t, `{"prompt":"p","model":"assist","stop":["x"]}`, string(request.GetBody()))
	must.Eq(t, "astana", request.GetAccount())
	must.Eq(t, 2.0, request.GetWeight())
}

func TestChatStream(t *testing.T) {
	server := serve(t, respondWith("Hel", "lo"))
	response := server.send(t, "POST", "/v1/chat/completions", goodKey, `{"model":"assist","messages":[{"role":"user","content":"p"}],"stream":true}`)
	must.Eq(t, "text/event-stream", response.Header.Get("Content-Type"))
	body := text(t, response)
	must.StrContains(t, body, `"delta":{"role":"assistant","content":"Hel"}`)
	must.StrContains(t, body, `"delta":{"content":"lo"}`)
	must.StrContains(t, body, `"finish_reason":"stop"`)
	must.StrHasSuffix(t, "data: [DONE]\n\n", body)
}

func TestStreamCut(t *testing.T) {
	// Guards against a truncated stream that looks complete: the backend server
	// crashes after the first words of a streamed completion.
	server := serve(t, func(_ context.Context, _ *peerpb.RunRequest, sink sidecar.Sink) (*peerpb.End, error) {
		_ = sink(chunk("Hel"))
		return nil, refusal.Unknown(http.StatusBadGateway, "cut", "cut")
	})
	body := text(t, server.send(t, "POST", "/v1/completions", goodKey, `{"model":"assist","prompt":"p","stream":true}`))
	must.StrContains(t, body, `"code":"cut","outcome":"unknown"`)
	must.StrNotContains(t, body, "[DONE]")
}

// Guards against a call that is cut without an answer when its entry's grace period ends.
func TestStopAnswersCalls(t *testing.T) {
	stopping := refusal.Unknown(http.StatusBadGateway, "stopping", "the process stops")
	t.Run("before the answer began", func(t *testing.T) {
		var server *testServer
		server = serve(t, func(ctx context.Context, _ *peerpb.RunRequest, _ sidecar.Sink) (*peerpb.End, error) {
			server.stop(stopping)
			<-ctx.Done()
			return nil, ctx.Err()
		})
		response := server.send(t, "POST", "/services/ledger/postings", goodKey, `{"hours":1}`)
		mustRefuse(t, response, http.StatusBadGateway, "stopping", "unknown")
	})
	t.Run("after it began", func(t *testing.T) {
		var server *testServer
		server = serve(t, func(ctx context.Context, _ *peerpb.RunRequest, sink sidecar.Sink) (*peerpb.End, error) {
			_ = sink(chunk("Hel"))
			server.stop(stopping)
			<-ctx.Done()
			return nil, ctx.Err()
		})
		body := text(t, server.send(t, "POST", "/v1/completions", goodKey, `{"model":"assist","prompt":"p","stream":true}`))
		must.StrContains(t, body, `"code":"stopping","outcome":"unknown"`)
		must.StrNotContains(t, body, "[DONE]")
	})
	t.Run("a refusal that says not run stays", func(t *testing.T) {
		var server *testServer
		server = serve(t, func(ctx context.Context, _ *peerpb.RunRequest, _ sidecar.Sink) (*peerpb.End, error) {
			server.stop(stopping)
			<-ctx.Done()
			return nil, refusal.NotRun(http.StatusServiceUnavailable, "engine_full", "full")
		})
		response := server.send(t, "POST", "/services/ledger/postings", goodKey, `{"hours":1}`)
		mustRefuse(t, response, http.StatusServiceUnavailable, "engine_full", "not-run")
	})
}

func TestModels(t *testing.T) {
	server := serve(t, nil)
	must.StrContains(t, text(t, server.send(t, "GET", "/v1/models", goodKey, "")), `"id":"assist"`)
	must.StrNotContains(t, text(t, server.send(t, "GET", "/v1/models", otherKey, "")), "assist")
}

func respondPlain(status int32, size int, truncate bool) func(context.Context, *peerpb.RunRequest, sidecar.Sink) (*peerpb.End, error) {
	return func(_ context.Context, _ *peerpb.RunRequest, sink sidecar.Sink) (*peerpb.End, error) {
		head := peerpb.Head_builder{Status: status, Headers: []*peerpb.Header{
			peerpb.Header_builder{Name: "content-type", Value: "application/json"}.Build(),
			peerpb.Header_builder{Name: "Set-Cookie", Value: "a=b"}.Build(),
		}}.Build()
		err := errors.Join(sink(peerpb.Frame_builder{Head: head}.Build()), sink(chunk(strings.Repeat("x", size))), sink(chunk("y")))
		if truncate {
			err = refusal.Unknown(http.StatusBadGateway, "cut", "cut")
		}
		return &peerpb.End{}, err
	}
}

func TestPlain(t *testing.T) {
	server := serve(t, respondPlain(http.StatusCreated, 10, false))
	response := server.send(t, "POST", "/services/ledger/postings/a%2Fb?x=1", goodKey, `{"hours":1}`,
		"Cookie", "session="+goodKey, "X-Api-Key", goodKey, "Content-Type", "application/json")
	must.Eq(t, "xxxxxxxxxxy", text(t, response))
	must.Eq(t, 201, response.StatusCode)
	must.Eq(t, "application/json", response.Header.Get("Content-Type"))
	must.Eq(t, "", response.Header.Get("Set-Cookie"))
	request := server.runner.requests()[0]
	must.Eq(t, "/postings/a%2Fb?x=1", request.GetPath())
	must.False(t, request.GetIdempotent())
	must.StrNotContains(t, request.String(), goodKey)
	must.Len(t, 1, request.GetHeaders())
}

func TestPlainCut(t *testing.T) {
	// Guards against a truncated body that ends like a complete one: the backend
	// server crashes halfway through a long list of records, and the caller would
	// reconcile against half of the list.
	t.Run("before the answer began", func(t *testing.T) {
		server := serve(t, respondPlain(http.StatusOK, 10, true))
		mustRefuse(t, server.send(t, "GET", "/services/ledger/records", goodKey, ""), 502, "cut", "unknown")
	})
	t.Run("after it began", func(t *testing.T) {
		server := serve(t, respondPlain(http.StatusOK, 2<<20, true))
		_, err := io.ReadAll(server.send(t, "GET", "/services/ledger/records", goodKey, "").Body)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
}

func TestIdempotencyKey(t *testing.T) {
	server := serve(t, respondPlain(http.StatusCreated, 1, false))
	claimed := func(key, idempotency, method string) string {
		before := len(server.runner.requests())
		_ = text(t, server.send(t, method, "/services/ledger/postings", key, "{}", caller.HeaderIdempotencyKey, idempotency))
		return server.runner.requests()[before].GetClaim()
	}
	config := config(false)
	config.GetPlans()[1].SetServices([]string{"ledger"})
	server.setConfig(t, config, 2)
	first := claimed(goodKey, "k1", "POST")
	must.Eq(t, 64, len(first))
	must.Eq(t, first, claimed(goodKey, "k1", "POST"))
	must.NotEq(t, first, claimed(goodKey, "k2", "POST"))
	must.NotEq(t, first, claimed(otherKey, "k1", "POST"))
	must.Eq(t, "", claimed(goodKey, "k1", "GET"))
}

func TestPlainStatus(t *testing.T) {
	for _, status := range []int32{0, 99, 101, 600, 1000} {
		server := serve(t, respondPlain(status, 1, false))
		mustRefuse(t, server.send(t, "GET", "/services/ledger/records", goodKey, ""), 502, "bad_status", "unknown")
	}
	server := serve(t, respondPlain(http.StatusNoContent, 0, false))
	response := server.send(t, "POST", "/services/ledger/postings", goodKey, "{}")
	must.Eq(t, 204, response.StatusCode)
	must.Eq(t, "", response.Header.Get("Content-Length"))
}
