package detour

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// fakePeers answers relayed calls with a fixed result.
type fakePeers struct {
	calls  atomic.Int64
	result RelayResult
	// status is the HTTP status of the answers; 0 means 200.
	status int
}

func (p *fakePeers) Detour(context.Context, Call) (Answer, RelayResult) {
	p.calls.Add(1)
	return Answer{Status: max(http.StatusOK, p.status), Body: []byte("by a peer")}, p.result
}

// newStore starts a store that answers with a status. It returns a client and the
// number of calls to the store.
func newStore(t *testing.T, status *atomic.Int64) (*Direct, *atomic.Int64) {
	t.Helper()
	calls := &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(int(status.Load()))
	}))
	t.Cleanup(server.Close)
	return &Direct{Address: strings.TrimPrefix(server.URL, "http://")}, calls
}

func do(t *testing.T, transport *Transport) (Answer, error) {
	t.Helper()
	return transport.Do(t.Context(), Call{Method: http.MethodGet, Target: "/x", Timeout: 300 * time.Millisecond})
}

// Guards against failed calls while the store rejects a gateway for seconds: calls must
// go through another gateway at once, and periodic checks must detect that the store
// accepts direct calls again.
func TestRejectedCallsAreRelayed(t *testing.T) {
	status := &atomic.Int64{}
	status.Store(http.StatusServiceUnavailable)
	direct, calls := newStore(t, status)
	peer := &fakePeers{result: Answered}
	transport := &Transport{Direct: direct, Peers: peer}
	for range 10 {
		answer, err := do(t, transport)
		must.NoError(t, err)
		must.Eq(t, "by a peer", string(answer.Body))
	}
	must.Eq(t, 1, calls.Load())
	must.Eq(t, 10, peer.calls.Load())
	status.Store(http.StatusOK)
	transport.directFailedAt = transport.directFailedAt.Add(-directCheckInterval)
	_, err := transport.Do(t.Context(), Call{Method: http.MethodPost, Target: "/x", Timeout: 300 * time.Millisecond, Repeatable: true})
	must.NoError(t, err)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return !transport.isDirectDown() }), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
	_, err = do(t, transport)
	must.NoError(t, err)
	must.Eq(t, 11, peer.calls.Load())
}

// Guards against waiting for a direct call on each request while packets from a gateway
// to the store are lost without an error: batches were accepted 0.7 s late.
func TestSilentStoreIsNotWaitedFor(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	transport := &Transport{Direct: &Direct{Address: listener.Addr().String()}, Peers: &fakePeers{result: Answered}}
	_, err = do(t, transport)
	must.NoError(t, err)
	transport.directFailedAt = transport.directFailedAt.Add(-directCheckInterval)
	began := time.Now()
	for range 5 {
		_, err := do(t, transport)
		must.NoError(t, err)
	}
	must.Less(t, 200*time.Millisecond, time.Since(began))
}

// An error status for the call itself is an answer, which is not retried through peers.
func TestAnswersAreFinal(t *testing.T) {
	status := &atomic.Int64{}
	status.Store(http.StatusPreconditionFailed)
	direct, _ := newStore(t, status)
	peer := &fakePeers{result: Answered}
	answer, err := do(t, &Transport{Direct: direct, Peers: peer})
	must.NoError(t, err)
	must.Eq(t, http.StatusPreconditionFailed, answer.Status)
	must.Eq(t, 0, peer.calls.Load())
}

func TestNoStoreAndNoPeer(t *testing.T) {
	transport := &Transport{Direct: &Direct{Address: "127.0.0.1:1"}, Peers: &fakePeers{}}
	_, err := do(t, transport)
	must.Error(t, err)
}

// Guards against a rejection in place of an unknown outcome: the first attempt at
// storing a batch gets no answer, and the second is rejected with 503. The response to
// the trainer must not state that nothing runs, since the store may still apply the
// first attempt.
func TestUnknownOutcomeIsNoRejection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	status := &atomic.Int64{}
	status.Store(http.StatusServiceUnavailable)
	rejecting, _ := newStore(t, status)
	var unknown *OutcomeUnknownError
	t.Run("direct without an answer, refused through a peer", func(t *testing.T) {
		transport := &Transport{Direct: &Direct{Address: listener.Addr().String()}, Peers: &fakePeers{result: Answered, status: http.StatusServiceUnavailable}}
		_, err := do(t, transport)
		must.True(t, errors.As(err, &unknown))
	})
	t.Run("refused directly, without an answer through a peer", func(t *testing.T) {
		_, err := do(t, &Transport{Direct: rejecting, Peers: &fakePeers{result: OutcomeUnknown}})
		must.True(t, errors.As(err, &unknown))
	})
	t.Run("refused on both ways", func(t *testing.T) {
		answer, err := do(t, &Transport{Direct: rejecting, Peers: &fakePeers{result: NotSent}})
		must.NoError(t, err)
		must.Eq(t, http.StatusServiceUnavailable, answer.Status)
	})
}

// Guards against overloading a recovering store: after an outage of seconds, repeated
// calls from all components of all gateways would use up the store's rate limit.
func TestRejectionIsRemembered(t *testing.T) {
	status := &atomic.Int64{}
	status.Store(http.StatusServiceUnavailable)
	direct, calls := newStore(t, status)
	call := Call{Method: http.MethodGet, Target: "/x", Timeout: 300 * time.Millisecond}
	for range 20 {
		answer, err := direct.Do(t.Context(), call)
		must.NoError(t, err)
		must.Eq(t, http.StatusServiceUnavailable, answer.Status)
	}
	must.Eq(t, 1, calls.Load())
	status.Store(http.StatusOK)
	time.Sleep(rejectionTTL)
	answer, err := direct.Do(t.Context(), call)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, answer.Status)
	t.Run("a call that gets no answer says nothing of the next one", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		silent := &Direct{Address: listener.Addr().String()}
		for range 2 {
			_, err := silent.Do(t.Context(), Call{Method: http.MethodGet, Target: "/x", Timeout: 20 * time.Millisecond})
			must.Error(t, err)
		}
	})
}

// Guards against treating a slow download as an outage: a megabyte of outcomes takes
// longer than the timeout on a narrow link. All calls of the process were relayed for a
// second, and the megabyte was sent over the same link twice.
func TestLongAnswerIsNoOutage(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write(make([]byte, 10))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	peer := &fakePeers{result: Answered}
	transport := &Transport{Direct: &Direct{Address: strings.TrimPrefix(server.URL, "http://")}, Peers: peer}
	_, err := do(t, transport)
	var longAnswer *LongAnswerError
	must.True(t, errors.As(err, &longAnswer))
	must.False(t, transport.isDirectDown())
	must.Eq(t, 0, peer.calls.Load())
}

// Guards against floods of calls while the store's host resets every connection: all
// calls of all gateways were retried every tenth of a second, which made 4500 calls in
// five seconds.
func TestResetsAreRemembered(t *testing.T) {
	calls, isHealthy := &atomic.Int64{}, &atomic.Bool{}
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		if !isHealthy.Load() {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	direct := &Direct{Address: strings.TrimPrefix(server.URL, "http://")}
	call := Call{Method: http.MethodPost, Target: "/x", Timeout: 300 * time.Millisecond}
	for range 20 {
		answer, err := direct.Do(t.Context(), call)
		must.True(t, err != nil || answer.Status == http.StatusServiceUnavailable)
	}
	must.Eq(t, maxResets, calls.Load())
	isHealthy.Store(true)
	time.Sleep(rejectionTTL)
	answer, err := direct.Do(t.Context(), call)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, answer.Status)
	t.Run("single reset is not a rejection", func(t *testing.T) {
		isHealthy.Store(false)
		_, err := direct.Do(t.Context(), call)
		must.Error(t, err)
		isHealthy.Store(true)
		answer, err := direct.Do(t.Context(), call)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, answer.Status)
	})
}
