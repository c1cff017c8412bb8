package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

const (
	// lateInStop is a time after the stop signal at which what is left of the grace serves no request of the tests.
	lateInStop = 1200 * time.Millisecond
	// afterLinger is a time at which the gateway listens no more.
	afterLinger = 1600 * time.Millisecond
	// stopSlack is what the end of a process may take beyond its grace on a busy machine.
	stopSlack = 300 * time.Millisecond
)

// caller is a caller's connection to a gateway.
type caller struct {
	net.Conn

	reader *bufio.Reader
}

func (g *gateway) dial(t *testing.T) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", g.front)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{Conn: conn, reader: bufio.NewReader(conn)}
}

// write sends a part of a request.
func (c *caller) write(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	must.NoError(t, err)
}

// mustBeAnswered reads a whole answer, whose body it closes.
func (c *caller) mustBeAnswered(t *testing.T) *http.Response {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(awaitTimeout))
	response, err := http.ReadResponse(c.reader, nil)
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	return response
}

// mustBeRefused reads an answer that states that the request was not run.
func (c *caller) mustBeRefused(t *testing.T) {
	t.Helper()
	response := c.mustBeAnswered(t)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, "not-run", response.Header.Get("X-Bramleyhatch-Outcome"))
	must.NotEq(t, "", response.Header.Get("Retry-After"))
	must.True(t, response.Close)
}

// mustNotBeRead checks that the connection was closed without an answer.
func (c *caller) mustNotBeRead(t *testing.T) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(awaitTimeout))
	read, err := io.Copy(io.Discard, c.reader)
	must.Eq(t, 0, read)
	must.False(t, errors.Is(err, os.ErrDeadlineExceeded))
}

// post returns the head of a request with a body of the given length.
func post(path, id string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-acme\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n", path, id, length)
}

// stopTest is a gateway that lingers for most of its grace, before servers that take longer than the grace.
type stopTest struct {
	deployment   *deployment
	gateway      *gateway
	app, sampler *wiretest.Sampler
	stoppedAt    time.Time
}

func newStopTest(t *testing.T) *stopTest {
	t.Helper()
	s := &stopTest{deployment: newDeployment(t)}
	s.deployment.linger = 1500 * time.Millisecond
	routes := wiretest.Routes()
	for _, route := range routes {
		route["target-latency-ms"] = 500
	}
	s.deployment.PutTable(t, 3, []string{"acme"}, routes...)
	s.app, s.sampler = s.deployment.NewSampler(t, "a1", "app", ""), s.deployment.NewSampler(t, "m1", "lm", "m")
	s.sampler.SetPace(20, 500*time.Millisecond)
	s.gateway = s.deployment.start(t, "g1")
	return s
}

// stop asks the gateway to stop. It returns after the given time.
func (s *stopTest) stop(wait time.Duration) {
	s.app.SetServiceTime(2 * processGrace)
	s.stoppedAt = time.Now()
	s.gateway.cancel()
	time.Sleep(wait)
}

// mustEndInTime checks that the gateway ends within its grace.
func (s *stopTest) mustEndInTime(t *testing.T) {
	t.Helper()
	<-s.gateway.done
	must.LessEq(t, processGrace+stopSlack, time.Since(s.stoppedAt))
}

// mustNotRun checks that no server has run request "r1".
func (s *stopTest) mustNotRun(t *testing.T) {
	t.Helper()
	must.Eq(t, 0, s.app.Runs("r1")+s.sampler.Runs("r1"))
}

// mustRefuse sends the rest of request "r1" and checks that the gateway refuses it, and ends in time.
func (s *stopTest) mustRefuse(t *testing.T, c *caller, rest string) {
	t.Helper()
	c.write(t, rest)
	c.mustBeRefused(t)
	s.mustNotRun(t)
	s.mustEndInTime(t)
}

// Guards against a request that arrives late in a planned stop, is passed on, and is cut when the process is killed at the
// end of its grace.
func TestLateRequestInStop(t *testing.T) {
	t.Parallel()
	for name, path := range map[string]string{"posting": "/post/x", "request that may be repeated": "/look/x", "stream": "/stream/x"} {
		head := post(path, "r1", 0)
		t.Run(name+" on a kept connection", func(t *testing.T) {
			t.Parallel()
			s := newStopTest(t)
			c := s.gateway.dial(t)
			c.write(t, post("/look/x", "r0", 0))
			c.mustBeAnswered(t)
			s.stop(lateInStop)
			s.mustRefuse(t, c, head)
		})
		t.Run(name+" on a new connection", func(t *testing.T) {
			t.Parallel()
			s := newStopTest(t)
			s.stop(lateInStop)
			s.mustRefuse(t, s.gateway.dial(t), head)
		})
		t.Run(name+" with the rest of its head", func(t *testing.T) {
			t.Parallel()
			s := newStopTest(t)
			c := s.gateway.dial(t)
			c.write(t, head[:len(head)/2])
			s.stop(lateInStop)
			s.mustRefuse(t, c, head[len(head)/2:])
		})
		t.Run(name+" with the rest of its body", func(t *testing.T) {
			t.Parallel()
			s := newStopTest(t)
			c := s.gateway.dial(t)
			c.write(t, post(path, "r1", 10)+"01234")
			s.stop(lateInStop)
			s.mustRefuse(t, c, "56789")
		})
		t.Run(name+" with the rest of its head after the listener", func(t *testing.T) {
			t.Parallel()
			s := newStopTest(t)
			c := s.gateway.dial(t)
			c.write(t, head[:len(head)/2])
			s.stop(afterLinger)
			_, _ = io.WriteString(c, head[len(head)/2:])
			c.mustNotBeRead(t)
			s.mustNotRun(t)
			s.mustEndInTime(t)
		})
	}
	t.Run("batch", func(t *testing.T) {
		t.Parallel()
		s := newStopTest(t)
		s.gateway.awaitLease(t)
		s.stop(lateInStop)
		body := string(batchBody(t, 1))
		c := s.gateway.dial(t)
		c.write(t, post("/batch/b1", "b1", len(body))+body)
		c.mustBeRefused(t)
		must.Eq(t, 0, s.sampler.Runs("b1-i0"))
		s.mustEndInTime(t)
	})
	t.Run("batch that another gateway takes", func(t *testing.T) {
		t.Parallel()
		s := newStopTest(t)
		other := s.deployment.start(t, "g2")
		other.awaitLease(t)
		s.sampler.SetPace(5, time.Millisecond)
		s.stop(lateInStop)
		s.app.SetServiceTime(0)
		body := string(batchBody(t, 1))
		c := s.gateway.dial(t)
		c.write(t, post("/batch/b1", "b1", len(body))+body)
		must.Eq(t, http.StatusAccepted, c.mustBeAnswered(t).StatusCode)
		s.mustEndInTime(t)
		mustBeComplete(t, other.awaitResults(t, 1), 1, 5)
	})
	t.Run("read of a batch that a stopping gateway has", func(t *testing.T) {
		t.Parallel()
		s := newStopTest(t)
		s.gateway.awaitLease(t)
		s.gateway.submit(t, 1)
		other := s.deployment.start(t, "g2")
		s.stop(lateInStop)
		for _, g := range []*gateway{s.gateway, other} {
			_, status := g.read(t, "b1", 0)
			must.Eq(t, http.StatusOK, status)
		}
		s.mustEndInTime(t)
	})
}

// Guards against a request that is passed on in a stop, takes longer than expected, and is cut.
func TestSlowRequestInStop(t *testing.T) {
	s := newStopTest(t)
	s.stop(100 * time.Millisecond)
	c := s.gateway.dial(t)
	c.write(t, post("/look/x", "r1", 0))
	response := c.mustBeAnswered(t)
	must.SliceContains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, response.StatusCode)
	must.Eq(t, "unknown", response.Header.Get("X-Bramleyhatch-Outcome"))
	must.Eq(t, 1, s.app.Runs("r1"))
	s.mustEndInTime(t)
}

// Guards against a request that a full server refuses at first, and that is passed on late in a stop.
func TestRetryInStop(t *testing.T) {
	t.Parallel()
	s := newStopTest(t)
	s.app.SetFault(always(wiretest.FaultRefuse))
	c := s.gateway.dial(t)
	c.write(t, post("/post/x", "r1", 0))
	await(t, "the server has the request", func() bool { return s.app.Header("r1") != nil })
	s.stop(300 * time.Millisecond)
	s.app.SetFault(always(wiretest.NoFault))
	c.mustBeRefused(t)
	s.mustNotRun(t)
	s.mustEndInTime(t)
}

// Guards against refusals of requests that the rest of the grace can serve.
func TestEarlyRequestInStop(t *testing.T) {
	for name, path := range map[string]string{"posting": "/post/x", "request that may be repeated": "/look/x"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStopTest(t)
			s.stop(50 * time.Millisecond)
			s.app.SetServiceTime(300 * time.Millisecond)
			c := s.gateway.dial(t)
			c.write(t, strings.Replace(post(path, "r1", 0), "\r\n\r\n", "\r\nDeadline-Ms: 1000\r\n\r\n", 1))
			response := c.mustBeAnswered(t)
			must.Eq(t, http.StatusOK, response.StatusCode)
			must.True(t, response.Close)
			s.mustEndInTime(t)
		})
	}
}

// Guards against a request that runs when the grace ends and is cut without an answer, and against a process that waits
// for its drains and then for its requests, up to the grace each.
func TestRequestRunsAtTheEndOfAStop(t *testing.T) {
	for name, path := range map[string]string{"posting": "/post/x", "request that may be repeated": "/look/x"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStopTest(t)
			s.app.SetServiceTime(2 * processGrace)
			c := s.gateway.dial(t)
			c.write(t, post(path, "r1", 0))
			await(t, "the request runs", func() bool { return s.app.Runs("r1") == 1 })
			s.stop(0)
			response := c.mustBeAnswered(t)
			must.SliceContains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, response.StatusCode)
			must.Eq(t, "unknown", response.Header.Get("X-Bramleyhatch-Outcome"))
			s.mustEndInTime(t)
		})
	}
	t.Run("stream", func(t *testing.T) {
		t.Parallel()
		s := newStopTest(t)
		c := s.gateway.dial(t)
		c.write(t, post("/stream/x", "r1", 0))
		await(t, "the stream runs", func() bool { return s.sampler.Runs("r1") == 1 })
		s.stop(0)
		s.mustEndInTime(t)
	})
}
