package listen_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

// partBytes is the size of a part of an answer.
const partBytes = 100 << 10

// version10Handler answers /cut with a part of an answer, /wait with one whose rest never comes, /late with one whose rest
// can't be written, /unread with more than buffers hold, and /whole, /length and /empty with whole answers.
func version10Handler(w http.ResponseWriter, r *http.Request) {
	part := strings.Repeat("x", partBytes)
	switch r.URL.Path {
	case "/cut":
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "/wait":
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	case "/late":
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).Flush()
		// net/http writes this rest after the handler has returned.
		_, _ = io.WriteString(w, "rest")
		_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
	case "/unread":
		for range 1000 {
			if _, err := io.WriteString(w, part); err != nil {
				return
			}
		}
	case "/whole":
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, part)
	case "/length":
		w.Header().Set("Content-Length", fmt.Sprint(partBytes))
		_, _ = io.WriteString(w, part)
	case "/empty":
		w.WriteHeader(http.StatusNoContent)
	}
}

// startVersion10 starts a server, and returns a function that opens a connection to it.
func startVersion10(t *testing.T, withTLS bool) (dial func(t *testing.T) net.Conn) {
	t.Helper()
	listening := make(chan string, 1)
	server := &listen.HTTP{
		Address: "127.0.0.1:0", NotFound: http.HandlerFunc(version10Handler),
		OnListening: func(address string) { listening <- address }, Limits: listen.Limits{WriteTimeout: bodyTimeout},
	}
	var clientTLS *tls.Config
	if withTLS {
		source := httptest.NewTLSServer(nil)
		defer source.Close()
		clientTLS = trust(source)
		clientTLS.ServerName = "example.com"
		server.TLS = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: source.TLS.Certificates}
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx, time.Second) }()
	address := <-listening
	t.Cleanup(func() { cancel(); <-ended })
	return func(t *testing.T) net.Conn {
		t.Helper()
		conn, err := net.Dial("tcp", address)
		must.NoError(t, err)
		must.NoError(t, conn.SetDeadline(time.Now().Add(answerTimeout)))
		if withTLS {
			conn = tls.Client(conn, clientTLS)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
}

// forBothVersion10 runs a test with and without TLS.
func forBothVersion10(t *testing.T, test func(t *testing.T, dial func(t *testing.T) net.Conn)) {
	t.Helper()
	for name, withTLS := range map[string]bool{"plain": false, "TLS": true} {
		t.Run(name, func(t *testing.T) { test(t, startVersion10(t, withTLS)) })
	}
}

func request10(t *testing.T, conn net.Conn, path string) {
	t.Helper()
	_, err := io.WriteString(conn, "GET "+path+" HTTP/1.0\r\nHost: h.example\r\n\r\n")
	must.NoError(t, err)
}

// Guards against a part of an answer without a length that looks whole to a client of HTTP/1.0, which knows no chunks.
func TestCutAnswerToVersion10IsReset(t *testing.T) {
	const answers = 10
	forBothVersion10(t, func(t *testing.T, dial func(t *testing.T) net.Conn) {
		for name, path := range map[string]string{"the handler cuts it": "/cut", "the last write fails": "/late"} {
			t.Run(name, func(t *testing.T) {
				for range answers {
					conn := dial(t)
					request10(t, conn, path)
					_, err := io.Copy(io.Discard, conn)
					must.Error(t, err)
				}
			})
		}
		t.Run("the client reads too late", func(t *testing.T) {
			conn := dial(t)
			request10(t, conn, "/unread")
			time.Sleep(2 * bodyTimeout)
			_, err := io.Copy(io.Discard, conn)
			must.Error(t, err)
		})
	})
}

// Guards against a whole answer to a client of HTTP/1.0 that is reset.
func TestWholeAnswerToVersion10IsNotReset(t *testing.T) {
	const answers = 10
	forBothVersion10(t, func(t *testing.T, dial func(t *testing.T) net.Conn) {
		for path, length := range map[string]int{"/whole": 2 * partBytes, "/length": partBytes, "/empty": 0} {
			t.Run(path, func(t *testing.T) {
				for range answers {
					conn := dial(t)
					request10(t, conn, path)
					text, err := io.ReadAll(conn)
					must.NoError(t, err)
					_, body, _ := strings.Cut(string(text), "\r\n\r\n")
					must.Eq(t, length, len(body))
				}
			})
		}
		t.Run("a connection that is kept", func(t *testing.T) {
			conn := dial(t)
			reader := bufio.NewReader(conn)
			for range answers {
				_, err := io.WriteString(conn, "GET /length HTTP/1.0\r\nHost: h.example\r\nConnection: keep-alive\r\n\r\n")
				must.NoError(t, err)
				response, err := http.ReadResponse(reader, nil)
				must.NoError(t, err)
				length, err := io.Copy(io.Discard, response.Body)
				must.NoError(t, err)
				must.Eq(t, partBytes, length)
			}
			request10(t, conn, "/whole")
			_, err := io.Copy(io.Discard, reader)
			must.NoError(t, err)
		})
	})
}

// serverEnv makes a child process of the test binary run TestVersion10Server.
const serverEnv = "LISTEN_VERSION10_SERVER"

// startServerProcess starts a process that serves until it is killed, and connects to it.
func startServerProcess(t *testing.T) (process *os.Process, conn net.Conn) {
	t.Helper()
	server := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestVersion10Server$", "-test.v") //nolint:gosec // runs the test binary itself
	server.Env = append(os.Environ(), serverEnv+"=1")
	output, err := server.StdoutPipe()
	must.NoError(t, err)
	must.NoError(t, server.Start())
	t.Cleanup(func() { _ = server.Wait() })
	t.Cleanup(func() { _ = server.Process.Kill() })
	var address string
	lines := bufio.NewScanner(output)
	for address == "" && lines.Scan() {
		_, address, _ = strings.Cut(lines.Text(), "listening on ")
	}
	conn, err = net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(answerTimeout)))
	return server.Process, conn
}

// Guards against a part of an answer that looks whole to a client of HTTP/1.0, since the kernel closes the connections of a
// process that is killed, and against a reset of a connection that only waits for the next request.
func TestKilledProcessResetsVersion10(t *testing.T) {
	t.Run("within an answer", func(t *testing.T) {
		process, conn := startServerProcess(t)
		request10(t, conn, "/wait")
		_, err := io.CopyN(io.Discard, conn, partBytes)
		must.NoError(t, err)
		must.NoError(t, process.Kill())
		_, err = io.Copy(io.Discard, conn)
		must.Error(t, err)
	})
	t.Run("after an answer and one to a later version", func(t *testing.T) {
		process, conn := startServerProcess(t)
		reader := bufio.NewReader(conn)
		for _, version := range []string{"1.0", "1.1"} {
			_, err := io.WriteString(conn, "GET /length HTTP/"+version+"\r\nHost: h.example\r\nConnection: keep-alive\r\n\r\n")
			must.NoError(t, err)
			response, err := http.ReadResponse(reader, nil)
			must.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			must.NoError(t, err)
		}
		must.NoError(t, process.Kill())
		_, err := reader.ReadByte()
		must.EqOp(t, io.EOF, err)
	})
}

// TestVersion10Server serves until it is killed.
func TestVersion10Server(t *testing.T) {
	if os.Getenv(serverEnv) == "" {
		t.Log("only runs in a child process of TestKilledProcessResetsVersion10")
		return
	}
	server := &listen.HTTP{Address: "127.0.0.1:0", NotFound: http.HandlerFunc(version10Handler), OnListening: func(address string) { fmt.Println("listening on " + address) }}
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	must.NoError(t, server.Run(ctx, time.Second))
}
