package listentest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// MalformedAnswers returns answers that no client may take for one, by what is wrong with them. Apart from that, each has
// the status, the fields, which end with a line end, and the body.
func MalformedAnswers(status int, fields, body string) map[string]string {
	statusLine := fmt.Sprintf("HTTP/1.1 %d Text\r\n", status)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunked := "Transfer-Encoding: chunked\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	withStatusLine := func(line string) string { return line + "\r\n" + fields + length + "\r\n" + body }
	withField := func(field string) string { return statusLine + fields + field + "\r\n" + length + "\r\n" + body }
	withFraming := func(framing string) string { return statusLine + fields + framing + "\r\n\r\n" + body }
	withEarlyHead := func(head string) string { return head + "\r\n\r\n" + statusLine + fields + length + "\r\n" + body }
	withTrailer := func(trailer string) string {
		return statusLine + fields + chunked + "\r\n" + chunk + trailer + "\r\n\r\n"
	}
	return map[string]string{
		"status 000":                             withStatusLine("HTTP/1.1 000 "),
		"status 099":                             withStatusLine("HTTP/1.1 099 Text"),
		"status 101":                             withStatusLine("HTTP/1.1 101 Switching Protocols"),
		"status 600":                             withStatusLine("HTTP/1.1 600 Text"),
		"status 999":                             withStatusLine("HTTP/1.1 999 Text"),
		"status with a plus":                     withStatusLine("HTTP/1.1 +20 Text"),
		"status with a minus":                    withStatusLine("HTTP/1.1 -00 Text"),
		"status after two blanks":                withStatusLine(fmt.Sprintf("HTTP/1.1  %d Text", status)),
		"status of 4 digits":                     withStatusLine(fmt.Sprintf("HTTP/1.1 %d0 Text", status)),
		"control byte in the reason":             withStatusLine(fmt.Sprintf("HTTP/1.1 %d Te\x01xt", status)),
		"version 0.9":                            withStatusLine(fmt.Sprintf("HTTP/0.9 %d Text", status)),
		"version 2.0":                            withStatusLine(fmt.Sprintf("HTTP/2.0 %d Text", status)),
		"another protocol":                       withStatusLine(fmt.Sprintf("ICY/1.1 %d Text", status)),
		"blank in a name":                        withField("X Own: 1"),
		"blank after a name":                     withField("X-Own : 1"),
		"blank before a name":                    withField(" X-Own: 1"),
		"tab before a name":                      withField("\tX-Own: 1"),
		"tab after a name":                       withField("X-Own\t: 1"),
		"control byte in a name":                 withField("X-O\x01wn: 1"),
		"carriage return in a name":              withField("X-O\rwn: 1"),
		"byte of another alphabet in a name":     withField("X-Own\xe9: 1"),
		"no name":                                withField(": 1"),
		"no colon":                               withField("X-Own"),
		"control byte in a value":                withField("X-Own: 1\x002"),
		"carriage return in a value":             withField("X-Own: 1\r2"),
		"blank after the name of the length":     withFraming(fmt.Sprintf("Content-Length : %d", len(body))),
		"blank before the name of the length":    withFraming(fmt.Sprintf("X-Own: 1\r\n Content-Length: %d", len(body))),
		"blank after the name of the encoding":   statusLine + fields + "Transfer-Encoding : chunked\r\n\r\n" + chunk + "\r\n",
		"two lengths":                            withFraming(fmt.Sprintf("Content-Length: %d\r\nContent-Length: %d", len(body), len(body)+1)),
		"length with a sign":                     withFraming(fmt.Sprintf("Content-Length: +%d", len(body))),
		"length without a number":                withFraming("Content-Length:"),
		"length beside chunks":                   statusLine + fields + length + chunked + "\r\n" + chunk + "\r\n",
		"chunks in version 1.0":                  fmt.Sprintf("HTTP/1.0 %d Text\r\n", status) + fields + chunked + "\r\n" + chunk + "\r\n",
		"another encoding":                       withFraming("Transfer-Encoding: gzip"),
		"two encodings":                          statusLine + fields + chunked + chunked + "\r\n" + chunk + "\r\n",
		"blank in a name of an early head":       withEarlyHead("HTTP/1.1 103 Early Hints\r\nX Own: 1"),
		"blank after a name of an early head":    withEarlyHead("HTTP/1.1 100 Continue\r\nContent-Length : 0"),
		"status 000 of an early head":            withEarlyHead("HTTP/1.1 000 "),
		"blank in a trailer's name":              withTrailer("X Own: 1"),
		"blank after a trailer's name":           withTrailer("X-Own : 1"),
		"control byte in a trailer's name":       withTrailer("X-O\x01wn: 1"),
		"blank in the name of a second trailer":  withTrailer("X-Own: 1\r\nX Own: 2"),
		"blank before the name of a 2nd trailer": withTrailer("X-Own: 1\r\n X-Own: 2"),
	}
}

// SoundAnswers returns answers that are rare or lenient but valid. Each has the status, the fields and the body.
func SoundAnswers(status int, fields, body string) map[string]string {
	statusLine := fmt.Sprintf("HTTP/1.1 %d Text\r\n", status)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	rest := length + "\r\n" + body
	middle := len(body) / 2
	chunks := func(extension, trailers string) string {
		return statusLine + fields + "Transfer-Encoding: Chunked\r\n\r\n" +
			fmt.Sprintf("%x%s\r\n%s\r\n%X\r\n%s\r\n000%s\r\n%s\r\n", middle, extension, body[:middle], len(body)-middle, body[middle:], extension, trailers)
	}
	return map[string]string{
		"plain":                        statusLine + fields + rest,
		"all bytes of a name":          statusLine + fields + "!#$%&'*+-.^_`|~09azAZ: 1\r\n" + rest,
		"empty value":                  statusLine + fields + "X-Own:\r\nX-Other: \t \r\n" + rest,
		"no blank before a value":      statusLine + fields + "X-Own:1\r\n" + rest,
		"colons and blanks in a value": statusLine + fields + "X-Own: a: b\tc  d \r\n" + rest,
		"latin letters in a value":     statusLine + fields + "X-Own: caf\xe9 \xff\r\n" + rest,
		"lower-case names":             statusLine + fields + fmt.Sprintf("content-length: %d\r\n\r\n%s", len(body), body),
		"no reason":                    fmt.Sprintf("HTTP/1.1 %d\r\n", status) + fields + rest,
		"blank for a reason":           fmt.Sprintf("HTTP/1.1 %d \r\n", status) + fields + rest,
		"version 1.0":                  fmt.Sprintf("HTTP/1.0 %d Text\r\n", status) + fields + rest,
		"the same length twice":        statusLine + fields + length + rest,
		"length with zeros":            statusLine + fields + fmt.Sprintf("Content-Length: 00%d\r\n\r\n%s", len(body), body),
		"chunks":                       chunks("", ""),
		"chunks with extensions":       chunks(";a=\"b: c\"", ""),
		"chunks with trailers":         chunks("", "X-Own: 1\r\nX-Other:\r\n"),
		"one early head":               "HTTP/1.1 100 Continue\r\n\r\n" + statusLine + fields + rest,
		"some early heads":             "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + statusLine + fields + rest,
	}
}

// RawServer is a server that answers each request with given bytes and leaves its connections open.
type RawServer struct {
	// Address is an IP address and port.
	Address string

	requests atomic.Int64
	reused   atomic.Int64
	open     atomic.Int64
}

// StartRaw starts a server whose answers are what answer returns; "" leaves a request without an answer.
func StartRaw(t testing.TB, answer func(request *http.Request) string) *RawServer {
	t.Helper()
	listener, err := listen("127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &RawServer{Address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.open.Add(1)
			go s.serve(conn, answer)
		}
	}()
	return s
}

func (s *RawServer) serve(conn net.Conn, answer func(*http.Request) string) {
	defer func() {
		_ = conn.Close()
		s.open.Add(-1)
	}()
	reader := bufio.NewReader(conn)
	for isFirst := true; ; isFirst = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.requests.Add(1)
		if !isFirst {
			s.reused.Add(1)
		}
		if _, err := io.WriteString(conn, answer(request)); err != nil {
			return
		}
	}
}

// Requests returns the number of requests that have arrived.
func (s *RawServer) Requests() int { return int(s.requests.Load()) }

// Reused returns the number of requests that were not the first one on their connection.
func (s *RawServer) Reused() int { return int(s.reused.Load()) }

// Open returns the number of connections that the clients have not closed.
func (s *RawServer) Open() int { return int(s.open.Load()) }
