package bramleyhatch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
)

// mustEndWithin runs a process and checks that it ends by itself, and returns its error.
func mustEndWithin(t *testing.T, process *Process, limit time.Duration) error {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- process.run(t.Context(), nil) }()
	select {
	case err := <-ended:
		return err
	case <-time.After(limit):
		t.Fatal("the process goes on")
		return nil
	}
}

func newTestProcess() *Process {
	return newProcess(settingspb.Process_builder{
		Name: "p", Peer: "127.0.0.1:0", Grace: durationpb.New(100 * time.Millisecond),
	}.Build(), &settingspb.Secure{})
}

// The address for readiness is taken when a gateway starts. All its duties end,
// so that it renews no lease and hears of no change, but it goes on serving as it
// stands: nobody starts it anew, since the process lives.
func TestFailedDutyEndsProcess(t *testing.T) {
	t.Run("a duty fails", func(t *testing.T) {
		process, broken := newTestProcess(), errors.New("broken")
		drained := false
		process.AddDrain(func(context.Context) { drained = true })
		process.AddTask("bad", func(context.Context) error { return broken })
		process.AddTask("good", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
		must.ErrorIs(t, mustEndWithin(t, process, 5*time.Second), broken)
		must.True(t, drained)
	})
	t.Run("an address is taken", func(t *testing.T) {
		process, address := newTestProcess(), listentest.FreeAddress(t)
		for _, name := range []string{"first", "second"} {
			process.AddTask(name, func(ctx context.Context) error {
				return (&listen.HTTP{Address: address}).Run(ctx, time.Second)
			})
		}
		var fault *listen.Error
		must.True(t, errors.As(mustEndWithin(t, process, 5*time.Second), &fault))
		must.Eq(t, address, fault.Address)
	})
}

// A process whose duties have nothing left to do serves on until it is stopped.
func TestDoneDutiesLeaveProcess(t *testing.T) {
	process := newTestProcess()
	process.AddTask("short", func(context.Context) error { return nil })
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	must.NoError(t, process.run(ctx, nil))
	must.Error(t, ctx.Err())
}
