package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

// sendVersion10 sends a request of HTTP/1.0 as a caller, with its ID as body.
func (g *gateway) sendVersion10(t *testing.T, path, id string) reply {
	t.Helper()
	conn, err := net.Dial("tcp", g.front)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: h.example\r\nAuthorization: Bearer key-acme\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", path, id, len(id), id)
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{err: err}
	}
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

// Guards against a part of an answer that looks whole to a caller of HTTP/1.0, which sees its end by that of the connection.
func TestCutAnswerLooksCutToVersion10(t *testing.T) {
	const answers, largeBytes = 10, 3 << 20
	t.Run("a large answer in chunks", func(t *testing.T) {
		d := newDeployment(t)
		d.NewSampler(t, "a1", "app", "").SetCutAnswer(func(id string, _ int) (string, bool) {
			chunk := strings.Repeat("x", largeBytes)
			return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", answerFields(id), largeBytes, chunk), true
		})
		g := d.start(t, "g1")
		for i := range answers {
			got := g.sendVersion10(t, "/post/x", fmt.Sprintf("p-%d", i))
			must.Error(t, got.err, must.Sprint(got.status))
		}
	})
	t.Run("a stream", func(t *testing.T) {
		d := newDeployment(t)
		sampler := d.NewSampler(t, "s1", "lm", "m")
		sampler.SetFault(func(id string, _ int) wiretest.Fault {
			if strings.HasPrefix(id, "cut") {
				return wiretest.FaultTruncate
			}
			return wiretest.NoFault
		})
		g := d.start(t, "g1")
		for i := range answers {
			must.Error(t, g.sendVersion10(t, "/stream/x", fmt.Sprintf("cut-%d", i)).err)
		}
		for i := range answers {
			got := g.sendVersion10(t, "/stream/x", fmt.Sprintf("whole-%d", i))
			must.NoError(t, got.err)
			must.Eq(t, 5, strings.Count(got.body, "id: "))
		}
	})
}
