package measure

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/rollout"
)

// Parameters of the stragglers experiment.
const (
	stragglerSamplers     = 24
	stragglerSlots        = 8
	stragglerGroups       = 64
	stragglerGroupSize    = 8
	stragglerSteps        = 8
	stragglerTick         = 200 * time.Millisecond
	stragglerTrainTime    = 60 * time.Second
	stragglerMaxStaleness = 1
	tokensPerSecond       = 40.0
	medianTokens          = 600.0
	tokensSigma           = 0.6
	maxTokens             = 4096
	slowSpeed             = 0.15
	crashAfter            = 20 * time.Second
	crashDuration         = 30 * time.Second
	silenceTimeout        = 5 * time.Second
	maxSwapDelay          = 10 * time.Second
	maxRetries            = 3
	retryTimeout          = 40 * time.Second
)

// Stragglers compares policies for second runs of slow attempts, with one sampler
// that is always slow and one that crashes in each step.
func Stragglers() Experiment {
	policies := []stragglerPolicy{
		{name: "second run when it pays"},
		{name: "no second run", noSecondRuns: true},
		{name: "fixed retries", noSecondRuns: true, retriesOnTimeout: true},
	}
	return Experiment{Name: "Stragglers", Run: func(seed uint64) []Result {
		var results []Result
		for _, policy := range policies {
			results = append(results, newStragglerRun(policy, seed).run())
		}
		return results
	}}
}

// stragglerPolicy says when second runs start and when stale attempts stop.
type stragglerPolicy struct {
	name         string
	noSecondRuns bool
	// retriesOnTimeout retries an attempt that takes longer than retryTimeout, up to maxRetries times.
	retriesOnTimeout bool
	// announceInterval is the time between versions; 0 announces one after each training.
	announceInterval time.Duration
	// checksAtEnd lets attempts run to their end although their samples will be stale.
	checksAtEnd bool
}

// stragglerSampler is a sampler with its own speed relative to tokensPerSecond.
type stragglerSampler struct {
	speed   float64
	running int
	version uint64
	// downUntil is when the sampler's restart after a crash completes.
	downUntil time.Time
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
	sample   rollout.SampleBuilder
}

// stragglerRun simulates one policy with one seed.
type stragglerRun struct {
	policy     stragglerPolicy
	random     *rand.Rand
	seed       uint64
	now        time.Time
	samplers   []*stragglerSampler
	running    []*stragglerAttempt
	step       *rollout.Step
	openedAt   time.Time
	isComplete bool
	crashAt    time.Time
	next       uint64
	newest     uint64
	trainEnd   time.Time
	// announcedAt is when the newest version was announced.
	announcedAt     time.Time
	idle            time.Duration
	generatedTokens float64
	usefulTokens    float64
	staleSamples    uint64
	stepTimes       []float64
	minStepTimes    []float64
	staleness       []float64
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
		run.samplers = append(run.samplers, &stragglerSampler{speed: 0.9 + 0.2*run.random.Float64(), version: 1})
	}
	run.samplers[0].speed = slowSpeed
	return run
}

func (r *stragglerRun) run() Result {
	r.openStep(1)
	start := r.now
	for len(r.stepTimes) < stragglerSteps {
		r.now = r.now.Add(stragglerTick)
		r.swapAndCrash()
		r.advance()
		r.dispatch()
		r.deliver()
	}
	return Result{Policy: r.policy.name, Figures: []Figure{
		{Name: "trainer idle share", Value: r.idle.Seconds() / r.now.Sub(start).Seconds()},
		{Name: "step p50 s", Value: quantile(r.stepTimes, 0.5)},
		{Name: "least p50 s", Value: quantile(r.minStepTimes, 0.5)},
		{Name: "step p99 s", Value: quantile(r.stepTimes, 0.99)},
		{Name: "added work share", Value: r.generatedTokens/r.usefulTokens - 1},
		{Name: "dropped as stale", Value: float64(r.staleSamples)},
		{Name: "staleness p50", Value: quantile(r.staleness, 0.5)},
		{Name: "staleness p99", Value: quantile(r.staleness, 0.99)},
	}}
}

func (r *stragglerRun) openStep(number uint64) {
	request := peerpb.OpenRequest_builder{Trainer: "t", Step: number, Model: "m", Staleness: stragglerMaxStaleness}.Build()
	for range stragglerGroups {
		request.SetPrompts(append(request.GetPrompts(), peerpb.Prompt_builder{Samples: stragglerGroupSize}.Build()))
	}
	r.step = rollout.NewStep(request, r.next, 1, r.newest)
	if r.policy.noSecondRuns {
		r.step.DisableSecondRuns()
	}
	r.minStepTimes = append(r.minStepTimes, r.minStepTime())
	r.openedAt, r.isComplete = r.now, false
	r.crashAt = r.now.Add(crashAfter)
}

// minStepTime returns a lower bound of the step's time: the time to generate the longest response
// at tokensPerSecond, or all tokens spread over all samplers.
func (r *stragglerRun) minStepTime() float64 {
	longest, sum := 0.0, 0.0
	for slot := range r.step.Slots() {
		length := r.length(uint32(slot))
		longest = max(longest, length)
		sum += length
	}
	return max(longest/tokensPerSecond, sum/tokensPerSecond/stragglerSamplers/stragglerSlots)
}

// swapAndCrash swaps in the newest version where due, and crashes one sampler in each step.
func (r *stragglerRun) swapAndCrash() {
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
	crashed.downUntil = r.now.Add(crashDuration)
	for _, running := range r.running {
		if running.sampler == crashed {
			running.failsAt = r.now.Add(silenceTimeout)
		}
	}
}

// advance generates tokens on all samplers.
func (r *stragglerRun) advance() {
	kept := r.running[:0]
	for _, running := range r.running {
		if r.advanceAttempt(running) {
			kept = append(kept, running)
			continue
		}
		running.sampler.running--
	}
	r.running = kept
}

func (r *stragglerRun) advanceAttempt(running *stragglerAttempt) bool {
	if !running.failsAt.IsZero() {
		if r.now.Before(running.failsAt) {
			return true
		}
		running.step.Fail(running.attempt, 0, r.now)
		return false
	}
	before := running.tokens
	running.tokens = min(running.length, running.tokens+tokensPerSecond*running.sampler.speed*stragglerTick.Seconds())
	r.generatedTokens += running.tokens - before
	count := int(running.tokens) - running.reported
	running.reported += count
	if !r.reportProgress(running, count) {
		running.step.Fail(running.attempt, 0, r.now)
		return false
	}
	if running.tokens < running.length {
		return true
	}
	r.finish(running)
	return false
}

func (r *stragglerRun) reportProgress(running *stragglerAttempt, count int) bool {
	if count == 0 {
		return true
	}
	chunk := peerpb.Chunk_builder{Tokens: make([]int32, count), Version: running.sampler.version}.Build()
	if running.sample.Add(running.attempt.ID(), chunk) != nil {
		return false
	}
	return running.step.Progress(running.attempt, count, running.sampler.version, r.now) || r.policy.checksAtEnd && isStale(running)
}

func (r *stragglerRun) finish(running *stragglerAttempt) {
	end := peerpb.End_builder{OutputTokens: uint64(running.reported)}.Build()
	sample, err := running.sample.Sample(running.attempt, &peerpb.OpenRequest{}, end)
	if err != nil {
		running.step.Fail(running.attempt, 0, r.now)
		return
	}
	if running.step.Finish(running.attempt, sample, r.now) {
		r.usefulTokens += running.length
		running.step.MarkReplicated(running.attempt, []string{"a", "b"})
	}
}

// dispatch starts attempts on the samplers with the fewest running attempts.
func (r *stragglerRun) dispatch() {
	for {
		if r.leastBusySampler(0) == nil {
			return
		}
		attempt, ok := r.step.Next(r.now)
		if !ok {
			attempt, ok = r.retryTimedOut()
		}
		if !ok {
			return
		}
		sampler := r.leastBusySampler(attempt.MinVersion())
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

// retryTimedOut starts the retry of a timed-out attempt, for the baseline with a fixed number of
// retries.
func (r *stragglerRun) retryTimedOut() (rollout.Attempt, bool) {
	if !r.policy.retriesOnTimeout {
		return rollout.Attempt{}, false
	}
	for _, running := range r.running {
		isLate := r.now.Sub(running.start) > retryTimeout*time.Duration(running.attempt.Number())
		if running.step == r.step && isLate && running.attempt.Number() <= maxRetries && !r.hasLaterAttempt(running) {
			return r.step.StartSecondRun(running.attempt.Slot(), r.now)
		}
	}
	return rollout.Attempt{}, false
}

func (r *stragglerRun) hasLaterAttempt(running *stragglerAttempt) bool {
	return slices.ContainsFunc(r.running, func(other *stragglerAttempt) bool {
		return other.attempt.Slot() == running.attempt.Slot() && other.step == running.step && other.attempt.Number() > running.attempt.Number()
	})
}

// leastBusySampler returns the available sampler with the fewest attempts among those at minVersion
// or newer.
func (r *stragglerRun) leastBusySampler(minVersion uint64) *stragglerSampler {
	var best *stragglerSampler
	offset := r.random.IntN(len(r.samplers))
	for i := range r.samplers {
		sampler := r.samplers[(i+offset)%len(r.samplers)]
		if sampler.version < minVersion || sampler.running >= stragglerSlots || r.now.Before(sampler.downUntil) {
			continue
		}
		if best == nil || sampler.running < best.running {
			best = sampler
		}
	}
	return best
}

// length returns the token count of the slot's response, which is the same for each attempt,
// because second runs use the same seed.
func (r *stragglerRun) length(slot uint32) float64 {
	random := rand.New(rand.NewPCG(r.seed*1e6+r.step.Number(), uint64(slot)))
	return math.Ceil(min(maxTokens, medianTokens*math.Exp(tokensSigma*random.NormFloat64())))
}

// deliver passes finished samples to the trainer and advances its training.
func (r *stragglerRun) deliver() {
	if r.step.Propose() != nil {
		r.step.Commit()
	}
	training := r.now.Before(r.trainEnd)
	if r.isAnnouncementDue(training) {
		r.announce()
	}
	result, err := r.step.Pull(r.next, rollout.MaxSlots, 0)
	if err != nil {
		return
	}
	for _, sample := range result.Samples() {
		r.staleness = append(r.staleness, float64(r.newest-min(r.newest, rollout.OldestVersion(sample))))
	}
	r.next = result.Next()
	if !training {
		r.idle += stragglerTick
	}
	if result.Done() && !r.isComplete {
		r.isComplete = true
		r.stepTimes = append(r.stepTimes, r.now.Sub(r.openedAt).Seconds())
	}
	if r.isComplete && !training {
		r.staleSamples += r.step.Counts().Stale()
		r.trainEnd = r.now.Add(stragglerTrainTime)
		r.openStep(r.step.Number() + 1)
	}
}

// isAnnouncementDue reports whether new weights are due.
func (r *stragglerRun) isAnnouncementDue(training bool) bool {
	if r.policy.announceInterval > 0 {
		return r.now.Sub(r.announcedAt) >= r.policy.announceInterval
	}
	return !training && !r.trainEnd.IsZero()
}

// announce announces a new version; the samplers swap to it within maxSwapDelay. It ends
// the training unless versions follow announceInterval.
func (r *stragglerRun) announce() {
	if r.policy.announceInterval == 0 {
		r.trainEnd = time.Time{}
	}
	r.announcedAt = r.now
	r.newest++
	r.step.Announce(r.newest)
	for _, sampler := range r.samplers {
		sampler.swapAt = r.now.Add(time.Duration(r.random.Int64N(int64(maxSwapDelay))))
	}
}

// quantile returns the value below which a share of the values lies, rounded to the
// nearest value; percentile rounds down.
func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Round(share*float64(len(sorted)-1)))]
}
