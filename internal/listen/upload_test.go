package listen_test

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/http1"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
)

const (
	// earlyAnswers is the number of answers of each case: which call sees a reset is a race. framedAnswers is that of
	// answers that can't be cut by one.
	earlyAnswers, framedAnswers = 40, 5
	earlyBody                   = "part of a body"
)

// answerEarly sends a part of an answer before it reads the request's body, and ends the connection.
func answerEarly(framing string, ending listentest.Ending) http.HandlerFunc {
	return sendEarly(framing+"\r\n"+earlyBody, ending)
}

// sendEarly sends what follows a status line before it reads the request's body, and ends the connection.
func sendEarly(text string, ending listentest.Ending) http.HandlerFunc {
	return listentest.AnswerEarly("HTTP/1.1 200 OK\r\n"+text, ending)
}

// slowReader returns a little at a time, and waits before.
type slowReader struct{ io.Reader }

func (r slowReader) Read(buffer []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return r.Reader.Read(buffer[:min(len(buffer), 1<<10)])
}

// Guards against a part of an answer that passes as whole, and against a whole one that is called cut, where the end comes
// between two writes of a slow upload.
func TestEndDuringSlowUpload(t *testing.T) {
	for name, test := range map[string]struct {
		ending  listentest.Ending
		isWhole bool
	}{
		"reset":                    {listentest.Reset, false},
		"close with unread bytes":  {listentest.CloseUnread, false},
		"the server ends its side": {listentest.EndSide, true},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(answerEarly("", test.ending))
			defer server.Close()
			for range earlyAnswers {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, slowReader{bytes.NewReader(make([]byte, listentest.UploadBytes))})
				must.NoError(t, err)
				_, body, err := listen.Exchange(listen.Client("test"), request, 1<<10)
				must.Eq(t, test.isWhole, err == nil, must.Sprint(err))
				must.True(t, !test.isWhole || string(body) == earlyBody)
			}
		})
	}
}

// upload sends a large request; chunked leaves out its length.
func upload(t *testing.T, server *httptest.Server, chunked bool) (status int, body string, err error) {
	t.Helper()
	var content io.Reader = bytes.NewReader(make([]byte, listentest.UploadBytes))
	if chunked {
		content = io.MultiReader(content)
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, content)
	must.NoError(t, err)
	request.GetBody = nil
	status, text, err := listen.Exchange(listen.ClientTLS("test", trust(server)), request, 1<<10)
	return status, string(text), err
}

// forEachTransport runs a test with both kinds of connections and of uploads.
func forEachTransport(t *testing.T, handler http.Handler, test func(t *testing.T, server *httptest.Server, chunked bool)) {
	t.Helper()
	for transport, start := range map[string]func(*httptest.Server){"plain": (*httptest.Server).Start, "TLS": (*httptest.Server).StartTLS} {
		for upload, chunked := range map[string]bool{"with a length": false, "in chunks": true} {
			t.Run(transport+", upload "+upload, func(t *testing.T) {
				server := httptest.NewUnstartedServer(handler)
				must.NoError(t, listentest.LimitBuffers(server.Listener))
				start(server)
				defer server.Close()
				test(t, server, chunked)
			})
		}
	}
}

// Guards against a part of an answer that passes as whole, since the write of the upload gets the error of the reset and
// the read after it gets the end.
func TestResetDuringUploadCutsAnswer(t *testing.T) {
	for framing, test := range map[string]struct {
		field   string
		answers int
	}{
		"without a length": {"", earlyAnswers},
		"with a length":    {"Content-Length: 1000\r\n", framedAnswers},
		"in chunks":        {"Transfer-Encoding: chunked\r\n", framedAnswers},
	} {
		for name, ending := range listentest.CutEndings() {
			t.Run(framing+", "+name, func(t *testing.T) {
				forEachTransport(t, answerEarly(test.field, ending), func(t *testing.T, server *httptest.Server, chunked bool) {
					whole := 0
					for range test.answers {
						if _, _, err := upload(t, server, chunked); err == nil {
							whole++
						}
					}
					must.Eq(t, 0, whole)
				})
			})
		}
	}
}

// Guards against an answer without a length that is taken for a cut one, since it ends before the upload.
func TestAnswerThatEndsBeforeUploadIsWhole(t *testing.T) {
	for name, ending := range listentest.SoundEndings() {
		t.Run(name, func(t *testing.T) {
			forEachTransport(t, answerEarly("", ending), func(t *testing.T, server *httptest.Server, chunked bool) {
				whole := 0
				for range earlyAnswers {
					if status, body, err := upload(t, server, chunked); err == nil && status == http.StatusOK && body == earlyBody {
						whole++
					}
				}
				must.Eq(t, earlyAnswers, whole)
			})
		})
	}
}

// Guards against a whole answer that is lost although it has arrived, since the write of the upload fails.
func TestWholeAnswerOutlivesResetOfUpload(t *testing.T) {
	const size = "e"
	for framing, test := range map[string]struct{ text, body string }{
		"with a length": {"Content-Length: " + strconv.Itoa(len(earlyBody)) + "\r\n\r\n" + earlyBody, earlyBody},
		"in chunks":     {"Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + earlyBody + "\r\n0\r\n\r\n", earlyBody},
		"without body":  {"Content-Length: 0\r\n\r\n", ""},
	} {
		endings := listentest.CutEndings()
		maps.Copy(endings, listentest.SoundEndings())
		for name, ending := range endings {
			t.Run(framing+", "+name, func(t *testing.T) {
				forEachTransport(t, sendEarly(test.text, ending), func(t *testing.T, server *httptest.Server, chunked bool) {
					for range framedAnswers {
						status, body, err := upload(t, server, chunked)
						must.NoError(t, err)
						must.Eq(t, http.StatusOK, status)
						must.Eq(t, test.body, body)
					}
				})
			})
		}
	}
}

// Guards against a part of an answer that passes as whole over TLS: anyone on the way can end a connection, but only the
// server can send the alert that says so.
func TestEndWithoutAlertCutsAnswer(t *testing.T) {
	for framing, test := range map[string]struct {
		field          string
		isWhole, isCut bool
	}{
		"without a length":        {field: "", isCut: true},
		"with a length":           {field: "Connection: close\r\nContent-Length: " + strconv.Itoa(len(earlyBody)) + "\r\n", isWhole: true},
		"a part, with its length": {field: "Content-Length: 1000\r\n"},
	} {
		t.Run(framing, func(t *testing.T) {
			server := httptest.NewTLSServer(answerEarly(test.field, listentest.EndWithoutAlert))
			defer server.Close()
			for range framedAnswers {
				request, err := listen.NewJSONRequest(t.Context(), http.MethodGet, server.URL, nil)
				must.NoError(t, err)
				status, _, err := listen.Exchange(listen.ClientTLS("test", trust(server)), request, 1<<10)
				must.Eq(t, http.StatusOK, status)
				var cut *http1.CutError
				must.Eq(t, test.isWhole, err == nil, must.Sprint(err))
				must.Eq(t, test.isCut, errors.As(err, &cut), must.Sprint(err))
			}
		})
	}
}
