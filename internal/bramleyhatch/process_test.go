package bramleyhatch

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/zeromicro/go-zero/rest"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
)

// mustEndWithin runs a process, checks that it ends within the limit without being
// stopped, and returns its error.
func mustEndWithin(t *testing.T, process *Process, limit time.Duration) error {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- process.run(t.Context(), nil) }()
	select {
	case err := <-ended:
		return err
	case <-time.After(limit):
		t.Fatal("the process is still running")
		return nil
	}
}

func newTestProcess() *Process {
	return newProcess(settingspb.Process_builder{
		Name: "p", Peer: "127.0.0.1:0", Grace: durationpb.New(100 * time.Millisecond),
	}.Build(), &settingspb.Secure{})
}

// Guards against a process that keeps serving after a task has failed, for example
// because the address for readiness is in use when a gateway starts: it renews no
// lease and receives no changes, and is not restarted since the process is alive.
func TestFailedTaskEndsProcess(t *testing.T) {
	t.Run("a task fails", func(t *testing.T) {
		process, errBroken := newTestProcess(), errors.New("broken")
		drained := false
		process.AddDrain(func(context.Context) { drained = true })
		process.AddTask("bad", func(context.Context) error { return errBroken })
		process.AddTask("good", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
		must.ErrorIs(t, mustEndWithin(t, process, 5*time.Second), errBroken)
		must.True(t, drained)
	})
	t.Run("an address is taken", func(t *testing.T) {
		process, address := newTestProcess(), listentest.FreeAddress(t)
		for _, name := range []string{"first", "second"} {
			process.AddTask(name, func(ctx context.Context) error {
				return (&listen.HTTP{Address: address}).Run(ctx, time.Second)
			})
		}
		var addressErr *listen.Error
		must.True(t, errors.As(mustEndWithin(t, process, 5*time.Second), &addressErr))
		must.Eq(t, address, addressErr.Address)
	})
}

// A process whose tasks have all returned keeps serving until it is stopped.
func TestFinishedTasksKeepProcessRunning(t *testing.T) {
	process := newTestProcess()
	process.AddTask("short", func(context.Context) error { return nil })
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	must.NoError(t, process.run(ctx, nil))
	must.Error(t, ctx.Err())
}

// Guards against a process that is killed with its requests unanswered, because its drains take the grace period and its
// servers then wait for requests for as long again.
func TestGraceCoversDrainsAndServers(t *testing.T) {
	const grace, slack = time.Second, 700 * time.Millisecond
	process := newProcess(settingspb.Process_builder{Name: "p", Peer: "127.0.0.1:0", Grace: durationpb.New(grace)}.Build(), &settingspb.Secure{})
	process.AddDrain(func(ctx context.Context) { <-ctx.Done() })
	requested, answered := make(chan struct{}), make(chan time.Duration, 1)
	var stoppedAt time.Time
	process.AddRoutes(rest.Route{Method: http.MethodGet, Path: "/slow", Handler: func(_ http.ResponseWriter, r *http.Request) {
		close(requested)
		<-process.shutdown.Context().Done()
		left, isStopping := process.shutdown.TimeLeft()
		must.True(t, isStopping)
		must.Eq(t, 0, left)
		must.ErrorIs(t, context.Cause(process.shutdown.Context()), errStopping)
		answered <- time.Since(stoppedAt)
		<-r.Context().Done()
	}})
	address := listentest.FreeAddress(t)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- process.run(ctx, settingspb.Caller_builder{Listen: address}.Build()) }()
	conn, err := dialUntil(address)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	<-requested
	_, isStopping := process.shutdown.TimeLeft()
	must.False(t, isStopping)
	stoppedAt = time.Now()
	stop()
	must.Less(t, grace, <-answered)
	must.NoError(t, <-ended)
	must.Less(t, grace+slack, time.Since(stoppedAt))
}

// Guards against a process that outlives its grace period because a task doesn't end.
func TestGraceCoversTasks(t *testing.T) {
	const grace, slack = time.Second, 700 * time.Millisecond
	process := newProcess(settingspb.Process_builder{Name: "p", Peer: "127.0.0.1:0", Grace: durationpb.New(grace)}.Build(), &settingspb.Secure{})
	release := make(chan struct{})
	defer close(release)
	process.AddTask("stuck", func(context.Context) error { <-release; return nil })
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- process.run(ctx, nil) }()
	stop()
	select {
	case err := <-ended:
		must.NoError(t, err)
	case <-time.After(grace + slack):
		t.Fatal("the process is still running")
	}
}

// dialUntil connects to an address on which a process will listen.
func dialUntil(address string) (conn net.Conn, err error) {
	for range 100 {
		if conn, err = net.Dial("tcp", address); err == nil {
			return conn, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, err
}
