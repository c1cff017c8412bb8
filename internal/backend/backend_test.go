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
	"sync/atomic"
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

// fakeServer is a fake backend server that replies with raw bytes.
type fakeServer struct {
	net.Listener

	// replies are sent one per request; after the last one the connection is closed.
	replies []reply
	// choose, if set, replaces replies. Its arguments are the number of the request on its
	// connection and in total.
	choose func(onConnection, total int) reply
	mutex  sync.Mutex
	raw    []string
	closed chan struct{}
	// repeated is the number of bytes of repeated texts.
	repeated atomic.Int64
}

// reply is sent in response to a request. With hold, the connection then stays open without
// data.
type reply struct {
	text string
	// repeat is sent after text, again and again until the connection is closed, up to maxRepeatedBytes,
	// with a pause after each time.
	repeat string
	pause  time.Duration
	hold   bool
	// keepAlive keeps the connection open for the next request; reset resets it.
	keepAlive bool
	reset     bool
}

func newFakeServer(t *testing.T, replies ...reply) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &fakeServer{Listener: listener, replies: replies, closed: make(chan struct{})}
	go s.accept()
	t.Cleanup(func() {
		close(s.closed)
		_ = listener.Close()
	})
	return s
}

func (s *fakeServer) accept() {
	for {
		connection, err := s.Accept()
		if err != nil {
			return
		}
		go s.serve(connection)
	}
}

func (s *fakeServer) serve(connection net.Conn) {
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
		s.repeat(connection, reply)
		if reply.hold {
			<-s.closed
		}
		if tcp, isTCP := connection.(*net.TCPConn); isTCP && reply.reset {
			_ = tcp.SetLinger(0)
		}
		if !reply.keepAlive {
			return
		}
	}
}

// maxRepeatedBytes and maxRepeatTime bound what a server sends without end.
const (
	maxRepeatedBytes = 64 << 20
	maxRepeatTime    = 10 * time.Second
)

func (s *fakeServer) repeat(connection net.Conn, reply reply) {
	began := time.Now()
	for reply.repeat != "" && s.repeated.Load() < maxRepeatedBytes && time.Since(began) < maxRepeatTime {
		n, err := io.WriteString(connection, reply.repeat)
		s.repeated.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(reply.pause)
	}
}

func (s *fakeServer) next(raw string, onConnection int) reply {
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
func (s *fakeServer) requests() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]string(nil), s.raw...)
}

func (s *fakeServer) url() string { return "http://" + s.Addr().String() }

// runner is a Plain or an Engine.
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

// run returns the text, tokens, end and error of an answer.
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

// Guards against a refusal that reports "not run" although the backend server may have
// received the request: the caller would retry and post twice.
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
		"engine sends no end marker": {true, reply{text: chunked(finish) + lastChunk}, unknown, "backend_cut"},
		"engine gives no reason":     {true, reply{text: chunked(oneToken, done) + lastChunk}, unknown, "unfinished"},
		"engine fails in the middle": {true, reply{text: chunked(`data: {"error":"out of memory"}`+"\n\n", done) + lastChunk}, unknown, "backend_cut"},
		"engine sends garbage":       {true, reply{text: chunked("data: {{\n\n", done) + lastChunk}, unknown, "backend_cut"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newFakeServer(t, test.reply)
			client, request := runner(newPlain(server.url())), posting()
			if test.engine {
				client, request = newEngine(server.url()), generation()
			}
			_, _, end, err := run(client, request)
			mustBeRefused(t, test.outcome, test.code, end, err)
			must.Len(t, 1, server.requests())
		})
	}
}

func TestOutcomeNotSent(t *testing.T) {
	server := newFakeServer(t)
	must.NoError(t, server.Close())
	_, _, end, err := run(newPlain(server.url()), posting())
	mustBeRefused(t, notRun, "backend_unreachable", end, err)
	bad := generation()
	bad.SetBody([]byte("no JSON"))
	_, _, end, err = run(newEngine(server.url()), bad)
	mustBeRefused(t, notRun, "bad_body", end, err)
	old := generation()
	old.SetVersion(2)
	_, _, end, err = run(newEngine(server.url()), old)
	mustBeRefused(t, notRun, "old_version", end, err)
}

// A generation gets an idle connection that broke long ago. The generation is retried once
// on a new connection; if the retry times out too, the outcome is unknown.
func TestTimeoutBeforeFirstToken(t *testing.T) {
	complete := reply{text: chunked(oneToken, finish, done) + lastChunk}
	server := newFakeServer(t, reply{hold: true}, complete)
	text, _, _, err := run(newEngine(server.url()), generation())
	must.NoError(t, err)
	must.Eq(t, "a", text)
	server = newFakeServer(t, reply{hold: true}, reply{hold: true}, complete)
	_, _, end, err := run(newEngine(server.url()), generation())
	mustBeRefused(t, unknown, "backend_silent", end, err)
	must.Len(t, 2, server.requests())
}

// Guards against a posting that runs twice. The ledger reads a posting on a reused
// connection and closes the connection without an answer, as it does when it is stopped.
// net/http repeats requests whose body it can read again, so the ledger would post twice
// while the caller sees one answer.
func TestPostingIsSentOnce(t *testing.T) {
	first := reply{text: jsonHead + "Content-Length: 2\r\n\r\n{}", keepAlive: true}
	server := newFakeServer(t, first, reply{}, first)
	plain := newPlain(server.url())
	_, _, _, err := run(plain, posting())
	must.NoError(t, err)
	request := posting()
	request.SetHeaders([]*peerpb.Header{peerpb.Header_builder{Name: "Idempotency-Key", Value: "k"}.Build()})
	_, _, end, err := run(plain, request)
	mustBeRefused(t, unknown, "backend_cut", end, err)
	must.Len(t, 2, server.requests())
}

// Guards against the answer to another request, or its refusal, from a server that sends an answer a second time where
// the next one is expected. Answers to sidecars name no request.
func TestSecondAnswerMeetsNoRequest(t *testing.T) {
	refused := "HTTP/1.1 503 x\r\nContent-Length: 16\r\n\r\n{\"error\":\"full\"}"
	for name, test := range map[string]struct {
		newClient func(address string) runner
		request   *peerpb.RunRequest
		first     string
		next      string
		text      string
	}{
		"plain":          {func(address string) runner { return newPlain(address) }, posting(), jsonHead + "Content-Length: 2\r\n\r\n{}", jsonHead + "Content-Length: 3\r\n\r\n{1}", "{1}"},
		"engine refuses": {func(address string) runner { return newEngine(address) }, generation(), refused, chunked(oneToken, finish, done) + lastChunk, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t)
			server.choose = func(onConnection, total int) reply {
				switch {
				case total == 1:
					return reply{text: test.first, keepAlive: true}
				case onConnection == 1:
					return reply{text: test.next, keepAlive: true}
				default:
					return reply{text: test.first + test.next, keepAlive: true}
				}
			}
			client := test.newClient(server.url())
			_, _, _, _ = run(client, test.request)
			text, _, _, err := run(client, test.request)
			must.NoError(t, err)
			must.Eq(t, test.text, text)
		})
	}
}

// An engine loses its connection in the middle of a sample. The generation resumes after
// the tokens received so far, and the sample must contain each token once.
func TestGenerationIsResumed(t *testing.T) {
	server := newFakeServer(t, reply{text: chunked(oneToken)}, reply{text: chunked(oneToken, finish, done) + lastChunk})
	text, tokens, end, err := run(newEngine(server.url()), generation())
	must.NoError(t, err)
	must.Eq(t, "aa", text)
	must.Eq(t, []int32{7, 7}, tokens)
	must.Eq(t, "stop", end.GetFinish())
	must.StrContains(t, server.requests()[1], `"resume_tokens":[7]`)
}

// All connections to an engine, including idle ones, silently stop carrying data, while new
// connections work. A resumed generation must use a new connection.
func TestResumeTakesNewConnection(t *testing.T) {
	complete := reply{text: chunked(oneToken, finish, done) + lastChunk, keepAlive: true}
	both := &sync.WaitGroup{}
	both.Add(2)
	server := newFakeServer(t)
	server.choose = func(onConnection, total int) reply {
		switch {
		case total <= 2:
			both.Done()
			both.Wait()
			return complete
		case total == 3:
			return reply{text: chunked(oneToken), hold: true}
		case onConnection > 1:
			return reply{hold: true}
		default:
			return complete
		}
	}
	engine := newEngine(server.url())
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

// Each resumed generation is interrupted again. The engine client must stop resuming, and
// must not report "not run" when the engine refuses to resume.
func TestResumesAreBounded(t *testing.T) {
	server := newFakeServer(t, reply{text: chunked(oneToken)}, reply{text: chunked(oneToken)}, reply{text: chunked(oneToken)})
	_, _, end, err := run(newEngine(server.url()), generation())
	mustBeRefused(t, unknown, "backend_cut", end, err)
	must.Len(t, 3, server.requests())

	server = newFakeServer(t, reply{text: chunked(oneToken)}, reply{text: "HTTP/1.1 503 x\r\nContent-Length: 16\r\n\r\n{\"error\":\"full\"}"})
	_, _, end, err = run(newEngine(server.url()), generation())
	mustBeRefused(t, unknown, "engine_full", end, err)
}
