package backend_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
)

const (
	eventsHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	// maxAcceptedBytes is more than a client reads of an answer without end, including the buffers of its connection.
	maxAcceptedBytes = 16 << 20
)

var endlessEvents = map[string]string{
	"one line":      strings.Repeat("x", 4096),
	"lines of data": "data: " + strings.Repeat("x", 4096) + "\n",
	"comments":      ": " + strings.Repeat("x", 4096) + "\n",
	"empty lines":   strings.Repeat("\n", 4096),
}

// Guards against an event without end that is read until the process has no memory left.
func TestEventWithoutEnd(t *testing.T) {
	for name, repeated := range endlessEvents {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, reply{text: answerTo("r1", eventsHead, "id: 1\ndata: x\n\nid: 2\n"), repeat: repeated})
			if name == "empty lines" {
				server.replies[0].text = answerTo("r1", eventsHead, "id: 1\ndata: x\n\n")
			}
			answer, err := newDirect(server).Do(t.Context(), backend.Request{ID: "r1", Method: http.MethodPost, Target: "/", ReadTimeout: time.Minute})
			must.NoError(t, err)
			events := answer.Events()
			first, err := events.Next()
			must.NoError(t, err)
			must.Eq(t, "x", first.Data)
			_, err = events.Next()
			mustEnd(t, unknown, "bad_event", err)
			must.NoError(t, answer.Body.Close())
			must.Less(t, maxAcceptedBytes, server.repeated.Load())
		})
	}
}

// Guards against a generation that never ends because its engine sends no event, but bytes without end.
func TestEngineEventWithoutEnd(t *testing.T) {
	for name, repeated := range endlessEvents {
		if strings.HasPrefix(repeated, "data:") {
			continue // Each of these lines is an event of an engine.
		}
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, reply{text: "HTTP/1.1 200 OK\r\n\r\n", repeat: repeated})
			request := generation()
			request.SetIdempotent(false)
			engine := newEngine(server.url())
			// The size of the bytes has to end the answer, also where reading them takes long.
			engine.ReadTimeout = time.Minute
			_, _, end, err := run(engine, request)
			must.Nil(t, end)
			mustEnd(t, unknown, backend.CodeInterrupted, err)
			must.Less(t, maxAcceptedBytes, server.repeated.Load())
		})
	}
}

// Guards against a process that runs out of memory, or a request that waits until its deadline, because a server sends
// bytes without end where the head of an answer is due.
func TestHeadWithoutEnd(t *testing.T) {
	for name, bytes := range map[string]reply{
		"status line":           {repeat: strings.Repeat("x", 4096)},
		"field":                 {text: servedHead + "X-Long: ", repeat: strings.Repeat("x", 4096)},
		"fields":                {text: servedHead, repeat: "X-Field: " + strings.Repeat("x", 1024) + "\r\n"},
		"informational answers": {repeat: "HTTP/1.1 102 x\r\nX-Field: " + strings.Repeat("x", 1024) + "\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, bytes, reply{text: answerTo("r2", servedHead, servedBody)})
			direct := newDirect(server)
			_, err := post(t, direct, "r1")
			mustEnd(t, unknown, backend.CodeMalformed, err)
			must.Less(t, maxHeadBytes, server.repeated.Load())
			answer, err := post(t, direct, "r2")
			mustBeServed(t, answer, err)
		})
	}
}

// maxHeadBytes is more than a client reads of a head without end, including the buffers of its connection.
const maxHeadBytes = 8 << 20

// Guards against an answer without end that is taken for a whole one, or that a process buffers.
func TestBodyWithoutEnd(t *testing.T) {
	const limit = 256 << 10
	chunk := "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"
	read := func(t *testing.T, bytes reply) (server *fakeServer, body []byte, isComplete bool, err error) {
		t.Helper()
		server = newFakeServer(t, bytes)
		answer, err := post(t, newDirect(server), "r1")
		must.NoError(t, err)
		body, isComplete, err = answer.ReadAll(limit, nil)
		must.NoError(t, answer.Body.Close())
		return server, body, isComplete, err
	}
	for name, bytes := range map[string]reply{
		"without a length": {text: answerTo("r1", "HTTP/1.1 200 OK\r\n", ""), repeat: strings.Repeat("x", 4096)},
		"in chunks":        {text: answerTo("r1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", ""), repeat: chunk},
	} {
		t.Run(name, func(t *testing.T) {
			server, body, isComplete, err := read(t, bytes)
			must.NoError(t, err)
			must.False(t, isComplete)
			must.LessEq(t, limit+1, len(body))
			must.Less(t, maxAcceptedBytes, server.repeated.Load())
		})
	}
	for name, bytes := range map[string]reply{
		"chunk's extension": {text: answerTo("r1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "2;"), repeat: strings.Repeat("x", 4096)},
		"trailer":           {text: answerTo("r1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "2\r\n{}\r\n0\r\n"), repeat: "X-Field: " + strings.Repeat("x", 1024) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			server, _, isComplete, err := read(t, bytes)
			mustEnd(t, unknown, backend.CodeInterrupted, err)
			must.False(t, isComplete)
			must.Less(t, maxAcceptedBytes, server.repeated.Load())
		})
	}
}

// Guards against a refused request that waits, instead of going to another server, while the body of the refusal goes on.
func TestRefusalWithoutEnd(t *testing.T) {
	const refusedEndless, maxWait = "HTTP/1.1 503 x\r\nNot-Executed: 1\r\n", 5 * time.Second
	for name, bytes := range map[string]reply{
		"bytes without end": {text: answerTo("r1", refusedEndless, ""), repeat: strings.Repeat("x", 4096)},
		"a silent body":     {text: answerTo("r1", refusedEndless+"Content-Length: 10\r\n", "x"), hold: true},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, bytes)
			began := time.Now()
			_, err := post(t, newDirect(server), "r1")
			mustEnd(t, notRun, backend.CodeFull, err)
			must.Less(t, maxWait, time.Since(began))
			must.Less(t, maxAcceptedBytes, server.repeated.Load())
		})
	}
}

const (
	// slowReadTimeout is the read timeout of requests whose server sends a byte every slowGap.
	slowReadTimeout, slowGap = 300 * time.Millisecond, 30 * time.Millisecond
	// maxSlowWait is when the request's own deadline would end it.
	maxSlowWait = 5 * time.Second
)

// doSlow sends a request to a server that sends bytes slowly and without end.
func doSlow(t *testing.T, bytes reply) *backend.Answer {
	t.Helper()
	bytes.pause = slowGap
	ctx, cancel := context.WithTimeout(t.Context(), maxSlowWait)
	t.Cleanup(cancel)
	request := backend.Request{ID: "r1", Method: http.MethodPost, Target: "/", ReadTimeout: slowReadTimeout}
	answer, err := newDirect(newFakeServer(t, bytes)).Do(ctx, request)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, answer.Body.Close()) })
	return answer
}

// Guards against a text that stays at a server which sends no event any more, but bytes that restart the read timeout.
func TestSlowBytesInPlaceOfEvent(t *testing.T) {
	for name, repeated := range map[string]string{"one line": "x", "lines of data": "data: x\n", "comments": ": x\n", "empty lines": "\n"} {
		t.Run(name, func(t *testing.T) {
			events := doSlow(t, reply{text: answerTo("r1", eventsHead, "id: 1\ndata: x\n\n"), repeat: repeated}).Events()
			_, err := events.Next()
			must.NoError(t, err)
			_, err = events.Next()
			mustEnd(t, unknown, "backend_silent", err)
		})
	}
}

// Guards against a stream that is taken for a silent one although each event arrives in time.
func TestSlowEvents(t *testing.T) {
	const count = 20
	answer := doSlow(t, reply{text: answerTo("r1", eventsHead, ""), repeat: "id: 1\ndata: x\n\n"})
	events := answer.Events()
	for range count {
		event, err := events.Next()
		must.NoError(t, err)
		must.Eq(t, "x", event.Data)
	}
}

// Guards against a generation that stays at an engine which sends no event any more, but bytes that restart the read
// timeout.
func TestSlowBytesInPlaceOfEngineEvent(t *testing.T) {
	server := newFakeServer(t, reply{text: "HTTP/1.1 200 OK\r\n\r\n" + oneToken, repeat: ": x\n", pause: slowGap})
	request := generation()
	request.SetIdempotent(false)
	began := time.Now()
	_, tokens, end, err := run(newEngine(server.url()), request)
	mustBeRefused(t, unknown, "backend_silent", end, err)
	must.Eq(t, []int32{7}, tokens)
	must.Less(t, maxSlowWait, time.Since(began))
}

// Guards against an answer that is thrown away for lack of memory: it is passed on without a buffer.
func TestAnswerWithoutMemory(t *testing.T) {
	const length = 5000
	answer := doSlow(t, reply{text: answerTo("r1", "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n", strings.Repeat("x", length))})
	var taken int64
	body, isComplete, err := answer.ReadAll(2*length, func(bytes int64) bool {
		taken += bytes
		return taken < length
	})
	must.NoError(t, err)
	must.False(t, isComplete)
	rest, err := io.ReadAll(answer.Body)
	must.NoError(t, err)
	must.Eq(t, length, len(body)+len(rest))
}

// Guards against a request that may be repeated, and waits for a body without end in place of going to another server.
func TestSlowBodyWithoutEnd(t *testing.T) {
	const limit = 1 << 10
	chunked := answerTo("r1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "")
	t.Run("within the limit", func(t *testing.T) {
		_, isComplete, err := doSlow(t, reply{text: chunked, repeat: "1\r\nx\r\n"}).ReadAll(limit, nil)
		mustEnd(t, unknown, "backend_silent", err)
		must.False(t, isComplete)
	})
	t.Run("passed on beyond the limit", func(t *testing.T) {
		const more = 20
		answer := doSlow(t, reply{text: chunked + "1000\r\n" + strings.Repeat("x", 4096) + "\r\n", repeat: "1\r\nx\r\n"})
		_, isComplete, err := answer.ReadAll(limit, nil)
		must.NoError(t, err)
		must.False(t, isComplete)
		_, err = io.CopyN(io.Discard, answer.Body, 4096-limit+more)
		must.NoError(t, err)
	})
}

// Guards against a request that waits for the body of an engine's refusal in place of going to another engine, and
// against versions that are no longer polled.
func TestSlowEngineBodies(t *testing.T) {
	t.Run("error", func(t *testing.T) {
		server := newFakeServer(t, reply{text: "HTTP/1.1 503 x\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "1\r\n \r\n", pause: slowGap})
		began := time.Now()
		_, _, end, err := run(newEngine(server.url()), generation())
		mustBeRefused(t, unknown, "engine_failed", end, err)
		must.Less(t, maxSlowWait, time.Since(began))
	})
	t.Run("load report", func(t *testing.T) {
		slow := reply{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "1\r\n \r\n", pause: slowGap}
		server := newFakeServer(t, slow, slow)
		ctx, cancel := context.WithTimeout(t.Context(), maxSlowWait)
		defer cancel()
		go func() { _ = newEngine(server.url()).Watch(ctx) }()
		for ctx.Err() == nil && len(server.requests()) < 2 {
			time.Sleep(slowGap)
		}
		must.SliceLen(t, 2, server.requests())
	})
}
