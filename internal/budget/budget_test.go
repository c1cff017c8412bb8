package budget

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const size = 8 << 20

func newBudget() *Budget { return &Budget{Bytes: size} }

func mustGrow(t *testing.T, l *Lease, bytes int64) {
	t.Helper()
	must.NoError(t, l.Grow(t.Context(), bytes))
}

func mustRefuse(t *testing.T, l *Lease, bytes int64, reason Reason) {
	t.Helper()
	var refused *Error
	must.True(t, errors.As(l.Grow(t.Context(), bytes), &refused))
	must.Eq(t, reason, refused.Reason)
}

// receive returns a lease that gives its bytes back when it is interrupted.
func receive(t *testing.T, b *Budget, bytes int64) (l *Lease, interrupted *bool) {
	t.Helper()
	l, interrupted = b.NewLease(), new(bool)
	l.Receive(func() {
		*interrupted = true
		l.Shrink(bytes)
	})
	mustGrow(t, l, bytes)
	return l, interrupted
}

// stall makes a lease look as if its request had made no progress for a time.
func stall(l *Lease, waited time.Duration) {
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	l.progressed = l.progressed.Add(-waited)
}

// Guards against large requests that take the memory of small ones.
func TestSmallRequestsHaveReserve(t *testing.T) {
	b := newBudget()
	mustGrow(t, b.NewLease(), b.MaxRequest())
	mustRefuse(t, b.NewLease(), SmallRequest+1, Full)
	mustGrow(t, b.NewLease(), SmallRequest)
}

// Guards against a request that waits for memory which it can never get.
func TestTooLarge(t *testing.T) {
	b := newBudget()
	mustRefuse(t, b.NewLease(), b.MaxRequest()+1, TooLarge)
	must.Eq(t, 0, b.Held())
}

// Guards against an account that takes the memory of all others.
func TestAccountShare(t *testing.T) {
	b := newBudget()
	first, second, other := b.NewLease(), b.NewLease(), b.NewLease()
	first.Assign("a")
	second.Assign("a")
	other.Assign("b")
	mustGrow(t, first, size/2)
	mustRefuse(t, second, 1<<10, Full)
	mustGrow(t, other, 1<<20)
	first.Release()
	mustGrow(t, second, size/2+1)
}

// Guards against an account whose stalled requests lock out its others.
func TestOwnRequestsYieldToShare(t *testing.T) {
	b := newBudget()
	stalled, interrupted := receive(t, b, size/2)
	stalled.Assign("a")
	foreign, foreignInterrupted := receive(t, b, 1<<20)
	foreign.Assign("b")
	l := b.NewLease()
	l.Assign("a")
	mustGrow(t, l, 1<<10)
	must.True(t, *interrupted)
	must.False(t, *foreignInterrupted)
}

// Guards against requests that hold memory without progress while others need it.
func TestLongestStalledYields(t *testing.T) {
	b := newBudget()
	_, first := receive(t, b, 3<<20)
	_, second := receive(t, b, 3<<20)
	mustGrow(t, b.NewLease(), 2<<20)
	must.True(t, *first)
	must.False(t, *second)
}

// Guards against large requests that end smaller ones, which make progress.
func TestLargeDoesNotInterruptSmall(t *testing.T) {
	b := newBudget()
	small, interrupted := receive(t, b, 2<<20)
	mustRefuse(t, b.NewLease(), 6<<20, Full)
	must.False(t, *interrupted)
	stall(small, stallTimeout)
	mustGrow(t, b.NewLease(), 6<<20)
	must.True(t, *interrupted)
}

// Guards against the interruption of requests that a backend server may run.
func TestCompleteRequestsStay(t *testing.T) {
	b := newBudget()
	l, interrupted := receive(t, b, b.MaxRequest())
	must.True(t, l.Keep())
	stall(l, time.Hour)
	mustRefuse(t, b.NewLease(), 1<<20, Full)
	must.False(t, *interrupted)
}

// Guards against requests that are interrupted although the bytes aren't enough.
func TestNothingIsInterruptedInVain(t *testing.T) {
	b := newBudget()
	mustGrow(t, b.NewLease(), 5<<20)
	_, interrupted := receive(t, b, 2<<20)
	mustRefuse(t, b.NewLease(), 4<<20, Full)
	must.False(t, *interrupted)
}

// Guards against answers that are thrown away although their client reads them, and against those that nobody reads.
func TestUnreadAnswersYieldLate(t *testing.T) {
	b := newBudget()
	l, interrupted := b.NewLease(), false
	mustGrow(t, l, b.MaxRequest())
	done := l.Send(func() { interrupted = true; l.Shrink(b.MaxRequest()) })
	stall(l, unreadTimeout-time.Second)
	mustRefuse(t, b.NewLease(), 1<<20, Full)
	stall(l, time.Second)
	mustGrow(t, b.NewLease(), 1<<20)
	must.True(t, interrupted)
	done()
}

// Guards against an interrupted request that goes on, and against one that still waits for bytes itself.
func TestInterruptedRequestGetsNothing(t *testing.T) {
	b := newBudget()
	l := b.NewLease()
	l.Receive(func() {})
	mustGrow(t, l, b.MaxRequest())
	waiting := make(chan error)
	go func() { waiting <- b.NewLease().Grow(context.Background(), 1<<20) }()
	for !l.hasBeenInterrupted() {
		time.Sleep(time.Millisecond)
	}
	mustRefuse(t, l, 1, Interrupted)
	must.False(t, l.Keep())
	l.Release()
	must.NoError(t, <-waiting)
}

func (l *Lease) hasBeenInterrupted() bool {
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	return l.isInterrupted
}

// Guards against bytes that are lost or given back twice.
func TestHeldIsSumOfLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBudget()
		leases := make([]*Lease, 4)
		for i := range leases {
			leases[i] = b.NewLease()
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			l := leases[rapid.IntRange(0, len(leases)-1).Draw(t, "lease")]
			bytes := rapid.Int64Range(1, 4<<20).Draw(t, "bytes")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				l.TryGrow(bytes)
			case 2:
				l.Shrink(bytes)
			case 3:
				l.Release()
			case 4:
				l.Assign(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"))
			case 5:
				l.Receive(func() {})
			case 6:
				l.Keep()
			}
			sum := int64(0)
			for _, other := range leases {
				sum += other.held
			}
			must.Eq(t, sum, b.Held())
			must.LessEq(t, b.Bytes, b.Held())
		}
		for _, l := range leases {
			l.Release()
		}
		must.Eq(t, 0, b.Held())
		must.MapEmpty(t, b.accounts)
		must.Eq(t, 0, b.interruptible.Len())
	})
}

// Guards against a text of many small values that is taken for as small as its length.
func TestJSONBytesOfSmallValues(t *testing.T) {
	must.Greater(t, 100*int64(len(`[{},{}]`))/7, JSONBytes([]byte(`[{},{},{},{},{},{},{},{}]`)))
}
