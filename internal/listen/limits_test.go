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
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/zeromicro/go-zero/rest"

	"github.com/bramleyhatch/bramleyhatch/internal/budget"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

const (
	maxHead = 4 << 10
	// answerTimeout bounds the wait for an answer, far above any timeout of the tests' servers.
	answerTimeout = 30 * time.Second
	headTimeout   = 300 * time.Millisecond
)

// limitedServer is a server with small limits. It answers /read with the length of the body, /wait once it is released,
// and other paths not at all.
type limitedServer struct {
	*budget.Budget

	address string
	// started receives a value for each request to /wait.
	started  chan struct{}
	released chan struct{}
}

func serveLimited(t *testing.T, maxConns int) *limitedServer {
	t.Helper()
	s := &limitedServer{Budget: &budget.Budget{Bytes: 8 << 20}, started: make(chan struct{}, 1), released: make(chan struct{})}
	listening := make(chan string, 1)
	server := &listen.HTTP{
		Address: "127.0.0.1:0",
		Routes: []rest.Route{
			{Method: http.MethodPost, Path: "/read", Handler: s.read},
			{Method: http.MethodGet, Path: "/wait", Handler: func(http.ResponseWriter, *http.Request) { s.started <- struct{}{}; <-s.released }},
		},
		NotFound:    http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }),
		OnListening: func(address string) { listening <- address },
		Limits: listen.Limits{
			Budget: s.Budget, MaxConns: maxConns,
			MaxHeaderBytes: func() int64 { return maxHead },
			HeaderTimeout:  func() time.Duration { return headTimeout },
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
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprint(w, len(body))
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

// mustBeClosed checks that the server closes the connection without an answer.
func (c *client) mustBeClosed(t *testing.T) {
	t.Helper()
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
	_, _ = io.WriteString(c, "POST /read HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 4*maxHead))
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil { // The connection may be reset before the answer is read.
		_ = response.Body.Close()
		must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	}
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
			time.Sleep(headTimeout / 10)
		}
	}()
	c.mustBeClosed(t)
	s.mustHoldNothing(t)
}

// Guards against memory that an aborted answer keeps.
func TestAbortedAnswer(t *testing.T) {
	s := serveLimited(t, 10)
	c := s.dial(t)
	c.send(t, "GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
	c.mustBeClosed(t)
	s.mustHoldNothing(t)
}

// Guards against silent connections that lock out new ones, and against requests that are closed for new connections.
func TestConnectionLimit(t *testing.T) {
	s := serveLimited(t, 2)
	running := s.dial(t)
	running.send(t, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	silent := s.dial(t)
	<-s.started
	for range 5 {
		c := s.dial(t)
		c.send(t, post("/read", 2)+"ok")
		c.mustAnswer(t, http.StatusOK, "2")
	}
	silent.mustBeClosed(t)
	close(s.released)
	running.mustAnswer(t, http.StatusOK, "")
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
