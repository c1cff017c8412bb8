package backend_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/platform"
)

const (
	cutHead   = "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nSampler-Signature: 3e1b.07.5a2\r\nWeight-Versions: 3\r\n"
	cutEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	cutJSON   = `{"a":1,"b":"0123456789"}`
)

// withLength returns an answer whose body has a length.
func withLength(head, body string) string {
	return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// inChunks returns an answer whose body is sent in two chunks.
func inChunks(head, body string) string {
	middle := len(body) / 2
	text := head + "Transfer-Encoding: chunked\r\n\r\n"
	for _, chunk := range []string{body[:middle], body[middle:]} {
		text += strconv.FormatInt(int64(len(chunk)), 16) + "\r\n" + chunk + "\r\n"
	}
	return text + "0\r\n\r\n"
}

// cutAnswers are whole answers whose end can be told.
func cutAnswers(body string) map[string]string {
	early := "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	return map[string]string{
		"with a length":           withLength(cutHead, body),
		"in chunks":               inChunks(cutHead, body),
		"in chunks, with trailer": inChunks(cutHead+"Trailer: X-End\r\n", body)[:len(inChunks(cutHead+"Trailer: X-End\r\n", body))-2] + "X-End: 1\r\n\r\n",
		"after an early head":     early + withLength(cutHead, body),
		"without carriage return": "HTTP/1.1 200 OK\nAttempt-Id: r1\nContent-Length: " + strconv.Itoa(len(body)) + "\n\n" + body,
	}
}

// forEachCut calls check with a server that sends an answer up to each of its bytes and closes the connection. isWhole
// is true for the whole answer.
func forEachCut(t *testing.T, text string, check func(t *testing.T, address string, isWhole bool)) {
	t.Helper()
	server := newFakeServer(t)
	end := 0
	server.choose = func(int, int) reply { return reply{text: text[:end]} }
	for end = range len(text) + 1 {
		check(t, server.url(), end == len(text))
		if t.Failed() {
			t.Fatalf("after %d bytes: %q", end, text[:end])
		}
	}
}

// Guards against an answer that ends early, anywhere from its first byte on, and looks whole or like "not run".
func TestCutAnswers(t *testing.T) {
	do := func(t *testing.T, address string) (*backend.Answer, error) {
		t.Helper()
		direct := &backend.Direct{Server: backend.Server{Address: address, Name: "s1"}, Wire: platform.Wire{}}
		answer, err := direct.Do(t.Context(), backend.Request{ID: "r1", Method: http.MethodPost, Target: "/", Body: []byte("{}"), ReadTimeout: time.Minute})
		if err == nil {
			t.Cleanup(func() { _ = answer.Body.Close() })
		}
		return answer, err
	}
	mustBeUnknown := func(t *testing.T, err error) {
		t.Helper()
		must.Error(t, err)
		must.Eq(t, peerpb.Outcome_OUTCOME_UNKNOWN, refusal.Of(err).Outcome)
	}
	for name, text := range cutAnswers(cutJSON) {
		t.Run("body "+name, func(t *testing.T) {
			forEachCut(t, text, func(t *testing.T, address string, isWhole bool) {
				answer, err := do(t, address)
				if err == nil {
					_, _, err = answer.ReadAll(1000, nil)
				}
				if isWhole {
					must.NoError(t, err)
					return
				}
				mustBeUnknown(t, err)
			})
		})
	}
	for name, text := range cutAnswers(cutEvents) {
		t.Run("events "+name, func(t *testing.T) {
			forEachCut(t, text, func(t *testing.T, address string, isWhole bool) {
				answer, err := do(t, address)
				if err == nil {
					err = readEvents(answer.Events())
				}
				if isWhole {
					must.NoError(t, err)
					return
				}
				mustBeUnknown(t, err)
			})
		})
	}
	for name, body := range map[string]string{"body": cutJSON, "events": cutEvents, "no body": ""} {
		t.Run(name+" without a length, reset", func(t *testing.T) {
			answer, err := do(t, newFakeServer(t, reply{text: cutHead + "\r\n" + body, reset: true}).url())
			if err == nil && name == "events" {
				err = readEvents(answer.Events())
			} else if err == nil {
				_, _, err = answer.ReadAll(1000, nil)
			}
			mustBeUnknown(t, err)
		})
	}
	t.Run("refusal", func(t *testing.T) {
		text := withLength("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: r1\r\n", "")
		forEachCut(t, text, func(t *testing.T, address string, isWhole bool) {
			_, err := do(t, address)
			must.Error(t, err)
			must.Eq(t, isWhole, refusal.IsNotRun(err))
		})
	})
}

// readEvents reads events up to the end of their answer.
func readEvents(events *backend.Events) error {
	for {
		_, err := events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Guards against an answer of a sidecar's server that ends early and looks whole or like "not run".
func TestCutAnswersAtSidecar(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	events := `data: {"choices":[{"text":"a","token_ids":[1]}],"weight_version":3}` + "\n\n" +
		`data: {"choices":[{"text":"b","token_ids":[2],"finish_reason":"stop"}],"weight_version":3}` + "\n\ndata: [DONE]\n\n"
	ends := map[string]struct {
		text string
		run  func(address string) (runner, *peerpb.RunRequest)
		// mayEndEarly is the number of bytes at the end without which the answer is whole.
		mayEndEarly int
	}{
		"plain, with a length": {text: withLength(head, cutJSON), run: func(address string) (runner, *peerpb.RunRequest) { return newPlain(address), posting() }},
		"plain, in chunks":     {text: inChunks(head, cutJSON), run: func(address string) (runner, *peerpb.RunRequest) { return newPlain(address), posting() }},
		"engine, with a length": {
			text: withLength(head, events), mayEndEarly: 1,
			run: func(address string) (runner, *peerpb.RunRequest) { return newEngine(address), generation() },
		},
		"engine, in chunks": {
			text: inChunks(head, events), mayEndEarly: len("\n\r\n0\r\n\r\n"),
			run: func(address string) (runner, *peerpb.RunRequest) { return newEngine(address), generation() },
		},
	}
	for name, test := range ends {
		t.Run(name, func(t *testing.T) {
			sent := 0
			forEachCut(t, test.text, func(t *testing.T, address string, isWhole bool) {
				runner, request := test.run(address)
				_, err := runner.Run(t.Context(), request, func(*peerpb.Frame) error { return nil })
				switch {
				case isWhole:
					must.NoError(t, err)
				case err == nil:
					must.GreaterEq(t, len(test.text)-test.mayEndEarly, sent)
				default:
					must.Eq(t, peerpb.Outcome_OUTCOME_UNKNOWN, refusal.Of(err).Outcome)
				}
				sent++
			})
		})
	}
}

// Guards against an answer of a sidecar's server that looks whole, or like "not run", although its connection was reset
// during the upload.
func TestResetDuringUploadAtSidecar(t *testing.T) {
	const answers = 20
	upload := strings.Repeat("x", listentest.UploadBytes)
	post := posting()
	post.SetBody([]byte(upload))
	generate := generation()
	generate.SetBody([]byte(`{"model":"m","prompt":"` + upload + `","max_tokens":2}`))
	for name, test := range map[string]struct {
		part string
		run  func(address string) error
	}{
		"plain service": {`{"a":1`, func(address string) error {
			_, _, _, err := run(newPlain(address), post)
			return err
		}},
		"generation": {oneToken + finish, func(address string) error {
			_, _, _, err := run(newEngine(address), generate)
			return err
		}},
		"refusal of an engine": {`{"error":"full"`, func(address string) error {
			_, _, _, err := run(newEngine(address), generate)
			return err
		}},
	} {
		for how, ending := range listentest.CutEndings() {
			t.Run(name+", "+how, func(t *testing.T) {
				status := "200 OK"
				if strings.HasPrefix(name, "refusal") {
					status = "503 Service Unavailable"
				}
				text := "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n\r\n" + test.part
				server := httptest.NewUnstartedServer(listentest.AnswerEarly(text, ending))
				must.NoError(t, listentest.LimitBuffers(server.Listener))
				server.Start()
				defer server.Close()
				for range answers {
					err := test.run(server.URL)
					must.Error(t, err)
					must.Eq(t, unknown, refusal.Of(err).Outcome)
				}
			})
		}
	}
}
