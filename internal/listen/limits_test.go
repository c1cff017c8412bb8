package listen_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/zeromicro/go-zero/rest"

	"github.com/bramleyhatch/bramleyhatch/internal/budget"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
)

const (
	maxHead = 4 << 10
	maxBody = 1 << 20
	// answerTimeout bounds the wait for an answer, far above any timeout of the tests' servers.
	answerTimeout = 30 * time.Second
	closeTimeout  = 7 * time.Second
	bodyTimeout   = time.Second
)

// limitedServer is a server with small limits. It answers /read with the length of the body, /ignore without reading it, /work after a while,
// /long with more than buffers hold, /wait once it is released, and other paths not at all.
type limitedServer struct {
	*budget.Budget

	address string
	// started receives a value for each request to /wait.
	started  chan struct{}
	released chan struct{}
	// problems receives why bodies couldn't be read.
	problems chan listen.BodyProblem
	// written receives the end of each answer to /long.
	written chan error
}

func serveLimited(t *testing.T, maxConns int) *limitedServer {
	t.Helper()
	s := &limitedServer{Budget: &budget.Budget{Bytes: 8 << 20}, started: make(chan struct{}, 1), released: make(chan struct{}), problems: make(chan listen.BodyProblem, 1), written: make(chan error, 1)}
	listening := make(chan string, 1)
	server := &listen.HTTP{
		Address: "127.0.0.1:0",
		Routes: []rest.Route{
			{Method: http.MethodPost, Path: "/read", Handler: s.read},
			{Method: http.MethodPost, Path: "/ignore", Handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusForbidden) }},
			{Method: http.MethodPost, Path: "/work", Handler: s.work},
			{Method: http.MethodGet, Path: "/long", Handler: s.writeLong},
			{Method: http.MethodGet, Path: "/wait", Handler: func(http.ResponseWriter, *http.Request) { s.started <- struct{}{}; <-s.released }},
		},
		NotFound:    http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }),
		OnListening: func(address string) { listening <- address },
		Limits: listen.Limits{
			Budget: s.Budget, MaxConns: maxConns,
			MaxHeaderBytes: func() int64 { return maxHead },
			HeaderTimeout:  func() time.Duration { return bodyTimeout },
			WriteTimeout:   bodyTimeout,
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx, time.Second) }()
	s.address = <-listening
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return s
}

func (s *limitedServer) read(w http.ResponseWriter, r *http.Request) {
	body, err := listen.ReadBody(r, maxBody, time.Now().Add(bodyTimeout))
	var problem *listen.BodyError
	if errors.As(err, &problem) {
		s.problems <- problem.Problem
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = fmt.Fprint(w, len(body))
}

// work reads the body, and then runs for longer than a body may take.
func (s *limitedServer) work(w http.ResponseWriter, r *http.Request) {
	_, err := listen.ReadBody(r, maxBody, time.Now().Add(bodyTimeout))
	pause.For(r.Context(), 2*bodyTimeout)
	if err != nil || r.Context().Err() != nil {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// writeLong writes small parts, more than the buffers of the system hold.
func (s *limitedServer) writeLong(w http.ResponseWriter, _ *http.Request) {
	const parts = 4 << 10
	part := make([]byte, 4<<10)
	for range parts {
		if _, err := w.Write(part); err != nil {
			s.written <- err
			return
		}
	}
	s.written <- nil
}

// client is a connection to the server.
type client struct {
	net.Conn

	reader *bufio.Reader
}

func (s *limitedServer) dial(t *testing.T) *client {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	must.NoError(t, err)
	must.NoError(t, conn.SetDeadline(time.Now().Add(answerTimeout)))
	t.Cleanup(func() { _ = conn.Close() })
	return &client{Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *client) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	must.NoError(t, err)
}

// mustAnswer checks the status and body of the next answer.
func (c *client) mustAnswer(t *testing.T, status int, body string) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.Eq(t, status, response.StatusCode)
	must.Eq(t, body, string(text))
}

// mustBeClosed checks that the server closes the connection without an answer, before the 10 s after which it closes any
// connection that sends no head.
func (c *client) mustBeClosed(t *testing.T) {
	t.Helper()
	must.NoError(t, c.SetReadDeadline(time.Now().Add(closeTimeout)))
	_, err := c.reader.ReadByte()
	must.Error(t, err)
	var timeout net.Error
	must.False(t, errors.As(err, &timeout) && timeout.Timeout(), must.Sprint("the connection is still open"))
}

// mustHoldNothing checks that all memory is given back.
func (s *limitedServer) mustHoldNothing(t *testing.T) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.Held() == 0 }), wait.Timeout(answerTimeout), wait.Gap(10*time.Millisecond)))
}

func post(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, length)
}

// Guards against heads without end, and against limits that a head within them meets.
func TestHeadLimit(t *testing.T) {
	s := serveLimited(t, 10)
	const fixed = len("POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nX: \r\n\r\n")
	c := s.dial(t)
	for range 3 {
		c.send(t, "POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nX: "+strings.Repeat("x", maxHead-fixed)+"\r\n\r\nok")
		c.mustAnswer(t, http.StatusOK, "2")
	}
	c = s.dial(t)
	// The server reads one buffer beyond the limit. It gets no byte more, since unread bytes would reset the connection.
	const start = "POST /read HTTP/1.1\r\nHost: h\r\nX: "
	c.send(t, start+strings.Repeat("x", maxHead+4096+1-len(start)))
	c.mustAnswer(t, http.StatusRequestHeaderFieldsTooLarge, "")
	s.mustHoldNothing(t)
}

// Guards against heads that are counted only once they are whole.
func TestHeadCountsWhileReceived(t *testing.T) {
	s := serveLimited(t, 10)
	c := s.dial(t)
	const length, bytesEach = 3000, 32
	c.send(t, strings.Repeat("x", length))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.Held() >= length*bytesEach }), wait.Timeout(answerTimeout), wait.Gap(time.Millisecond)))
	must.NoError(t, c.Close())
	s.mustHoldNothing(t)
}

// Guards against a head whose bytes come one by one for ever.
func TestSlowHead(t *testing.T) {
	s := serveLimited(t, 10)
	c := s.dial(t)
	c.send(t, "GET /wait HTTP/1.1\r\nHost: h\r\nX: ")
	go func() {
		for {
			if _, err := io.WriteString(c, "x"); err != nil {
				return
			}
			time.Sleep(bodyTimeout / 10)
		}
	}()
	c.mustBeClosed(t)
	s.mustHoldNothing(t)
}

// Guards against bodies that are read for ever, and against memory that isn't given back.
func TestBodies(t *testing.T) {
	tests := map[string]struct {
		send    string
		leaves  bool
		problem listen.BodyProblem
	}{
		"late":                   {send: post("/read", 10) + "x", problem: listen.BodyLate},
		"late, in chunks":        {send: "POST /read HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", problem: listen.BodyLate},
		"cut":                    {send: post("/read", 10) + "x", leaves: true, problem: listen.BodyCut},
		"too large":              {send: post("/read", maxBody+1), problem: listen.BodyTooLarge},
		"too large, in chunks":   {send: "POST /read HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n200000\r\n" + strings.Repeat("x", 0x200000) + "\r\n0\r\n\r\n", problem: listen.BodyTooLarge},
		"chunks that are no hex": {send: "POST /read HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", problem: listen.BodyCut},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := serveLimited(t, 10)
			c := s.dial(t)
			_, _ = io.WriteString(c, test.send)
			if test.leaves {
				must.NoError(t, c.Close())
			}
			must.Eq(t, test.problem, <-s.problems)
			s.mustHoldNothing(t)
		})
	}
}

// Guards against bodies that lose or add bytes at the steps in which the buffer grows.
func TestBodyLengths(t *testing.T) {
	s := serveLimited(t, 10)
	c := s.dial(t)
	for _, length := range []int{0, 1, 4095, 4096, 4097, 8192, 65536, 100000, maxBody - 1, maxBody} {
		body := strings.Repeat("x", length)
		c.send(t, post("/read", length)+body)
		c.mustAnswer(t, http.StatusOK, fmt.Sprint(length))
		if length == 0 {
			continue
		}
		c.send(t, fmt.Sprintf("POST /read HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", length, body))
		c.mustAnswer(t, http.StatusOK, fmt.Sprint(length))
	}
	s.mustHoldNothing(t)
}

// Guards against the body of a pipelined request that is taken for a head, since its own head arrived with an earlier one.
func TestPipelinedRequests(t *testing.T) {
	s := serveLimited(t, 10)
	c := s.dial(t)
	const length = 10 * maxHead
	large := post("/read", length)
	c.send(t, post("/read", 2)+"ok"+large+strings.Repeat("x", 100))
	c.mustAnswer(t, http.StatusOK, "2")
	c.send(t, strings.Repeat("x", length-100))
	c.mustAnswer(t, http.StatusOK, fmt.Sprint(length))
	c.send(t, post("/read", 2)+"ok"+post("/work", 2)+"ok"+post("/read", 2)+"ok")
	c.mustAnswer(t, http.StatusOK, "2")
	c.mustAnswer(t, http.StatusOK, "")
	c.mustAnswer(t, http.StatusOK, "2")
	s.mustHoldNothing(t)
}

// Guards against a refusal that waits for a body that never comes.
func TestRefusalWithoutBody(t *testing.T) {
	s := serveLimited(t, 10)
	c := s.dial(t)
	c.send(t, post("/ignore", 10))
	c.mustAnswer(t, http.StatusForbidden, "")
	c.mustBeClosed(t)
	s.mustHoldNothing(t)
}

// Guards against a connection that is closed after a refusal although the body came in time.
func TestRefusalKeepsConnection(t *testing.T) {
	s := serveLimited(t, 10)
	c := s.dial(t)
	c.send(t, post("/ignore", 2)+"ok")
	c.mustAnswer(t, http.StatusForbidden, "")
	c.send(t, post("/read", 2)+"ok")
	c.mustAnswer(t, http.StatusOK, "2")
}

// Guards against memory that an aborted answer keeps.
func TestAbortedAnswer(t *testing.T) {
	s := serveLimited(t, 10)
	c := s.dial(t)
	c.send(t, "GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
	c.mustBeClosed(t)
	s.mustHoldNothing(t)
}

// Guards against a deadline of a body that ends the request after it, or a later one of the connection.
func TestRequestLongerThanBodyTimeout(t *testing.T) {
	s := serveLimited(t, 10)
	c := s.dial(t)
	c.send(t, post("/work", 2)+"ok")
	c.mustAnswer(t, http.StatusOK, "")
	c.send(t, post("/read", 2)+"ok")
	c.mustAnswer(t, http.StatusOK, "2")
	time.Sleep(2 * bodyTimeout)
	c.send(t, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	time.AfterFunc(2*bodyTimeout, func() { close(s.released) })
	c.mustAnswer(t, http.StatusOK, "")
}

// Guards against silent connections that lock out new ones, and against requests that are closed for new connections.
func TestConnectionLimit(t *testing.T) {
	s := serveLimited(t, 3)
	running := s.dial(t)
	running.send(t, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	silent, partial := s.dial(t), s.dial(t)
	partial.send(t, post("/read", 10)+"x")
	<-s.started
	for range 5 {
		c := s.dial(t)
		c.send(t, post("/read", 2)+"ok")
		c.mustAnswer(t, http.StatusOK, "2")
	}
	silent.mustBeClosed(t)
	close(s.released)
	running.mustAnswer(t, http.StatusOK, "")
	for len(s.problems) > 0 {
		<-s.problems
	}
	must.NoError(t, running.Close())
	must.NoError(t, partial.Close())
}

// Guards against new connections that are held open although none can be served.
func TestNewConnectionIsClosed(t *testing.T) {
	s := serveLimited(t, 1)
	running := s.dial(t)
	running.send(t, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.started
	s.dial(t).mustBeClosed(t)
	close(s.released)
	running.mustAnswer(t, http.StatusOK, "")
}

// Guards against bytes behind a waiting request that fill the system's large buffers.
func TestUnreadBytes(t *testing.T) {
	const clients, maxUnread = 5, 64 << 10
	s := serveLimited(t, clients)
	for range clients {
		c := s.dial(t)
		c.send(t, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		<-s.started
		must.NoError(t, c.SetWriteDeadline(time.Now().Add(bodyTimeout)))
		_, err := io.WriteString(c, strings.Repeat("x", 8<<20))
		must.ErrorIs(t, err, os.ErrDeadlineExceeded)
	}
	unread := listentest.UnreadBytes(t, s.address)
	close(s.released)
	must.LessEq(t, clients*maxUnread, unread)
}

// Guards against an answer that waits for ever for a client that doesn't read it.
func TestUnreadAnswerEnds(t *testing.T) {
	s := serveLimited(t, 10)
	c := s.dial(t)
	c.send(t, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	must.ErrorIs(t, <-s.written, os.ErrDeadlineExceeded)
	s.mustHoldNothing(t)
}

// Guards against an answer that is cut although its client reads it.
func TestLongAnswer(t *testing.T) {
	s := serveLimited(t, 10)
	c := s.dial(t)
	c.send(t, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(c.reader, nil)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	must.NoError(t, err)
	must.NoError(t, <-s.written)
}

// Guards against TLS connections whose heads are not bounded, or whose handshake counts as a head that is too large.
func TestHeadLimitWithTLS(t *testing.T) {
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	defer certified.Close()
	memory := &budget.Budget{Bytes: 8 << 20}
	listening := make(chan string, 1)
	server := &listen.HTTP{
		Address: "127.0.0.1:0", TLS: &tls.Config{Certificates: certified.TLS.Certificates, MinVersion: tls.VersionTLS12},
		OnListening: func(address string) { listening <- address },
		Limits:      listen.Limits{Budget: memory, MaxHeaderBytes: func() int64 { return maxHead }},
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx, time.Second) }()
	defer func() {
		cancel()
		<-stopped
	}()
	address := <-listening
	send := func(head int) (status int) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://"+address, nil)
		must.NoError(t, err)
		request.Header.Set("X", strings.Repeat("x", head))
		response, err := certified.Client().Do(request)
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	must.Eq(t, http.StatusNotFound, send(maxHead-300))
	must.NotEq(t, http.StatusNotFound, send(64<<10))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return memory.Held() < 128<<10 }), wait.Timeout(answerTimeout)))
}
