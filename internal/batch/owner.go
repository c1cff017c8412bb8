package batch

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
)

const (
	// lookAgain is how long an owner waits at most before it looks again for free
	// slots and slow servers: about one event of a sampler.
	lookAgain = 50 * time.Millisecond
	// silence is how long a sampler may send nothing before its run goes on
	// elsewhere: many times the usual gap, and above the time of a weight load.
	silence = 1500 * time.Millisecond
	// leastStall is the least time after its last event after which a run is taken for
	// stalled: above a pause by which processor time is shared out. stallEvents is that
	// time in events of the server.
	leastStall  = 600 * time.Millisecond
	stallEvents = 8
	// runTime bounds one run; a sampler stops a run by itself after that.
	runTime = 60 * time.Second
)

// HeaderEncoder knows how an item's headers are written.
type HeaderEncoder interface {
	EncodeItemHeader(headers map[string]string) http.Header
}

// Scorer has texts judged.
type Scorer interface {
	// Score returns the proof of the scorer's answer. A *ScoreError says that it
	// answered with a failure.
	Score(ctx context.Context, scorer *statepb.Scorer) (string, error)
	// Capacity returns how many texts may be judged by the scorer's pool at the same time.
	Capacity(scorer *statepb.Scorer) int
}

// ScoreError says that the scorer answered with failures.
type ScoreError struct {
	// Failures is the number of such answers.
	Failures int
	// MaxFailures is the number of them after which the text is given up.
	MaxFailures int
}

// Error names the number.
func (e *ScoreError) Error() string {
	return "batch: the scorer answered with a failure " + strconv.Itoa(e.Failures) + " times"
}

// owner runs one batch. Its fields are set before run.
type owner struct {
	batch *statepb.Batch
	// route returns what is said of the batch now; false while nothing is known.
	route  func() (Route, bool)
	roster *roster.Roster
	scorer Scorer
	wire   HeaderEncoder
	ledger *ledger
	// keeper keeps the texts that aren't whole; nil keeps them nowhere.
	keeper  Keeper
	metrics *metrics
	// leave keeps the texts of groups that aren't whole for later batches.
	leave func([]Leftover)
	// waiting is the number of items that wait for a slot now.
	waiting atomic.Int32

	mutex sync.Mutex
	// older are the owners of batches of the same model that come before this one.
	older []*owner
	plan  *Plan
	runs  map[int]*activeRun
	// scoring is the number of texts that are being judged.
	scoring int
	wake    chan struct{}
	done    sync.WaitGroup
}

// activeRun is a run under way.
type activeRun struct {
	server *roster.Server
	cancel context.CancelCauseFunc
	began  clock.Boot
}

// errSlow ends a run on a slow sampler, so that it goes on at another one.
var errSlow = errors.New("batch: the sampler is slow and another one has room")

// run runs the batch until it is whole, ended, or the context ends.
func (o *owner) run(ctx context.Context) {
	ticker := time.NewTicker(lookAgain)
	defer ticker.Stop()
	for {
		changed := o.roster.Changed()
		if o.pump(ctx) {
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
	o.done.Wait()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.plan.IsEnded() {
		o.leave(o.plan.Leftovers())
	}
	o.older = nil
}

// pump starts what can start now. It reports whether nothing is left to do.
func (o *owner) pump(ctx context.Context) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := clock.Now()
	route, isKnown := o.route()
	if !isKnown {
		return false
	}
	pool := route.Pool
	if pool == "" {
		klog.InfoS("batch: its route is gone, the rest is given up", "batch", o.batch.GetId())
		o.plan.GiveUp("its route is gone")
	}
	for o.isFirst() && o.startRun(ctx, pool, now) {
	}
	o.waiting.Store(int32(o.plan.Waiting()))
	pending, isUrgent := o.plan.Pending()
	o.logFailures(pending)
	o.ledger.add(pending, isUrgent)
	o.leaveSlow(pool)
	if o.plan.IsEnded() || o.plan.IsComplete() {
		return true
	}
	o.startScores(ctx, now)
	return false
}

// startScores has whole texts judged, as many at a time as the scorers' pool has
// room for beside callers.
//
// The texts of a step become whole in bursts. Judged all at once they would take every
// slot of a plain service that callers use as well, and the step would be done no sooner.
func (o *owner) startScores(ctx context.Context, now clock.Boot) {
	room := o.scorer.Capacity(o.batch.GetItems()[0].GetScorer())
	for o.scoring < room {
		job, ok := o.plan.NextScore(now)
		if !ok {
			return
		}
		o.scoring++
		o.done.Go(func() { o.score(ctx, job) })
	}
}

// isFirst reports whether no older batch of the same model waits for slots.
//
// A trainer may have two steps under way, and names the next weights once the
// older one is done. Sharing the slots between both delays just that, and with
// it every later step.
func (o *owner) isFirst() bool {
	for _, older := range o.older {
		if older.waiting.Load() > 0 {
			return false
		}
	}
	return true
}

// follow lets an older batch of the same model come first.
func (o *owner) follow(older *owner) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.older = append(o.older, older)
}

// logFailures tells why items were given up.
func (o *owner) logFailures(outcomes []*statepb.Outcome) {
	for _, outcome := range outcomes {
		if outcome.GetFailed() {
			klog.InfoS("batch: item given up", "id", outcome.GetItem(), "batch", o.batch.GetId(), "reason", o.plan.Reason(outcome.GetItem()))
		}
	}
}

// startRun starts the next item if a sampler has a free slot for it.
func (o *owner) startRun(ctx context.Context, pool string, now clock.Boot) bool {
	job, ok := o.plan.Next(now)
	if !ok {
		return false
	}
	need := o.need(pool)
	need.PreferActive = job.isFaulty
	server := o.roster.Place(need)
	if server == nil {
		return false
	}
	o.plan.Start(job)
	klog.InfoS("batch: placed", "id", job.spec.GetId(), "batch", o.batch.GetId(), "server", server.Name(), "running", o.roster.Running(server), "after", job.events, "waiting", o.plan.Waiting())
	running, cancel := context.WithCancelCause(ctx)
	o.runs[job.index] = &activeRun{server: server, cancel: cancel, began: now}
	o.done.Go(func() {
		defer cancel(nil)
		o.generate(running, job, server)
	})
	return true
}

// leaveSlow ends a run on a slow sampler if another one has a free slot and
// nothing waits for it: the run goes on there behind its last event.
//
// The longest item of a step on a sampler that a fault has slowed keeps its trainer
// waiting while other slots stand idle.
func (o *owner) leaveSlow(pool string) {
	if o.plan.Waiting() > 0 {
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
	return roster.Need{Pool: pool, Model: o.batch.GetModel(), MinVersion: o.batch.GetOldest()}
}

// score has a whole text judged.
func (o *owner) score(ctx context.Context, job Job) {
	proof, err := o.scorer.Score(ctx, job.spec.GetScorer())
	o.mutex.Lock()
	defer o.mutex.Unlock()
	defer o.nudge()
	o.scoring--
	if err == nil {
		o.plan.Scored(job, proof)
		return
	}
	var failed *ScoreError
	klog.InfoS("batch: not judged", "id", job.spec.GetId(), "scorer", job.spec.GetScorer().GetId(), "batch", o.batch.GetId(), "err", err.Error())
	if errors.As(err, &failed) {
		o.plan.ScorerFailed(job, failed, clock.Now())
		return
	}
	o.plan.ScoringFailed(job, clock.Now())
}

// end stops the batch on the trainer's word.
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
	o.nudge()
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

// nudge makes run look again.
func (o *owner) nudge() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}
