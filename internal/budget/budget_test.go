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

func mustGrow(t *testing.T, r *Reservation, bytes int64) {
	t.Helper()
	must.NoError(t, r.Grow(t.Context(), bytes))
}

func mustRefuse(t *testing.T, r *Reservation, bytes int64, reason Reason) {
	t.Helper()
	var refused *Error
	must.True(t, errors.As(r.Grow(t.Context(), bytes), &refused))
	must.Eq(t, reason, refused.Reason)
}

// receive returns a reservation that gives its bytes back when it is interrupted.
func receive(t *testing.T, b *Budget, bytes int64) (r *Reservation, interrupted *bool) {
	t.Helper()
	r, interrupted = b.NewReservation(), new(bool)
	r.Receive(func() {
		*interrupted = true
		r.Shrink(bytes)
	})
	mustGrow(t, r, bytes)
	return r, interrupted
}

// stall makes a reservation look as if its request had made no progress for a time.
func stall(r *Reservation, waited time.Duration) {
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	r.progressed = r.progressed.Add(-waited)
}

// Guards against large requests that take the memory of small ones.
func TestSmallRequestsHaveReserve(t *testing.T) {
	b := newBudget()
	mustGrow(t, b.NewReservation(), b.MaxRequest())
	mustRefuse(t, b.NewReservation(), SmallRequest+1, Full)
	mustGrow(t, b.NewReservation(), SmallRequest)
}

// Guards against a request that waits for memory which it can never get.
func TestTooLarge(t *testing.T) {
	b := newBudget()
	mustRefuse(t, b.NewReservation(), b.MaxRequest()+1, TooLarge)
	must.Eq(t, 0, b.Held())
}

// Guards against an account that takes the memory of all others.
func TestAccountShare(t *testing.T) {
	b := newBudget()
	first, second, other := b.NewReservation(), b.NewReservation(), b.NewReservation()
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
	r := b.NewReservation()
	r.Assign("a")
	mustGrow(t, r, 1<<10)
	must.True(t, *interrupted)
	must.False(t, *foreignInterrupted)
}

// Guards against requests that hold memory without progress while others need it.
func TestLongestStalledYields(t *testing.T) {
	b := newBudget()
	_, first := receive(t, b, 3<<20)
	_, second := receive(t, b, 3<<20)
	mustGrow(t, b.NewReservation(), 2<<20)
	must.True(t, *first)
	must.False(t, *second)
}

// Guards against large requests that end smaller ones, which make progress.
func TestLargeDoesNotInterruptSmall(t *testing.T) {
	b := newBudget()
	small, interrupted := receive(t, b, 2<<20)
	mustRefuse(t, b.NewReservation(), 6<<20, Full)
	must.False(t, *interrupted)
	stall(small, stallTimeout)
	mustGrow(t, b.NewReservation(), 6<<20)
	must.True(t, *interrupted)
}

// Guards against the interruption of requests that a backend server may run.
func TestCompleteRequestsStay(t *testing.T) {
	b := newBudget()
	r, interrupted := receive(t, b, b.MaxRequest())
	must.True(t, r.Keep())
	stall(r, time.Hour)
	mustRefuse(t, b.NewReservation(), 1<<20, Full)
	must.False(t, *interrupted)
}

// Guards against requests that are interrupted although the bytes aren't enough.
func TestNothingIsInterruptedInVain(t *testing.T) {
	b := newBudget()
	mustGrow(t, b.NewReservation(), 5<<20)
	r, interrupted := receive(t, b, 2<<20)
	stall(r, stallTimeout)
	mustRefuse(t, b.NewReservation(), 4<<20, Full)
	must.False(t, *interrupted)
}

// Guards against answers that are thrown away although their client reads them, and against those that nobody reads.
func TestUnreadAnswersYieldLate(t *testing.T) {
	b := newBudget()
	r, interrupted := b.NewReservation(), false
	mustGrow(t, r, b.MaxRequest())
	done := r.Send(func() { interrupted = true; r.Shrink(b.MaxRequest()) })
	stall(r, unreadTimeout-time.Second)
	mustRefuse(t, b.NewReservation(), 1<<20, Full)
	stall(r, time.Second)
	mustGrow(t, b.NewReservation(), 1<<20)
	must.True(t, interrupted)
	done()
}

// Guards against an interrupted request that goes on, and against one that still waits for bytes itself.
func TestInterruptedRequestGetsNothing(t *testing.T) {
	b := newBudget()
	r := b.NewReservation()
	r.Receive(func() {})
	mustGrow(t, r, b.MaxRequest())
	waiting := make(chan error)
	go func() { waiting <- b.NewReservation().Grow(context.Background(), 1<<20) }()
	for !r.hasBeenInterrupted() {
		time.Sleep(time.Millisecond)
	}
	mustRefuse(t, r, 1, Interrupted)
	must.False(t, r.Keep())
	r.Release()
	must.NoError(t, <-waiting)
}

func (r *Reservation) hasBeenInterrupted() bool {
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	return r.isInterrupted
}

// Guards against bytes that are lost or given back twice.
func TestHeldIsSumOfReservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBudget()
		reservations := make([]*Reservation, 4)
		for i := range reservations {
			reservations[i] = b.NewReservation()
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			r := reservations[rapid.IntRange(0, len(reservations)-1).Draw(t, "reservation")]
			bytes := rapid.Int64Range(1, 4<<20).Draw(t, "bytes")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				r.TryGrow(bytes)
			case 2:
				r.Shrink(bytes)
			case 3:
				r.Release()
			case 4:
				r.Assign(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"))
			case 5:
				r.Receive(func() {})
			case 6:
				r.Keep()
			}
			sum := int64(0)
			for _, other := range reservations {
				sum += other.held
			}
			must.Eq(t, sum, b.Held())
			must.LessEq(t, b.Bytes, b.Held())
		}
		for _, r := range reservations {
			r.Release()
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
