package rollout

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/record"
	"github.com/bramleyhatch/bramleyhatch/internal/sidecar"
)

const (
	// dispatchInterval bounds the time until a pause of a slot or a second run is looked at.
	dispatchInterval = 100 * time.Millisecond
	// capacityAge is for how long an answer of Capacity is used; it looks at every sampler.
	capacityAge        = time.Second
	storePause         = 200 * time.Millisecond
	greatestStorePause = 2 * time.Second
)

// Runner sends one request to a sampler.
type Runner interface {
	Run(ctx context.Context, request *peerpb.RunRequest, sink sidecar.Sink) (*peerpb.End, error)
}

// Scorer scores a sample.
type Scorer interface {
	Score(ctx context.Context, prompt, text string) (float64, error)
}

// Replicator holds the bytes of finished samples in other processes.
type Replicator interface {
	// Replicate returns the names of the processes that hold the sample now, which
	// may be none.
	Replicate(ctx context.Context, sample *peerpb.Sample, forget []uint32) []string
	// Fetch returns what a process holds of the given slots.
	Fetch(ctx context.Context, process, trainer string, step uint64, slots []uint32) ([]*peerpb.Sample, error)
}

// Holder runs the steps of one trainer. It may outlive its term: while the
// platform's store is away no other process can take the duty, and generating
// and handing over what is fixed go on. What it fixes goes through
// compare-and-swap, so a successor's first write ends it.
//
// Exported fields are set before Run.
type Holder struct {
	Trainer   string
	Process   string
	Store     Store
	Runner    Runner
	Scorer    Scorer
	Replicator   Replicator
	Decisions *decision.Log
	// MaxAttempts is the number of samples that run at the same time.
	MaxAttempts int
	// Capacity returns how many requests a model's samplers run at the same time,
	// 0 if it isn't known; nil never knows. An attempt beyond it would wait in a
	// queue, bound to its sampler too early, and begin under older weights.
	Capacity func(model string) int
	// Timeout bounds one attempt.
	Timeout time.Duration
	// WriteInterval is the shortest time between two writes of the state.
	WriteInterval time.Duration
	// MaxPullWait is the longest wait of a pull.
	MaxPullWait time.Duration
	// Metrics may be nil.
	Metrics *Metrics

	// writing is held while the store is read or written; it is taken before mutex.
	writing sync.Mutex
	state   record.Record

	mutex   sync.Mutex
	step    *Step
	running map[string]context.CancelFunc
	// away is the error of the newest write, nil if it took effect.
	away error
	// version is the newest announced one that the store holds.
	version uint64
	changed chan struct{}
	forget  []uint32
	// capacity is what Capacity returned when it was last asked.
	capacity int
	looked   time.Time
	lost     chan struct{}
}

// NewHolder returns a holder without a step; see Lead.
func NewHolder(trainer string, store Store) *Holder {
	return &Holder{
		Trainer: trainer,
		Store:   store,
		state:   record.Record{Store: store, Key: StateKey(trainer)},
		running: map[string]context.CancelFunc{},
		changed: make(chan struct{}),
		lost:    make(chan struct{}, 1),
	}
}

// StateKey returns the store's key of a trainer's open step.
func StateKey(trainer string) string { return "step/" + trainer }

// PromptsKey returns the store's key of a step's prompts.
func PromptsKey(trainer string, step uint64) string {
	return promptsPrefix(trainer) + strconv.FormatUint(step, 10)
}

func promptsPrefix(trainer string) string { return StateKey(trainer) + "/prompts/" }

// Run runs attempts and writes the state until the context ends.
func (h *Holder) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { h.dispatch(ctx) })
	group.Go(func() { h.write(ctx) })
	group.Wait()
	h.Drop("the process stops")
	return nil
}

// Drop stops all attempts and forgets the step: another process is the holder.
func (h *Holder) Drop(reason string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.step == nil {
		return
	}
	h.Decisions.Record(h.Trainer, "step", "%s lets go of step %d: %s", h.Process, h.step.Number(), reason)
	h.replace(nil)
}

// Step returns the number of the open step and false if none is held.
func (h *Holder) Step() (uint64, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.step == nil {
		return 0, false
	}
	return h.step.Number(), true
}

// replace makes step the open one and stops the attempts of the one before.
func (h *Holder) replace(step *Step) {
	for _, cancel := range h.running {
		cancel()
	}
	h.running = map[string]context.CancelFunc{}
	h.step = step
	h.forget = nil
	h.looked = time.Time{}
	if step == nil {
		h.Metrics.forget(h.Trainer)
	} else {
		h.Metrics.observe(step)
	}
	h.notify()
}

// notify wakes all who wait for a change.
func (h *Holder) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// wait returns a channel that is closed at the next change.
func (h *Holder) wait() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.changed
}

// dispatch starts attempts.
func (h *Holder) dispatch(ctx context.Context) {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		changed := h.wait()
		for h.startNext(ctx, &group) {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// startNext starts the next attempt if there is one and room for it.
func (h *Holder) startNext(ctx context.Context, group *sync.WaitGroup) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.step == nil || len(h.running) >= h.room(h.step.open.GetModel()) || ctx.Err() != nil {
		return false
	}
	step := h.step
	attempt, ok := step.Next(time.Now())
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, h.Timeout)
	h.running[attempt.ID()] = cancel
	run := &execution{holder: h, step: step, attempt: attempt, open: step.open}
	group.Go(func() {
		defer cancel()
		run.run(ctx)
	})
	return true
}

// room returns how many attempts may run at the same time.
func (h *Holder) room(model string) int {
	if h.Capacity == nil {
		return h.MaxAttempts
	}
	if now := time.Now(); now.Sub(h.looked) >= capacityAge || h.looked.IsZero() {
		h.looked = now
		h.capacity = h.Capacity(model)
	}
	if h.capacity == 0 {
		return h.MaxAttempts
	}
	return min(h.MaxAttempts, h.capacity)
}

// ended forgets a running attempt.
func (h *Holder) ended(step *Step, attempt Attempt) {
	if h.step != step {
		return
	}
	delete(h.running, attempt.ID())
}

// stop cancels attempts.
func (h *Holder) stop(attempts []Attempt, reason string) {
	for _, attempt := range attempts {
		cancel := h.running[attempt.ID()]
		if cancel == nil {
			continue
		}
		h.Decisions.Record(attempt.ID(), "sample", "stopped: %s", reason)
		cancel()
	}
}

// write brings the state into the store, at most once in a batch's time.
func (h *Holder) write(ctx context.Context) {
	gap := h.WriteInterval
	for {
		changed := h.wait()
		wrote, err := h.writeOnce(ctx)
		switch {
		case err != nil:
			gap = min(max(2*gap, storePause), greatestStorePause)
		case wrote:
			gap = h.WriteInterval
		default:
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
		if !pause.For(ctx, gap) {
			return
		}
	}
}

// writeOnce writes the state if it has changed.
func (h *Holder) writeOnce(ctx context.Context) (bool, error) {
	h.writing.Lock()
	defer h.writing.Unlock()
	step, proposed := h.propose()
	if proposed == nil {
		return false, nil
	}
	err := h.state.Write(ctx, encode(proposed))
	h.settled(step, proposed, err)
	return true, err
}

func (h *Holder) propose() (*Step, *statepb.Step) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.step == nil {
		return nil, nil
	}
	return h.step, h.step.Propose()
}

// settled takes the outcome of a write.
func (h *Holder) settled(step *Step, proposed *statepb.Step, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.step != step {
		return
	}
	var lost *record.OverwrittenError
	if errors.As(err, &lost) {
		h.Decisions.Record(h.Trainer, "step", "%s is no longer the holder: %v", h.Process, err)
		h.replace(nil)
		select {
		case h.lost <- struct{}{}:
		default:
		}
		return
	}
	if err != nil && h.away == nil {
		klog.Warningf("step: %s: new places wait for the store: %v", h.Trainer, err)
	}
	h.away = err
	if err == nil {
		h.commit(step, proposed)
	}
	h.notify()
}

func (h *Holder) commit(step *Step, proposed *statepb.Step) {
	h.version = max(h.version, proposed.GetVersion())
	for _, sample := range step.Commit() {
		h.Decisions.Record(sample.GetRequest(), "sample", "slot %d of step %d has place %d", sample.GetSlot(), sample.GetStep(), sample.GetPlace())
	}
	h.Metrics.observe(step)
}

// decode reads a message from the store.
func decode[M proto.Message](data []byte, message M) (M, error) {
	return message, proto.Unmarshal(data, message)
}

// Counts returns what happened to the attempts of the open step.
func (h *Holder) Counts() Counts {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.step == nil {
		return Counts{}
	}
	return h.step.Counts()
}
