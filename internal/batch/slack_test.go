package batch

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// newDuePlan returns a plan of groups of two, of which one is wanted, that is due after 7.5 s; an event is expected for each
// ten tokens.
func newDuePlan(expected ...uint64) *Plan {
	plan, lengths := NewPlan(newBatch(expected...), Rules{MaxFailures: 3, DueAfter: 7500 * time.Millisecond}, start), &Lengths{}
	lengths.Record(10, 100)
	plan.UseLengths(lengths)
	return plan
}

// Guards against slots that go to a step with time to spare while another step becomes late.
func TestSlack(t *testing.T) {
	const gap = 40 * time.Millisecond
	plan := newDuePlan(500, 300, 1000, 1000)
	must.Eq(t, 7500*time.Millisecond-50*gap-expectedScoreTime, plan.Slack(start, gap))
	must.Eq(t, 3500*time.Millisecond-50*gap-expectedScoreTime, plan.Slack(start.Add(4*time.Second), gap))
	t.Run("less once a text is longer than expected", func(t *testing.T) {
		plan := newDuePlan(500, 300)
		job := mustStart(t, plan, start, "i0")
		for range 120 {
			must.True(t, plan.Event(job, "a", 3))
		}
		must.Eq(t, 7500*time.Millisecond-60*gap-expectedScoreTime, plan.Slack(start, gap))
		plan.Generated(job)
		must.Eq(t, 7500*time.Millisecond-plan.expectedTime(1, gap), plan.Slack(start, gap))
	})
	t.Run("without limit if it is never due", func(t *testing.T) {
		must.Eq(t, 1, Weight(newPlan(100).Slack(start, gap)))
	})
	t.Run("all of the time if nothing is left", func(t *testing.T) {
		plan := newDuePlan(500)
		plan.Scored(mustGenerate(t, plan, mustStart(t, plan, start, "i0"), 3, "a"), "p")
		must.Eq(t, 7500*time.Millisecond, plan.Slack(start, gap))
	})
}

// expectedTime returns the time that a waiting item still needs.
func (p *Plan) expectedTime(index int, gap time.Duration) time.Duration {
	return time.Duration(p.Remaining(index))*gap + expectedScoreTime
}

// Guards against a step that can't be in time any more and still takes the slots of steps that can.
func TestWeight(t *testing.T) {
	for name, test := range map[string]struct {
		slack time.Duration
		want  float64
	}{
		"ample":                 {10 * time.Second, 1},
		"at the limit of ample": {4 * time.Second, 1},
		"half of it":            {2 * time.Second, 2.5},
		"none":                  {0, 4},
		"a little too late":     {-700 * time.Millisecond, 4},
		"too late":              {-701 * time.Millisecond, 0.5},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, test.want, Weight(test.slack)) })
	}
}

// A trainer's hint has no bound. An overflow would give a step that can't be in time the largest slack, or the largest weight.
func TestSlackOfHugeHint(t *testing.T) {
	for _, hint := range []uint64{math.MaxUint64, math.MaxInt64, 1 << 53} {
		lengths := &Lengths{}
		lengths.Record(10, 10)
		plan := newPlan(hint, 10)
		plan.rules.DueAfter = time.Second
		plan.UseLengths(lengths)
		must.Eq(t, maxExpectedEvents, plan.Remaining(0))
		must.Eq(t, hopelessWeight, Weight(plan.Slack(start, 40*time.Millisecond)))
	}
}

// Guards against slots that go by the number of texts, whatever time is left for them.
func TestRequiredSlots(t *testing.T) {
	const gap = 40 * time.Millisecond
	plan := newDuePlan(500, 500, 500, 500)
	must.Eq(t, 1, plan.RequiredSlots(start, gap))
	must.Eq(t, 2, plan.RequiredSlots(start.Add(5*time.Second), gap))
	must.Eq(t, 0, plan.RequiredSlots(start.Add(7*time.Second), gap), must.Sprint("too late"))
	must.Eq(t, 0, plan.RequiredSlots(start, 0), must.Sprint("unknown gap"))
	must.Eq(t, 0, newPlan(100).RequiredSlots(start, gap), must.Sprint("never due"))
}
