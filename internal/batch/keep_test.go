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
