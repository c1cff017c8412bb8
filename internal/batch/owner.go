package batch

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/admission"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
)

const (
	// schedulePollInterval is the maximum time between two checks for free slots and slow
	// servers: about the time between two events of a sampler.
	schedulePollInterval = 50 * time.Millisecond
	// silenceTimeout is how long a sampler may send nothing before its run continues elsewhere:
	// many times the usual gap, and longer than a weight load.
	silenceTimeout = 1500 * time.Millisecond
	// minStallTimeout is the lower bound of the time without an event after which a run counts as
	// stalled: longer than a pause caused by CPU throttling. The time is stallEvents times the
	// server's event interval if that is longer.
	minStallTimeout = 600 * time.Millisecond
	stallEvents     = 8
	// runTimeout bounds one run; samplers stop a run after the same time.
	runTimeout = 60 * time.Second
	// maxScoringDelay bounds the delay before a text is scored again.
	maxScoringDelay = time.Second
	// endedScoringTime is how long scoring goes on after the end of the batch: long enough for the
	// answer of a server that is at work.
	endedScoringTime = time.Second
)

// HeaderEncoder converts the headers of an item to HTTP headers.
type HeaderEncoder interface {
	EncodeItemHeader(headers map[string]string) http.Header
}

// Scorer scores texts.
type Scorer interface {
	// Score returns the proof of the scorer's answer. A *ScoreError means that the scorer
	// answered with failures.
	Score(ctx context.Context, scorer *statepb.Scorer) (string, error)
	// Acquire reserves a call to the pool of the scorer for a batch that runs a number of calls. It returns false if
	// the pool takes no further call now; release ends the reservation.
	Acquire(scorer *statepb.Scorer, running int) (release func(), ok bool)
}

// ScoreError means that the scorer answered with failures.
type ScoreError struct {
	// Failures is the number of failed answers.
	Failures int
	// MaxFailures is the number of failures after which the text is given up.
	MaxFailures int
}

// Error states how many times the scorer answered with a failure.
func (e *ScoreError) Error() string {
	return "batch: the scorer answered with a failure " + strconv.Itoa(e.Failures) + " times"
}

// owner runs one batch. The fields above mutex are set before run.
type owner struct {
	batch *statepb.Batch
	// route returns the current route of the batch, or false while no configuration is known.
	route         func() (Route, bool)
	roster        *roster.Roster
	scorer        Scorer
	headerEncoder HeaderEncoder
	ledger        *ledger
	// maxTextBytes bounds a text, so that the store can hold it; 0 means no bound.
	maxTextBytes int
	// keeper stores the incomplete texts.
	keeper  Keeper
	metrics *metrics
	// keepLeftovers stores the texts of incomplete groups for later batches.
	keepLeftovers func([]Leftover)
	// onScored is called after each call of the scorer.
	onScored func()
	// speeds places and moves runs by the speed of servers.
	speeds bool
	// sharing divides pools that several models use; nil divides none. demands holds the demand of
	// all batches of this process.
	sharing Sharing
	demands *demands
	// waiting is the number of items that wait for a slot; weightBits is the weight of the batch, as
	// the bits of a float64; required is the number of slots that it needs to be complete in time; reach is the
	// number of slots of the servers that may run its items.
	waiting    atomic.Int32
	weightBits atomic.Uint64
	required   atomic.Int32
	reach      atomic.Int32

	mutex sync.Mutex
	// older are the owners of batches of the same model that take free slots before this one.
	older []*owner
	plan  *Plan
	// shared is the state of the batch in a pool that several models use.
	shared sharedPool
	runs   map[int]*activeRun
	// scoring is the number of texts that are being scored.
	scoring int
	wake    chan struct{}
	tasks   sync.WaitGroup
}

// activeRun is a run in progress.
type activeRun struct {
	server *roster.Server
	// pool is the pool in which the run is counted.
	pool      string
	cancel    context.CancelCauseFunc
	startedAt clock.Boot
	// isMoving is true once the run was ended to continue on another server.
	isMoving bool
}

// errSlow ends a run on a slow sampler so that it continues on another one.
var errSlow = errors.New("batch: sampler is slow and another one has a free slot")

// run runs the batch until it is complete, it has ended, or the context ends.
func (o *owner) run(ctx context.Context) {
	ticker := time.NewTicker(schedulePollInterval)
	defer ticker.Stop()
	scoring, stopScoring := context.WithCancel(ctx)
	defer stopScoring()
	for {
		changed := o.roster.Changed()
		if o.schedule(ctx, scoring) {
			break
		}
		select {
		case <-ctx.Done():
		case <-o.wake:
		case <-changed:
		case <-ticker.C:
		}
		if ctx.Err() != nil {
			break
		}
	}
	o.waiting.Store(0)
	o.stopRuns()
	// A scorer's request may wait for a server, or be sent again, until its route's time limit.
	defer time.AfterFunc(endedScoringTime, stopScoring).Stop()
	o.tasks.Wait()
	if o.sharing != nil {
		o.demands.remove(o)
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.plan.IsEnded() {
		o.keepLeftovers(o.plan.Leftovers())
	}
	o.older = nil
}

// schedule starts the runs and the scoring that can start now, each with its context. It reports
// whether the batch is done.
func (o *owner) schedule(ctx, scoring context.Context) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := clock.Now()
	route, isKnown := o.route()
	if !isKnown {
		return false
	}
	pool := route.Pool
	if pool == "" {
		klog.InfoS("batch: giving up the remaining items because the route was removed", "batch", o.batch.GetId())
		o.plan.GiveUp("route removed")
	}
	mayPlace := o.updateShare(ctx, pool, now)
	for mayPlace && o.hasPrecedence() && o.startRun(ctx, pool, now) {
	}
	o.waiting.Store(int32(o.plan.Waiting()))
	pending, isUrgent := o.plan.Pending()
	o.logFailures(pending)
	o.ledger.enqueue(pending, isUrgent)
	o.moveSlowRun(pool)
	if o.plan.IsEnded() || o.plan.IsComplete() {
		return true
	}
	o.startScoring(scoring, now)
	return false
}

// startScoring starts scoring complete texts, at most as many concurrently as the scorer pool can
// accept besides callers' requests.
//
// The texts of a step complete in bursts. Scored all at once, they would take every slot of a
// plain service that callers also use, and the step would not finish sooner.
func (o *owner) startScoring(ctx context.Context, now clock.Boot) {
	scorer := o.batch.GetItems()[0].GetScorer()
	for o.plan.HasUnscored(now) {
		release, ok := o.scorer.Acquire(scorer, o.scoring)
		if !ok {
			return
		}
		job, _ := o.plan.NextScore(now)
		o.scoring++
		o.tasks.Go(func() { o.score(ctx, job, release) })
	}
}

// hasPrecedence reports whether no older batch of the same model waits for slots.
//
// A trainer may have two steps in progress, and publishes the next weights once the older one
// is done. Sharing the slots between both would delay that, and with it every later step.
func (o *owner) hasPrecedence() bool {
	for _, older := range o.older {
		if older.waiting.Load() > 0 {
			return false
		}
	}
	return true
}

// yieldTo gives an older batch of the same model precedence for free slots.
func (o *owner) yieldTo(older *owner) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.older = append(o.older, older)
}

// logFailures logs why items were given up.
func (o *owner) logFailures(outcomes []*statepb.Outcome) {
	for _, outcome := range outcomes {
		if outcome.GetFailed() {
			klog.InfoS("batch: item given up", "id", outcome.GetItem(), "batch", o.batch.GetId(), "reason", o.plan.Reason(outcome.GetItem()))
		}
	}
}

// startRun starts the next item if a sampler has a free slot for it. It reports whether it did.
func (o *owner) startRun(ctx context.Context, pool string, now clock.Boot) bool {
	job, ok := o.plan.NextFor(o.speeds && o.plan.Waiting() > 1 && o.roster.HasOnlySlowSlots(o.need(pool)), now)
	if !ok {
		return false
	}
	if !o.reserve(pool, now) {
		return false
	}
	need := o.need(pool)
	need.PreferActive = job.isFaulty
	server := o.roster.Place(need)
	if server == nil {
		o.release(pool)
		if job.isFaulty && o.shared.isShared {
			// The item waits for a server without faults; other items may have one now.
			o.plan.Postpone(job, schedulePollInterval, now)
			return true
		}
		return false
	}
	o.plan.Start(job)
	o.logPlaced(job, pool, server, now)
	running, cancel := context.WithCancelCause(ctx)
	o.runs[job.index] = &activeRun{server: server, pool: pool, cancel: cancel, startedAt: now}
	o.tasks.Go(func() {
		defer cancel(nil)
		o.generate(running, job, server)
	})
	return true
}

// moveSlowRun ends a run on a slow sampler if a faster sampler has a free slot and no item waits
// for a slot: the run continues on the faster sampler after its last event.
//
// Without the move, the longest item of a step, on a sampler slowed by a fault, keeps its trainer
// waiting while other slots are idle.
func (o *owner) moveSlowRun(pool string) {
	if o.plan.Waiting() > 0 || o.isOverCap(pool) {
		return
	}
	if o.speeds && o.moveLateRun(pool) {
		return
	}
	for index, run := range o.runs {
		if o.plan.MayMove(index) && o.roster.HasFasterServer(run.server, o.need(pool)) {
			o.plan.Moved(index)
			run.cancel(errSlow)
			return
		}
	}
}

func (o *owner) need(pool string) roster.Need {
	return roster.Need{Pool: pool, Model: o.batch.GetModel(), MinVersion: o.batch.GetOldest(), Sharing: o.rosterSharing(pool)}
}

// score scores a complete text and records the result.
func (o *owner) score(ctx context.Context, job Job, release func()) {
	proof, err := o.scorer.Score(ctx, job.spec.GetScorer())
	release()
	if err == nil && !utf8.ValidString(proof) {
		err = refusal.Unknown(http.StatusBadGateway, "not_judged", "the scorer's proof isn't valid UTF-8")
	}
	defer o.onScored()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	defer o.notify()
	o.scoring--
	if err == nil {
		o.plan.Scored(job, proof)
		return
	}
	var failed *ScoreError
	klog.InfoS("batch: scoring failed", "id", job.spec.GetId(), "scorer", job.spec.GetScorer().GetId(), "batch", o.batch.GetId(), "err", err.Error())
	if errors.As(err, &failed) {
		o.plan.ScorerFailed(job, failed, clock.Now())
		return
	}
	o.plan.ScoringFailed(job, scoringDelay(err), clock.Now())
}

// scoringDelay returns the delay before a text is scored again.
func scoringDelay(err error) time.Duration {
	refused := refusal.Of(err)
	if refused.Code != admission.CodeOverloaded {
		return faultPause
	}
	return max(faultPause, min(refused.RetryAfter, maxScoringDelay))
}

// end stops the batch at the request of its trainer.
func (o *owner) end() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.plan.IsEnded() {
		return
	}
	o.plan.End()
	for _, run := range o.runs {
		run.cancel(errEnded)
	}
	o.notify()
}

// isEnded reports whether the trainer has ended the batch.
func (o *owner) isEnded() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.plan.IsEnded()
}

// errEnded ends the runs of a batch that its trainer has ended.
var errEnded = errors.New("batch: ended by its trainer")

func (o *owner) stopRuns() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, run := range o.runs {
		run.cancel(context.Canceled)
	}
}

// notify wakes up run.
func (o *owner) notify() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}
