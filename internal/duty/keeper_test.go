package duty_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
)

const (
	lease  = 10 * time.Second
	margin = 3 * time.Second
	// tick keeps a test's own events apart from those of the keeper's timers.
	tick = time.Millisecond
)

// record is what the holders of a duty did.
type record struct {
	mutex  sync.Mutex
	terms  []*duty.Term
	active int
	most   int
}

// work stays in its term until the context ends.
func (r *record) work(ctx context.Context, term *duty.Term) error {
	r.enter(term, 1)
	defer r.enter(nil, -1)
	<-ctx.Done()
	return nil
}

func (r *record) enter(term *duty.Term, by int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.active += by
	r.most = max(r.most, r.active)
	if term != nil {
		r.terms = append(r.terms, term)
	}
}

func (r *record) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.terms)
}

// working returns how many work now.
func (r *record) working() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.active
}

func (r *record) term(i int) *duty.Term {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.terms[i]
}

func newKeeper(store duty.Store, process string, rank int) *duty.Elector {
	return &duty.Elector{
		Store:   store,
		Name:    "order-a",
		Process: process,
		Lease:   lease,
		Margin:  margin,
		Rank:    func() int { return rank },
	}
}

// start runs a keeper and returns a function that stops it and waits.
func start(t *testing.T, keeper *duty.Elector, work duty.WorkFunc) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- keeper.Run(ctx, work) }()
	return func() {
		cancel()
		must.NoError(t, <-ended)
	}
}

func TestOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, record := newStore(), &record{}
		var stops []func()
		for rank, process := range []string{"e1", "e2", "e3", "e4"} {
			stops = append(stops, start(t, newKeeper(store, process, rank), record.work))
		}
		time.Sleep(10 * lease)
		must.Eq(t, 1, record.count())
		for _, stop := range stops {
			stop()
		}
		must.Eq(t, 1, record.most)
		for i := 1; i < record.count(); i++ {
			must.Greater(t, record.term(i-1).Fence(), record.term(i).Fence())
		}
	})
}

// Two processes send orders to one zone: the store goes away, the holder's
// lease lapses in it unseen, and the holder works on. Its term must have ended
// here before the store could give the duty to another.
func TestTermEndsInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, record := newStore(), &record{}
		stop := start(t, newKeeper(store, "e1", 0), record.work)
		time.Sleep(lease + tick)
		store.set(func() { store.down = true })
		time.Sleep(lease - margin)
		synctest.Wait()
		must.False(t, record.term(0).Valid(time.Now()))
		must.Eq(t, 0, record.active)
		stop()
	})
}

// Two processes send orders to one zone: the answer of a renewal comes late and
// is the last one before an outage. Counted from the answer, the term would end
// here only after the lease has lapsed in the store.
func TestTermCountsFromBeforeRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, record := newStore(), &record{}
		stop := start(t, newKeeper(&lateStore{store: store}, "e1", 0), record.work)
		for range 40 {
			time.Sleep(lease/10 + tick)
			must.False(t, record.term(0).Until().After(store.lapses(1).Add(-margin)))
		}
		must.Eq(t, 1, record.count())
		stop()
	})
}

// lateStore gives the answers of renewals late.
type lateStore struct {
	*store
}

func (l *lateStore) RenewLease(ctx context.Context, lease uint64, length time.Duration) error {
	err := l.store.RenewLease(ctx, lease, length)
	time.Sleep(2 * time.Second)
	return err
}

// Nobody orders servers for a whole lease: the write that took the duty was
// done, its answer was lost, and the process gave up what it held.
func TestTakesDutyWhoseAnswerWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, record := newStore(), &record{}
		keeper := newKeeper(&losingStore{store: store}, "e1", 0)
		stop := start(t, keeper, record.work)
		time.Sleep(lease / 4)
		must.Eq(t, 1, record.count())
		stop()
	})
}

// losingStore loses the answer of the first swap.
type losingStore struct {
	*store
	lost bool
}

func (l *losingStore) CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error) {
	revision, err := l.store.CompareAndSwap(ctx, key, expect, data, lease)
	if !l.lost {
		l.lost = true
		return 0, errCut
	}
	return revision, err
}

// One renewal's answer is lost, which must not end the term.
func TestLostRenewalKeepsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, record := newStore(), &record{}
		stop := start(t, newKeeper(store, "e1", 0), record.work)
		for range 20 {
			time.Sleep(lease + tick)
			store.set(func() { store.lose = 1 })
		}
		must.Eq(t, 1, record.count())
		must.True(t, record.term(0).Valid(time.Now()))
		stop()
	})
}

// The store's calls must not grow with the processes that could hold a duty.
func TestCallsDoNotGrowWithProcesses(t *testing.T) {
	few, many := callsOf(t, 10), callsOf(t, 400)
	// Candidates that start at once may each see the duty free: four calls each.
	must.Between(t, few-8, many, few+8)
}

func callsOf(t *testing.T, processes int) int {
	var calls int
	synctest.Test(t, func(t *testing.T) {
		store, record := newStore(), &record{}
		var stops []func()
		for rank := range processes {
			stops = append(stops, start(t, newKeeper(store, "e", rank), record.work))
		}
		time.Sleep(100*lease + tick)
		calls = store.count()
		for _, stop := range stops {
			stop()
		}
	})
	return calls
}

func TestTermWallClock(t *testing.T) {
	now := time.Now()
	term := duty.NewTerm(1, now.Add(time.Second))
	must.True(t, term.Valid(now))
	must.False(t, term.Valid(now.Add(time.Second)))
	t.Run("wall clock ahead", func(t *testing.T) {
		must.False(t, term.Valid(now.Round(0).Add(time.Hour)))
	})
}

func TestRankSpreads(t *testing.T) {
	candidates := []string{"e1", "e2", "e3", "e4"}
	held := map[string]int{}
	for _, name := range []string{"order-a", "order-b", "order-c", "order-d", "usage", "t1", "t2", "t3"} {
		for _, candidate := range candidates {
			if duty.Rank(name, candidate, candidates) == 0 {
				held[candidate]++
			}
		}
	}
	must.Greater(t, 2, len(held))
	must.Eq(t, 4, duty.Rank("usage", "e9", candidates))
}

func TestOrderIsByRank(t *testing.T) {
	candidates := []string{"e1", "e2", "e3", "e4"}
	for place, candidate := range duty.Order("usage", candidates) {
		must.Eq(t, place, duty.Rank("usage", candidate, candidates))
	}
	must.SliceEmpty(t, duty.Order("usage", nil))
}

// A holder is killed and is back within its lease. Waiting for its own lease to
// lapse, it left the duty undone for seconds: no weights were loaded, and the steps
// asked meanwhile found no sampler. What it had in its own start is no such case.
func TestResumesWhatItsLastStartHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &platformtest.Store{}
		granted, err := store.GrantLease(t.Context(), lease)
		must.NoError(t, err)
		left, err := store.CompareAndSwap(t.Context(), duty.Key("order-a"), 0, []byte("an earlier start"), granted)
		must.NoError(t, err)
		resuming, waiting := &record{}, &record{}
		restarted := newKeeper(store, "p1", 2)
		restarted.PriorClaim = func() duty.PriorClaim { return duty.PriorClaim{Revision: left, Fence: left} }
		stop := start(t, restarted, resuming.work)
		other := start(t, newKeeper(store, "p2", 0), waiting.work)
		defer other()
		time.Sleep(lease / 4)
		must.Eq(t, 1, resuming.count())
		must.Eq(t, 0, waiting.count())
		must.Eq(t, left, resuming.term(0).Fence())
		// Killed once more, the next start has to go on under the same fence.
		value, err := store.Get(t.Context(), duty.Key("order-a"))
		must.NoError(t, err)
		holder := &statepb.Holder{}
		must.NoError(t, proto.Unmarshal(value.Data, holder))
		must.Eq(t, left, holder.GetFence())
		stop()
		time.Sleep(lease)
		must.Eq(t, 1, waiting.count())
		must.Greater(t, left, waiting.term(0).Fence())
	})
}

// The store is away for longer than a term and counts no lease meanwhile. The holder
// waited for its own lease to lapse before it took the duty anew: for three seconds
// more nobody loaded weights. It goes on as soon as the store has renewed its lease,
// under the same fence; while that isn't known it does nothing.
func TestTermGoesOnUnderItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &platformtest.Store{}
		held, other := &record{}, &record{}
		stop := start(t, newKeeper(store, "p1", 0), held.work)
		defer stop()
		defer start(t, newKeeper(store, "p2", 1), other.work)()
		time.Sleep(lease/4 + tick)
		must.Eq(t, 1, held.count())
		store.SetUnavailable(true)
		time.Sleep(lease - margin + tick)
		must.Eq(t, 0, held.working())
		store.SetUnavailable(false)
		time.Sleep(margin / 2)
		must.Eq(t, 2, held.count())
		must.Eq(t, held.term(0).Fence(), held.term(1).Fence())
		must.False(t, held.term(0).Valid(time.Now()))
		time.Sleep(lease)
		must.Eq(t, 0, other.count())
	})
}

// The store is away for longer than a lease and counts it. Another process may hold
// the duty by then, and the former holder must not go on with its term.
func TestTermEndsWithItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &platformtest.Store{}
		held, other := &record{}, &record{}
		first := newKeeper(store, "p1", 0)
		var rank atomic.Int64
		first.Rank = func() int { return int(rank.Load()) }
		defer start(t, first, held.work)()
		time.Sleep(lease/4 + tick)
		must.Eq(t, 1, held.count())
		store.SetUnavailable(true)
		time.Sleep(lease + tick)
		must.Eq(t, 0, held.working())
		rank.Store(2)
		store.SetUnavailable(false)
		defer start(t, newKeeper(store, "p2", 0), other.work)()
		time.Sleep(lease)
		must.Eq(t, 1, other.count())
		must.Eq(t, 1, held.count())
		must.Greater(t, held.term(0).Fence(), other.term(0).Fence())
	})
}
