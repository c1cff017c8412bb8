package rollout

import (
	"context"
	"errors"
	"fmt"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// TermError says that a process with a newer term holds a trainer's steps.
type TermError struct {
	Trainer string
	Fence   uint64
	Newer   uint64
}

// Error names both terms.
func (e *TermError) Error() string {
	return fmt.Sprintf("rollout: term %d for %s is over, term %d has begun", e.Fence, e.Trainer, e.Newer)
}

// Lead makes this process the holder for a term, whose fencing number is given,
// until the context ends. It loads the step that the store holds, or goes on
// with its own if nobody has changed it since an earlier term.
func (h *Holder) Lead(ctx context.Context, fence uint64) error {
	gap := storePause
	for ctx.Err() == nil {
		err := h.takeOver(ctx, fence)
		if err != nil {
			klog.Warningf("step: %s: the step can't be taken over yet: %v", h.Trainer, err)
			pause.For(ctx, gap)
			gap = min(2*gap, greatestStorePause)
			continue
		}
		gap = storePause
		select {
		case <-ctx.Done():
		case <-h.lost:
		}
	}
	return nil
}

func (h *Holder) takeOver(ctx context.Context, fence uint64) error {
	h.writing.Lock()
	defer h.writing.Unlock()
	if h.goesOn(ctx, fence) {
		return nil
	}
	h.Drop("the store's state is loaded anew")
	step, err := h.load(ctx, fence)
	if err != nil {
		return err
	}
	// The first write carries the new fence: a holder of an earlier term, thawed
	// in the middle of its own write, finds another revision and gives up.
	proposed := step.Propose()
	if err := h.state.Write(ctx, encode(proposed)); err != nil {
		return err
	}
	step.Commit()
	h.fetch(ctx, step)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.version = step.NewestVersion()
	h.away = nil
	h.replace(step)
	h.Decisions.Record(h.Trainer, "step", "%s holds step %d in term %d", h.Process, step.Number(), fence)
	return nil
}

// goesOn reports whether the store's state is still the one of this process.
func (h *Holder) goesOn(ctx context.Context, fence uint64) bool {
	h.mutex.Lock()
	step := h.step
	h.mutex.Unlock()
	if step == nil || !h.state.IsSettled() {
		return false
	}
	value, err := h.Store.Get(ctx, h.state.Key)
	if err != nil || value.Revision != h.state.Revision() {
		return false
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	step.Renew(fence)
	h.notify()
	h.Decisions.Record(h.Trainer, "step", "%s goes on with step %d in term %d", h.Process, step.Number(), fence)
	return true
}

// load returns the step that the store holds; one without slots if there is none yet.
func (h *Holder) load(ctx context.Context, fence uint64) (*Step, error) {
	data, err := h.state.Load(ctx)
	if err != nil {
		return nil, err
	}
	if data == nil {
		return NewStep(peerpb.OpenRequest_builder{Trainer: h.Trainer}.Build(), 0, fence, 0), nil
	}
	state, err := decode(data, &statepb.Step{})
	if err != nil {
		return nil, err
	}
	if state.GetFence() > fence {
		return nil, &TermError{Trainer: h.Trainer, Fence: fence, Newer: state.GetFence()}
	}
	if len(state.GetSlots()) == 0 {
		return NewStep(peerpb.OpenRequest_builder{Trainer: h.Trainer}.Build(), state.GetPlace(), fence, state.GetVersion()), nil
	}
	prompts, err := h.Store.Get(ctx, PromptsKey(h.Trainer, state.GetStep()))
	if err != nil {
		return nil, err
	}
	return restore(state, prompts.Data, fence)
}

func restore(state *statepb.Step, data []byte, fence uint64) (*Step, error) {
	prompts, err := decode(data, &statepb.Prompts{})
	if err != nil {
		return nil, err
	}
	if string(promptsDigest(data)) != string(state.GetPrompts()) {
		return nil, errors.New("rollout: the prompts in the store are not those of the open step")
	}
	return Restore(state, prompts, fence)
}

// fetch brings in the bytes of the samples that are fixed already, from the
// processes that hold them. Slots whose bytes are lost run again.
func (h *Holder) fetch(ctx context.Context, step *Step) {
	for process, slots := range step.Missing() {
		samples, err := h.Replicator.Fetch(ctx, process, h.Trainer, step.Number(), slots)
		if err != nil {
			klog.Warningf("step: %s: %s gives no samples: %v", h.Trainer, process, err)
		}
		for _, sample := range samples {
			step.RestoreSample(sample)
		}
	}
	if lost := step.ResetMissing(); lost > 0 {
		h.Decisions.Record(h.Trainer, "step", "%d samples of step %d were lost and run again", lost, step.Number())
	}
}
