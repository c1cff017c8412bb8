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
	// maxFailures is the number of consecutive streams that may break early and without a
	// frame before the request moves to another server, if it may move.
	maxFailures = 4
	// maxServers is the maximum number of servers tried for one request.
	maxServers = 3
	retryAfter = time.Second
	// codeUnreachable and codeLost are the refusal codes for connection errors.
	codeUnreachable = "no_connection"
	codeLost        = "server_lost"
	// codeReadTimeout is the refusal code of sidecars whose backend server timed out.
	codeReadTimeout = "backend_silent"
	// resumeDelay is the delay between two attempts to reconnect to a sidecar.
	resumeDelay = 50 * time.Millisecond
)

// run is the state of one request across servers and connections.
type run struct {
	pool    *Pool
	ctx     context.Context
	request *peerpb.RunRequest
	sink    Sink
	restart Restart
	// prefix is the hash of the prompt's first bytes; 0 if there is none.
	prefix uint64
	// next is the number of the next frame to pass to sink.
	next uint64
	// sent is true once the request may have reached the current server.
	sent bool
	// mayHaveRun is true once any server may have run the request.
	mayHaveRun bool
	// lastFrameTime is when the current server last sent a frame of the request.
	lastFrameTime time.Time
	start         time.Time
	// previous holds the servers that the request has moved away from.
	previous []*server
	// tried holds the servers to which the request was assigned.
	tried map[string]bool
}

// execute sends the request to servers until a server has answered it completely.
func (r *run) execute() (*peerpb.End, error) {
	var last error
	for {
		server, err := r.chooseServer(last)
		if err != nil {
			return nil, err
		}
		end, err := r.runOn(server)
		if err == nil {
			r.pool.reportCounts(end)
			r.cancelOthers(server)
			return end, nil
		}
		if aborted := r.abort(server, err); aborted != nil {
			return nil, aborted
		}
		r.mayHaveRun = r.mayHaveRun || !refusal.IsNotRun(err)
		if !r.mayMove(err) {
			return nil, r.refuse(err)
		}
		r.previous = append(r.previous, server)
		last = err
	}
}

// chooseServer chooses the next server. If no server is left, it returns the refusal of the
// previous server.
func (r *run) chooseServer(last error) (*server, error) {
	chosen, reason := r.pool.choose(r.request, r.prefix, r.tried)
	if chosen != nil {
		r.pool.Decisions.Record(r.request.GetId(), "route", "%s, %s", chosen.Name(), reason)
		return chosen, nil
	}
	if last != nil && r.resetTried(last) {
		return r.chooseServer(last)
	}
	if last != nil {
		return nil, r.refuse(last)
	}
	return nil, r.refuse(refusal.NotRun(http.StatusServiceUnavailable, "no_server", "no backend server of %s: %s", r.request.GetPool(), reason).WithRetryAfter(retryAfter))
}

// refuse ends the request with the refusal of the last server.
//
// The last server may certainly have run nothing, while an earlier server may have run the
// request before it was lost. Once any server may have run the request, the outcome is
// unknown, and the caller must not receive "not run".
func (r *run) refuse(err error) *refusal.Error {
	refused := *refusal.Of(err)
	if r.mayHaveRun {
		refused.Outcome = peerpb.Outcome_OUTCOME_UNKNOWN
	}
	return r.pool.countRefusal(&refused)
}

// resetTried makes all servers eligible again after a delay if none could be reached and
// the read timeout has not passed. Without the reset, a brief network failure between the
// entry and all sidecars would fail every request that starts during the failure.
func (r *run) resetTried(last error) bool {
	code := refusal.Of(last).Code
	if code != codeUnreachable && code != codeLost {
		return false
	}
	if time.Since(r.start) >= r.pool.ReadTimeout || !r.pause() {
		return false
	}
	clear(r.tried)
	return true
}

// runOn receives the answer of one server over as many connections as necessary.
func (r *run) runOn(server *server) (*peerpb.End, error) {
	r.tried[server.Name()] = true
	r.sent = false
	r.lastFrameTime = time.Now()
	r.pool.directory.begin(server)
	defer r.pool.directory.finish(server)
	failures := 0
	for isResume := false; ; isResume = true {
		start, next := time.Now(), r.next
		end, err := r.sendOnce(server)
		if err == nil || !r.isBroken(err) || r.ctx.Err() != nil {
			return end, r.toRefusal(server, err)
		}
		failures = r.countFailure(failures, isResume, start, next)
		r.pool.metrics.resumes.Inc()
		r.pool.Decisions.Record(r.request.GetId(), "route", "%s, again from frame %d: %v", server.Name(), r.next, err)
		if failures >= maxFailures && r.shouldGiveUp() {
			return nil, r.toRefusal(server, err)
		}
		if failures > 1 && !r.pause() {
			return nil, r.toRefusal(server, err)
		}
	}
}

// countFailure counts the consecutive streams that broke without progress. A resumed stream
// that times out without any frame reaches the limit at once: the sidecar does not answer
// on a new connection either.
func (r *run) countFailure(failures int, isResume bool, start time.Time, next uint64) int {
	isAlive := r.lastFrameTime.After(start)
	timedOut := time.Since(start) >= r.pool.ReadTimeout
	switch {
	case r.next > next, isAlive && timedOut:
		return 0
	case isResume && timedOut:
		return maxFailures
	default:
		return failures + 1
	}
}

// shouldGiveUp reports whether to stop retrying a sidecar whose streams keep breaking:
// immediately if the request can go to another server, otherwise once the sidecar has sent
// nothing for the read timeout. Until then the run may still continue at the sidecar;
// giving up earlier would lose the answer of every request to that sidecar in a brief
// network failure.
func (r *run) shouldGiveUp() bool {
	return r.request.GetIdempotent() && r.restartAnswer() || time.Since(r.lastFrameTime) >= r.pool.ReadTimeout
}

// pause waits between two attempts; it returns false once the context has ended.
func (r *run) pause() bool {
	return pause.For(r.ctx, resumeDelay)
}

// sendOnce sends the request once over the server's connection.
func (r *run) sendOnce(server *server) (*peerpb.End, error) {
	conn, err := r.pool.connections.get(server.address)
	if err != nil {
		return nil, &notSentError{cause: err}
	}
	defer r.pool.connections.release(conn)
	r.prepareSend()
	end, err := r.stream(conn.ClientConn)
	if r.ctx.Err() != nil || !isConnectionFault(err) {
		return end, err
	}
	if !r.pool.connections.discard(server.address, conn) {
		// Another stream closed this connection, which is no sign of a fault at the server.
		return nil, &lostError{cause: err}
	}
	return nil, err
}

// prepareSend sets the fields that differ between attempts.
func (r *run) prepareSend() {
	r.request.SetFrom(r.next)
	r.request.SetResend(r.sent)
	if deadline, ok := r.ctx.Deadline(); ok {
		r.request.SetTimeout(durationpb.New(time.Until(deadline)))
	}
}

// toRefusal converts a stream error into a refusal. The outcome is "not run" only if the
// request was never sent to this server.
func (r *run) toRefusal(server *server, err error) error {
	var notSent *notSentError
	switch {
	case !r.sent && (errors.As(err, &notSent) || isLost(err)):
		return refusal.NotRun(http.StatusServiceUnavailable, codeUnreachable, "%s can't be reached", server.Name()).WithRetryAfter(retryAfter)
	case errors.As(err, &notSent), isLost(err):
		return refusal.Unknown(http.StatusBadGateway, codeLost, "%s no longer answers", server.Name()).WithRetryAfter(retryAfter)
	default:
		return err
	}
}

// cancelOthers cancels the request at the servers that were tried before. They receive no
// earlier cancellation, since the request may return to them.
func (r *run) cancelOthers(server *server) {
	for _, other := range r.previous {
		if other.address != server.address {
			r.pool.cancel(other.address, r.request.GetId(), "answered elsewhere")
		}
	}
}

// abort ends a request whose caller disconnected or whose sink failed, and cancels it at
// the sidecar. In other cases it returns nil.
func (r *run) abort(server *server, err error) error {
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

// mayMove reports whether the request may move to another server.
//
// A request that certainly did not run may always move. A request that may have run moves
// only if it is idempotent and the caller has received no part of its answer; a claim moves
// only to its home in a newer fleet. Each move consumes the retry budget: without the
// budget, an overloaded fleet would receive each request several times and become slower
// still.
func (r *run) mayMove(err error) bool {
	refused := refusal.Of(err)
	if len(r.tried) >= maxServers || !isServerFault(refused) {
		return false
	}
	if !refusal.IsNotRun(err) && !r.request.GetIdempotent() {
		return false
	}
	if !r.restartAnswer() {
		return false
	}
	if !r.pool.budget.allowRetry(time.Now()) {
		r.pool.Decisions.Record(r.request.GetId(), "route", "not tried elsewhere, the retry budget is spent")
		return false
	}
	r.pool.metrics.retries.Inc()
	r.pool.Decisions.Record(r.request.GetId(), "route", "tried elsewhere: %s", refused.Error())
	return true
}

// restartAnswer discards the frames that the sink received; it returns false if that is not
// possible.
func (r *run) restartAnswer() bool {
	if r.next == 0 {
		return true
	}
	if r.restart == nil || !r.restart() {
		return false
	}
	r.next = 0
	return true
}

// isBroken reports whether the stream ended without an answer. A stream that could not be
// opened counts as broken only if the request was sent earlier; otherwise another server
// can run it.
func (r *run) isBroken(err error) bool {
	var notSent *notSentError
	return isLost(err) || r.sent && errors.As(err, &notSent)
}

func isLost(err error) bool {
	var broken *lostError
	return errors.As(err, &broken)
}

// isServerFault reports whether a refusal is caused by the server and not by the request. A
// timeout counts as the server's fault only if its backend server sent nothing: otherwise
// the request's own deadline passed.
func isServerFault(refused *refusal.Error) bool {
	switch refused.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusInternalServerError:
		return true
	default:
		return refused.Code == codeReadTimeout
	}
}

// isConnectionFault reports whether a stream's error indicates a broken connection.
func isConnectionFault(err error) bool {
	var notSent *notSentError
	return errors.As(err, &notSent) || isLost(err) && !errors.Is(err, errNoEnd)
}
