package http1_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/bramleyhatch/bramleyhatch/internal/http1"
	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
)

const answerText = "0123456789"

// client sends requests and counts the malformed answers.
type client struct {
	http.Client

	faults atomic.Int64
	// splitReads makes each read return one byte.
	splitReads bool
}

// byteConn returns one byte a read.
type byteConn struct{ net.Conn }

func (c byteConn) Read(buffer []byte) (int, error) { return c.Conn.Read(buffer[:min(1, len(buffer))]) }

func newClient(t *testing.T, splitReads bool) *client {
	t.Helper()
	c := &client{splitReads: splitReads}
	transport := &http1.Transport{Transport: &http.Transport{DialContext: c.dial, MaxResponseHeaderBytes: http1.MaxHeadBytes + 1}}
	t.Cleanup(transport.CloseIdleConnections)
	c.Client = http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return c
}

func (c *client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if c.splitReads {
		conn = byteConn{conn}
	}
	return &http1.Conn{Conn: conn, OnMalformed: func(*http1.MalformedAnswerError) { c.faults.Add(1) }}, nil
}

// get returns the status and the body of an answer.
func (c *client) get(t *testing.T, method, address string) (status int, body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address, http.NoBody)
	must.NoError(t, err)
	response, err := c.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// forBothReads runs a test with whole reads and with reads of one byte.
func forBothReads(t *testing.T, test func(t *testing.T, splitReads bool)) {
	t.Helper()
	t.Run("whole reads", func(t *testing.T) { test(t, false) })
	t.Run("reads of one byte", func(t *testing.T) { test(t, true) })
}

// Guards against a malformed answer that is taken for an answer, and against another request on its connection.
func TestMalformedAnswers(t *testing.T) {
	for name, text := range listentest.MalformedAnswers(http.StatusOK, "X-First: 1\r\n", answerText) {
		t.Run(name, func(t *testing.T) {
			forBothReads(t, func(t *testing.T, splitReads bool) {
				server := listentest.StartRaw(t, func(*http.Request) string { return text })
				c := newClient(t, splitReads)
				for range 2 {
					_, _, err := c.get(t, http.MethodGet, server.Address)
					var malformed *http1.MalformedAnswerError
					must.True(t, errors.As(err, &malformed), must.Sprint(err))
					must.Less(t, 300, len(malformed.Error()))
				}
				must.Eq(t, 2, c.faults.Load())
				must.Eq(t, 2, server.Requests())
				must.Eq(t, 0, server.Reused())
				must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return server.Open() == 0 }), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
			})
		})
	}
}

// Guards against a request that net/http sends again by itself since the first byte of an answer is malformed.
func TestMalformedFirstByteOnReusedConnection(t *testing.T) {
	sound := listentest.SoundAnswers(http.StatusOK, "", answerText)["plain"]
	for name, text := range map[string]string{"a line end": "\r\n" + sound, "no text": "\x00\x01\r\n", "a blank": " " + sound} {
		t.Run(name, func(t *testing.T) {
			answers := []string{sound, text, sound}
			var count atomic.Int64
			server := listentest.StartRaw(t, func(*http.Request) string { return answers[count.Add(1)-1] })
			c := newClient(t, false)
			_, _, err := c.get(t, http.MethodGet, server.Address)
			must.NoError(t, err)
			_, _, err = c.get(t, http.MethodGet, server.Address)
			must.Error(t, err)
			must.Eq(t, 2, server.Requests())
			must.Eq(t, 1, server.Reused())
		})
	}
}

// Guards against a rare but valid answer that is refused, or whose connection can't be used again.
func TestSoundAnswers(t *testing.T) {
	for name, text := range listentest.SoundAnswers(http.StatusTeapot, "X-First: 1\r\n", answerText) {
		t.Run(name, func(t *testing.T) {
			forBothReads(t, func(t *testing.T, splitReads bool) {
				server := listentest.StartRaw(t, func(*http.Request) string { return text })
				c := newClient(t, splitReads)
				for range 3 {
					status, body, err := c.get(t, http.MethodGet, server.Address)
					must.NoError(t, err)
					must.Eq(t, http.StatusTeapot, status)
					must.Eq(t, answerText, body)
				}
				must.Eq(t, 0, c.faults.Load())
				if !strings.HasPrefix(text, "HTTP/1.0") {
					must.Eq(t, 2, server.Reused())
				}
			})
		})
	}
	for name, test := range map[string]struct {
		method, text string
		status       int
	}{
		"lowest status":             {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200},
		"highest status":            {http.MethodGet, "HTTP/1.1 599 Text\r\nContent-Length: 0\r\n\r\n", 599},
		"no content":                {http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", 204},
		"not modified, with length": {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n\r\n", 304},
		"not modified, with chunks": {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", 304},
		"HEAD with a length":        {http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", 200},
		"HEAD with chunks":          {http.MethodHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 200},
		"bare line feeds":           {http.MethodGet, "HTTP/1.1 200 OK\nX-Own: 1\nContent-Length: 0\n\n", 200},
	} {
		t.Run(name, func(t *testing.T) {
			server := listentest.StartRaw(t, func(*http.Request) string { return test.text })
			c := newClient(t, false)
			for range 3 {
				status, body, err := c.get(t, test.method, server.Address)
				must.NoError(t, err)
				must.Eq(t, test.status, status)
				must.Eq(t, "", body)
			}
			must.Eq(t, 2, server.Reused())
		})
	}
	t.Run("a body that looks like heads", func(t *testing.T) {
		malformed := strings.Repeat("HTTP/1.1 000 \r\nX Own : 1\r\n\r\n", 1000)
		for _, text := range listentest.SoundAnswers(http.StatusOK, "", malformed) {
			server := listentest.StartRaw(t, func(*http.Request) string { return text })
			_, body, err := newClient(t, false).get(t, http.MethodGet, server.Address)
			must.NoError(t, err)
			must.Eq(t, malformed, body)
		}
	})
}

// Guards against a head, or trailers, of any size.
func TestEndlessHead(t *testing.T) {
	field := "X-Own: 1\r\n"
	for name, text := range map[string]string{
		"fields":      "HTTP/1.1 200 OK\r\n" + strings.Repeat(field, http1.MaxHeadBytes/len(field)+1),
		"early heads": strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", http1.MaxHeadBytes/20),
		"no line end": strings.Repeat("x", http1.MaxHeadBytes+2),
	} {
		t.Run(name, func(t *testing.T) {
			server := listentest.StartRaw(t, func(*http.Request) string { return text })
			_, _, err := newClient(t, false).get(t, http.MethodGet, server.Address)
			var malformed *http1.MalformedAnswerError
			must.True(t, errors.As(err, &malformed), must.Sprint(err))
			must.Less(t, 300, len(malformed.Error()))
		})
	}
}

// Guards against heads of many answers at once that take more memory than there is.
func TestHeadMemory(t *testing.T) {
	const fieldLength = 8
	manyFields := func(count int) string { return strings.Repeat("X-F: 1\r\n", count) }
	for name, test := range map[string]struct {
		fields   string
		limit    int64
		isServed bool
	}{
		"an ordinary head":               {manyFields(30), 0, true},
		"many fields, with memory":       {manyFields(2000), 4 << 20, true},
		"many fields, without memory":    {manyFields(2000), 0, false},
		"many fields, too little memory": {manyFields(2000), 2000 * fieldLength, false},
		"a long field, with memory":      {"X-F: " + strings.Repeat("1", 50<<10) + "\r\n", 1 << 20, true},
		"a long field, without memory":   {"X-F: " + strings.Repeat("1", 50<<10) + "\r\n", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := listentest.StartRaw(t, func(*http.Request) string {
				return "HTTP/1.1 200 OK\r\n" + test.fields + "Content-Length: 10\r\n\r\n" + answerText
			})
			c := newClient(t, false)
			var taken atomic.Int64
			c.Transport.(*http1.Transport).HeadMemory = func(context.Context) func(int64) bool {
				return func(bytes int64) bool { return taken.Add(bytes) <= test.limit }
			}
			_, body, err := c.get(t, http.MethodGet, server.Address)
			if test.isServed {
				must.NoError(t, err)
				must.Eq(t, answerText, body)
				return
			}
			var memory *http1.MemoryError
			must.True(t, errors.As(err, &memory), must.Sprint(err))
			must.Eq(t, 0, c.faults.Load())
			_, _, _ = c.get(t, http.MethodGet, server.Address)
			must.Eq(t, 0, server.Reused())
		})
	}
}

// Guards against a sound answer that counts as malformed, since another request takes its connection before RoundTrip
// returns: net/http hands a connection out again before it delivers an answer without a body.
func TestConnectionTakenBeforeAnswerIsDelivered(t *testing.T) {
	const clients, requests = 16, 200
	server := listentest.StartRaw(t, func(*http.Request) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" })
	c := newClient(t, false)
	var running sync.WaitGroup
	var failures atomic.Int64
	for range clients {
		running.Go(func() {
			for range requests {
				if _, _, err := c.get(t, http.MethodGet, server.Address); err != nil {
					failures.Add(1)
				}
			}
		})
	}
	running.Wait()
	must.Eq(t, 0, failures.Load())
	must.Eq(t, 0, c.faults.Load())
	must.Positive(t, server.Reused())
}

// Guards against the fault of one answer that ends another request on the same connection.
func TestFaultEndsItsRequestOnly(t *testing.T) {
	const clients, requests = 16, 100
	server := listentest.StartRaw(t, func(request *http.Request) string {
		if request.URL.Path == "/malformed" {
			return "HTTP/1.1 000 \r\n\r\n"
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	})
	c := newClient(t, false)
	var running sync.WaitGroup
	var wrong atomic.Int64
	for client := range clients {
		running.Go(func() {
			for request := range requests {
				path := "/sound"
				if (client+request)%4 == 0 {
					path = "/malformed"
				}
				_, _, err := c.get(t, http.MethodGet, server.Address+path)
				if (err == nil) != (path == "/sound") {
					wrong.Add(1)
				}
			}
		})
	}
	running.Wait()
	must.Eq(t, 0, wrong.Load())
	must.Eq(t, clients*requests/4, int(c.faults.Load()))
}
