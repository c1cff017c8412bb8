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
	// dispatchInterval bounds the delay of an attempt after the end of its slot's
	// backoff, and of a due second run.
	dispatchInterval = 100 * time.Millisecond
	// capacityTTL is how long a result of Capacity is cached; Capacity inspects every sampler.
	capacityTTL     = time.Second
	minStoreBackoff = 200 * time.Millisecond
	maxStoreBackoff = 2 * time.Second
)

// Runner sends one request to a sampler.
type Runner interface {
	Run(ctx context.Context, request *peerpb.RunRequest, sink sidecar.Sink) (*peerpb.End, error)
}

// Scorer scores a sample.
type Scorer interface {
	Score(ctx context.Context, prompt, text string) (float64, error)
}

// Replicator stores copies of finished samples in other processes.
type Replicator interface {
	// Replicate copies a sample, drops the copies of the slots in forget, and
	// returns the names of the processes that now hold the sample, possibly none.
	Replicate(ctx context.Context, sample *peerpb.Sample, forget []uint32) []string
	// Fetch returns the samples of the given slots that a process holds.
	Fetch(ctx context.Context, process, trainer string, step uint64, slots []uint32) ([]*peerpb.Sample, error)
}

// Holder runs the steps of one trainer. It may outlive its term: while the
// platform's store is unavailable no other process can take over the duty, and
// generation and the delivery of committed samples continue. It commits samples
// through compare-and-swap: after a successor's first write, the next write of this
// holder fails, and this holder drops the step.
//
// Exported fields must be set before Run.
type Holder struct {
	Trainer    string
	Process    string
	Store      Store
	Runner     Runner
	Scorer     Scorer
	Replicator Replicator
	Decisions  *decision.Log
	// MaxAttempts is the maximum number of concurrent attempts.
	MaxAttempts int
	// Capacity returns how many requests a model's samplers run concurrently, 0 if
	// unknown; if nil, it is never known. An attempt beyond that number would wait
	// in a queue, bound to its sampler too early, and begin under older weights.
	Capacity func(model string) int
	// Timeout bounds one attempt.
	Timeout time.Duration
	// WriteInterval is the minimum interval between two writes of the state.
	WriteInterval time.Duration
	// MaxPullWait is the maximum wait of a pull.
	MaxPullWait time.Duration
	// Metrics may be nil.
	Metrics *Metrics

	// storeMutex is held while the store is read or written; it is locked before mutex.
	storeMutex sync.Mutex
	state      record.Record

	mutex   sync.Mutex
	step    *Step
	running map[string]context.CancelFunc
	// writeErr is the error of the newest write, nil if it took effect.
	writeErr error
	// storedVersion is the newest announced version that the store holds.
	storedVersion uint64
	changed       chan struct{}
	released      []uint32
	// capacity is the latest result of Capacity.
	capacity     int
	capacityTime time.Time
	superseded   chan struct{}
}

// NewHolder returns a holder without a step; see Lead.
func NewHolder(trainer string, store Store) *Holder {
	return &Holder{
		Trainer:    trainer,
		Store:      store,
		state:      record.Record{Store: store, Key: StateKey(trainer)},
		running:    map[string]context.CancelFunc{},
		changed:    make(chan struct{}),
		superseded: make(chan struct{}, 1),
	}
}

// StateKey returns the store key of a trainer's open step.
func StateKey(trainer string) string { return "step/" + trainer }

// PromptsKey returns the store key of a step's prompts.
func PromptsKey(trainer string, step uint64) string {
	return promptsPrefix(trainer) + strconv.FormatUint(step, 10)
}

func promptsPrefix(trainer string) string { return StateKey(trainer) + "/prompts/" }

// Run runs attempts and writes the state until the context ends.
func (h *Holder) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { h.dispatch(ctx) })
	group.Go(func() { h.writeLoop(ctx) })
	group.Wait()
	h.Drop("the process stops")
	return nil
}

// Drop cancels all attempts and discards the step, for example when another process is
// the holder.
func (h *Holder) Drop(reason string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.step == nil {
		return
	}
	h.Decisions.Record(h.Trainer, "step", "%s lets go of step %d: %s", h.Process, h.step.Number(), reason)
	h.setStep(nil)
}

// Step returns the number of the open step and false if there is none.
func (h *Holder) Step() (uint64, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.step == nil {
		return 0, false
	}
	return h.step.Number(), true
}

// setStep makes step the open step and cancels the attempts of the previous step.
func (h *Holder) setStep(step *Step) {
	for _, cancel := range h.running {
		cancel()
	}
	h.running = map[string]context.CancelFunc{}
	h.step = step
	h.released = nil
	h.capacityTime = time.Time{}
	if step == nil {
		h.Metrics.removeTrainer(h.Trainer)
	} else {
		h.Metrics.observe(step)
	}
	h.notify()
}

// notify wakes all goroutines that wait for a change.
func (h *Holder) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// nextChange returns a channel that is closed at the next change.
func (h *Holder) nextChange() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.changed
}

// dispatch starts attempts until the context ends.
func (h *Holder) dispatch(ctx context.Context) {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		changed := h.nextChange()
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

// startNext starts the next attempt if there is one and maxRunning allows it, and
// reports whether it did.
func (h *Holder) startNext(ctx context.Context, group *sync.WaitGroup) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.step == nil || len(h.running) >= h.maxRunning(h.step.open.GetModel()) || ctx.Err() != nil {
		return false
	}
	step := h.step
	attempt, ok := step.Next(time.Now())
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, h.Timeout)
	h.running[attempt.ID()] = cancel
	e := &execution{holder: h, step: step, attempt: attempt, open: step.open}
	group.Go(func() {
		defer cancel()
		e.run(ctx)
	})
	return true
}

// maxRunning returns how many attempts may run concurrently.
func (h *Holder) maxRunning(model string) int {
	if h.Capacity == nil {
		return h.MaxAttempts
	}
	if now := time.Now(); now.Sub(h.capacityTime) >= capacityTTL || h.capacityTime.IsZero() {
		h.capacityTime = now
		h.capacity = h.Capacity(model)
	}
	if h.capacity == 0 {
		return h.MaxAttempts
	}
	return min(h.MaxAttempts, h.capacity)
}

// removeRunning removes an attempt that has ended.
func (h *Holder) removeRunning(step *Step, attempt Attempt) {
	if h.step != step {
		return
	}
	delete(h.running, attempt.ID())
}

// cancelAttempts cancels those of the given attempts that still run.
func (h *Holder) cancelAttempts(attempts []Attempt, reason string) {
	for _, attempt := range attempts {
		cancel := h.running[attempt.ID()]
		if cancel == nil {
			continue
		}
		h.Decisions.Record(attempt.ID(), "sample", "stopped: %s", reason)
		cancel()
	}
}

// writeLoop writes the state to the store, at most once per WriteInterval.
func (h *Holder) writeLoop(ctx context.Context) {
	interval := h.WriteInterval
	for {
		changed := h.nextChange()
		wrote, err := h.writeOnce(ctx)
		switch {
		case err != nil:
			interval = min(max(2*interval, minStoreBackoff), maxStoreBackoff)
		case wrote:
			interval = h.WriteInterval
		default:
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
		if !pause.For(ctx, interval) {
			return
		}
	}
}

// writeOnce writes the state if it has changed.
func (h *Holder) writeOnce(ctx context.Context) (bool, error) {
	h.storeMutex.Lock()
	defer h.storeMutex.Unlock()
	step, proposed := h.propose()
	if proposed == nil {
		return false, nil
	}
	err := h.state.Write(ctx, encode(proposed))
	h.finishWrite(step, proposed, err)
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

// finishWrite applies the result of a write.
func (h *Holder) finishWrite(step *Step, proposed *statepb.Step, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.step != step {
		return
	}
	var overwritten *record.OverwrittenError
	if errors.As(err, &overwritten) {
		h.Decisions.Record(h.Trainer, "step", "%s is no longer the holder: %v", h.Process, err)
		h.setStep(nil)
		select {
		case h.superseded <- struct{}{}:
		default:
		}
		return
	}
	if err != nil && h.writeErr == nil {
		klog.Warningf("step: %s: writing the state failed; new samples wait for the store: %v", h.Trainer, err)
	}
	h.writeErr = err
	if err == nil {
		h.commit(step, proposed)
	}
	h.notify()
}

func (h *Holder) commit(step *Step, proposed *statepb.Step) {
	h.storedVersion = max(h.storedVersion, proposed.GetVersion())
	for _, sample := range step.Commit() {
		h.Decisions.Record(sample.GetRequest(), "sample", "slot %d of step %d has place %d", sample.GetSlot(), sample.GetStep(), sample.GetPlace())
	}
	h.Metrics.observe(step)
}

// decode unmarshals a message read from the store.
func decode[M proto.Message](data []byte, message M) (M, error) {
	return message, proto.Unmarshal(data, message)
}

// Counts returns the outcomes of the attempts of the open step.
func (h *Holder) Counts() Counts {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.step == nil {
		return Counts{}
	}
	return h.step.Counts()
}
