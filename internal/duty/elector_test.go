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
	// tick is the offset that separates a test's events from the elector's timers.
	tick = time.Millisecond
)

// workLog records the terms in which holders worked, and how many holders work now.
type workLog struct {
	mutex     sync.Mutex
	terms     []*duty.Term
	active    int
	maxActive int
}

// work is a WorkFunc that blocks until the context ends.
func (w *workLog) work(ctx context.Context, term *duty.Term) error {
	w.enter(term, 1)
	defer w.enter(nil, -1)
	<-ctx.Done()
	return nil
}

func (w *workLog) enter(term *duty.Term, delta int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.active += delta
	w.maxActive = max(w.maxActive, w.active)
	if term != nil {
		w.terms = append(w.terms, term)
	}
}

func (w *workLog) count() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.terms)
}

// working returns how many holders are working now.
func (w *workLog) working() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.active
}

func (w *workLog) term(i int) *duty.Term {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.terms[i]
}

func newElector(store duty.Store, process string, rank int) *duty.Elector {
	return &duty.Elector{
		Store:   store,
		Name:    "order-a",
		Process: process,
		Lease:   lease,
		Margin:  margin,
		Rank:    func() int { return rank },
	}
}

// start runs an elector and returns a function that stops it and waits.
func start(t *testing.T, elector *duty.Elector, work duty.WorkFunc) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- elector.Run(ctx, work) }()
	return func() {
		cancel()
		must.NoError(t, <-ended)
	}
}

func TestOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, record := newStore(), &workLog{}
		var stops []func()
		for rank, process := range []string{"e1", "e2", "e3", "e4"} {
			stops = append(stops, start(t, newElector(store, process, rank), record.work))
		}
		time.Sleep(10 * lease)
		must.Eq(t, 1, record.count())
		for _, stop := range stops {
			stop()
		}
		must.Eq(t, 1, record.maxActive)
		for i := 1; i < record.count(); i++ {
			must.Greater(t, record.term(i-1).Fence(), record.term(i).Fence())
		}
	})
}

// Guards against two processes that send orders to the same zone: in a store outage the holder's
// lease expires unnoticed, and the holder continues its work. Its term must end locally before the
// store can give the duty to another process.
func TestTermEndsInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, record := newStore(), &workLog{}
		stop := start(t, newElector(store, "e1", 0), record.work)
		time.Sleep(lease + tick)
		store.set(func() { store.isDown = true })
		time.Sleep(lease - margin)
		synctest.Wait()
		must.False(t, record.term(0).Valid(time.Now()))
		must.Eq(t, 0, record.active)
		stop()
	})
}

// Guards against two processes that send orders to the same zone: the answer to a renewal arrives
// late, and an outage follows. Counted from the answer, the term would end locally only after the
// lease has expired in the store.
func TestTermCountsFromBeforeRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, record := newStore(), &workLog{}
		stop := start(t, newElector(&lateStore{store: store}, "e1", 0), record.work)
		for range 40 {
			time.Sleep(lease/10 + tick)
			must.False(t, record.term(0).Until().After(store.leaseEnd(1).Add(-margin)))
		}
		must.Eq(t, 1, record.count())
		stop()
	})
}

// lateStore delays the answers of renewals.
type lateStore struct {
	*store
}

func (l *lateStore) RenewLease(ctx context.Context, lease uint64, length time.Duration) error {
	err := l.store.RenewLease(ctx, lease, length)
	time.Sleep(2 * time.Second)
	return err
}

// Guards against a whole lease without a holder: the write that acquired the duty took effect, its
// answer was lost, and the process didn't use the duty that it held.
func TestKeepsDutyAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, record := newStore(), &workLog{}
		elector := newElector(&losingStore{store: store}, "e1", 0)
		stop := start(t, elector, record.work)
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
		return 0, errConnectionLost
	}
	return revision, err
}

// The loss of one renewal's answer must not end the term.
func TestLostRenewalKeepsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, record := newStore(), &workLog{}
		stop := start(t, newElector(store, "e1", 0), record.work)
		for range 20 {
			time.Sleep(lease + tick)
			store.set(func() { store.lostAnswers = 1 })
		}
		must.Eq(t, 1, record.count())
		must.True(t, record.term(0).Valid(time.Now()))
		stop()
	})
}

// Store calls must not grow with the number of processes that could hold a duty.
func TestCallsDoNotGrowWithProcesses(t *testing.T) {
	few, many := countCalls(t, 10), countCalls(t, 400)
	// Candidates that start at the same time may each see the duty free: four calls each.
	must.Between(t, few-8, many, few+8)
}

func countCalls(t *testing.T, processes int) int {
	var calls int
	synctest.Test(t, func(t *testing.T) {
		store, record := newStore(), &workLog{}
		var stops []func()
		for rank := range processes {
			stops = append(stops, start(t, newElector(store, "e", rank), record.work))
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

// A holder is killed and restarts within its lease. If it waits for its own lease to expire, the
// duty isn't done for seconds: no weights are loaded, and the steps requested meanwhile find no
// sampler. A term that the same start has held is not resumed this way.
func TestResumesDutyOfEarlierStart(t *testing.T) {
	t.Run("stopped within a lease", func(t *testing.T) {
		// The key expires a lease after the restart had it, and the other process polls twice a lease.
		mustResumeDuty(t, lease/4, lease+lease/2)
	})
	t.Run("stopped after a lease", func(t *testing.T) { mustResumeDuty(t, lease+lease/4, lease) })
}

// mustResumeDuty checks that a restarted process resumes its duty, holds it for a time, and that another process then has
// the duty within a time.
func mustResumeDuty(t *testing.T, held, takeover time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := &platformtest.Store{}
		granted, err := store.GrantLease(t.Context(), lease)
		must.NoError(t, err)
		revision, err := store.CompareAndSwap(t.Context(), duty.Key("order-a"), 0, []byte("an earlier start"), granted)
		must.NoError(t, err)
		resuming, waiting := &workLog{}, &workLog{}
		restarted := newElector(store, "p1", 2)
		restarted.PriorClaim = func() duty.PriorClaim { return duty.PriorClaim{Revision: revision, Fence: revision} }
		stop := start(t, restarted, resuming.work)
		other := start(t, newElector(store, "p2", 0), waiting.work)
		defer other()
		time.Sleep(held)
		must.Eq(t, 1, resuming.count())
		must.Eq(t, 0, waiting.count())
		must.Eq(t, revision, resuming.term(0).Fence())
		// If the process is killed again, the next start must resume under the same fence.
		value, err := store.Get(t.Context(), duty.Key("order-a"))
		must.NoError(t, err)
		holder := &statepb.Holder{}
		must.NoError(t, proto.Unmarshal(value.Data, holder))
		must.Eq(t, revision, holder.GetFence())
		stop()
		time.Sleep(takeover)
		must.Eq(t, 1, waiting.count())
		must.Greater(t, revision, waiting.term(0).Fence())
	})
}

// The store is unavailable for longer than a term and stops the clocks of its leases meanwhile. A
// holder that waits for its own lease to expire loads no weights for three seconds more. The holder
// must resume under the same fence as soon as the store has renewed its lease, and do nothing
// before.
func TestTermResumesUnderItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &platformtest.Store{}
		held, other := &workLog{}, &workLog{}
		stop := start(t, newElector(store, "p1", 0), held.work)
		defer stop()
		defer start(t, newElector(store, "p2", 1), other.work)()
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

// The store is unavailable for longer than a lease, and the lease expires meanwhile. Another
// process may then hold the duty, so the former holder must not continue its term.
func TestTermEndsWithItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &platformtest.Store{}
		held, other := &workLog{}, &workLog{}
		first := newElector(store, "p1", 0)
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
		defer start(t, newElector(store, "p2", 0), other.work)()
		time.Sleep(lease)
		must.Eq(t, 1, other.count())
		must.Eq(t, 1, held.count())
		must.Greater(t, held.term(0).Fence(), other.term(0).Fence())
	})
}
