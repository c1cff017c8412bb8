package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/entry"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	drain  = peerpb.Action_ACTION_DRAIN
	resume = peerpb.Action_ACTION_RESUME
	load   = peerpb.Action_ACTION_VERSION
)

// A server is drained by an order while a request runs. That request must
// complete, queued and new requests must be refused at once as not run, and
// requests must be admitted again after a resume.
func TestDrainByOrder(t *testing.T) {
	service := newService(t, true, answerPosting)
	server := newServer(service.URL)
	server.MaxRunning = 1
	var isDraining atomic.Bool
	server.OnDraining = isDraining.Store
	client := serve(t, server)
	running := sendAsync(client, posting("running"))
	receive(t, service.arrived)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	waiting, err := client.Run(ctx, posting("waiting"))
	must.NoError(t, err)
	mustBeQueued(t, waiting)
	mustOrder(t, client, drain, 1)
	must.True(t, isDraining.Load())
	mustBeRefused(t, notRun, "draining", read(waiting))
	refused := send(client, posting("new"))
	mustBeRefused(t, notRun, "draining", refused)
	must.True(t, refused.frames[0].GetLoad().GetDraining())
	close(service.release)
	mustBeComplete(t, postingAnswer, receive(t, running))
	mustOrder(t, client, resume, 1)
	mustBeComplete(t, postingAnswer, send(client, posting("new")))
}

// mustBeQueued reads heartbeats until the server reports a queued request.
func mustBeQueued(t *testing.T, stream grpc.ServerStreamingClient[peerpb.Frame]) {
	t.Helper()
	for {
		frame, err := stream.Recv()
		must.NoError(t, err)
		must.True(t, frame.HasBeat())
		if frame.GetLoad().GetQueued() > 0 {
			return
		}
	}
}

// The sidecar gets SIGTERM while a request runs. It must not exit before the
// request has ended.
func TestDrainWaitsForRuns(t *testing.T) {
	service := newService(t, true, answerPosting)
	server := newServer(service.URL)
	client := serve(t, server)
	running := sendAsync(client, posting("running"))
	receive(t, service.arrived)
	drained := make(chan struct{})
	go func() {
		server.Drain(context.Background())
		close(drained)
	}()
	mustBecomeDraining(t, client)
	select {
	case <-drained:
		t.Fatal("drained while a request ran")
	default:
	}
	close(service.release)
	receive(t, drained)
	mustBeComplete(t, postingAnswer, receive(t, running))
}

// returnNotifier reports when a Run call of the sidecar returns.
type returnNotifier struct {
	*entry.Server

	returned chan struct{}
}

func (n *returnNotifier) Run(request *peerpb.RunRequest, stream grpc.ServerStreamingServer[peerpb.Frame]) error {
	defer func() { n.returned <- struct{}{} }()
	return n.Server.Run(request, stream)
}

// The entry's connection is lost while a request runs, and the sidecar gets
// SIGTERM. The request ends before the entry reconnects. The sidecar must wait
// for the entry to fetch the answer, or a planned stop would turn a complete
// answer into an unknown outcome.
func TestDrainWaitsForLostReader(t *testing.T) {
	service := newService(t, true, answerPosting)
	server := newServer(service.URL)
	notifier := &returnNotifier{Server: server, returned: make(chan struct{}, 10)}
	client := serveAs(t, server, notifier)
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := client.Run(ctx, posting("r1"))
	must.NoError(t, err)
	receive(t, service.arrived)
	cancel()
	must.Error(t, read(stream).err)
	receive(t, notifier.returned)
	drained := make(chan struct{})
	go func() {
		server.Drain(context.Background())
		close(drained)
	}()
	close(service.release)
	select {
	case <-drained:
		t.Fatal("drained before the answer was fetched")
	case <-time.After(200 * time.Millisecond):
	}
	resend := posting("r1")
	resend.SetResend(true)
	mustBeComplete(t, postingAnswer, send(client, resend))
	receive(t, drained)
}

func mustBecomeDraining(t *testing.T, client peerpb.SidecarClient) {
	t.Helper()
	for i := range 1000 {
		request := posting(fmt.Sprintf("probe-%d", i))
		request.SetPath("no slash")
		if send(client, request).refusal.GetCode() == "draining" {
			return
		}
	}
	t.Fatal("the sidecar does not drain")
}

func mustOrder(t *testing.T, client peerpb.SidecarClient, action peerpb.Action, fence uint64) {
	t.Helper()
	reply := order(t, client, action, fence)
	must.Nil(t, reply.GetRefusal())
}

func order(t *testing.T, client peerpb.SidecarClient, action peerpb.Action, fence uint64) *peerpb.OrderReply {
	t.Helper()
	reply, err := client.Order(context.Background(), peerpb.OrderRequest_builder{
		Action: action, Model: "m", Version: fence, Fence: fence, Duty: "weights",
	}.Build())
	must.NoError(t, err)
	return reply
}

// newEngineServer returns a sidecar's service with an engine as its backend.
func newEngineServer(address string) *entry.Server {
	engine := &backend.Engine{}
	engine.Address, engine.Name, engine.ReadTimeout = address, "s1", testTimeout
	server := newServer(address)
	server.Backend = engine
	return server
}

// The holder of the weights duty is paused past its lease and its successor
// orders version 2. Then the former holder resumes and orders version 1. An
// engine that ignores fencing tokens would produce samples with old weights, so
// the sidecar must not forward that order.
func TestOldFenceIsRefused(t *testing.T) {
	service := newService(t, false, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, `{"version":2}`)
	})
	client := serve(t, newEngineServer(service.URL))
	must.Eq(t, 2, order(t, client, load, 2).GetVersion())
	late := order(t, client, load, 1)
	must.Eq(t, "old_fence", late.GetRefusal().GetCode())
	must.Eq(t, 2, late.GetVersion())
	must.Eq(t, 1, service.runs.Load())
}

// Order 1 runs at the engine, order 2 waits for it, and meanwhile the duty's next
// holder sends an order with fencing token 3. Order 2 must not reach an engine
// that ignores fencing tokens.
func TestOvertakenOrder(t *testing.T) {
	service := newService(t, true, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, `{"version":3}`)
	})
	client := serve(t, newEngineServer(service.URL))
	replies := make(chan *peerpb.OrderReply, 2)
	go func() { replies <- order(t, client, load, 1) }()
	receive(t, service.arrived)
	overtaken := make(chan *peerpb.OrderReply, 1)
	go func() { overtaken <- order(t, client, load, 2) }()
	mustHaveFence(t, client, 2)
	mustOrder(t, client, resume, 3)
	close(service.release)
	must.Nil(t, receive(t, replies).GetRefusal())
	must.Eq(t, "old_fence", receive(t, overtaken).GetRefusal().GetCode())
	must.Eq(t, 1, service.runs.Load())
}

// mustHaveFence waits until the sidecar refuses fencing tokens lower than fence.
func mustHaveFence(t *testing.T, client peerpb.SidecarClient, fence uint64) {
	t.Helper()
	for range 10000 {
		if order(t, client, resume, fence-1).HasRefusal() {
			return
		}
	}
	t.Fatalf("fencing token %d was not recorded", fence)
}

// The engine's weight swap fails. The reply must report the version that the
// engine serves, not the ordered one.
func TestFailedSwap(t *testing.T) {
	answers := []string{`{"version":4}`}
	service := newService(t, false, func(w http.ResponseWriter, _ *http.Request) {
		if len(answers) == 0 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = fmt.Fprint(w, answers[0])
		answers = nil
	})
	client := serve(t, newEngineServer(service.URL))
	must.Eq(t, 4, order(t, client, load, 4).GetVersion())
	failed := order(t, client, load, 5)
	must.Eq(t, "swap_failed", failed.GetRefusal().GetCode())
	must.Eq(t, 4, failed.GetVersion())
}
