package rollout

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/record"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	// MaxSlots bounds the samples of a step.
	MaxSlots   = 8192
	retryAfter = time.Second
)

// Open opens a step, or repeats its reply if the step is already open. Opening a
// step acknowledges the whole previous step.
func (h *Holder) Open(ctx context.Context, request *peerpb.OpenRequest) (*peerpb.OpenReply, error) {
	h.storeMutex.Lock()
	defer h.storeMutex.Unlock()
	current, err := h.checkOpen(request)
	if err != nil {
		return nil, err
	}
	if current.Matches(request) {
		return openReply(current), nil
	}
	step := NewStep(request, current.End(), current.term, current.NewestVersion())
	step.writeNumber = current.writeNumber
	if err := h.storeStep(ctx, step); err != nil {
		return nil, h.openError(err)
	}
	h.install(current, step)
	h.deleteOldPrompts(ctx, step.Number())
	return openReply(step), nil
}

func openReply(step *Step) *peerpb.OpenReply {
	return peerpb.OpenReply_builder{Slots: uint32(step.Slots()), Place: step.FirstPlace()}.Build()
}

// checkOpen returns the current step if the request opens that step again or may
// open the next one.
func (h *Holder) checkOpen(request *peerpb.OpenRequest) (*Step, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.step == nil {
		return nil, noHolderError(h.Trainer)
	}
	switch {
	case h.step.Slots() == 0 || h.step.Matches(request):
		return h.step, nil
	case !h.step.IsUsableBy(request.GetAccount()) && !h.step.IsAcknowledged():
		return nil, otherAccountError(h.Trainer)
	case request.GetStep() == h.step.Number():
		return nil, refusal.NotRun(http.StatusConflict, "step_differs", "step %d is open with other content", request.GetStep())
	case request.GetStep() < h.step.Number():
		return nil, refusal.NotRun(http.StatusConflict, "step_past", "step %d is past, step %d is open", request.GetStep(), h.step.Number())
	case !h.step.IsComplete():
		return nil, refusal.NotRun(http.StatusConflict, "step_open", "step %d is not whole yet", h.step.Number()).WithRetryAfter(retryAfter)
	default:
		return h.step, nil
	}
}

func otherAccountError(trainer string) *refusal.Error {
	return refusal.NotRun(http.StatusForbidden, "other_account", "the open step of %s belongs to another account", trainer)
}

func noHolderError(trainer string) *refusal.Error {
	return refusal.NotRun(http.StatusServiceUnavailable, codeNoHolder, "no process holds the steps of %s yet", trainer).WithRetryAfter(retryAfter)
}

// storeStep writes the prompts, then the state, which opens the step.
func (h *Holder) storeStep(ctx context.Context, step *Step) error {
	prompts := EncodePrompts(step.open)
	state := encode(step.Propose())
	if err := checkSize(step, prompts, state); err != nil {
		return err
	}
	promptsRecord := &record.Record{Store: h.Store, Key: PromptsKey(h.Trainer, step.Number())}
	stored, err := promptsRecord.Read(ctx)
	if err != nil {
		return err
	}
	if !bytes.Equal(stored, prompts) {
		if err := promptsRecord.Write(ctx, prompts); err != nil {
			return err
		}
	}
	return h.state.Write(ctx, state)
}

// checkSize rejects steps whose values would exceed the store's size limit. The state
// grows as slots are filled, by at most fullSlotBytes each.
func checkSize(step *Step, prompts, state []byte) error {
	const fullSlotBytes = 64
	full := len(state) + fullSlotBytes*step.Slots()
	if step.Slots() > MaxSlots || len(prompts) > MaxStateBytes || full > MaxStateBytes {
		return refusal.NotRun(http.StatusRequestEntityTooLarge, "step_too_large", "%d samples and %d bytes of prompts are too many for one step", step.Slots(), len(prompts))
	}
	return nil
}

// openError returns the error of a failed open. Whether the step is open is
// unknown; opening it again is idempotent. Refusals are returned unchanged.
func (h *Holder) openError(err error) error {
	var refused *refusal.Error
	if errors.As(err, &refused) {
		return err
	}
	var overwritten *record.OverwrittenError
	if errors.As(err, &overwritten) {
		h.Drop(err.Error())
		h.signalSuperseded()
	}
	return refusal.Unknown(http.StatusServiceUnavailable, "store_away", "the step can't be kept now, open it again: %v", err).WithRetryAfter(retryAfter)
}

func (h *Holder) signalSuperseded() {
	select {
	case h.superseded <- struct{}{}:
	default:
	}
}

func (h *Holder) install(current, step *Step) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	step.Commit()
	if h.step != current {
		return
	}
	step.Announce(current.NewestVersion())
	h.setStep(step)
	h.Decisions.Record(h.Trainer, "step", "step %d is open with %d slots from place %d on", step.Number(), step.Slots(), step.FirstPlace())
}

// deleteOldPrompts deletes the prompts of earlier steps. A failed deletion is retried
// when the next step opens.
//
// Prompts of a later step belong to a successor that has taken over while this process was paused.
func (h *Holder) deleteOldPrompts(ctx context.Context, open uint64) {
	reply, err := h.Store.List(ctx, promptsPrefix(h.Trainer))
	if err != nil {
		return
	}
	for _, value := range reply.Values {
		step, err := strconv.ParseUint(strings.TrimPrefix(value.Key, promptsPrefix(h.Trainer)), 10, 64)
		if err != nil || step >= open {
			continue
		}
		if err := h.Store.Delete(ctx, value.Key, value.Revision); err != nil {
			klog.V(1).Infof("step: deleting %s failed, retrying when the next step opens: %v", value.Key, err)
		}
	}
}
