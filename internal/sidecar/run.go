package sidecar

import (
	"context"
	"errors"
	"net/http"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	// maxFailures is the number of streams in a row that may break at once and
	// without a frame before a request that can go elsewhere does.
	maxFailures = 4
	// maxServers is the number of servers that one request tries.
	maxServers = 3
	retryAfter = time.Second
	// codeUnreached and codeLost are the codes of refusals because of a connection.
	codeUnreached = "no_connection"
	codeLost      = "server_lost"
	// codeSilent is the code of sidecars whose backend server sent nothing.
	codeSilent = "backend_silent"
	// resumePause is the time between two tries to reach a sidecar again.
	resumePause = 50 * time.Millisecond
)

// run is one request on its way.
type run struct {
	pool    *Pool
	ctx     context.Context
	request *peerpb.RunRequest
	sink    Sink
	restart Restart
	// prefix is the hash of the prompt's first bytes; 0 if there is none.
	prefix uint64
	// next is the number of the first frame that sink has not taken.
	next uint64
	// sent is true once the request may have reached the present server.
	sent bool
	// mayHaveRun is true once any server may have run the request.
	mayHaveRun bool
	// heard is when the present server last showed life.
	heard time.Time
	began time.Time
	// left holds the servers from which the request moved on.
	left []*server
	// tried holds the servers that have had the request.
	tried map[string]bool
}

// follow places the request on servers until one has answered it whole.
func (r *run) follow() (*peerpb.End, error) {
	var last error
	for {
		server, err := r.place(last)
		if err != nil {
			return nil, err
		}
		end, err := r.at(server)
		if err == nil {
			r.pool.counted(end)
			r.stopOthers(server)
			return end, nil
		}
		if gone := r.gone(server, err); gone != nil {
			return nil, gone
		}
		r.mayHaveRun = r.mayHaveRun || !refusal.IsNotRun(err)
		if !r.mayMove(err) {
			return nil, r.refuse(err)
		}
		r.left = append(r.left, server)
		last = err
	}
}

// place chooses a server. Where none is left, the refusal of the last one holds.
func (r *run) place(last error) (*server, error) {
	chosen, reason := r.pool.choose(r.request, r.prefix, r.tried)
	if chosen != nil {
		r.pool.Decisions.Record(r.request.GetId(), "route", "%s, %s", chosen.Name(), reason)
		return chosen, nil
	}
	if last != nil && r.comesBack(last) {
		return r.place(last)
	}
	if last != nil {
		return nil, r.refuse(last)
	}
	return nil, r.refuse(refusal.NotRun(http.StatusServiceUnavailable, "no_server", "no backend server of %s: %s", r.request.GetPool(), reason).WithRetryAfter(retryAfter))
}

// refuse ends the request with the refusal of the last server.
//
// That server may be sure that it ran nothing, while one before it may have run
// the request and then been lost: the caller would read "not run" and be wrong.
// Once any server may have run it, the outcome stays unknown.
func (r *run) refuse(err error) *refusal.Error {
	refused := *refusal.Of(err)
	if r.mayHaveRun {
		refused.Outcome = peerpb.Outcome_OUTCOME_UNKNOWN
	}
	return r.pool.refuse(&refused)
}

// comesBack makes all servers eligible again after a pause, where none could be
// reached and the bound on silence has not passed. A link that is cut for a
// moment in front of all sidecars would else fail each request that begins then.
func (r *run) comesBack(last error) bool {
	code := refusal.Of(last).Code
	if code != codeUnreached && code != codeLost {
		return false
	}
	if time.Since(r.began) >= r.pool.ReadTimeout || !r.pause() {
		return false
	}
	clear(r.tried)
	return true
}

// at follows the answer of one server over as many connections as needed.
func (r *run) at(server *server) (*peerpb.End, error) {
	r.tried[server.Name()] = true
	r.sent = false
	r.heard = time.Now()
	r.pool.directory.begin(server)
	defer r.pool.directory.finish(server)
	failures := 0
	for isResume := false; ; isResume = true {
		began, next := time.Now(), r.next
		end, err := r.once(server)
		if err == nil || !r.isBroken(err) || r.ctx.Err() != nil {
			return end, r.meaning(server, err)
		}
		failures = r.countFailure(failures, isResume, began, next)
		r.pool.metrics.resumes.Inc()
		r.pool.Decisions.Record(r.request.GetId(), "route", "%s, again from frame %d: %v", server.Name(), r.next, err)
		if failures >= maxFailures && r.givesUp() {
			return nil, r.meaning(server, err)
		}
		if failures > 1 && !r.pause() {
			return nil, r.meaning(server, err)
		}
	}
}

// countFailure counts the streams in a row that broke without life. A resumed one that
// was silent from its start settles it: the sidecar doesn't answer on a new
// connection either.
func (r *run) countFailure(failures int, isResume bool, began time.Time, next uint64) int {
	isAlive := r.heard.After(began)
	isLong := time.Since(began) >= r.pool.ReadTimeout
	switch {
	case r.next > next, isAlive && isLong:
		return 0
	case isResume && isLong:
		return maxFailures
	default:
		return failures + 1
	}
}

// givesUp reports whether a sidecar that breaks off each stream is worth no
// more tries: at once if the request can go elsewhere, else when the sidecar
// has shown no life within the bound on silence, since the run may still go on
// there. Without that, a link that is cut for a moment costs each caller behind
// it the answer.
func (r *run) givesUp() bool {
	return r.request.GetIdempotent() && r.forget() || time.Since(r.heard) >= r.pool.ReadTimeout
}

// pause waits between two tries; it returns false once the context has ended.
func (r *run) pause() bool {
	return pause.For(r.ctx, resumePause)
}

// once sends the request over the server's connection.
func (r *run) once(server *server) (*peerpb.End, error) {
	used, err := r.pool.connections.get(server.address)
	if err != nil {
		return nil, &notSentError{cause: err}
	}
	defer r.pool.connections.release(used)
	r.prepare()
	end, err := r.stream(used.ClientConn)
	if r.ctx.Err() != nil || !isConnectionFault(err) {
		return end, err
	}
	if !r.pool.connections.discard(server.address, used) {
		// Another stream closed this connection; that says nothing of the server.
		return nil, &lostError{cause: err}
	}
	return nil, err
}

// prepare sets what differs from send to send.
func (r *run) prepare() {
	r.request.SetFrom(r.next)
	r.request.SetResend(r.sent)
	if deadline, ok := r.ctx.Deadline(); ok {
		r.request.SetTimeout(durationpb.New(time.Until(deadline)))
	}
}

// meaning turns a fault of a stream into a refusal that says what is known.
func (r *run) meaning(server *server, err error) error {
	var unsent *notSentError
	switch {
	case !r.sent && (errors.As(err, &unsent) || isLost(err)):
		return refusal.NotRun(http.StatusServiceUnavailable, codeUnreached, "%s can't be reached", server.Name()).WithRetryAfter(retryAfter)
	case errors.As(err, &unsent), isLost(err):
		return refusal.Unknown(http.StatusBadGateway, codeLost, "%s no longer answers", server.Name()).WithRetryAfter(retryAfter)
	default:
		return err
	}
}

// stopOthers stops the request at the servers that it was tried at before. It
// is not stopped there earlier, since it may come back to them.
func (r *run) stopOthers(server *server) {
	for _, one := range r.left {
		if one.address != server.address {
			r.pool.cancel(one.address, r.request.GetId(), "answered elsewhere")
		}
	}
}

// gone ends a request whose caller is gone or whose sink failed, and stops it
// at the sidecar. It returns nil if neither is so.
func (r *run) gone(server *server, err error) error {
	var failed *sinkError
	switch {
	case errors.As(err, &failed):
		err = failed.cause
	case r.ctx.Err() != nil:
		err = r.ctx.Err()
	default:
		return nil
	}
	if r.sent {
		r.pool.cancel(server.address, r.request.GetId(), err.Error())
	}
	return err
}

// mayMove decides whether the request may go to another server.
//
// One that was proved not to run may always go. One that may have run goes only
// if it is idempotent and the caller has seen nothing of it; a claim goes only
// to the home that a newer fleet gives it. Both need the
// budget: without it a fleet that is too slow for its load would get each
// request several times and be slower still.
func (r *run) mayMove(err error) bool {
	refused := refusal.Of(err)
	if len(r.tried) >= maxServers || !isServerFault(refused) {
		return false
	}
	if !refusal.IsNotRun(err) && !r.request.GetIdempotent() {
		return false
	}
	if !r.forget() {
		return false
	}
	if !r.pool.budget.retry(time.Now()) {
		r.pool.Decisions.Record(r.request.GetId(), "route", "not tried elsewhere, the retry budget is spent")
		return false
	}
	r.pool.metrics.retries.Inc()
	r.pool.Decisions.Record(r.request.GetId(), "route", "tried elsewhere: %s", refused.Error())
	return true
}

// forget starts the answer anew.
func (r *run) forget() bool {
	if r.next == 0 {
		return true
	}
	if r.restart == nil || !r.restart() {
		return false
	}
	r.next = 0
	return true
}

// isBroken reports whether the stream ended without an answer. One that could
// not be opened counts only after the request was sent once: until then another
// server can have it.
func (r *run) isBroken(err error) bool {
	var unsent *notSentError
	return isLost(err) || r.sent && errors.As(err, &unsent)
}

func isLost(err error) bool {
	var broken *lostError
	return errors.As(err, &broken)
}

// isServerFault tells faults of one server from those of the request. A timeout
// is a fault of the server only where its backend server sent nothing: else the
// request's own time is over.
func isServerFault(refused *refusal.Error) bool {
	switch refused.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusInternalServerError:
		return true
	default:
		return refused.Code == codeSilent
	}
}

// isConnectionFault reports whether a stream's end speaks against its connection.
func isConnectionFault(err error) bool {
	var unsent *notSentError
	return errors.As(err, &unsent) || isLost(err) && !errors.Is(err, errCut)
}
