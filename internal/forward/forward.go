package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
)

const (
	// heldBytes is the most of an answer that is held until it is whole, so that
	// one that breaks off can be had from another server. Usual answers have 1 KB.
	heldBytes = 256 << 10
	// roomAgain is when a caller should come back whose request found no room:
	// about the time in which some slots of a pool become free.
	roomAgain = 100 * time.Millisecond
	// serverAgain is that time where no server of the pool is known: about the
	// time in which one registers.
	serverAgain = time.Second
	// streamSilence is how long a stream that can go on elsewhere may be silent:
	// callers leave after two seconds at the earliest.
	streamSilence = 1500 * time.Millisecond
	// waitForRoom is the pause before all servers are asked once more that had no room.
	waitForRoom = 15 * time.Millisecond
)

// Forwarder runs callers' requests. Exported fields are set before the first one.
type Forwarder struct {
	Roster *roster.Roster
}

// Run sends a request until a backend server has answered it. The error is a
// *refusal.Error; it says "not run" only where that is proved.
func (f *Forwarder) Run(ctx context.Context, request *Request) (*Answer, error) {
	run := &run{
		forwarder: f,
		request:   request,
		pool:      request.Route.Pool(rand.Float64()),
		policy:    policy{attempts: request.Route.Attempts, repeats: request.mayRepeat(), target: request.Route.LatencyTarget},
		tried:     map[string]bool{},
	}
	ctx, cancel := context.WithTimeout(ctx, request.left())
	answer, err := run.follow(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	finish := answer.Finish
	answer.Finish = func() { finish(); cancel() }
	return answer, nil
}

// run is one request with its tries.
type run struct {
	forwarder *Forwarder
	request   *Request
	pool      string
	policy    policy
	tried     map[string]bool
	began     bool
}

func (r *run) follow(ctx context.Context) (*Answer, error) {
	var last error
	for {
		server, reason := r.forwarder.Roster.Choose(r.pool, r.tried)
		if server == nil {
			if again, err := r.noServer(ctx, last); !again {
				return nil, err
			}
			continue
		}
		klog.InfoS("route: chosen", "id", r.request.ID, "route", r.request.Route.Name, "server", server.Name(), "running", r.forwarder.Roster.Running(server), "reason", reason, "tried", len(r.tried), "left", r.request.left())
		r.tried[server.Name()] = true
		answer, err := r.try(ctx, server)
		if err == nil {
			return answer, nil
		}
		r.forwarder.Roster.Finish(server)
		r.note(ctx, server, err)
		last = err
		if ctx.Err() != nil || !r.policy.failed(err, r.request.left()) {
			return nil, r.refuse(ctx, err)
		}
		klog.InfoS("route: tried elsewhere", "id", r.request.ID, "server", server.Name(), "after", err.Error(), "left", r.request.left())
	}
}

// noServer reports whether the servers are to be asked once more. Where the
// pool has none, or the time is nearly over, the request is refused at once.
func (r *run) noServer(ctx context.Context, last error) (bool, error) {
	if last == nil {
		klog.InfoS("route: no server", "id", r.request.ID, "pool", r.pool)
		r.forwarder.Roster.RecordRefusal(r.pool)
		return false, refusal.NotRun(http.StatusServiceUnavailable, "no_server", "no backend server of the pool gets work").WithRetryAfter(serverAgain)
	}
	if !refusal.IsNotRun(last) || r.request.left() < 2*waitForRoom {
		return false, r.refuse(ctx, last)
	}
	if !pause.For(ctx, waitForRoom) {
		return false, r.refuse(ctx, last)
	}
	clear(r.tried)
	return true, nil
}

// try sends the request to one server. It takes answers of failed servers for
// what they are: a failure of the request, given on to the caller.
func (r *run) try(ctx context.Context, server *roster.Server) (*Answer, error) {
	left := r.request.left()
	if left <= 0 {
		return nil, refusal.NotRun(http.StatusServiceUnavailable, "no_time", "the request's time was over before it was sent").WithRetryAfter(roomAgain)
	}
	answer, err := r.send(ctx, server)
	if err != nil {
		return nil, err
	}
	return r.read(ctx, server, answer)
}

// send sends the request to one server.
func (r *run) send(ctx context.Context, server *roster.Server) (*backend.Answer, error) {
	left, began := r.request.left(), clock.Now()
	answer, err := server.Direct().Do(ctx, r.request.to(server.Name(), left, r.silence(left)))
	if err == nil || !refusal.IsNotRun(err) {
		r.start()
	}
	if err == nil {
		r.forwarder.Roster.RecordAnswer(server)
		if target := r.request.Route.LatencyTarget; target > 0 {
			r.forwarder.Roster.RecordLatency(server, clock.Now().Sub(began) > target)
		}
	}
	return answer, err
}

// silence returns how long a server may send nothing: of a stream that can go on
// elsewhere, no longer than callers wait between two events.
func (r *run) silence(left time.Duration) time.Duration {
	if r.request.Route.Kind == table.Stream && r.policy.repeats {
		return min(left, streamSilence)
	}
	return r.policy.silence(left)
}

func (r *run) start() {
	if r.began {
		return
	}
	r.began = true
	if r.request.OnBegan != nil {
		r.request.OnBegan()
	}
}

// read takes an answer whole if it is short and not a stream.
func (r *run) read(ctx context.Context, server *roster.Server, answer *backend.Answer) (*Answer, error) {
	got := &Answer{Answer: answer, Finish: func() {
		_ = answer.Body.Close()
		r.forwarder.Roster.Finish(server)
	}}
	if r.request.Route.Kind == table.Stream && answer.StatusCode < http.StatusMultipleChoices {
		if r.policy.repeats {
			events := newStream(ctx, r, server, answer)
			got.Next, got.Finish = events.Next, events.close
		}
		return got, nil
	}
	body, whole, err := answer.ReadAll(heldBytes)
	if err != nil {
		_ = answer.Body.Close()
		return nil, err
	}
	if answer.StatusCode == http.StatusInternalServerError && r.request.OnFailed != nil {
		r.request.OnFailed()
	}
	if answer.StatusCode >= http.StatusInternalServerError && r.policy.repeats && r.policy.sent+1 < r.policy.attempts {
		_ = answer.Body.Close()
		return nil, refusal.Unknown(http.StatusBadGateway, backend.CodeFailed, "%s answered %d", server.Name(), answer.StatusCode)
	}
	got.Body, got.Complete = body, whole
	return got, nil
}

// note tells the roster what a failure says of its server.
func (r *run) note(ctx context.Context, server *roster.Server, err error) {
	NoteFailure(ctx, r.forwarder.Roster, server, err)
}

// NoteFailure tells the roster what a failed try says of its server. A try that
// ended with its request's own time or caller says nothing.
func NoteFailure(ctx context.Context, servers *roster.Roster, server *roster.Server, err error) {
	refused := refusal.Of(err)
	switch {
	case refused.Code == backend.CodeWrongServer:
		servers.RecordReplaced(server)
	case refused.Code == backend.CodeFull:
		servers.RecordFull(server)
	case refused.Code == backend.CodeFailed, refused.Code == backend.CodeWrongRequest:
	case ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
	default:
		servers.RecordFailure(server, refused.Code)
	}
}

// refuse ends the request. Once any server may have run it, the outcome stays
// unknown, whatever the last one said.
func (r *run) refuse(ctx context.Context, err error) error {
	refused := *refusal.Of(err)
	if r.policy.ran {
		refused.Outcome = peerpb.Outcome_OUTCOME_UNKNOWN
		if refused.Status == http.StatusServiceUnavailable {
			refused.Status = http.StatusBadGateway
		}
	} else if refused.RetryAfter == 0 {
		refused.RetryAfter = roomAgain
	}
	if ctx.Err() != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) && r.policy.ran {
		refused.Status = http.StatusGatewayTimeout
	}
	if refused.Code == backend.CodeFull {
		r.forwarder.Roster.RecordRefusal(r.pool)
	}
	klog.InfoS("route: refused", "id", r.request.ID, "status", refused.Status, "code", refused.Code, "tried", len(r.tried), "left", r.request.left(), "at", clock.Now())
	return &refused
}
