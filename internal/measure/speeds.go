package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

// Parameters of the experiment on the speed of servers.
const (
	speedsTick     = 10 * time.Millisecond
	speedsSamplers = 41
	speedsSteps    = 20
	// A trainer opens a step every speedsStepInterval if it has fewer than speedsMaxOpen open ones.
	speedsStepInterval = 4 * time.Second
	speedsMaxOpen      = 2
	// A step is late after speedsDue seconds.
	speedsDue       = 7.5
	speedsGroups    = 21
	speedsGroupSize = 8
	speedsWanted    = 19
	// A quarter of the samplers have speedsSlow, all others speedsFast.
	speedsSlow = 0.55
	speedsFast = 1.2
	// The time of an event at speed 1 is log-normal.
	speedsGap      = 40 * time.Millisecond
	speedsGapSigma = 0.2
	// Each sampler has a short slow phase every few seconds.
	spellFactor   = 2.5
	spellMin      = 200 * time.Millisecond
	spellMax      = 600 * time.Millisecond
	spellInterval = 4 * time.Second
	// Half of the samplers are slowed for a time.
	speedsFaultFactor = 3.5
	speedsFaultAt     = 24 * time.Second
	speedsFaultLength = 20 * time.Second
	// Lengths of texts are log-normal, and a share of them is longer by a factor.
	speedsMedianEvents = 18.0
	speedsLengthSigma  = 0.9
	speedsLongShare    = 0.08
	speedsLongFactor   = 5
	speedsMaxEvents    = 132
	// The trainer's hint is off by a log-normal factor, and counts tokens.
	speedsHintSigma      = 0.5
	speedsTokensPerEvent = 71
	speedsMinPrompt      = 1000
	speedsMaxPrompt      = 8000
	// A run starts after the time of a connection and of reading its prompt.
	speedsStart            = 10 * time.Millisecond
	speedsTokensPerSecond  = 400_000
	speedsScoreTime        = 100 * time.Millisecond
	speedsMoveInterval     = 50 * time.Millisecond
	speedsScoresConcurrent = 40
)

// SpeedsDeployment is the part of the pool that the owner may use.
type SpeedsDeployment struct {
	Name string
	// Slots is the number of slots of each sampler.
	Slots int64
	// IsUniform gives all samplers the same speed, IsHealthy slows none for long.
	IsUniform bool
	IsHealthy bool
}

// SpeedsDeployments returns the deployments on which speeds are measured: an owner that has the pool to itself, one that shares
// it with two others, one with too few slots for its steps, and pools without a long fault or whose samplers don't differ.
func SpeedsDeployments() []SpeedsDeployment {
	return []SpeedsDeployment{
		{Name: "6 slots", Slots: 6},
		{Name: "2 slots", Slots: 2},
		{Name: "1 slot", Slots: 1},
		{Name: "no fault, 6 slots", Slots: 6, IsHealthy: true},
		{Name: "no fault, 2 slots", Slots: 2, IsHealthy: true},
		{Name: "equal samplers, 6 slots", Slots: 6, IsUniform: true},
	}
}

// Speeds compares rules for the placement and moves of a step's items on samplers that differ in their speed.
func Speeds(deployment SpeedsDeployment) Experiment {
	return Experiment{Name: "Speeds, " + deployment.Name, Run: func(seed uint64) []Result {
		var results []Result
		for _, policy := range speedsPolicies() {
			results = append(results, newSpeedsRun(deployment, policy, seed).run())
		}
		return results
	}}
}

// speedsSampler is a sampler and what its owner knows about it.
type speedsSampler struct {
	*route.Server

	known roster.Speed
	speed float64
	// hasFault is true for samplers that are slowed for a time.
	hasFault bool
	// spells are the short slow phases.
	spells []speedsSpell
}

type speedsSpell struct{ from, to clock.Boot }

// speedsText is the text of an item, which is the same at each run.
type speedsText struct {
	events int
	hint   uint64
	prompt int
}

type speedsGeneration struct {
	step    *speedsStep
	job     batch.Job
	text    speedsText
	sampler *speedsSampler
	done    int
	nextAt  clock.Boot
	// gap is the interval before the next event; 0 before the first one.
	gap time.Duration
}

type speedsScore struct {
	step *speedsStep
	job  batch.Job
	at   clock.Boot
}

type speedsStep struct {
	plan     *batch.Plan
	batch    *statepb.Batch
	openedAt clock.Boot
	// resubmitted holds the groups of the last step.
	resubmitted []string
	// open counts the items of a group without an outcome.
	open    map[string]int
	scoring int
}

// speedsRun simulates one policy with one seed.
type speedsRun struct {
	deployment SpeedsDeployment
	policy     speedsPolicy
	seed       uint64
	random     *rand.Rand
	now        clock.Boot
	samplers   []*speedsSampler
	texts      map[string]speedsText
	steps      []*speedsStep
	opened     int
	groups     int
	running    []*speedsGeneration
	scores     []speedsScore
	lengths    batch.Lengths
	// leftGroups holds the groups to submit again, leftovers their texts.
	leftGroups []string
	leftovers  []batch.Leftover
	movedAt    clock.Boot

	durations   []float64
	moves       int
	generations int
	readAgain   int
}

func newSpeedsRun(deployment SpeedsDeployment, policy speedsPolicy, seed uint64) *speedsRun {
	run := &speedsRun{
		deployment: deployment, policy: policy, seed: seed, random: rand.New(rand.NewPCG(seed, 5)),
		now: clock.Boot(time.Hour), texts: map[string]speedsText{},
	}
	setup := rand.New(rand.NewPCG(seed, 6))
	for i := range speedsSamplers {
		sampler := &speedsSampler{Server: route.NewServer(fmt.Sprintf("s%02d", i), "r", "z"), speed: speedsFast}
		sampler.SetSlots(deployment.Slots)
		if i%4 == 0 && !deployment.IsUniform {
			sampler.speed = speedsSlow
		}
		sampler.hasFault = setup.Float64() < 0.5 && !deployment.IsHealthy
		for at := run.now; at < run.now.Add(10*time.Minute); {
			at = at.Add(time.Duration(setup.ExpFloat64() * float64(spellInterval)))
			end := at.Add(spellMin + time.Duration(setup.Int64N(int64(spellMax-spellMin))))
			sampler.spells = append(sampler.spells, speedsSpell{at, end})
			at = end
		}
		run.samplers = append(run.samplers, sampler)
	}
	return run
}

func (r *speedsRun) run() Result {
	start := r.now
	for r.opened < speedsSteps || len(r.steps) > 0 {
		r.now = r.now.Add(speedsTick)
		if r.opened < speedsSteps && len(r.steps) < speedsMaxOpen && r.now.Sub(start) >= time.Duration(r.opened)*speedsStepInterval {
			r.openStep()
		}
		r.generate()
		r.score()
		r.endSteps()
		r.place()
		if r.now.Sub(r.movedAt) >= speedsMoveInterval {
			r.movedAt = r.now
			r.move()
		}
	}
	return Result{Policy: r.policy.name, Figures: []Figure{
		{Name: "wanted groups mean s", Value: mean(r.durations)},
		{Name: "wanted groups p95 s", Value: quantile(r.durations, 0.95)},
		{Name: "late share", Value: share(r.durations, func(duration float64) bool { return duration > speedsDue })},
		{Name: "moves a generation", Value: float64(r.moves) / float64(r.generations)},
		{Name: "tokens read again a generation", Value: float64(r.readAgain) / float64(r.generations)},
	}}
}

// share returns the share of values that satisfy a condition.
func share(values []float64, condition func(float64) bool) float64 {
	count := 0
	for _, value := range values {
		if condition(value) {
			count++
		}
	}
	return float64(count) / float64(max(1, len(values)))
}

// openStep opens a step with the incomplete groups of the last one first.
func (r *speedsRun) openStep() {
	r.opened++
	step := &speedsStep{openedAt: r.now, resubmitted: r.leftGroups, open: map[string]int{}}
	groups := slices.Clone(r.leftGroups)
	for len(groups) < speedsGroups {
		r.groups++
		groups = append(groups, fmt.Sprintf("g%d", r.groups))
	}
	var items []*statepb.Item
	for _, group := range groups {
		step.open[group] = speedsGroupSize
		for i := range speedsGroupSize {
			id := fmt.Sprintf("%s.%d", group, i)
			if _, isKnown := r.texts[id]; !isKnown {
				r.texts[id] = r.newText(group, i)
				r.generations++
			}
			items = append(items, statepb.Item_builder{Id: id, Group: group, Expected: r.texts[id].hint, Scorer: &statepb.Scorer{}}.Build())
		}
	}
	step.batch = statepb.Batch_builder{Id: fmt.Sprint(r.opened), Items: items, Wanted: speedsWanted}.Build()
	step.plan = batch.NewPlan(step.batch, batch.Rules{MaxFailures: 3}, r.now)
	step.plan.UseLengths(&r.lengths)
	step.plan.Reuse(r.leftovers)
	r.leftGroups, r.leftovers = nil, nil
	r.steps = append(r.steps, step)
}

// newText returns the text of an item, which doesn't depend on the policy.
func (r *speedsRun) newText(group string, index int) speedsText {
	random := rand.New(rand.NewPCG(r.seed, route.Hash(fmt.Append(nil, group, "/", index))))
	events := speedsMedianEvents * math.Exp(speedsLengthSigma*random.NormFloat64())
	if random.Float64() < speedsLongShare {
		events *= speedsLongFactor
	}
	events = math.Ceil(min(speedsMaxEvents, events))
	return speedsText{
		events: int(events),
		hint:   uint64(1 + events*speedsTokensPerEvent*math.Exp(speedsHintSigma*random.NormFloat64())),
		prompt: speedsMinPrompt + random.IntN(speedsMaxPrompt-speedsMinPrompt),
	}
}

// factor returns by how much a sampler is slower than usual.
func (r *speedsRun) factor(sampler *speedsSampler, at clock.Boot) float64 {
	factor := 1.0
	for _, spell := range sampler.spells {
		if spell.from <= at && at < spell.to {
			factor = spellFactor
		}
	}
	sinceStart := at.Sub(clock.Boot(time.Hour))
	if sampler.hasFault && sinceStart >= speedsFaultAt && sinceStart < speedsFaultAt+speedsFaultLength {
		factor *= speedsFaultFactor
	}
	return factor
}

func (r *speedsRun) gap(sampler *speedsSampler, at clock.Boot) time.Duration {
	noise := math.Exp(speedsGapSigma * r.random.NormFloat64())
	return time.Duration(float64(speedsGap) / sampler.speed * noise * r.factor(sampler, at))
}

// generate generates the events up to now.
func (r *speedsRun) generate() {
	r.running = slices.DeleteFunc(r.running, func(generation *speedsGeneration) bool {
		for generation.nextAt <= r.now {
			if r.addEvent(generation) {
				generation.sampler.Finish()
				return true
			}
		}
		return false
	})
}

// addEvent adds the next event and reports whether the run has ended.
func (r *speedsRun) addEvent(generation *speedsGeneration) bool {
	if !generation.step.plan.Event(generation.job, "", 1) {
		return true
	}
	generation.done++
	if generation.gap > 0 {
		generation.sampler.known.Add(generation.gap, generation.nextAt)
	}
	if generation.done >= generation.text.events {
		generation.step.plan.Generated(generation.job)
		return true
	}
	gap := r.gap(generation.sampler, generation.nextAt)
	generation.nextAt = generation.nextAt.Add(gap)
	generation.gap = gap
	return false
}

// score scores complete texts.
func (r *speedsRun) score() {
	r.scores = slices.DeleteFunc(r.scores, func(score speedsScore) bool {
		if score.at > r.now {
			return false
		}
		score.step.scoring--
		if !score.step.plan.IsEnded() {
			score.step.plan.Scored(score.job, "proof")
			score.step.open[score.job.Spec().GetGroup()]--
		}
		return true
	})
	for _, step := range r.steps {
		for step.scoring < speedsScoresConcurrent {
			job, ok := step.plan.NextScore(r.now)
			if !ok {
				break
			}
			step.scoring++
			r.scores = append(r.scores, speedsScore{step: step, job: job, at: r.now.Add(speedsScoreTime)})
		}
	}
}

// endSteps ends the steps whose wanted groups are complete, among them all that were submitted again.
func (r *speedsRun) endSteps() {
	r.steps = slices.DeleteFunc(r.steps, func(step *speedsStep) bool {
		var incomplete []string
		for _, item := range step.batch.GetItems() {
			if group := item.GetGroup(); step.open[group] > 0 && !slices.Contains(incomplete, group) {
				incomplete = append(incomplete, group)
			}
		}
		isMissing := slices.ContainsFunc(step.resubmitted, func(group string) bool { return step.open[group] > 0 })
		if isMissing || len(incomplete) > speedsGroups-speedsWanted {
			return false
		}
		r.durations = append(r.durations, r.now.Sub(step.openedAt).Seconds())
		r.leftGroups = append(r.leftGroups, incomplete...)
		r.leftovers = append(r.leftovers, step.plan.Leftovers()...)
		step.plan.End()
		r.running = slices.DeleteFunc(r.running, func(generation *speedsGeneration) bool {
			if generation.step == step {
				generation.sampler.Finish()
			}
			return generation.step == step
		})
		return true
	})
}

// place places waiting items, those of the older step first.
func (r *speedsRun) place() {
	for _, step := range r.steps {
		for r.placeNext(step) {
		}
		if step.plan.Waiting() > 0 {
			return
		}
	}
}

func (r *speedsRun) placeNext(step *speedsStep) bool {
	if step.plan.Waiting() == 0 {
		return false
	}
	view := r.policy.view(r)
	job, ok := step.plan.NextFor(r.policy.hasShortestOnSlow && view.hasOnlySlowSlots(), r.now)
	sampler := view.best
	if !ok || sampler == nil {
		return false
	}
	step.plan.Start(job)
	sampler.Begin()
	text := r.texts[job.Spec().GetId()]
	read := text.prompt + job.Events()*speedsTokensPerEvent
	delay := speedsStart + time.Duration(float64(read)/speedsTokensPerSecond*float64(time.Second))
	generation := &speedsGeneration{step: step, job: job, text: text, sampler: sampler, done: job.Events(), nextAt: r.now.Add(delay)}
	generation.nextAt = generation.nextAt.Add(r.gap(sampler, generation.nextAt))
	r.running = append(r.running, generation)
	return true
}

// move moves at most one run of each step, while none of its items waits.
func (r *speedsRun) move() {
	for _, step := range r.steps {
		if step.plan.Waiting() > 0 {
			continue
		}
		moved := r.policy.move(r, step)
		if moved == nil {
			continue
		}
		step.plan.Moved(moved.job.Index())
		step.plan.Interrupted(moved.job, 0, r.now)
		moved.sampler.Finish()
		r.running = slices.DeleteFunc(r.running, func(other *speedsGeneration) bool { return other == moved })
		r.moves++
		r.readAgain += moved.text.prompt + moved.done*speedsTokensPerEvent
		r.placeNext(step)
	}
}
