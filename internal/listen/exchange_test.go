package listen_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
)

// Guards against an answer that counts as whole at the limit, before its end or its cut is read.
func TestExchangeLimit(t *testing.T) {
	const limit = 1000
	for name, test := range map[string]struct {
		framing string
		bytes   int
		isWhole bool
	}{
		"shorter":                            {"Content-Length: 999\r\n", limit - 1, true},
		"at the limit":                       {"Content-Length: 1000\r\n", limit, true},
		"at the limit, without a length":     {"", limit, true},
		"longer":                             {"Content-Length: 1001\r\n", limit + 1, false},
		"longer, without a length":           {"", limit + 1, false},
		"cut at the limit":                   {"Content-Length: 1001\r\n", limit, false},
		"in chunks, cut at the limit":        {"Transfer-Encoding: chunked\r\n", limit, false},
		"much longer, and cut at some place": {"Content-Length: 90000\r\n", 80000, false},
	} {
		t.Run(name, func(t *testing.T) {
			body := strings.Repeat("x", test.bytes)
			if strings.Contains(test.framing, "chunked") {
				body = "3e8\r\n" + body
			}
			server := httptest.NewServer(listentest.AnswerEarly("HTTP/1.1 200 OK\r\n"+test.framing+"\r\n"+body, listentest.EndSide))
			defer server.Close()
			request, err := listen.NewJSONRequest(t.Context(), http.MethodGet, server.URL, nil)
			must.NoError(t, err)
			status, answer, err := listen.Exchange(listen.Client("test"), request, limit)
			must.Eq(t, http.StatusOK, status)
			must.Eq(t, test.isWhole, err == nil, must.Sprint(err))
			must.Eq(t, min(limit, test.bytes), len(answer))
			var tooLong *listen.AnswerSizeError
			must.Eq(t, strings.HasPrefix(name, "longer") || strings.HasPrefix(name, "much longer"), errors.As(err, &tooLong))
		})
	}
}
