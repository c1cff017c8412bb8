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

// silentBackend refuses as a sidecar does whose backend server sends nothing.
func silentBackend(request *peerpb.RunRequest, stream frames) error {
	refused := refusal.Unknown(http.StatusGatewayTimeout, "backend_silent", "nothing came").WithRetryAfter(time.Second)
	return stream.Send(peerpb.Frame_builder{Id: request.GetId(), Refusal: refused.ToMessage()}.Build())
}

func mustAnswer(t *testing.T, pool *sidecar.Pool, request *peerpb.RunRequest, text string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	taken := &collector{}
	_, err := pool.Run(ctx, request, taken.take)
	must.NoError(t, err)
	must.Eq(t, text, taken.text)
}

func mustRefuse(t *testing.T, pool *sidecar.Pool, request *peerpb.RunRequest, outcome peerpb.Outcome, code string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	_, err := pool.Run(ctx, request, (&collector{}).take)
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

func TestRunWhole(t *testing.T) {
	one := startFake(t, words("a", "b", "c"))
	mustAnswer(t, newPool(t, known{"s1", one.address, "assist", 0}), idempotent(), "abc")
}

func TestRunCrossedFrames(t *testing.T) {
	// A member asks for her balance and gets a neighbour's, or her own twice.
	// Frames of another request and old ones come on her request's stream,
	// after a resend crossed with a late answer. Only her own count, once each.
	one := startFake(t, func(request *peerpb.RunRequest, stream frames) error {
		other := peerpb.RunRequest_builder{Id: "other"}.Build()
		return sendAll(stream,
			numbered(other, 0, "X"), numbered(request, 0, "a"), numbered(request, 0, "a"),
			end(other, 1), numbered(request, 1, "b"), numbered(request, 0, "a"), end(request, 2))
	})
	mustAnswer(t, newPool(t, known{"s1", one.address, "assist", 0}), idempotent(), "ab")
}

func TestRunResumes(t *testing.T) {
	// A caller reads a long answer and a part in the middle is missing, or the
	// rest never comes. A frame got lost, or the stream broke. The entry asks
	// the same sidecar for the rest from the position that it has.
	first := func(play func(*peerpb.RunRequest, frames) error) func(*peerpb.RunRequest, frames) error {
		return func(request *peerpb.RunRequest, stream frames) error {
			if request.GetFrom() == 0 {
				return play(request, stream)
			}
			return words("a", "b", "c")(request, stream)
		}
	}
	tests := map[string]func(*peerpb.RunRequest, frames) error{
		"gap": func(request *peerpb.RunRequest, stream frames) error {
			return sendAll(stream, numbered(request, 0, "a"), numbered(request, 2, "c"), end(request, 3))
		},
		"cut": func(request *peerpb.RunRequest, stream frames) error {
			return sendAll(stream, numbered(request, 0, "a"))
		},
		"end too early": func(request *peerpb.RunRequest, stream frames) error {
			early := peerpb.Frame_builder{Id: request.GetId(), Seq: 1, End: peerpb.End_builder{Frames: 3}.Build()}.Build()
			return sendAll(stream, numbered(request, 0, "a"), early)
		},
		"silent": func(request *peerpb.RunRequest, stream frames) error {
			return errors.Join(sendAll(stream, numbered(request, 0, "a")), hang(stream))
		},
		"only frames of others": func(request *peerpb.RunRequest, stream frames) error {
			_ = stream.Send(numbered(request, 0, "a"))
			for stream.Context().Err() == nil {
				_ = stream.Send(numbered(peerpb.RunRequest_builder{Id: "other"}.Build(), 1, "X"))
			}
			return nil
		},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			one := startFake(t, first(play))
			mustAnswer(t, newPool(t, known{"s1", one.address, "assist", 0}), idempotent(), "abc")
			must.Len(t, 2, one.requests())
			again := one.requests()[1]
			must.Eq(t, 1, again.GetFrom())
			must.True(t, again.GetResend())
			must.Eq(t, "r1", again.GetId())
		})
	}
}

func TestRunSilentConnection(t *testing.T) {
	// A posting is sent and its answer never comes, though new connections to
	// the same host work: a box in between has lost track of the connection.
	// gRPC would notice after 13 s. The entry asks again under the same
	// identity on a new connection, and the next request goes there at once.
	one := startFake(t, nil)
	between := startRelay(t, one.address)
	one.play = func(request *peerpb.RunRequest, stream frames) error {
		if !request.GetResend() && request.GetId() == "p1" {
			between.silence()
		}
		return words("done")(request, stream)
	}
	pool := newPool(t, known{"s1", between.address, "ledger", 0})
	mustAnswer(t, pool, posting(), "done")
	must.Len(t, 2, one.requests())
	began := time.Now()
	next := posting()
	next.SetId("p2")
	mustAnswer(t, pool, next, "done")
	must.Less(t, silence, time.Since(began))
}

func TestRunBeats(t *testing.T) {
	// An engine with a long queue gives nothing for a while. Beats show that
	// the connection is alive, so the request must not be sent again.
	one := startFake(t, func(request *peerpb.RunRequest, stream frames) error {
		ticker := time.NewTicker(silence / 10)
		defer ticker.Stop()
		for range 20 {
			<-ticker.C
			_ = stream.Send(peerpb.Frame_builder{Id: request.GetId(), Beat: &peerpb.Beat{}}.Build())
		}
		return words("late")(request, stream)
	})
	mustAnswer(t, newPool(t, known{"s1", one.address, "assist", 0}), idempotent(), "late")
	must.Len(t, 1, one.requests())
}

func TestRunServerLost(t *testing.T) {
	// A sidecar's host dies with a request on it. An idempotent request of
	// which the caller saw nothing runs elsewhere; a posting must not, since it
	// may have been posted: its caller is told so at once.
	dies := func(t *testing.T, before ...string) *fake {
		one := startFake(t, nil)
		one.play = func(request *peerpb.RunRequest, stream frames) error {
			for seq, word := range before {
				_ = stream.Send(numbered(request, uint64(seq), word))
			}
			if len(before) == 0 {
				go one.stop()
			}
			return hang(stream)
		}
		return one
	}
	// dying takes a part and then lets the server die: the part has come.
	dying := func(one *fake, taken *collector) sidecar.Sink {
		return func(frame *peerpb.Frame) error {
			go one.stop()
			return taken.take(frame)
		}
	}
	t.Run("idempotent", func(t *testing.T) {
		one, two := dies(t), startFake(t, words("a"))
		pool := newPool(t, known{"s1", one.address, "assist", 0}, known{"s2", two.address, "assist", peerpb.State_STATE_SUSPECT})
		mustAnswer(t, pool, idempotent(), "a")
	})
	t.Run("backend server silent", func(t *testing.T) {
		// The sidecar is well, its engine hangs and the sidecar gives it up.
		one, two := startFake(t, silentBackend), startFake(t, words("a"))
		pool := newPool(t, known{"s1", one.address, "assist", 0}, known{"s2", two.address, "assist", peerpb.State_STATE_SUSPECT})
		mustAnswer(t, pool, idempotent(), "a")
		mustRefuse(t, newPool(t, known{"s1", one.address, "ledger", 0}, known{"s2", two.address, "ledger", peerpb.State_STATE_SUSPECT}),
			posting(), peerpb.Outcome_OUTCOME_UNKNOWN, "backend_silent")
	})
	t.Run("posting", func(t *testing.T) {
		one, two := dies(t), startFake(t, words("a"))
		pool := newPool(t, known{"s1", one.address, "ledger", 0}, known{"s2", two.address, "ledger", peerpb.State_STATE_SUSPECT})
		mustRefuse(t, pool, posting(), peerpb.Outcome_OUTCOME_UNKNOWN, "server_lost")
		must.SliceEmpty(t, two.requests())
	})
	t.Run("idempotent, and no other can be reached", func(t *testing.T) {
		// The second server is sure that it ran nothing. The first may have run
		// it, so the caller must not read "not run".
		one, two := dies(t), startFake(t, nil)
		two.stop()
		pool := newPool(t, known{"s1", one.address, "assist", 0}, known{"s2", two.address, "assist", peerpb.State_STATE_SUSPECT})
		mustRefuse(t, pool, idempotent(), peerpb.Outcome_OUTCOME_UNKNOWN, "no_connection")
	})
	t.Run("a part was seen", func(t *testing.T) {
		one, two := dies(t, "x"), startFake(t, words("a"))
		pool := newPool(t, known{"s1", one.address, "assist", 0}, known{"s2", two.address, "assist", peerpb.State_STATE_SUSPECT})
		_, err := pool.Run(t.Context(), idempotent(), dying(one, &collector{}))
		mustBeRefusal(t, err, peerpb.Outcome_OUTCOME_UNKNOWN, "server_lost")
		must.SliceEmpty(t, two.requests())
	})
	t.Run("a part can be forgotten", func(t *testing.T) {
		one, two := dies(t, "x"), startFake(t, words("a"))
		pool := newPool(t, known{"s1", one.address, "assist", 0}, known{"s2", two.address, "assist", peerpb.State_STATE_SUSPECT})
		taken := &collector{}
		_, err := pool.RunRestartable(t.Context(), idempotent(), dying(one, taken), taken.restart)
		must.NoError(t, err)
		must.Eq(t, "a", taken.text)
	})
}

func TestRunNotRun(t *testing.T) {
	// A refusal that says "not run" lets a branch post again. It must be true:
	// the request may not have left this process, or its sidecar says so.
	gone := startFake(t, nil)
	gone.stop()
	t.Run("no server", func(t *testing.T) {
		mustRefuse(t, newPool(t), posting(), peerpb.Outcome_OUTCOME_NOT_RUN, "no_server")
	})
	t.Run("nothing listens", func(t *testing.T) {
		pool := newPool(t, known{"s1", gone.address, "ledger", 0})
		mustRefuse(t, pool, posting(), peerpb.Outcome_OUTCOME_NOT_RUN, "no_connection")
	})
	t.Run("nothing listens, another does", func(t *testing.T) {
		two := startFake(t, words("a"))
		pool := newPool(t, known{"s1", gone.address, "ledger", 0}, known{"s2", two.address, "ledger", peerpb.State_STATE_SUSPECT})
		mustAnswer(t, pool, posting(), "a")
	})
	t.Run("the sidecar says so", func(t *testing.T) {
		full := refusal.NotRun(503, "queue_full", "full").WithRetryAfter(time.Second).ToMessage()
		one := startFake(t, func(request *peerpb.RunRequest, stream frames) error {
			return stream.Send(peerpb.Frame_builder{Id: request.GetId(), Refusal: full}.Build())
		})
		mustRefuse(t, newPool(t, known{"s1", one.address, "ledger", 0}), posting(), peerpb.Outcome_OUTCOME_NOT_RUN, "queue_full")
	})
	t.Run("nobody accepts", func(t *testing.T) {
		// A frozen host: its kernel takes the connection, its sidecar says nothing.
		frozen, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = frozen.Close() })
		pool := newPool(t, known{"s1", frozen.Addr().String(), "ledger", 0})
		mustRefuse(t, pool, posting(), peerpb.Outcome_OUTCOME_NOT_RUN, "no_connection")
	})
}

func TestRunClosedServers(t *testing.T) {
	// A backend server is about to stop. New requests must go elsewhere even
	// where that leaves none.
	one := startFake(t, words("a"))
	pool := newPool(t, known{"s1", one.address, "assist", peerpb.State_STATE_DRAINING})
	mustRefuse(t, pool, idempotent(), peerpb.Outcome_OUTCOME_NOT_RUN, "no_server")
	must.SliceEmpty(t, one.requests())
}

func TestRunCancels(t *testing.T) {
	// A caller closes the window in the middle of a long answer. The engine
	// would go on for minutes and keep others waiting.
	ctx, cancel := context.WithCancel(t.Context())
	one := startFake(t, func(request *peerpb.RunRequest, stream frames) error {
		_ = stream.Send(numbered(request, 0, "a"))
		return hang(stream)
	})
	pool := newPool(t, known{"s1", one.address, "assist", 0})
	_, err := pool.Run(ctx, idempotent(), func(*peerpb.Frame) error {
		cancel()
		return nil
	})
	must.ErrorIs(t, err, context.Canceled)
	select {
	case id := <-one.cancelled:
		must.Eq(t, "r1", id)
	case <-time.After(bound):
		t.Fatal("the sidecar was not told")
	}
}
