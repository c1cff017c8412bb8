package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

var start = time.Unix(1000, 0)

// finishAttempt finishes an attempt with a complete sample whose tokens have the given versions.
func finishAttempt(t *testing.T, step *Step, attempt Attempt, now time.Time, versions ...uint64) bool {
	t.Helper()
	var builder SampleBuilder
	for _, version := range versions {
		must.NoError(t, builder.Add(attempt.ID(), peerpb.Chunk_builder{Tokens: []int32{1}, Version: version}.Build()))
	}
	sample, err := builder.Sample(attempt, step.open, peerpb.End_builder{OutputTokens: uint64(len(versions))}.Build())
	must.NoError(t, err)
	if !step.Finish(attempt, sample, now) {
		return false
	}
	step.MarkReplicated(attempt, []string{"a", "b"})
	return true
}

func mustNext(t *testing.T, step *Step, now time.Time) Attempt {
	t.Helper()
	attempt, ok := step.Next(now)
	must.True(t, ok)
	return attempt
}

func commit(step *Step) {
	step.Propose()
	step.Commit()
}

func mustDeliver(t *testing.T, step *Step, count int) {
	t.Helper()
	pulled, err := step.Pull(0, 64, 0)
	must.NoError(t, err)
	must.Len(t, count, pulled.Samples())
}

// A weight swap during generation puts two versions into one sample. The trainer
// weights tokens by the version that produced them, so each range must be named,
// and an answer with a different token count must be rejected.
func TestVersionsByRange(t *testing.T) {
	cases := []struct {
		name   string
		chunks []uint64
		output uint64
		want   string
	}{
		{"one version", []uint64{3, 3}, 4, "0-4:3 "},
		{"swap during generation", []uint64{3, 4, 4}, 6, "0-2:3 2-6:4 "},
		{"engine restarted on an old version", []uint64{4, 3}, 4, "0-2:4 2-4:3 "},
		{"resume left tokens out", []uint64{3, 3}, 6, "refused"},
		{"resume repeated tokens", []uint64{3, 3, 3}, 4, "refused"},
		{"no version shown", []uint64{3, 0}, 4, "refused"},
		{"no tokens", nil, 0, "refused"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, rangesOf(c.chunks, c.output))
		})
	}
}

func rangesOf(chunks []uint64, output uint64) string {
	var builder SampleBuilder
	for _, version := range chunks {
		if builder.Add("r", peerpb.Chunk_builder{Tokens: []int32{1, 2}, Version: version}.Build()) != nil {
			return "refused"
		}
	}
	sample, err := builder.Sample(Attempt{}, openRequest(1, 1, 1, 0), peerpb.End_builder{OutputTokens: output}.Build())
	if err != nil {
		return "refused"
	}
	text := ""
	for _, part := range sample.GetVersions() {
		text += fmt.Sprintf("%d-%d:%d ", part.GetFrom(), part.GetUntil(), part.GetVersion())
	}
	return text
}

// New weights are announced while samples wait. Samples that are stale by then must
// not reach the trainer, whatever their state; their slots run again.
func TestStaleness(t *testing.T) {
	t.Run("a sample that waits is dropped at once", func(t *testing.T) {
		step := NewStep(openRequest(1, 1, 1, 1), 0, 1, 1)
		must.True(t, finishAttempt(t, step, mustNext(t, step, start), start, 1))
		commit(step)
		step.Announce(3)
		again := mustNext(t, step, start)
		mustDeliver(t, step, 0)
		must.True(t, finishAttempt(t, step, again, start, 2))
		commit(step)
		mustDeliver(t, step, 1)
	})
	t.Run("a delivered one is dropped when it is pulled again", func(t *testing.T) {
		step := NewStep(openRequest(1, 1, 1, 1), 0, 1, 1)
		must.True(t, finishAttempt(t, step, mustNext(t, step, start), start, 1))
		commit(step)
		mustDeliver(t, step, 1)
		step.Announce(3)
		_, wanted := step.Next(start)
		must.False(t, wanted, must.Sprint("the trainer may have the delivered sample"))
		mustDeliver(t, step, 0)
		must.Eq(t, 0, mustNext(t, step, start).Slot())
	})
	t.Run("the pull's version counts", func(t *testing.T) {
		step := NewStep(openRequest(1, 1, 1, 0), 0, 1, 1)
		must.True(t, finishAttempt(t, step, mustNext(t, step, start), start, 1))
		commit(step)
		pulled, err := step.Pull(0, 1, 2)
		must.NoError(t, err)
		must.Len(t, 0, pulled.Samples())
	})
	t.Run("an attempt whose first tokens are too old is stopped", func(t *testing.T) {
		step := NewStep(openRequest(1, 1, 1, 0), 0, 1, 1)
		attempt := mustNext(t, step, start)
		must.True(t, step.Progress(attempt, 1, 1, start))
		step.Announce(2)
		must.Len(t, 1, step.StaleAttempts())
		must.False(t, step.Progress(attempt, 1, 2, start))
		step.Fail(attempt, 0, start)
		again := mustNext(t, step, start)
		must.Eq(t, 2, again.Number(), must.Sprint("must restart without a pause"))
		must.Eq(t, 2, again.MinVersion())
	})
	t.Run("one that was stale before begins under the newest version", func(t *testing.T) {
		step := NewStep(openRequest(1, 1, 2, 1), 0, 1, 2)
		must.True(t, step.Progress(mustNext(t, step, start), 1, 1, start))
		step.Announce(3)
		for _, attempt := range step.StaleAttempts() {
			step.Fail(attempt, 0, start)
		}
		must.Eq(t, 3, mustNext(t, step, start).MinVersion(), must.Sprint("dropped as stale before"))
		must.Eq(t, 2, mustNext(t, step, start).MinVersion(), must.Sprint("limited only by the staleness bound"))
	})
	t.Run("a complete stale sample is rejected", func(t *testing.T) {
		step := NewStep(openRequest(1, 1, 1, 1), 0, 1, 3)
		must.False(t, finishAttempt(t, step, mustNext(t, step, start), start, 3, 1))
	})
}

// The state of a step with 1,024 samples must stay below the store's limit of a
// megabyte, with every slot full at the same time.
func TestStateSize(t *testing.T) {
	step := NewStep(openRequest(1, 128, 8, 1), 1<<40, 1<<40, 1<<20)
	for range 1024 {
		attempt := mustNext(t, step, start)
		must.True(t, finishAttempt(t, step, attempt, start, 1<<20))
		step.MarkReplicated(attempt, []string{"entry-of-a-rather-long-name-17", "entry-of-a-rather-long-name-18"})
	}
	full := len(encode(step.Propose()))
	step.Commit()
	t.Logf("1,024 slots full: %d bytes, %d a slot", full, full/1024)
	must.Less(t, MaxStateBytes, full)
	must.Less(t, 64*1024, full)
	pulled, err := step.Pull(1<<40, 1024, 0)
	must.NoError(t, err)
	_, err = step.Pull(pulled.Next()-1, 1, 0)
	must.NoError(t, err)
	step.Renew(1)
	acknowledged := len(encode(step.Propose()))
	t.Logf("all but one acknowledged: %d bytes", acknowledged)
	must.Less(t, full/2, acknowledged)
}

// One engine is slow. Its attempts are the last of the step, and the trainer idles
// until they end, unless a faster engine runs them too.
func TestStragglers(t *testing.T) {
	t.Run("a slow attempt is run twice, and one counts", func(t *testing.T) {
		step, slow := stepWithStraggler(t, 38)
		second := mustNext(t, step, start.Add(20*time.Second))
		must.True(t, second.IsSecondRun())
		must.Eq(t, slow.Slot(), second.Slot())
		must.Len(t, 1, step.Others(second))
		must.True(t, finishAttempt(t, step, second, start.Add(25*time.Second), 1))
		must.False(t, finishAttempt(t, step, slow, start.Add(26*time.Second), 1))
		must.Eq(t, 1, step.Counts().Wasted())
		must.False(t, step.Progress(slow, 1, 1, start.Add(26*time.Second)))
	})
	t.Run("so is a stalled one", func(t *testing.T) {
		step, slow := stepWithStraggler(t, 4)
		must.Eq(t, slow.Slot(), mustNext(t, step, start.Add(20*time.Second)).Slot())
	})
	t.Run("a long answer at the usual pace is not", func(t *testing.T) {
		step, _ := stepWithStraggler(t, 190)
		_, ok := step.Next(start.Add(20 * time.Second))
		must.False(t, ok)
	})
	t.Run("nor one while others wait in queues", func(t *testing.T) {
		step := NewStep(openRequest(1, 1, 24, 1), 0, 1, 1)
		for range 24 {
			mustNext(t, step, start)
		}
		for slot := range uint32(8) {
			attempt := step.slots[slot].running[1].attempt
			must.True(t, step.Progress(attempt, 100, 1, start.Add(time.Second)))
			must.True(t, finishAttempt(t, step, attempt, start.Add(2*time.Second), 1))
		}
		_, ok := step.Next(start.Add(20 * time.Second))
		must.False(t, ok)
	})
	t.Run("nor one beyond the budget", func(t *testing.T) {
		step, _ := stepWithStraggler(t, 4)
		step.budget.remaining = 0
		_, ok := step.Next(start.Add(20 * time.Second))
		must.False(t, ok)
	})
	t.Run("failures use the budget up", func(t *testing.T) {
		step, slow := stepWithStraggler(t, 4)
		for range 20 {
			step.budget.backoff(1, 0)
		}
		_, ok := step.Next(start.Add(20 * time.Second))
		must.False(t, ok, must.Sprintf("slot %d", slow.Slot()))
	})
}

// stepWithStraggler returns a step in which all slots but one took 10 s for 100
// tokens; the last has the given number of tokens after 20 s.
func stepWithStraggler(t *testing.T, tokens int) (*Step, Attempt) {
	t.Helper()
	step := NewStep(openRequest(1, 1, 9, 1), 0, 1, 1)
	var last Attempt
	for range 9 {
		last = mustNext(t, step, start)
		must.True(t, step.Progress(last, 1, 1, start.Add(time.Second)))
	}
	for slot := range uint32(8) {
		attempt := step.slots[slot].running[1].attempt
		must.True(t, step.Progress(attempt, 99, 1, start.Add(11*time.Second)))
		must.True(t, finishAttempt(t, step, attempt, start.Add(11*time.Second), 1))
	}
	for second := range 19 {
		step.Progress(last, tokens/19, 1, start.Add(time.Duration(second+2)*time.Second))
	}
	return step, last
}

// An engine refuses every request. Its slots must wait longer each time, so that
// retries do not pile up, and at least as long as the refusal requested.
func TestFailureBackoff(t *testing.T) {
	step := NewStep(openRequest(1, 1, 1, 1), 0, 1, 1)
	now := start
	var pauses []time.Duration
	for range 8 {
		attempt := mustNext(t, step, now)
		step.Fail(attempt, 0, now)
		pauses = append(pauses, step.slots[0].notBefore.Sub(now))
		now = step.slots[0].notBefore
	}
	must.Eq(t, minBackoff, pauses[0])
	must.Eq(t, 2*minBackoff, pauses[1])
	must.Eq(t, maxBackoff, pauses[7])
	step.Fail(mustNext(t, step, now), time.Minute, now)
	must.Eq(t, time.Minute, step.slots[0].notBefore.Sub(now))
}

// New weights are announced with a staleness bound of 0. Until samplers have loaded
// them, every attempt is refused without having run. The slots must start soon after
// the first sampler has loaded them and not wait out backoffs that grew meanwhile.
func TestRefusalBackoffIsShort(t *testing.T) {
	step := NewStep(openRequest(1, 1, 1, 0), 0, 1, 2)
	now := start
	for range 20 {
		step.Refuse(mustNext(t, step, now), 30*time.Second, now)
		must.LessEq(t, maxRefusedBackoff, step.slots[0].notBefore.Sub(now))
		now = step.slots[0].notBefore
	}
	must.True(t, step.budget.isAvailable())
	must.Eq(t, 0, step.Counts().Failed())
}

// benchmarkStep returns a step of 1,024 slots with half of them committed.
func benchmarkStep(b *testing.B) *Step {
	b.Helper()
	step := NewStep(openRequest(1, 128, 8, 1), 0, 1, 1)
	for range 512 {
		attempt, _ := step.Next(start)
		step.Progress(attempt, 1, 1, start)
		sample := peerpb.Sample_builder{Versions: []*peerpb.Range{peerpb.Range_builder{Until: 1, Version: 1}.Build()}}.Build()
		step.Finish(attempt, sample, start.Add(time.Second))
		step.MarkReplicated(attempt, []string{"a", "b"})
	}
	commit(step)
	for range 512 {
		step.Next(start)
	}
	return step
}

// BenchmarkPropose measures the encoding of a state, which is written at most ten
// times per second.
func BenchmarkPropose(b *testing.B) {
	step := benchmarkStep(b)
	b.ReportAllocs()
	for b.Loop() {
		step.Renew(1)
		b.SetBytes(int64(len(encode(step.Propose()))))
		step.Commit()
	}
}

// BenchmarkNext measures the search for an attempt while none is to be started.
func BenchmarkNext(b *testing.B) {
	step := benchmarkStep(b)
	b.ReportAllocs()
	for b.Loop() {
		step.Next(start.Add(time.Second))
	}
}

// BenchmarkProgress measures the cost of each chunk of an answer under the holder's
// lock.
func BenchmarkProgress(b *testing.B) {
	step := NewStep(openRequest(1, 1, 1, 1), 0, 1, 1)
	attempt, _ := step.Next(start)
	b.ReportAllocs()
	for b.Loop() {
		step.Progress(attempt, 1, 1, start)
	}
}
