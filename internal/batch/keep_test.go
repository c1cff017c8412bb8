package batch

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// lostKeeper is a keeper whose answers are lost.
type lostKeeper struct {
	noopPeer

	calls atomic.Int32
}

func (k *lostKeeper) Append(context.Context, string, []*statepb.Part) error {
	k.calls.Add(1)
	return errors.New("no answer")
}

// An owner's link is saturated, and its keeper does not answer in time. Resending all texts of
// the owner's steps twice a second kept the link saturated: the owner's writes of outcomes got no
// answers, and its trainers waited for steps that were complete.
func TestKeepingBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := &lostKeeper{}
		plan := newPlan(100)
		job := mustStart(t, plan, start, "i0")
		must.True(t, plan.Event(job, "a", 3))
		o := &owner{batch: plan.batch, plan: plan, keeper: keeper, runs: map[int]*activeRun{}}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		o.keep(ctx)
		must.Between(t, 3, keeper.calls.Load(), 8)
	})
}

// movingKeeper switches to another keeper once, fails once, and then stores all parts.
type movingKeeper struct {
	noopPeer

	calls int
	kept  []*statepb.Part
}

func (k *movingKeeper) Append(_ context.Context, _ string, parts []*statepb.Part) error {
	k.calls++
	switch k.calls {
	case 1:
		return ErrKeeperChanged
	case 2:
		return errors.New("no answer")
	default:
		k.kept = parts
		return nil
	}
}

// A gateway stops while its keeper is being replaced. When the gateway made a single attempt before
// giving up the batch, the next owner had to generate 60 texts of a step again.
func TestLastTextsAreRetried(t *testing.T) {
	keeper := &movingKeeper{}
	plan := newPlan(100)
	job := mustStart(t, plan, start, "i0")
	must.True(t, plan.Event(job, "a", 3))
	o := &owner{batch: plan.batch, plan: plan, keeper: keeper, runs: map[int]*activeRun{}}
	o.keepLast(t.Context())
	must.SliceLen(t, 1, keeper.kept)
	must.Eq(t, []string{"a"}, keeper.kept[0].GetEvents())
}
