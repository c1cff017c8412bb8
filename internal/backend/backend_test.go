package backend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	notRun  = peerpb.Outcome_OUTCOME_NOT_RUN
	unknown = peerpb.Outcome_OUTCOME_UNKNOWN

	jsonHead   = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	lastChunk  = "0\r\n\r\n"
	oneToken   = `data: {"choices":[{"text":"a","token_ids":[7]}],"weight_version":3}` + "\n\n"
	finish     = `data: {"choices":[{"text":"","token_ids":[],"finish_reason":"stop"}],"usage":{"prompt_tokens":4,"completion_tokens":2}}` + "\n\n"
	done       = "data: [DONE]\n\n"
)

// script is a fake backend server that answers with raw bytes.
type script struct {
	net.Listener

	// replies are given one a request; after the last the connection is closed.
	replies []reply
	// choose gives replies in their place, by the number of the request on its
	// connection and in all.
	choose func(onConnection, total int) reply
	mutex  sync.Mutex
	raw    []string
	closed chan struct{}
}

// reply is what a request gets; after hold the connection stays open in silence.
type reply struct {
	text string
	hold bool
	// alive keeps the connection for the next request.
	alive bool
}

func newScript(t *testing.T, replies ...reply) *script {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &script{Listener: listener, replies: replies, closed: make(chan struct{})}
	go s.accept()
	t.Cleanup(func() {
		close(s.closed)
		_ = listener.Close()
	})
	return s
}

func (s *script) accept() {
	for {
		connection, err := s.Accept()
		if err != nil {
			return
		}
		go s.serve(connection)
	}
}

func (s *script) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for onConnection := 1; ; onConnection++ {
		raw := &strings.Builder{}
		request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(reader, raw)))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		reply := s.next(raw.String(), onConnection)
		_, _ = io.WriteString(connection, reply.text)
		if reply.hold {
			<-s.closed
		}
		if !reply.alive {
			return
		}
	}
}

func (s *script) next(raw string, onConnection int) reply {
	s.mutex.Lock()
	s.raw = append(s.raw, raw)
	total := len(s.raw)
	s.mutex.Unlock()
	if s.choose != nil {
		return s.choose(onConnection, total)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.raw) > len(s.replies) {
		return reply{}
	}
	return s.replies[len(s.raw)-1]
}

// requests returns the raw bytes of each request.
func (s *script) requests() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]string(nil), s.raw...)
}

func (s *script) url() string { return "http://" + s.Addr().String() }

// runner is a client of either kind.
type runner interface {
	Run(ctx context.Context, request *peerpb.RunRequest, sink backend.Sink) (*peerpb.End, error)
}

func newPlain(address string) *backend.Plain {
	plain := &backend.Plain{}
	plain.Address, plain.Name, plain.ReadTimeout = address, "s1", 300*time.Millisecond
	return plain
}

func newEngine(address string) *backend.Engine {
	engine := &backend.Engine{}
	engine.Address, engine.Name, engine.ReadTimeout = address, "s1", 300*time.Millisecond
	return engine
}

func posting() *peerpb.RunRequest {
	return peerpb.RunRequest_builder{Id: "r1", Kind: peerpb.Kind_KIND_PLAIN, Method: "POST", Path: "/postings", Body: []byte("{}")}.Build()
}

func generation() *peerpb.RunRequest {
	body := []byte(`{"model":"m","prompt":"p","max_tokens":2}`)
	return peerpb.RunRequest_builder{Id: "r1", Kind: peerpb.Kind_KIND_COMPLETION, Idempotent: true, Body: body}.Build()
}

// run returns the text of an answer, its chunks' tokens, its end and its error.
func run(client runner, request *peerpb.RunRequest) (text string, tokens []int32, end *peerpb.End, err error) {
	end, err = client.Run(context.Background(), request, func(frame *peerpb.Frame) error {
		text += string(frame.GetChunk().GetData())
		tokens = append(tokens, frame.GetChunk().GetTokens()...)
		return nil
	})
	return text, tokens, end, err
}

func mustBeRefused(t *testing.T, outcome peerpb.Outcome, code string, end *peerpb.End, err error) {
	t.Helper()
	must.Nil(t, end)
	var refused *refusal.Error
	must.True(t, errors.As(err, &refused), must.Sprint(err))
	must.Eq(t, code, refused.Code)
	must.Eq(t, outcome, refused.Outcome)
}

func chunked(parts ...string) string {
	text := streamHead
	for _, part := range parts {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	return text
}

// A caller is told "not run" and posts again, though the ledger had the first
// posting: wherever the backend server may have seen the request, the refusal
// has to say that the outcome is unknown.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		engine  bool
		reply   reply
		outcome peerpb.Outcome
		code    string
	}{
		"plain closes":               {false, reply{}, unknown, "backend_cut"},
		"plain is silent":            {false, reply{hold: true}, unknown, "backend_silent"},
		"plain cuts its head":        {false, reply{text: "HTTP/1.1 201 Cre"}, unknown, "backend_cut"},
		"plain cuts its body":        {false, reply{text: jsonHead + "Content-Length: 9\r\n\r\n{}"}, unknown, "backend_cut"},
		"plain cuts its chunks":      {false, reply{text: chunked("{}")}, unknown, "backend_cut"},
		"plain is silent in body":    {false, reply{text: chunked("{}"), hold: true}, unknown, "backend_silent"},
		"plain has no end":           {false, reply{text: jsonHead + "\r\n{}"}, unknown, "undelimited"},
		"engine closes":              {true, reply{}, unknown, "backend_cut"},
		"engine refuses":             {true, reply{text: "HTTP/1.1 503 x\r\nContent-Length: 16\r\n\r\n{\"error\":\"full\"}"}, notRun, "engine_full"},
		"engine refuses unexplained": {true, reply{text: "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"}, unknown, "engine_failed"},
		"engine rejects":             {true, reply{text: "HTTP/1.1 400 x\r\nContent-Length: 15\r\n\r\n{\"error\":\"bad\"}"}, unknown, "engine_rejected"},
		"engine fails":               {true, reply{text: "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"}, unknown, "engine_failed"},
		"engine sends no mark":       {true, reply{text: chunked(finish) + lastChunk}, unknown, "backend_cut"},
		"engine gives no reason":     {true, reply{text: chunked(oneToken, done) + lastChunk}, unknown, "unfinished"},
		"engine fails in the middle": {true, reply{text: chunked(`data: {"error":"out of memory"}`+"\n\n", done) + lastChunk}, unknown, "backend_cut"},
		"engine sends garbage":       {true, reply{text: chunked("data: {{\n\n", done) + lastChunk}, unknown, "backend_cut"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			script := newScript(t, test.reply)
			client, request := runner(newPlain(script.url())), posting()
			if test.engine {
				client, request = newEngine(script.url()), generation()
			}
			_, _, end, err := run(client, request)
			mustBeRefused(t, test.outcome, test.code, end, err)
			must.Len(t, 1, script.requests())
		})
	}
}

func TestOutcomeNotSent(t *testing.T) {
	script := newScript(t)
	must.NoError(t, script.Close())
	_, _, end, err := run(newPlain(script.url()), posting())
	mustBeRefused(t, notRun, "backend_unreachable", end, err)
	bad := generation()
	bad.SetBody([]byte("no JSON"))
	_, _, end, err = run(newEngine(script.url()), bad)
	mustBeRefused(t, notRun, "bad_body", end, err)
	old := generation()
	old.SetVersion(2)
	_, _, end, err = run(newEngine(script.url()), old)
	mustBeRefused(t, notRun, "old_version", end, err)
}

// A generation gets an idle connection that went silent long ago. It is sent
// anew once over a new one; if that is silent too, the outcome is unknown.
func TestSilentFromTheFirst(t *testing.T) {
	whole := reply{text: chunked(oneToken, finish, done) + lastChunk}
	script := newScript(t, reply{hold: true}, whole)
	text, _, _, err := run(newEngine(script.url()), generation())
	must.NoError(t, err)
	must.Eq(t, "a", text)
	script = newScript(t, reply{hold: true}, reply{hold: true}, whole)
	_, _, end, err := run(newEngine(script.url()), generation())
	mustBeRefused(t, unknown, "backend_silent", end, err)
	must.Len(t, 2, script.requests())
}

// A clerk posts over a connection that was used before. The ledger reads the
// posting and closes the connection without an answer, as it does when it is
// stopped. net/http sends a request again that it can read anew, so the ledger
// would post twice while the clerk sees one answer.
func TestPostingIsSentOnce(t *testing.T) {
	first := reply{text: jsonHead + "Content-Length: 2\r\n\r\n{}", alive: true}
	script := newScript(t, first, reply{}, first)
	plain := newPlain(script.url())
	_, _, _, err := run(plain, posting())
	must.NoError(t, err)
	request := posting()
	request.SetHeaders([]*peerpb.Header{peerpb.Header_builder{Name: "Idempotency-Key", Value: "k"}.Build()})
	_, _, end, err := run(plain, request)
	mustBeRefused(t, unknown, "backend_cut", end, err)
	must.Len(t, 2, script.requests())
}

// An engine loses its connection in the middle of a sample. The sidecar goes on
// from the tokens that it has, and the sample must have each token once.
func TestGenerationIsResumed(t *testing.T) {
	script := newScript(t, reply{text: chunked(oneToken)}, reply{text: chunked(oneToken, finish, done) + lastChunk})
	text, tokens, end, err := run(newEngine(script.url()), generation())
	must.NoError(t, err)
	must.Eq(t, "aa", text)
	must.Eq(t, []int32{7, 7}, tokens)
	must.Eq(t, "stop", end.GetFinish())
	must.StrContains(t, script.requests()[1], `"resume_tokens":[7]`)
}

// All connections to an engine go silent at once, the idle ones too, and new
// ones work. A generation that is resumed must not go on over an idle one.
func TestResumeTakesNewConnection(t *testing.T) {
	whole := reply{text: chunked(oneToken, finish, done) + lastChunk, alive: true}
	both := &sync.WaitGroup{}
	both.Add(2)
	script := newScript(t)
	script.choose = func(onConnection, total int) reply {
		switch {
		case total <= 2:
			both.Done()
			both.Wait()
			return whole
		case total == 3:
			return reply{text: chunked(oneToken), hold: true}
		case onConnection > 1:
			return reply{hold: true}
		default:
			return whole
		}
	}
	engine := newEngine(script.url())
	engine.ReadTimeout = time.Second
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() { _, _, _, _ = run(engine, generation()) })
	}
	group.Wait()
	text, _, _, err := run(engine, generation())
	must.NoError(t, err)
	must.Eq(t, "aa", text)
}

// Each resumed generation is cut again. The sidecar must give up, and must not
// say "not run" when the engine refuses to go on.
func TestResumesAreBounded(t *testing.T) {
	script := newScript(t, reply{text: chunked(oneToken)}, reply{text: chunked(oneToken)}, reply{text: chunked(oneToken)})
	_, _, end, err := run(newEngine(script.url()), generation())
	mustBeRefused(t, unknown, "backend_cut", end, err)
	must.Len(t, 3, script.requests())

	script = newScript(t, reply{text: chunked(oneToken)}, reply{text: "HTTP/1.1 503 x\r\nContent-Length: 16\r\n\r\n{\"error\":\"full\"}"})
	_, _, end, err = run(newEngine(script.url()), generation())
	mustBeRefused(t, unknown, "engine_full", end, err)
}
