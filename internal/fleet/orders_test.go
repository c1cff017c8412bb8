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
	lease  = 10 * time.Second
	margin = 3 * time.Second
	bound  = 2 * time.Second
	// blind is how long an order may be held up after its last check if the
	// receiver checks nothing; see docs/design/one-in-charge.md.
	blind = lease + margin + bound
)

func newOrderer(world *process, name string, term fleet.Term) *fleet.Orderer {
	return &fleet.Orderer{Zone: "a", Process: name, Platform: world, Term: term, Lease: lease, Bound: bound}
}

// run takes part in the zone's duty and sends an order every two seconds of a term.
func run(ctx context.Context, world *process, name string, rank int) {
	keeper := &duty.Elector{
		Store: world, Name: "order-a", Process: name, Lease: lease, Margin: margin,
		Rank: func() int { return rank },
	}
	_ = keeper.Run(ctx, func(ctx context.Context, term *duty.Term) error {
		orderer := newOrderer(world, name, term)
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

// interleaving is what goes wrong in one run.
type interleaving struct {
	at     [3]int
	length [3]time.Duration
	loses  map[int]bool
	outage time.Duration
	fence  bool
	time   bool
}

// drawInterleaving draws a freeze of each process at any of its steps. Where the receiver
// checks nothing, no freeze is longer than what the successor waits for.
func drawInterleaving(t *rapid.T) interleaving {
	drawn := interleaving{
		loses:  map[int]bool{rapid.IntRange(1, 40).Draw(t, "lost"): true},
		outage: time.Duration(rapid.IntRange(0, 30).Draw(t, "outage")) * time.Second,
		fence:  rapid.Bool().Draw(t, "checks fences"),
		time:   rapid.Bool().Draw(t, "checks times"),
	}
	longest := 60 * time.Second
	if !drawn.fence && !drawn.time {
		longest = blind - 100*time.Millisecond
	}
	for i := range drawn.at {
		drawn.at[i] = rapid.IntRange(1, 80).Draw(t, fmt.Sprintf("step of %d", i))
		drawn.length[i] = time.Duration(rapid.Int64Range(0, longest.Milliseconds()).Draw(t, fmt.Sprintf("freeze of %d", i))) * time.Millisecond
	}
	return drawn
}

// play runs three processes and returns the orders that arrived.
func play(t *testing.T, drawn interleaving) []platform.Order {
	return playIn(t, newWorld(), drawn)
}

func playIn(t *testing.T, world *world, drawn interleaving) (arrived []platform.Order) {
	synctest.Test(t, func(t *testing.T) {
		world.checksFence, world.checksTime = drawn.fence, drawn.time
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		for i := range drawn.at {
			process := &process{world: world, at: drawn.at[i], length: drawn.length[i], loses: drawn.loses}
			go func() {
				run(ctx, process, fmt.Sprintf("e%d", i), i)
				ended <- struct{}{}
			}()
		}
		time.Sleep(20 * time.Second)
		world.set(func() { world.down = drawn.outage > 0 })
		time.Sleep(drawn.outage)
		world.set(func() { world.down = false })
		time.Sleep(70 * time.Second)
		cancel()
		for range drawn.at {
			<-ended
		}
		arrived = world.orders()
	})
	return arrived
}

// superseded returns an order that arrived after one of a newer holder.
func superseded(orders []platform.Order) *platform.Order {
	var newest uint64
	for i, order := range orders {
		if order.Fence < newest {
			return &orders[i]
		}
		newest = order.Fence
	}
	return nil
}

// Backend servers start and stop in turns: two processes order them, since one
// was paused between any two of its steps, its lease lapsed meanwhile, and it
// went on when it was thawed. Whatever step that is, whatever answer was lost
// and whether the store was away, no order may arrive after a newer holder's.
func TestNoOrderAfterNewerHolder(t *testing.T) {
	terms := map[uint64]bool{}
	rapid.Check(t, func(rt *rapid.T) {
		orders := play(t, drawInterleaving(rt))
		if late := superseded(orders); late != nil {
			rt.Fatalf("%s of %s, fence %d, arrived after a newer holder's", late.ID, late.From, late.Fence)
		}
		for _, order := range orders {
			terms[order.Fence] = true
		}
	})
	must.Greater(t, 3, len(terms))
}

// The same with the holder paused at each of its steps in turn, and a receiver
// of orders that checks nothing: the pause ends just within what the successor
// waits for.
func TestNoOrderAfterNewerHolderAtEachStep(t *testing.T) {
	for step := 1; step <= 40; step++ {
		for _, length := range []time.Duration{lease, blind - 100*time.Millisecond} {
			drawn := interleaving{at: [3]int{step}, length: [3]time.Duration{length}}
			must.Nil(t, superseded(play(t, drawn)), must.Sprintf("paused at step %d for %s", step, length))
		}
	}
}

// What remains: the holder is paused between its last check and its write for
// longer than the successor waits, and the receiver checks nothing. At every
// other step, or if the receiver checks fences or times, the order is stopped.
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
				world := newWorld()
				drawn := interleaving{at: [3]int{step}, length: [3]time.Duration{2 * blind}, fence: test.fence, time: test.time}
				late := superseded(playIn(t, world, drawn))
				must.True(t, late == nil || world.exposed, must.Sprintf("paused at step %d", step))
				arrives = arrives || late != nil
			}
			must.Eq(t, test.arrives, arrives)
		})
	}
}

// An order runs twice under two identities: the platform ran it and its answer
// was lost. The next holder sends it again under the same identity.
func TestPendingOrderKeepsIdentity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld()
		world.loseOrders = 1
		first := newOrderer(&process{world: world}, "e1", duty.NewTerm(1, time.Now().Add(lease)))
		must.NoError(t, first.Begin(t.Context()))
		must.Error(t, first.Send(t.Context(), first.New(fleet.ActionStart, "m", "", "test")))

		second := newOrderer(&process{world: world}, "e2", duty.NewTerm(2, time.Now().Add(time.Hour)))
		must.NoError(t, second.Begin(t.Context()))
		must.Len(t, 1, second.Pending())
		must.NoError(t, second.Send(t.Context(), second.Pending()[0]))
		must.Len(t, 0, second.Pending())
		orders := world.orders()
		must.Len(t, 2, orders)
		must.Eq(t, orders[0].ID, orders[1].ID)
		must.Eq(t, uint64(2), orders[1].Fence)
	})
}

// A holder whose term ended elsewhere writes its next order's intent: the
// compare-and-swap must fail although its own clock says that it holds the duty.
func TestSupersededTermFailsInSwap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld()
		first := newOrderer(&process{world: world}, "e1", duty.NewTerm(1, time.Now().Add(time.Hour)))
		must.NoError(t, first.Begin(t.Context()))
		second := newOrderer(&process{world: world}, "e2", duty.NewTerm(2, time.Now().Add(time.Hour)))
		must.NoError(t, second.Begin(t.Context()))
		err := first.Send(t.Context(), first.New(fleet.ActionStart, "m", "", "test"))
		var superseded *fleet.SupersededError
		must.True(t, errors.As(err, &superseded))
		must.Eq(t, uint64(2), superseded.Newer)
		must.Len(t, 0, world.orders())
	})
}
