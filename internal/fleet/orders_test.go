package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/fleet"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	lease        = 10 * time.Second
	margin       = 3 * time.Second
	orderTimeout = 2 * time.Second
	// maxUncheckedDelay is the maximum delay of an order after its last check if the receiver
	// checks nothing; see docs/design/one-in-charge.md.
	maxUncheckedDelay = lease + margin + orderTimeout
)

func newOrderer(fake *process, name string, term fleet.Term) *fleet.Orderer {
	return &fleet.Orderer{Zone: "a", Process: name, Platform: fake, Term: term, Lease: lease, Bound: orderTimeout}
}

// runProcess runs a candidate for the zone's duty that sends an order every two seconds during its
// terms.
func runProcess(ctx context.Context, fake *process, name string, rank int) {
	elector := &duty.Elector{
		Store: fake, Name: "order-a", Process: name, Lease: lease, Margin: margin,
		Rank: func() int { return rank },
	}
	_ = elector.Run(ctx, func(ctx context.Context, term *duty.Term) error {
		orderer := newOrderer(fake, name, term)
		if err := orderer.Begin(ctx); err != nil {
			return err
		}
		for ctx.Err() == nil {
			err := orderer.Send(ctx, orderer.New(fleet.ActionStart, "m", "", "test"))
			var superseded *fleet.SupersededError
			var ended *fleet.TermEndedError
			if errors.As(err, &superseded) || errors.As(err, &ended) {
				return err
			}
			time.Sleep(2 * time.Second)
		}
		return nil
	})
}

// interleaving is the set of faults that are injected into one run.
type interleaving struct {
	freezeSteps [3]int
	freezeTimes [3]time.Duration
	lostAnswers map[int]bool
	outage      time.Duration
	checksFence bool
	checksTime  bool
}

// drawInterleaving draws faults with a freeze of each process at any of its steps. If the receiver
// checks nothing, no freeze is longer than the wait of the successor.
func drawInterleaving(t *rapid.T) interleaving {
	schedule := interleaving{
		lostAnswers: map[int]bool{rapid.IntRange(1, 40).Draw(t, "lost"): true},
		outage:      time.Duration(rapid.IntRange(0, 30).Draw(t, "outage")) * time.Second,
		checksFence: rapid.Bool().Draw(t, "checks fences"),
		checksTime:  rapid.Bool().Draw(t, "checks times"),
	}
	longest := 60 * time.Second
	if !schedule.checksFence && !schedule.checksTime {
		longest = maxUncheckedDelay - 100*time.Millisecond
	}
	for i := range schedule.freezeSteps {
		schedule.freezeSteps[i] = rapid.IntRange(1, 80).Draw(t, fmt.Sprintf("step of %d", i))
		schedule.freezeTimes[i] = time.Duration(rapid.Int64Range(0, longest.Milliseconds()).Draw(t, fmt.Sprintf("freeze of %d", i))) * time.Millisecond
	}
	return schedule
}

// runInterleaving runs three processes and returns the orders that arrived.
func runInterleaving(t *testing.T, schedule interleaving) []platform.Order {
	return runInterleavingOn(t, newFakePlatform(), schedule)
}

func runInterleavingOn(t *testing.T, fake *fakePlatform, schedule interleaving) (arrived []platform.Order) {
	synctest.Test(t, func(t *testing.T) {
		fake.checksFence, fake.checksTime = schedule.checksFence, schedule.checksTime
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		for i := range schedule.freezeSteps {
			process := &process{fakePlatform: fake, freezeStep: schedule.freezeSteps[i], freezeTime: schedule.freezeTimes[i], lostAnswers: schedule.lostAnswers}
			go func() {
				runProcess(ctx, process, fmt.Sprintf("e%d", i), i)
				ended <- struct{}{}
			}()
		}
		time.Sleep(20 * time.Second)
		fake.change(func() { fake.isDown = schedule.outage > 0 })
		time.Sleep(schedule.outage)
		fake.change(func() { fake.isDown = false })
		time.Sleep(70 * time.Second)
		cancel()
		for range schedule.freezeSteps {
			<-ended
		}
		arrived = fake.arrivedOrders()
	})
	return arrived
}

// staleOrder returns an order that arrived after an order of a newer holder.
func staleOrder(orders []platform.Order) *platform.Order {
	var newest uint64
	for i, order := range orders {
		if order.Fence < newest {
			return &orders[i]
		}
		newest = order.Fence
	}
	return nil
}

// Guards against two processes that alternately start and stop servers: a holder is paused between
// any two steps, its lease expires, and the holder then continues. No order may arrive after an
// order of a newer holder, whatever step is paused, whatever answer is lost and however the store
// fails.
func TestNoOrderAfterNewerHolder(t *testing.T) {
	terms := map[uint64]bool{}
	rapid.Check(t, func(rt *rapid.T) {
		orders := runInterleaving(t, drawInterleaving(rt))
		if late := staleOrder(orders); late != nil {
			rt.Fatalf("%s of %s, fence %d, arrived after a newer holder's", late.ID, late.From, late.Fence)
		}
		for _, order := range orders {
			terms[order.Fence] = true
		}
	})
	must.Greater(t, 3, len(terms))
}

// Like TestNoOrderAfterNewerHolder, with the holder paused at each of its steps in turn and a
// receiver of orders that checks nothing. The pause ends just before the successor's wait.
func TestNoOrderAfterNewerHolderAtEachStep(t *testing.T) {
	for step := 1; step <= 40; step++ {
		for _, length := range []time.Duration{lease, maxUncheckedDelay - 100*time.Millisecond} {
			schedule := interleaving{freezeSteps: [3]int{step}, freezeTimes: [3]time.Duration{length}}
			must.Nil(t, staleOrder(runInterleaving(t, schedule)), must.Sprintf("paused at step %d for %s", step, length))
		}
	}
}

// A late order is possible only if the holder is paused between its last check and its write for
// longer than the successor waits, and the receiver checks nothing. If the holder is paused at any
// other step, or the receiver checks fencing tokens or expiry times, the order must not arrive
// late.
func TestPauseLongerThanWait(t *testing.T) {
	tests := map[string]struct {
		fence, time bool
		arrives     bool
	}{
		"checks nothing": {arrives: true},
		"checks fences":  {fence: true},
		"checks times":   {time: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			arrives := false
			for step := 1; step <= 40; step++ {
				fake := newFakePlatform()
				schedule := interleaving{freezeSteps: [3]int{step}, freezeTimes: [3]time.Duration{2 * maxUncheckedDelay}, checksFence: test.fence, checksTime: test.time}
				late := staleOrder(runInterleavingOn(t, fake, schedule))
				must.True(t, late == nil || fake.pausedBeforeWrite, must.Sprintf("paused at step %d", step))
				arrives = arrives || late != nil
			}
			must.Eq(t, test.arrives, arrives)
		})
	}
}

// Guards against carrying out an order twice under two IDs: the platform carried out the order, but
// the answer was lost. The next holder must resend the order with the same ID.
func TestPendingOrderKeepsIdentity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakePlatform()
		fake.lostOrderAnswers = 1
		first := newOrderer(&process{fakePlatform: fake}, "e1", duty.NewTerm(1, time.Now().Add(lease)))
		must.NoError(t, first.Begin(t.Context()))
		must.Error(t, first.Send(t.Context(), first.New(fleet.ActionStart, "m", "", "test")))

		second := newOrderer(&process{fakePlatform: fake}, "e2", duty.NewTerm(2, time.Now().Add(time.Hour)))
		must.NoError(t, second.Begin(t.Context()))
		must.Len(t, 1, second.Pending())
		must.NoError(t, second.Send(t.Context(), second.Pending()[0]))
		must.Len(t, 0, second.Pending())
		orders := fake.arrivedOrders()
		must.Len(t, 2, orders)
		must.Eq(t, orders[0].ID, orders[1].ID)
		must.Eq(t, uint64(2), orders[1].Fence)
	})
}

// A holder whose term was superseded writes its next order's intent. The
// compare-and-swap must fail even though the term is still valid by its own clock.
func TestSupersededTermFailsInSwap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakePlatform()
		first := newOrderer(&process{fakePlatform: fake}, "e1", duty.NewTerm(1, time.Now().Add(time.Hour)))
		must.NoError(t, first.Begin(t.Context()))
		second := newOrderer(&process{fakePlatform: fake}, "e2", duty.NewTerm(2, time.Now().Add(time.Hour)))
		must.NoError(t, second.Begin(t.Context()))
		err := first.Send(t.Context(), first.New(fleet.ActionStart, "m", "", "test"))
		var superseded *fleet.SupersededError
		must.True(t, errors.As(err, &superseded))
		must.Eq(t, uint64(2), superseded.Newer)
		must.Len(t, 0, fake.arrivedOrders())
	})
}
