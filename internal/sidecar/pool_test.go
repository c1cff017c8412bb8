package sidecar_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/sidecar"
)

func idempotent() *peerpb.RunRequest {
	return peerpb.RunRequest_builder{Id: "r1", Pool: "assist", Kind: peerpb.Kind_KIND_COMPLETION, Idempotent: true}.Build()
}

func posting() *peerpb.RunRequest {
	return peerpb.RunRequest_builder{Id: "p1", Pool: "ledger", Kind: peerpb.Kind_KIND_PLAIN, Method: "POST"}.Build()
}

// silentBackend refuses like a sidecar whose backend server sends nothing.
func silentBackend(request *peerpb.RunRequest, stream frameStream) error {
	refused := refusal.Unknown(http.StatusGatewayTimeout, "backend_silent", "nothing came").WithRetryAfter(time.Second)
	return stream.Send(peerpb.Frame_builder{Id: request.GetId(), Refusal: refused.ToMessage()}.Build())
}

func mustAnswer(t *testing.T, pool *sidecar.Pool, request *peerpb.RunRequest, text string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	sink := &collector{}
	_, err := pool.Run(ctx, request, sink.collect)
	must.NoError(t, err)
	must.Eq(t, text, sink.text)
}

func mustRefuse(t *testing.T, pool *sidecar.Pool, request *peerpb.RunRequest, outcome peerpb.Outcome, code string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err := pool.Run(ctx, request, (&collector{}).collect)
	mustBeRefusal(t, err, outcome, code)
}

func mustBeRefusal(t *testing.T, err error, outcome peerpb.Outcome, code string) {
	t.Helper()
	var refused *refusal.Error
	must.True(t, errors.As(err, &refused), must.Sprintf("%v", err))
	must.Eq(t, code, refused.Code)
	must.Eq(t, outcome, refused.Outcome)
	must.Positive(t, refused.RetryAfter)
}

func TestRunComplete(t *testing.T) {
	server := startFakeSidecar(t, answerWords("a", "b", "c"))
	mustAnswer(t, newPool(t, processInfo{"s1", server.address, "assist", 0}), idempotent(), "abc")
}

func TestRunDropsForeignFrames(t *testing.T) {
	// Guards against answers that contain frames of another request, or a frame twice.
	// After a resend, a stream can carry the frames of a late answer to another request,
	// and duplicates. Only the request's own frames count, once each.
	server := startFakeSidecar(t, func(request *peerpb.RunRequest, stream frameStream) error {
		other := peerpb.RunRequest_builder{Id: "other"}.Build()
		return sendFrames(stream,
			chunkFrame(other, 0, "X"), chunkFrame(request, 0, "a"), chunkFrame(request, 0, "a"),
			endFrame(other, 1), chunkFrame(request, 1, "b"), chunkFrame(request, 0, "a"), endFrame(request, 2))
	})
	mustAnswer(t, newPool(t, processInfo{"s1", server.address, "assist", 0}), idempotent(), "ab")
}

func TestRunResumes(t *testing.T) {
	// Guards against answers with a missing part or end, after a frame is lost or the
	// stream breaks. The entry requests the rest from the same sidecar, starting at the
	// first frame that it lacks.
	interrupted := func(handler func(*peerpb.RunRequest, frameStream) error) func(*peerpb.RunRequest, frameStream) error {
		return func(request *peerpb.RunRequest, stream frameStream) error {
			if request.GetFrom() == 0 {
				return handler(request, stream)
			}
			return answerWords("a", "b", "c")(request, stream)
		}
	}
	tests := map[string]func(*peerpb.RunRequest, frameStream) error{
		"gap": func(request *peerpb.RunRequest, stream frameStream) error {
			return sendFrames(stream, chunkFrame(request, 0, "a"), chunkFrame(request, 2, "c"), endFrame(request, 3))
		},
		"cut": func(request *peerpb.RunRequest, stream frameStream) error {
			return sendFrames(stream, chunkFrame(request, 0, "a"))
		},
		"end too early": func(request *peerpb.RunRequest, stream frameStream) error {
			early := peerpb.Frame_builder{Id: request.GetId(), Seq: 1, End: peerpb.End_builder{Frames: 3}.Build()}.Build()
			return sendFrames(stream, chunkFrame(request, 0, "a"), early)
		},
		"silent": func(request *peerpb.RunRequest, stream frameStream) error {
			return errors.Join(sendFrames(stream, chunkFrame(request, 0, "a")), hang(stream))
		},
		"only frames of others": func(request *peerpb.RunRequest, stream frameStream) error {
			_ = stream.Send(chunkFrame(request, 0, "a"))
			for stream.Context().Err() == nil {
				_ = stream.Send(chunkFrame(peerpb.RunRequest_builder{Id: "other"}.Build(), 1, "X"))
			}
			return nil
		},
	}
	for name, handler := range tests {
		t.Run(name, func(t *testing.T) {
			server := startFakeSidecar(t, interrupted(handler))
			mustAnswer(t, newPool(t, processInfo{"s1", server.address, "assist", 0}), idempotent(), "abc")
			must.Len(t, 2, server.requests())
			again := server.requests()[1]
			must.Eq(t, 1, again.GetFrom())
			must.True(t, again.GetResend())
			must.Eq(t, "r1", again.GetId())
		})
	}
}

func TestRunSilentConnection(t *testing.T) {
	// A device on the network path loses track of a connection: the answer to a posting
	// never arrives, while new connections to the same host work. gRPC's keepalive would
	// notice after 13 s. The entry must resend under the same ID on a new connection, and
	// the next request must use that connection from the start.
	server := startFakeSidecar(t, nil)
	middlebox := startProxy(t, server.address)
	server.handler = func(request *peerpb.RunRequest, stream frameStream) error {
		if !request.GetResend() && request.GetId() == "p1" {
			middlebox.silence()
		}
		return answerWords("done")(request, stream)
	}
	pool := newPool(t, processInfo{"s1", middlebox.address, "ledger", 0})
	mustAnswer(t, pool, posting(), "done")
	must.Len(t, 2, server.requests())
	began := time.Now()
	next := posting()
	next.SetId("p2")
	mustAnswer(t, pool, next, "done")
	must.Less(t, readTimeout, time.Since(began))
}

func TestRunHeartbeats(t *testing.T) {
	// An engine with a long queue sends nothing for a while. Heartbeats show that the
	// connection is alive, so the request must not be sent again.
	server := startFakeSidecar(t, func(request *peerpb.RunRequest, stream frameStream) error {
		ticker := time.NewTicker(readTimeout / 10)
		defer ticker.Stop()
		for range 20 {
			<-ticker.C
			_ = stream.Send(peerpb.Frame_builder{Id: request.GetId(), Beat: &peerpb.Beat{}}.Build())
		}
		return answerWords("late")(request, stream)
	})
	mustAnswer(t, newPool(t, processInfo{"s1", server.address, "assist", 0}), idempotent(), "late")
	must.Len(t, 1, server.requests())
}

func TestRunServerLost(t *testing.T) {
	// A sidecar's host crashes while the sidecar runs a request. An idempotent request of
	// which the caller received nothing runs on another server. A posting must not, since
	// it may have been posted: its caller gets the outcome unknown at once.
	startDying := func(t *testing.T, before ...string) *fakeSidecar {
		server := startFakeSidecar(t, nil)
		server.handler = func(request *peerpb.RunRequest, stream frameStream) error {
			for seq, word := range before {
				_ = stream.Send(chunkFrame(request, uint64(seq), word))
			}
			if len(before) == 0 {
				go server.stop()
			}
			return hang(stream)
		}
		return server
	}
	// stopOnFrame returns a sink that stops the server when the first part has arrived.
	stopOnFrame := func(server *fakeSidecar, sink *collector) sidecar.Sink {
		return func(frame *peerpb.Frame) error {
			go server.stop()
			return sink.collect(frame)
		}
	}
	t.Run("idempotent", func(t *testing.T) {
		first, second := startDying(t), startFakeSidecar(t, answerWords("a"))
		pool := newPool(t, processInfo{"s1", first.address, "assist", 0}, processInfo{"s2", second.address, "assist", peerpb.State_STATE_SUSPECT})
		mustAnswer(t, pool, idempotent(), "a")
	})
	t.Run("backend server silent", func(t *testing.T) {
		// The sidecar works, but its engine hangs until the read timeout.
		first, second := startFakeSidecar(t, silentBackend), startFakeSidecar(t, answerWords("a"))
		pool := newPool(t, processInfo{"s1", first.address, "assist", 0}, processInfo{"s2", second.address, "assist", peerpb.State_STATE_SUSPECT})
		mustAnswer(t, pool, idempotent(), "a")
		mustRefuse(t, newPool(t, processInfo{"s1", first.address, "ledger", 0}, processInfo{"s2", second.address, "ledger", peerpb.State_STATE_SUSPECT}),
			posting(), peerpb.Outcome_OUTCOME_UNKNOWN, "backend_silent")
	})
	t.Run("posting", func(t *testing.T) {
		first, second := startDying(t), startFakeSidecar(t, answerWords("a"))
		pool := newPool(t, processInfo{"s1", first.address, "ledger", 0}, processInfo{"s2", second.address, "ledger", peerpb.State_STATE_SUSPECT})
		mustRefuse(t, pool, posting(), peerpb.Outcome_OUTCOME_UNKNOWN, "server_lost")
		must.SliceEmpty(t, second.requests())
	})
	t.Run("idempotent, and no other can be reached", func(t *testing.T) {
		// The second server certainly ran nothing. The first may have run the request, so
		// the caller must not receive "not run".
		first, second := startDying(t), startFakeSidecar(t, nil)
		second.stop()
		pool := newPool(t, processInfo{"s1", first.address, "assist", 0}, processInfo{"s2", second.address, "assist", peerpb.State_STATE_SUSPECT})
		mustRefuse(t, pool, idempotent(), peerpb.Outcome_OUTCOME_UNKNOWN, "no_connection")
	})
	t.Run("a part was delivered", func(t *testing.T) {
		first, second := startDying(t, "x"), startFakeSidecar(t, answerWords("a"))
		pool := newPool(t, processInfo{"s1", first.address, "assist", 0}, processInfo{"s2", second.address, "assist", peerpb.State_STATE_SUSPECT})
		_, err := pool.Run(t.Context(), idempotent(), stopOnFrame(first, &collector{}))
		mustBeRefusal(t, err, peerpb.Outcome_OUTCOME_UNKNOWN, "server_lost")
		must.SliceEmpty(t, second.requests())
	})
	t.Run("a part can be discarded", func(t *testing.T) {
		first, second := startDying(t, "x"), startFakeSidecar(t, answerWords("a"))
		pool := newPool(t, processInfo{"s1", first.address, "assist", 0}, processInfo{"s2", second.address, "assist", peerpb.State_STATE_SUSPECT})
		sink := &collector{}
		_, err := pool.RunRestartable(t.Context(), idempotent(), stopOnFrame(first, sink), sink.restart)
		must.NoError(t, err)
		must.Eq(t, "a", sink.text)
	})
}

func TestRunRefusedNotRun(t *testing.T) {
	// A refusal with the outcome "not run" allows a branch to post again. The outcome must
	// be true: either the request never left this process, or the sidecar reported it.
	stopped := startFakeSidecar(t, nil)
	stopped.stop()
	t.Run("no server", func(t *testing.T) {
		mustRefuse(t, newPool(t), posting(), peerpb.Outcome_OUTCOME_NOT_RUN, "no_server")
	})
	t.Run("nothing listens", func(t *testing.T) {
		pool := newPool(t, processInfo{"s1", stopped.address, "ledger", 0})
		mustRefuse(t, pool, posting(), peerpb.Outcome_OUTCOME_NOT_RUN, "no_connection")
	})
	t.Run("nothing listens, another does", func(t *testing.T) {
		second := startFakeSidecar(t, answerWords("a"))
		pool := newPool(t, processInfo{"s1", stopped.address, "ledger", 0}, processInfo{"s2", second.address, "ledger", peerpb.State_STATE_SUSPECT})
		mustAnswer(t, pool, posting(), "a")
	})
	t.Run("the sidecar says so", func(t *testing.T) {
		full := refusal.NotRun(503, "queue_full", "full").WithRetryAfter(time.Second).ToMessage()
		server := startFakeSidecar(t, func(request *peerpb.RunRequest, stream frameStream) error {
			return stream.Send(peerpb.Frame_builder{Id: request.GetId(), Refusal: full}.Build())
		})
		mustRefuse(t, newPool(t, processInfo{"s1", server.address, "ledger", 0}), posting(), peerpb.Outcome_OUTCOME_NOT_RUN, "queue_full")
	})
	t.Run("nobody accepts", func(t *testing.T) {
		// A frozen host: its kernel accepts the connection, but its sidecar sends nothing.
		frozen, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = frozen.Close() })
		pool := newPool(t, processInfo{"s1", frozen.Addr().String(), "ledger", 0})
		mustRefuse(t, pool, posting(), peerpb.Outcome_OUTCOME_NOT_RUN, "no_connection")
	})
}

func TestRunClosedServers(t *testing.T) {
	// A backend server is draining. New requests must not go to it, even if the pool has no
	// other server.
	server := startFakeSidecar(t, answerWords("a"))
	pool := newPool(t, processInfo{"s1", server.address, "assist", peerpb.State_STATE_DRAINING})
	mustRefuse(t, pool, idempotent(), peerpb.Outcome_OUTCOME_NOT_RUN, "no_server")
	must.SliceEmpty(t, server.requests())
}

func TestRunCancels(t *testing.T) {
	// A caller disconnects in the middle of a long answer. Without a cancellation the
	// engine would continue for minutes and delay other requests.
	ctx, cancel := context.WithCancel(t.Context())
	server := startFakeSidecar(t, func(request *peerpb.RunRequest, stream frameStream) error {
		_ = stream.Send(chunkFrame(request, 0, "a"))
		return hang(stream)
	})
	pool := newPool(t, processInfo{"s1", server.address, "assist", 0})
	_, err := pool.Run(ctx, idempotent(), func(*peerpb.Frame) error {
		cancel()
		return nil
	})
	must.ErrorIs(t, err, context.Canceled)
	select {
	case id := <-server.cancelled:
		must.Eq(t, "r1", id)
	case <-time.After(testTimeout):
		t.Fatal("the sidecar received no cancellation")
	}
}
