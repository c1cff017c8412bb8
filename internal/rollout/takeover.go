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

// TermError reports that a process with a newer term holds a trainer's steps.
type TermError struct {
	Trainer string
	Fence   uint64
	Newer   uint64
}

// Error names both terms.
func (e *TermError) Error() string {
	return fmt.Sprintf("rollout: term %d for %s was superseded by term %d", e.Fence, e.Trainer, e.Newer)
}

// Lead makes this process the holder for a term, given by its fencing token, until the
// context ends. It loads the step from the store, or continues its own step if no
// other process has changed the state since an earlier term.
func (h *Holder) Lead(ctx context.Context, fence uint64) error {
	backoff := minStoreBackoff
	for ctx.Err() == nil {
		err := h.takeOver(ctx, fence)
		if err != nil {
			klog.Warningf("step: %s: taking over the step failed, retrying: %v", h.Trainer, err)
			pause.For(ctx, backoff)
			backoff = min(2*backoff, maxStoreBackoff)
			continue
		}
		backoff = minStoreBackoff
		select {
		case <-ctx.Done():
		case <-h.superseded:
		}
	}
	return nil
}

func (h *Holder) takeOver(ctx context.Context, fence uint64) error {
	h.storeMutex.Lock()
	defer h.storeMutex.Unlock()
	if h.tryResume(ctx, fence) {
		return nil
	}
	h.Drop("the store's state is loaded anew")
	step, err := h.loadStep(ctx, fence)
	if err != nil {
		return err
	}
	// The first write carries the new fence: a holder of an earlier term that resumes
	// in the middle of its own write finds another revision and gives up.
	proposed := step.Propose()
	if err := h.state.Write(ctx, encode(proposed)); err != nil {
		return err
	}
	step.Commit()
	h.fetchMissing(ctx, step)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.storedVersion = step.NewestVersion()
	h.writeErr = nil
	h.setStep(step)
	h.Decisions.Record(h.Trainer, "step", "%s holds step %d in term %d", h.Process, step.Number(), fence)
	return nil
}

// tryResume continues the current step if the store still holds the state that this
// process wrote last. It reports whether it did.
func (h *Holder) tryResume(ctx context.Context, fence uint64) bool {
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

// loadStep returns the step that the store holds, or one without slots if there is none yet.
func (h *Holder) loadStep(ctx context.Context, fence uint64) (*Step, error) {
	data, err := h.state.Read(ctx)
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
	return restoreStep(state, prompts.Data, fence)
}

func restoreStep(state *statepb.Step, data []byte, fence uint64) (*Step, error) {
	prompts, err := decode(data, &statepb.Prompts{})
	if err != nil {
		return nil, err
	}
	if string(promptsDigest(data)) != string(state.GetPrompts()) {
		return nil, errors.New("rollout: the digest of the stored prompts does not match the open step")
	}
	return Restore(state, prompts, fence)
}

// fetchMissing fetches the committed samples from the processes that hold them. Slots
// whose samples are lost run again.
func (h *Holder) fetchMissing(ctx context.Context, step *Step) {
	for process, slots := range step.Missing() {
		samples, err := h.Replicator.Fetch(ctx, process, h.Trainer, step.Number(), slots)
		if err != nil {
			klog.Warningf("step: %s: fetching samples from %s failed: %v", h.Trainer, process, err)
		}
		for _, sample := range samples {
			step.RestoreSample(sample)
		}
	}
	if lost := step.ResetMissing(); lost > 0 {
		h.Decisions.Record(h.Trainer, "step", "%d samples of step %d were lost and run again", lost, step.Number())
	}
}
