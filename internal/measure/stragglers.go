package measure

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/rollout"
)

// Sizes of the stragglers' experiment.
const (
	stragglerSamplers = 24
	stragglerSlots    = 8
	stragglerGroups   = 64
	stragglerGroup    = 8
	stragglerSteps    = 8
	stragglerTick     = 200 * time.Millisecond
	stragglerTrain    = 60 * time.Second
	stragglerBound    = 1
	tokensPerSecond   = 40.0
	medianTokens      = 600.0
	spreadTokens      = 0.6
	mostTokens        = 4096
	slowShare         = 0.15
	crashAfter        = 20 * time.Second
	crashFor          = 30 * time.Second
	silenceAfter      = 5 * time.Second
	swapMost          = 10 * time.Second
	fixedRetries      = 3
	fixedTimeout      = 40 * time.Second
)

// Stragglers measures second runs of slow attempts, with one sampler slow
// throughout and one that crashes in each step.
func Stragglers() Experiment {
	policies := []stragglerPolicy{
		{name: "second run when it pays"},
		{name: "no second run", without: true},
		{name: "fixed retries", without: true, fixed: true},
	}
	return Experiment{Name: "Stragglers", Run: func(seed uint64) []Result {
		var results []Result
		for _, policy := range policies {
			results = append(results, newStragglerRun(policy, seed).run())
		}
		return results
	}}
}

// stragglerPolicy starts second runs and stops attempts.
type stragglerPolicy struct {
	name    string
	without bool
	// fixed runs an attempt again that takes longer than fixedTimeout, up to fixedRetries.
	fixed bool
	// every is the time between two versions; 0 announces after each training.
	every time.Duration
	// late lets doomed attempts run to their end.
	late bool
}

// stragglerSampler is a sampler with a pace of its own.
type stragglerSampler struct {
	pace    float64
	running int
	version uint64
	// awayUntil is when it has restarted after a crash.
	awayUntil time.Time
	swapAt    time.Time
}

// stragglerAttempt is an attempt that runs on a sampler.
type stragglerAttempt struct {
	attempt  rollout.Attempt
	sampler  *stragglerSampler
	step     *rollout.Step
	start    time.Time
	tokens   float64
	reported int
	length   float64
	failsAt  time.Time
	answer   rollout.SampleBuilder
}

// stragglerRun is one seed of one policy.
type stragglerRun struct {
	policy   stragglerPolicy
	random   *rand.Rand
	seed     uint64
	now      time.Time
	samplers []*stragglerSampler
	running  []*stragglerAttempt
	step     *rollout.Step
	opened   time.Time
	whole    bool
	crashAt  time.Time
	next     uint64
	newest   uint64
	trainEnd time.Time
	// announcedAt is when the newest version was announced.
	announcedAt time.Time
	idle        time.Duration
	tokens      float64
	useful      float64
	stale       uint64
	times       []float64
	leasts      []float64
	lags        []float64
}

func newStragglerRun(policy stragglerPolicy, seed uint64) *stragglerRun {
	run := &stragglerRun{
		policy: policy,
		random: rand.New(rand.NewPCG(seed, 1)),
		seed:   seed,
		now:    time.Unix(0, 0),
		newest: 1,
	}
	run.announcedAt = run.now
	for range stragglerSamplers {
		run.samplers = append(run.samplers, &stragglerSampler{pace: 0.9 + 0.2*run.random.Float64(), version: 1})
	}
	run.samplers[0].pace = slowShare
	return run
}

func (r *stragglerRun) run() Result {
	r.open(1)
	begin := r.now
	for len(r.times) < stragglerSteps {
		r.now = r.now.Add(stragglerTick)
		r.swap()
		r.advance()
		r.dispatch()
		r.deliver()
	}
	return Result{Policy: r.policy.name, Figures: []Figure{
		{Name: "trainer idle share", Value: r.idle.Seconds() / r.now.Sub(begin).Seconds()},
		{Name: "step p50 s", Value: quantileOf(r.times, 0.5)},
		{Name: "least p50 s", Value: quantileOf(r.leasts, 0.5)},
		{Name: "step p99 s", Value: quantileOf(r.times, 0.99)},
		{Name: "added work share", Value: r.tokens/r.useful - 1},
		{Name: "dropped as stale", Value: float64(r.stale)},
		{Name: "staleness p50", Value: quantileOf(r.lags, 0.5)},
		{Name: "staleness p99", Value: quantileOf(r.lags, 0.99)},
	}}
}

func (r *stragglerRun) open(number uint64) {
	request := peerpb.OpenRequest_builder{Trainer: "t", Step: number, Model: "m", Staleness: stragglerBound}.Build()
	for range stragglerGroups {
		request.SetPrompts(append(request.GetPrompts(), peerpb.Prompt_builder{Samples: stragglerGroup}.Build()))
	}
	r.step = rollout.NewStep(request, r.next, 1, r.newest)
	if r.policy.without {
		r.step.DisableSecondRuns()
	}
	r.leasts = append(r.leasts, r.least())
	r.opened, r.whole = r.now, false
	r.crashAt = r.now.Add(crashAfter)
}

// least is the time that no policy can beat: that of the longest answer at the
// usual pace, or of all tokens on all samplers.
func (r *stragglerRun) least() float64 {
	longest, sum := 0.0, 0.0
	for slot := range r.step.Slots() {
		length := r.length(uint32(slot))
		longest = max(longest, length)
		sum += length
	}
	return max(longest/tokensPerSecond, sum/tokensPerSecond/stragglerSamplers/stragglerSlots)
}

// swap gives each sampler the newest version at its own time, and crashes one.
func (r *stragglerRun) swap() {
	for _, sampler := range r.samplers {
		if !sampler.swapAt.IsZero() && !r.now.Before(sampler.swapAt) {
			sampler.version, sampler.swapAt = r.newest, time.Time{}
		}
	}
	if r.crashAt.IsZero() || r.now.Before(r.crashAt) {
		return
	}
	r.crashAt = time.Time{}
	crashed := r.samplers[1+r.random.IntN(stragglerSamplers-1)]
	crashed.awayUntil = r.now.Add(crashFor)
	for _, one := range r.running {
		if one.sampler == crashed {
			one.failsAt = r.now.Add(silenceAfter)
		}
	}
}

// advance generates tokens on all samplers.
func (r *stragglerRun) advance() {
	kept := r.running[:0]
	for _, one := range r.running {
		if r.continues(one) {
			kept = append(kept, one)
			continue
		}
		one.sampler.running--
	}
	r.running = kept
}

func (r *stragglerRun) continues(one *stragglerAttempt) bool {
	if !one.failsAt.IsZero() {
		if r.now.Before(one.failsAt) {
			return true
		}
		one.step.Fail(one.attempt, 0, r.now)
		return false
	}
	before := one.tokens
	one.tokens = min(one.length, one.tokens+tokensPerSecond*one.sampler.pace*stragglerTick.Seconds())
	r.tokens += one.tokens - before
	count := int(one.tokens) - one.reported
	one.reported += count
	if !r.report(one, count) {
		one.step.Fail(one.attempt, 0, r.now)
		return false
	}
	if one.tokens < one.length {
		return true
	}
	r.finish(one)
	return false
}

func (r *stragglerRun) report(one *stragglerAttempt, count int) bool {
	if count == 0 {
		return true
	}
	chunk := peerpb.Chunk_builder{Tokens: make([]int32, count), Version: one.sampler.version}.Build()
	if one.answer.Add(one.attempt.ID(), chunk) != nil {
		return false
	}
	return one.step.Progress(one.attempt, count, one.sampler.version, r.now) || r.policy.late && isDoomed(one)
}

func (r *stragglerRun) finish(one *stragglerAttempt) {
	end := peerpb.End_builder{OutputTokens: uint64(one.reported)}.Build()
	sample, err := one.answer.Sample(one.attempt, &peerpb.OpenRequest{}, end)
	if err != nil {
		one.step.Fail(one.attempt, 0, r.now)
		return
	}
	if one.step.Finish(one.attempt, sample, r.now) {
		r.useful += one.length
		one.step.MarkReplicated(one.attempt, []string{"a", "b"})
	}
}

// dispatch starts attempts on the samplers with the fewest running.
func (r *stragglerRun) dispatch() {
	for {
		if r.free(0) == nil {
			return
		}
		attempt, ok := r.step.Next(r.now)
		if !ok {
			attempt, ok = r.again()
		}
		if !ok {
			return
		}
		sampler := r.free(attempt.MinVersion())
		if sampler == nil {
			r.step.Refuse(attempt, 0, r.now)
			continue
		}
		sampler.running++
		r.running = append(r.running, &stragglerAttempt{
			attempt: attempt, sampler: sampler, step: r.step, start: r.now, length: r.length(attempt.Slot()),
		})
	}
}

// again is the baseline with a fixed count of retries.
func (r *stragglerRun) again() (rollout.Attempt, bool) {
	if !r.policy.fixed {
		return rollout.Attempt{}, false
	}
	for _, one := range r.running {
		late := r.now.Sub(one.start) > fixedTimeout*time.Duration(one.attempt.Number())
		if one.step == r.step && late && one.attempt.Number() <= fixedRetries && !r.hasLater(one) {
			return r.step.StartSecondRun(one.attempt.Slot(), r.now)
		}
	}
	return rollout.Attempt{}, false
}

func (r *stragglerRun) hasLater(one *stragglerAttempt) bool {
	return slices.ContainsFunc(r.running, func(other *stragglerAttempt) bool {
		return other.attempt.Slot() == one.attempt.Slot() && other.step == one.step && other.attempt.Number() > one.attempt.Number()
	})
}

// free returns the sampler with the fewest running that shows at least a version.
func (r *stragglerRun) free(oldest uint64) *stragglerSampler {
	var best *stragglerSampler
	offset := r.random.IntN(len(r.samplers))
	for i := range r.samplers {
		sampler := r.samplers[(i+offset)%len(r.samplers)]
		if sampler.version < oldest || sampler.running >= stragglerSlots || r.now.Before(sampler.awayUntil) {
			continue
		}
		if best == nil || sampler.running < best.running {
			best = sampler
		}
	}
	return best
}

// length is that of the slot's answer, the same for each attempt: second runs
// use the same seed.
func (r *stragglerRun) length(slot uint32) float64 {
	random := rand.New(rand.NewPCG(r.seed*1e6+r.step.Number(), uint64(slot)))
	return math.Ceil(min(mostTokens, medianTokens*math.Exp(spreadTokens*random.NormFloat64())))
}

// deliver hands over what is whole, and lets the trainer train.
func (r *stragglerRun) deliver() {
	if r.step.Propose() != nil {
		r.step.Commit()
	}
	training := r.now.Before(r.trainEnd)
	if r.isAnnounced(training) {
		r.announce()
	}
	pulled, err := r.step.Pull(r.next, rollout.MaxSlots, 0)
	if err != nil {
		return
	}
	for _, sample := range pulled.Samples() {
		r.lags = append(r.lags, float64(r.newest-min(r.newest, rollout.OldestVersion(sample))))
	}
	r.next = pulled.Next()
	if !training {
		r.idle += stragglerTick
	}
	if pulled.Done() && !r.whole {
		r.whole = true
		r.times = append(r.times, r.now.Sub(r.opened).Seconds())
	}
	if r.whole && !training {
		r.stale += r.step.Counts().Stale()
		r.trainEnd = r.now.Add(stragglerTrain)
		r.open(r.step.Number() + 1)
	}
}

// isAnnounced reports whether new weights are due.
func (r *stragglerRun) isAnnounced(training bool) bool {
	if r.policy.every > 0 {
		return r.now.Sub(r.announcedAt) >= r.policy.every
	}
	return !training && !r.trainEnd.IsZero()
}

// announce ends a training: the samplers swap within swapMost.
func (r *stragglerRun) announce() {
	if r.policy.every == 0 {
		r.trainEnd = time.Time{}
	}
	r.announcedAt = r.now
	r.newest++
	r.step.Announce(r.newest)
	for _, sampler := range r.samplers {
		sampler.swapAt = r.now.Add(time.Duration(r.random.Int64N(int64(swapMost))))
	}
}

// quantileOf returns the value below which a share of the values lies.
func quantileOf(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Round(share*float64(len(sorted)-1)))]
}
