package batch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/occupancy"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
)

// fakeSharing is a pool that several models share, with a cap that tests set.
type fakeSharing struct {
	models int
	// unshared makes no pool shared.
	unshared  atomic.Bool
	cap       atomic.Int32
	announced atomic.Int32
	// answered is closed when the other owners have answered; nil answers at once.
	answered chan struct{}
	// demand is the waiting and running items of this process at the last share.
	demand atomic.Pointer[[]occupancy.ModelDemand]
}

func (f *fakeSharing) Models(string) int {
	if f.unshared.Load() {
		return 0
	}
	return f.models
}

func (f *fakeSharing) Announce(ctx context.Context) {
	f.announced.Add(1)
	if f.answered == nil {
		return
	}
	select {
	case <-f.answered:
	case <-ctx.Done():
	}
}

func (f *fakeSharing) Elsewhere(string, string, clock.Boot) (int, time.Duration) { return 0, 0 }

func (f *fakeSharing) Share(_, _ string, own []occupancy.ModelDemand, _, _ clock.Boot) Share {
	f.demand.Store(&own)
	return Share{Part: occupancy.Part{Cap: int(f.cap.Load())}, Slots: samplerSlots}
}

// sharedSlots is the number of slots of the sampler of startSharing.
const sharedSlots = 8

// startSharing starts a process whose sampler holds all runs until the returned function is called.
func startSharing(t *testing.T, sharing *fakeSharing) (p *process, release func()) {
	t.Helper()
	hold := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-hold:
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, firstEvent)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(server.Close)
	p = startProcess(t, &platformtest.Store{}, "g1", "g1")
	p.Roster.Wire, p.HeaderEncoder, p.Sharing = plainWire{}, plainWire{}, sharing
	p.Roster.Set(roster.Entry{
		ID: "s1", Pool: knownRoute.Pool, Address: server.Listener.Addr().String(), Slots: sharedSlots, StartedAtMillis: 1, Versions: map[string]uint64{"m": 3},
	})
	return p, func() { close(hold) }
}

func (p *process) running() int { return p.Roster.RunningByServer(knownRoute.Pool)["s1"] }

// Two batches of a model, at one process, would take twice the model's share if each had the cap for
// itself.
func TestBatchesOfAModelShareItsCap(t *testing.T) {
	sharing := &fakeSharing{models: 2}
	sharing.cap.Store(3)
	p, release := startSharing(t, sharing)
	first, second := newBatch(1, 1, 1, 1), newBatch(1, 1, 1, 1)
	second.SetId("b2")
	for _, item := range second.GetItems() {
		item.SetId("b2-" + item.GetId())
	}
	must.NoError(t, p.Accept(t.Context(), first))
	must.NoError(t, p.Accept(t.Context(), second))
	await(t, func() bool {
		return p.running() == 3 && len(p.Demands(knownRoute.Pool)) == 1 && p.Demands(knownRoute.Pool)[0].Waiting == 5
	})
	time.Sleep(3 * schedulePollInterval)
	must.Eq(t, 3, p.running())
	must.Eq(t, []occupancy.ModelDemand{{Model: "m", Waiting: 5, Running: 3, Weight: 1}}, p.Demands(knownRoute.Pool))
	t.Run("a higher cap is used by the next check", func(t *testing.T) {
		sharing.cap.Store(6)
		await(t, func() bool { return p.running() == 6 })
	})
	t.Run("a lower cap ends no run", func(t *testing.T) {
		sharing.cap.Store(1)
		time.Sleep(2 * schedulePollInterval)
		must.Eq(t, 6, p.running())
	})
	t.Run("ended runs are counted no more", func(t *testing.T) {
		release()
		await(t, func() bool {
			demands := p.Demands(knownRoute.Pool)
			return len(demands) == 1 && demands[0].Running == 0 && demands[0].Waiting == 0
		})
	})
}

// Three steps are accepted at the same moment. An owner that places before it has heard of the
// others takes slots that they take too.
func TestNoRunBeforeOwnersAnswer(t *testing.T) {
	sharing := &fakeSharing{models: 2, answered: make(chan struct{})}
	sharing.cap.Store(8)
	p, release := startSharing(t, sharing)
	defer release()
	submittedAt := clock.Now()
	must.NoError(t, p.Accept(t.Context(), newBatch(1, 1, 1, 1)))
	for sharing.announced.Load() == 0 {
		must.Eq(t, 0, p.running())
		time.Sleep(time.Millisecond)
	}
	// The items that wait are part of what the others are told.
	must.Eq(t, 4, p.Demands(knownRoute.Pool)[0].Waiting)
	await(t, func() bool { return p.running() == 4 })
	must.GreaterEq(t, announceTimeout, clock.Now().Sub(submittedAt))
	must.Eq(t, 1, sharing.announced.Load())
}

// With a single model in the pool, a step must not wait for other owners.
func TestSingleModelAnnouncesNothing(t *testing.T) {
	sharing := &fakeSharing{models: 1}
	p, release := startSharing(t, sharing)
	defer release()
	must.NoError(t, p.Accept(t.Context(), newBatch(1, 1, 1, 1)))
	await(t, func() bool { return p.running() == 4 })
	must.Eq(t, 0, sharing.announced.Load())
	must.SliceEmpty(t, p.Demands(knownRoute.Pool))
}

// A route's pool changes to one that isn't shared while items wait. Counted on as demand for the
// former pool, they would hold its other models at their caps until the batch ends.
func TestDemandLeavesFormerPool(t *testing.T) {
	sharing := &fakeSharing{models: 2}
	sharing.cap.Store(1)
	p, release := startSharing(t, sharing)
	defer release()
	must.NoError(t, p.Accept(t.Context(), newBatch(1, 1, 1, 1)))
	await(t, func() bool { return p.running() == 1 })
	must.SliceLen(t, 1, p.Demands(knownRoute.Pool))
	p.routes.set(Route{Pool: "other", Rules: knownRoute.Rules}, true)
	sharing.unshared.Store(true)
	await(t, func() bool { return len(p.Demands(knownRoute.Pool)) == 0 })
}

// A run that leaves its slow sampler while its model is above its cap would not be placed again: the
// longest text of a step would wait for the end of others.
func TestNoMoveAboveCap(t *testing.T) {
	s := newSampled(t, 10)
	s.sharing, s.demands = &fakeSharing{models: 2}, &demands{}
	s.shared = sharedPool{isShared: true, share: Share{Part: occupancy.Part{Cap: 1}}}
	must.True(t, s.reserve(knownRoute.Pool, clock.Now()))
	must.False(t, s.isOverCap(knownRoute.Pool))
	must.False(t, s.reserve(knownRoute.Pool, clock.Now()))
	s.shared.share.Part.Cap = 0
	must.True(t, s.isOverCap(knownRoute.Pool))
	s.shared.isShared = false
	must.False(t, s.isOverCap(knownRoute.Pool))
}

// A model that is held at its cap for long must not fill the log.
func TestHeldModelIsLoggedOnceASecond(t *testing.T) {
	d, key, now := &demands{}, modelInPool{"lm", "m"}, clock.Boot(time.Hour)
	must.True(t, d.mayLog(key, now))
	must.False(t, d.mayLog(key, now.Add(heldLogInterval-1)))
	must.True(t, d.mayLog(modelInPool{"lm", "n"}, now))
	must.True(t, d.mayLog(key, now.Add(heldLogInterval)))
}

// Guards against slots that are kept for a model while only other models' generations can run there.
func TestDemandIsBoundedByServersOfItsVersion(t *testing.T) {
	sharing := &fakeSharing{models: 2}
	sharing.cap.Store(2)
	p, release := startSharing(t, sharing)
	defer release()
	p.Roster.Set(roster.Entry{ID: "s2", Pool: knownRoute.Pool, Address: "127.0.0.1:1", Slots: 100, StartedAtMillis: 1, Versions: map[string]uint64{"other": 3}})
	must.NoError(t, p.Accept(t.Context(), newBatch(make([]uint64, 3*sharedSlots)...)))
	await(t, func() bool { return p.running() == 2 })
	must.Eq(t, []occupancy.ModelDemand{{Model: "m", Waiting: sharedSlots - 2, Running: 2, Weight: 1}}, p.Demands(knownRoute.Pool))
}
