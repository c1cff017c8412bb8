package batch

import (
	"time"

	"k8s.io/klog/v2"
)

// minMoveSaving is how much sooner the rest of a run must end on another server for the run to move. The expected rest is an
// estimate: with 500 ms, steps take as long and runs move twice as often, each time with their prompt read again.
const minMoveSaving = time.Second

// MoveSaving returns how much sooner the remaining events of a run are generated with another gap; 0 if the run should stay.
func MoveSaving(remaining int, own, other time.Duration) time.Duration {
	saving := time.Duration(remaining) * (own - other)
	if own == 0 || other == 0 || saving <= minMoveSaving {
		return 0
	}
	return saving
}

// moveLateRun ends the run whose rest ends sooner than that of any other on the server of the next free slot, if it ends
// clearly sooner there. It returns false if the pool's servers don't differ lastingly. The mutex is held, and no item waits.
func (o *owner) moveLateRun(pool string) bool {
	other, isLasting := o.roster.FreeGap(o.need(pool))
	if !isLasting {
		return false
	}
	var late *activeRun
	var lateIndex int
	var saving time.Duration
	for index, run := range o.runs {
		if run.isMoving {
			// The free slot is taken by this run.
			return true
		}
		if !o.plan.MayMove(index) {
			continue
		}
		if saved := MoveSaving(o.plan.Remaining(index), o.roster.ExpectedGap(run.server), other); saved > saving {
			late, lateIndex, saving = run, index, saved
		}
	}
	if late == nil {
		return true
	}
	klog.InfoS("batch: moving a run to a faster server", "id", o.batch.GetItems()[lateIndex].GetId(), "batch", o.batch.GetId(), "server", late.server.Name(),
		"remaining", o.plan.Remaining(lateIndex), "gap", o.roster.ExpectedGap(late.server), "otherGap", other, "saving", saving)
	o.plan.Moved(lateIndex)
	late.isMoving = true
	late.cancel(errSlow)
	return true
}
