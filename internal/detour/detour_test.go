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

// way is a peer that makes calls, or can't.
type way struct {
	calls atomic.Int64
	made  RelayResult
	// status is that of its answers; 0 is 200.
	status int
}

func (w *way) Detour(context.Context, Call) (Answer, RelayResult) {
	w.calls.Add(1)
	return Answer{Status: max(http.StatusOK, w.status), Body: []byte("by a peer")}, w.made
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
// at once; a look now and then finds that the store serves it again.
func TestTurnedAway(t *testing.T) {
	status := &atomic.Int64{}
	status.Store(http.StatusServiceUnavailable)
	direct, calls := newStore(t, status)
	peer := &way{made: Answered}
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
	_, err := caller.Do(t.Context(), Call{Method: http.MethodPost, Target: "/x", Timeout: 300 * time.Millisecond, Probe: true})
	must.NoError(t, err)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return !caller.isAway() }), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
	_, err = do(t, caller)
	must.NoError(t, err)
	must.Eq(t, 11, peer.calls.Load())
}

// A gateway is cut off from the store without an error. No call waits for the
// direct way again and again; its batches were accepted 0.7 s late for that.
func TestSilentStoreIsNotWaitedFor(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	caller := &Caller{Direct: &Direct{Address: listener.Addr().String()}, Peers: &way{made: Answered}}
	_, err = do(t, caller)
	must.NoError(t, err)
	caller.away = caller.away.Add(-directAgain)
	began := time.Now()
	for range 5 {
		_, err := do(t, caller)
		must.NoError(t, err)
	}
	must.Less(t, 200*time.Millisecond, time.Since(began))
}

// A refusal of the store for the call itself is an answer, and no reason to ask
// through others.
func TestAnswersAreFinal(t *testing.T) {
	status := &atomic.Int64{}
	status.Store(http.StatusPreconditionFailed)
	direct, _ := newStore(t, status)
	peer := &way{made: Answered}
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

// A batch is sent to the store, and no answer comes: the store may hold it. The
// other way then says 503. Told "nothing runs", the trainer would be told an
// untruth as soon as the first try is done.
func TestUnsureIsNoRefusal(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	status := &atomic.Int64{}
	status.Store(http.StatusServiceUnavailable)
	refusing, _ := newStore(t, status)
	var unsure *OutcomeUnknownError
	t.Run("direct without an answer, refused through a peer", func(t *testing.T) {
		caller := &Caller{Direct: &Direct{Address: listener.Addr().String()}, Peers: &way{made: Answered, status: http.StatusServiceUnavailable}}
		_, err := do(t, caller)
		must.True(t, errors.As(err, &unsure))
	})
	t.Run("refused directly, without an answer through a peer", func(t *testing.T) {
		_, err := do(t, &Caller{Direct: refusing, Peers: &way{made: OutcomeUnknown}})
		must.True(t, errors.As(err, &unsure))
	})
	t.Run("refused on both ways", func(t *testing.T) {
		answer, err := do(t, &Caller{Direct: refusing, Peers: &way{made: NotSent}})
		must.NoError(t, err)
		must.Eq(t, http.StatusServiceUnavailable, answer.Status)
	})
}

// The store is away for seconds. All parts of all gateways ask it again and
// again, and their calls take up its limit just as it comes back.
func TestRefusalIsRemembered(t *testing.T) {
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
	time.Sleep(refusedFor)
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

// A gateway on a narrow link reads a megabyte of outcomes, which take longer than
// a call may. The store is well; taken for lost, all calls of the process went
// through others for a second, and the megabyte a second time over the same link.
func TestLongAnswerIsNoLoss(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write(make([]byte, 10))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	peer := &way{made: Answered}
	caller := &Caller{Direct: &Direct{Address: strings.TrimPrefix(server.URL, "http://")}, Peers: peer}
	_, err := do(t, caller)
	var long *LongAnswerError
	must.True(t, errors.As(err, &long))
	must.False(t, caller.isAway())
	must.Eq(t, 0, peer.calls.Load())
}

// The store's machine is up and resets every connection. All calls of all
// gateways were made again each tenth of a second, four and a half thousand in
// five seconds.
func TestResetsAreRemembered(t *testing.T) {
	calls, isWell := &atomic.Int64{}, &atomic.Bool{}
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		if !isWell.Load() {
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
	must.Eq(t, resetsInRow, calls.Load())
	isWell.Store(true)
	time.Sleep(refusedFor)
	answer, err := direct.Do(t.Context(), call)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, answer.Status)
	t.Run("one that is cut says nothing of the others", func(t *testing.T) {
		isWell.Store(false)
		_, err := direct.Do(t.Context(), call)
		must.Error(t, err)
		isWell.Store(true)
		answer, err := direct.Do(t.Context(), call)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, answer.Status)
	})
}
