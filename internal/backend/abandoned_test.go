package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/platform"
)

// startBlocked starts a server that receives a few kilobytes of a request and the rest once release is closed. It reports
// whether it received the whole request.
func startBlocked(t *testing.T) (address string, release chan struct{}, received chan bool) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) (err error) {
		controlErr := conn.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048) })
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	release, received = make(chan struct{}), make(chan bool, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		<-release
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, err = io.Copy(io.Discard, request.Body)
		}
		received <- err == nil
	}()
	return "http://" + listener.Addr().String(), release, received
}

// Guards against a request that reaches its server after it was given up: the link was cut, and the operating system goes
// on sending when it works again.
func TestAbandonedRequestIsNotSentLater(t *testing.T) {
	body := make([]byte, 32<<10)
	request := backend.Request{ID: "r1", Method: http.MethodPost, Target: "/", Body: body, ReadTimeout: time.Minute}
	mustNotArrive := func(t *testing.T, release chan struct{}, received chan bool, err error) {
		t.Helper()
		must.Eq(t, peerpb.Outcome_OUTCOME_UNKNOWN, refusal.Of(err).Outcome)
		close(release)
		select {
		case isWhole := <-received:
			must.False(t, isWhole)
		case <-time.After(10 * time.Second):
			t.Fatal("the server waits for the rest of the request")
		}
	}
	t.Run("at its read timeout", func(t *testing.T) {
		address, release, received := startBlocked(t)
		direct := &backend.Direct{Server: backend.Server{Address: address, Name: "s1"}, Wire: platform.Wire{}}
		request := request
		request.ReadTimeout = 200 * time.Millisecond
		_, err := direct.Do(t.Context(), request)
		mustNotArrive(t, release, received, err)
	})
	t.Run("when its caller leaves", func(t *testing.T) {
		address, release, received := startBlocked(t)
		direct := &backend.Direct{Server: backend.Server{Address: address, Name: "s1"}, Wire: platform.Wire{}}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(200*time.Millisecond, cancel)
		_, err := direct.Do(ctx, request)
		mustNotArrive(t, release, received, err)
	})
	t.Run("of a sidecar", func(t *testing.T) {
		address, release, received := startBlocked(t)
		posting := posting()
		posting.SetBody(body)
		_, err := newPlain(address).Run(t.Context(), posting, func(*peerpb.Frame) error { return nil })
		mustNotArrive(t, release, received, err)
	})
}
