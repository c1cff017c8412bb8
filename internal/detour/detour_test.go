package detour

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// way is a peer that makes calls, or can't.
type way struct {
	calls atomic.Int64
	works bool
}

func (w *way) Detour(context.Context, Call) (Answer, bool) {
	w.calls.Add(1)
	return Answer{Status: http.StatusOK, Body: []byte("by a peer")}, w.works
}

// newStore returns a store that answers with a status, and a count of its calls.
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

func do(t *testing.T, caller *Caller) (Answer, error) {
	t.Helper()
	return caller.Do(t.Context(), Call{Method: http.MethodGet, Target: "/x", Timeout: 300 * time.Millisecond})
}

// The store turns a gateway away for seconds. Its calls go through another one
// at once, and it asks directly again only now and then.
func TestTurnedAway(t *testing.T) {
	status := &atomic.Int64{}
	status.Store(http.StatusServiceUnavailable)
	direct, calls := newStore(t, status)
	peer := &way{works: true}
	caller := &Caller{Direct: direct, Peers: peer}
	for range 10 {
		answer, err := do(t, caller)
		must.NoError(t, err)
		must.Eq(t, "by a peer", string(answer.Body))
	}
	must.Eq(t, 1, calls.Load())
	must.Eq(t, 10, peer.calls.Load())
	status.Store(http.StatusOK)
	caller.away = caller.away.Add(-directAgain)
	answer, err := do(t, caller)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, answer.Status)
	must.Eq(t, 10, peer.calls.Load())
}

// A refusal of the store for the call itself is an answer, and no reason to ask
// through others.
func TestAnswersAreFinal(t *testing.T) {
	status := &atomic.Int64{}
	status.Store(http.StatusPreconditionFailed)
	direct, _ := newStore(t, status)
	peer := &way{works: true}
	answer, err := do(t, &Caller{Direct: direct, Peers: peer})
	must.NoError(t, err)
	must.Eq(t, http.StatusPreconditionFailed, answer.Status)
	must.Eq(t, 0, peer.calls.Load())
}

func TestNoWay(t *testing.T) {
	caller := &Caller{Direct: &Direct{Address: "127.0.0.1:1"}, Peers: &way{}}
	_, err := do(t, caller)
	must.Error(t, err)
}
