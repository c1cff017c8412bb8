package batch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/admission"
	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
)

const (
	firstEvent   = "id: 1\ndata: x\n\n"
	samplerSlots = 4
)

// plainWire passes no metadata in headers. All answers are of the version that newBatch allows.
type plainWire struct{ backend.Wire }

func (plainWire) Prepare(http.Header, backend.Request)           {}
func (plainWire) IsAnswerTo(*http.Response, string) bool         { return true }
func (plainWire) IsNotRun(*http.Response) bool                   { return false }
func (plainWire) Version(*http.Response) uint64                  { return 3 }
func (plainWire) ParseVersionLine(string) (uint64, bool)         { return 0, false }
func (plainWire) EncodeItemHeader(map[string]string) http.Header { return http.Header{} }

// sampled is the owner of a batch with a sampler.
type sampled struct {
	*owner

	t *testing.T
	// reached is the number of runs that have reached the sampler.
	reached atomic.Int32
	// address, slots and starts are those of the sampler.
	address string
	slots   int
	starts  int64
}

// newSampled returns the owner of a batch with items of these expected lengths, which differ in their bodies.
func newSampled(t *testing.T, expected ...uint64) *sampled {
	t.Helper()
	batch := newBatch(expected...)
	for _, item := range batch.GetItems() {
		item.SetBody([]byte(item.GetId()))
	}
	return &sampled{t: t, owner: &owner{
		batch:         batch,
		route:         func() (Route, bool) { return knownRoute, true },
		roster:        &roster.Roster{Wire: plainWire{}},
		scorer:        &scorer{},
		onScored:      func() {},
		headerEncoder: plainWire{},
		metrics:       newMetrics(nil, nil),
		plan:          NewPlan(batch, knownRoute.Rules, clock.Now()),
		runs:          map[int]*activeRun{},
		wake:          make(chan struct{}, 1),
	}}
}

// startSampler starts a sampler that gives the same reply to all runs.
func (s *sampled) startSampler(slots int, reply http.HandlerFunc) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.reached.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		reply(w, r)
	}))
	s.t.Cleanup(server.Close)
	s.address, s.slots = server.Listener.Addr().String(), slots
	s.register()
}

// register registers a new start of the sampler.
func (s *sampled) register() {
	s.starts++
	s.roster.Set(roster.Entry{
		ID: "s1", Pool: knownRoute.Pool, Address: s.address, Slots: s.slots, StartedAtMillis: s.starts,
		Versions: map[string]uint64{"m": 3},
	})
}

// generateFirst runs the first item to the end of its run.
func (s *sampled) generateFirst(ctx context.Context) {
	s.t.Helper()
	job := mustStart(s.t, s.plan, clock.Now(), "i0")
	server := s.roster.Place(s.need(knownRoute.Pool))
	must.NotNil(s.t, server)
	s.generate(ctx, job, server)
}

// startAll starts the runs that can start at a time, and waits for their ends.
func (s *sampled) startAll(now clock.Boot) {
	s.mutex.Lock()
	for s.startRun(s.t.Context(), knownRoute.Pool, now) {
	}
	s.mutex.Unlock()
	s.tasks.Wait()
}

// mustHaveFreeSlots checks that all slots of the sampler are free, and that its owner doesn't avoid it.
func (s *sampled) mustHaveFreeSlots() {
	s.t.Helper()
	for range samplerSlots {
		must.NotNil(s.t, s.roster.Place(s.need(knownRoute.Pool)))
	}
	must.Nil(s.t, s.roster.Place(s.need(knownRoute.Pool)))
}

func crash(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// sendEvent sends the first event of a text, and then ends as another reply does.
func sendEvent(end http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, firstEvent)
		_ = http.NewResponseController(w).Flush()
		end(w, r)
	}
}

// crashAtFirst crashes the sampler in the first runs, and then sends a whole text.
func (s *sampled) crashAtFirst(runs int32) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.reached.Load() <= runs {
			crash(w, r)
		}
		sendEvent(func(http.ResponseWriter, *http.Request) {})(w, r)
	}
}

// unluckyRuns is more than the crashes after which a caller's request is quarantined, with all its trials.
const unluckyRuns = 8

// Guards against an item that is never placed again because samplers crashed while they ran it.
func TestCrashedItemIsOwed(t *testing.T) {
	s := newSampled(t, 100)
	s.startSampler(samplerSlots, s.crashAtFirst(unluckyRuns))
	now := clock.Now()
	for run := range int32(unluckyRuns) + 1 {
		must.Eq(t, waiting, s.plan.items[0].phase)
		must.Eq(t, 1, s.plan.Waiting())
		s.startAll(now)
		must.Eq(t, run+1, s.reached.Load())
		s.register()
		now = clock.Now().Add(maxFaultPause)
	}
	must.Eq(t, unscored, s.plan.items[0].phase)
	must.SliceEmpty(t, pendingOf(s.plan))
	s.mustHaveFreeSlots()
}

// Guards against an item under which a sampler crashed that keeps all other items from the slots.
func TestCrashedItemTakesNoSlot(t *testing.T) {
	s := newSampled(t, 900, 100)
	s.startSampler(1, s.crashAtFirst(1))
	now := clock.Now()
	s.startAll(now)
	s.register()
	s.startAll(now)
	must.Eq(t, 2, s.reached.Load())
	must.Eq(t, waiting, s.plan.items[0].phase)
	must.Eq(t, unscored, s.plan.items[1].phase)
	must.Eq(t, 1, s.plan.Waiting())
	t.Run("and runs after its pause", func(t *testing.T) {
		s.startAll(now.Add(maxFaultPause))
		must.Eq(t, 3, s.reached.Load())
		must.Eq(t, unscored, s.plan.items[0].phase)
	})
}

// Guards against a step that takes the slots of an older one whose items wait after crashes of their samplers.
func TestPrecedenceOfCrashedItems(t *testing.T) {
	older, younger := newSampled(t, 100), newSampled(t, 100)
	younger.yieldTo(older.owner)
	mustHavePrecedence := func(want bool) {
		t.Helper()
		must.False(t, older.schedule(t.Context(), t.Context()))
		must.Eq(t, want, younger.hasPrecedence())
	}
	mustHavePrecedence(false)
	older.startSampler(samplerSlots, older.crashAtFirst(1))
	older.startAll(clock.Now())
	mustHavePrecedence(false)
	older.register()
	older.startAll(clock.Now().Add(maxFaultPause))
	mustHavePrecedence(true)
}

// Guards against a run that is ended at its timeout and counts as a crash of its server.
func TestRunTimeoutIsNoCrash(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 0)
	defer cancel()
	errCut := refusal.Unknown(http.StatusBadGateway, backend.CodeInterrupted, "cut")
	must.NotEq(t, backend.CodeInterrupted, refusal.Of(runError(ctx, "s1", errCut)).Code)
	must.Eq(t, backend.CodeInterrupted, refusal.Of(runError(t.Context(), "s1", errCut)).Code)
}

// refusingScorer scores nothing.
type refusingScorer struct {
	scorer

	err error
}

func (s *refusingScorer) Score(context.Context, *statepb.Scorer) (string, error) { return "", s.err }

func refuseOverloaded(retryAfter time.Duration) error {
	return refusal.NotRun(http.StatusServiceUnavailable, admission.CodeOverloaded, "full").WithRetryAfter(retryAfter)
}

// Guards against a refused text that is sent to its scorer ten times a second, or that isn't scored for minutes after the
// overload has ended.
func TestScoringDelay(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want time.Duration
	}{
		"an error":                         {errors.New("no answer"), faultPause},
		"another refusal":                  {refusal.NotRun(http.StatusServiceUnavailable, backend.CodeFull, "full").WithRetryAfter(time.Second), faultPause},
		"overloaded":                       {refuseOverloaded(maxScoringDelay / 2), maxScoringDelay / 2},
		"overloaded for a long time":       {refuseOverloaded(time.Minute), maxScoringDelay},
		"overloaded for an instant longer": {refuseOverloaded(time.Millisecond), faultPause},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSampled(t, 100)
			s.scorer = &refusingScorer{err: test.err}
			job := mustGenerate(t, s.plan, mustStart(t, s.plan, clock.Now(), "i0"), 3, "a")
			before := clock.Now()
			s.score(t.Context(), job, func() {})
			_, ok := s.plan.NextScore(before.Add(test.want - 1))
			must.False(t, ok)
			_, ok = s.plan.NextScore(clock.Now().Add(test.want))
			must.True(t, ok)
		})
	}
}
