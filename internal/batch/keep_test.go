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
	noKeeper

	calls atomic.Int32
}

func (k *lostKeeper) Append(context.Context, string, []*statepb.Part) error {
	k.calls.Add(1)
	return errors.New("no answer")
}

// An owner's link is full, and its keeper doesn't answer in time. Given all texts
// of its steps again twice a second, the link never became free: the owner's writes
// of outcomes got no answers for the rest of the day, and its trainers waited for
// steps that were whole.
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

// movingKeeper names another keeper once, fails once, and keeps what comes then.
type movingKeeper struct {
	noKeeper

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

// A gateway stops just as its keeper is replaced. It tried that one once and gave the
// batch up; the next owner made 60 texts of a step anew.
func TestTextsAreKeptAtTheLast(t *testing.T) {
	keeper := &movingKeeper{}
	plan := newPlan(100)
	job := mustStart(t, plan, start, "i0")
	must.True(t, plan.Event(job, "a", 3))
	o := &owner{batch: plan.batch, plan: plan, keeper: keeper, runs: map[int]*activeRun{}}
	o.keepLast(t.Context())
	must.SliceLen(t, 1, keeper.kept)
	must.Eq(t, []string{"a"}, keeper.kept[0].GetEvents())
}
