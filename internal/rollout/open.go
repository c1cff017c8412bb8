package rollout

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/record"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	// MaxSlots bounds the samples of a step.
	MaxSlots = 8192
	retry    = time.Second
)

// Open opens a step, or answers again for the one that is open already. It
// acknowledges the whole step before it.
func (h *Holder) Open(ctx context.Context, request *peerpb.OpenRequest) (*peerpb.OpenReply, error) {
	h.writing.Lock()
	defer h.writing.Unlock()
	current, err := h.mayOpen(request)
	if err != nil {
		return nil, err
	}
	if current.Matches(request) {
		return opened(current), nil
	}
	step := NewStep(request, current.End(), current.term, current.NewestVersion())
	step.write = current.write
	if err := h.keepStep(ctx, step); err != nil {
		return nil, h.openFailed(err)
	}
	h.install(current, step)
	h.forgetPrompts(ctx, step.Number())
	return opened(step), nil
}

func opened(step *Step) *peerpb.OpenReply {
	return peerpb.OpenReply_builder{Slots: uint32(step.Slots()), Place: step.FirstPlace()}.Build()
}

// mayOpen returns the present step if the request may follow it or is the same.
func (h *Holder) mayOpen(request *peerpb.OpenRequest) (*Step, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.step == nil {
		return nil, noHolder(h.Trainer)
	}
	switch {
	case h.step.Slots() == 0 || h.step.Matches(request):
		return h.step, nil
	case !h.step.IsUsableBy(request.GetAccount()) && !h.step.IsAcknowledged():
		return nil, otherAccount(h.Trainer)
	case request.GetStep() == h.step.Number():
		return nil, refusal.NotRun(http.StatusConflict, "step_differs", "step %d is open with other content", request.GetStep())
	case request.GetStep() < h.step.Number():
		return nil, refusal.NotRun(http.StatusConflict, "step_past", "step %d is past, step %d is open", request.GetStep(), h.step.Number())
	case !h.step.IsWhole():
		return nil, refusal.NotRun(http.StatusConflict, "step_open", "step %d is not whole yet", h.step.Number()).WithRetryAfter(retry)
	default:
		return h.step, nil
	}
}

func otherAccount(trainer string) *refusal.Error {
	return refusal.NotRun(http.StatusForbidden, "other_account", "the open step of %s belongs to another account", trainer)
}

func noHolder(trainer string) *refusal.Error {
	return refusal.NotRun(http.StatusServiceUnavailable, codeNoHolder, "no process holds the steps of %s yet", trainer).WithRetryAfter(retry)
}

// keepStep writes the prompts, then the state, which opens the step.
func (h *Holder) keepStep(ctx context.Context, step *Step) error {
	prompts := EncodePrompts(step.open)
	state := encode(step.Propose())
	if err := checkSize(step, prompts, state); err != nil {
		return err
	}
	kept := &record.Record{Store: h.Store, Key: PromptsKey(h.Trainer, step.Number())}
	known, err := kept.Load(ctx)
	if err != nil {
		return err
	}
	if !bytes.Equal(known, prompts) {
		if err := kept.Write(ctx, prompts); err != nil {
			return err
		}
	}
	return h.state.Write(ctx, state)
}

// checkSize refuses steps whose values would outgrow the store's bound. The
// state grows as slots are filled, by no more than fullSlotBytes each.
func checkSize(step *Step, prompts, state []byte) error {
	const fullSlotBytes = 64
	full := len(state) + fullSlotBytes*step.Slots()
	if step.Slots() > MaxSlots || len(prompts) > MaxStateBytes || full > MaxStateBytes {
		return refusal.NotRun(http.StatusRequestEntityTooLarge, "step_too_large", "%d samples and %d bytes of prompts are too many for one step", step.Slots(), len(prompts))
	}
	return nil
}

// openFailed says that the step may be open or not; opening it again is idempotent.
func (h *Holder) openFailed(err error) error {
	var refused *refusal.Error
	if errors.As(err, &refused) {
		return err
	}
	var lost *record.OverwrittenError
	if errors.As(err, &lost) {
		h.Drop(err.Error())
		h.signalLost()
	}
	return refusal.Unknown(http.StatusServiceUnavailable, "store_away", "the step can't be kept now, open it again: %v", err).WithRetryAfter(retry)
}

func (h *Holder) signalLost() {
	select {
	case h.lost <- struct{}{}:
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
	h.replace(step)
	h.Decisions.Record(h.Trainer, "step", "step %d is open with %d slots from place %d on", step.Number(), step.Slots(), step.FirstPlace())
}

// forgetPrompts removes the prompts of other steps; what fails is tried again
// when the next step opens.
func (h *Holder) forgetPrompts(ctx context.Context, open uint64) {
	reply, err := h.Store.List(ctx, promptsPrefix(h.Trainer))
	if err != nil {
		return
	}
	for _, value := range reply.Values {
		if value.Key == PromptsKey(h.Trainer, open) {
			continue
		}
		if err := h.Store.Delete(ctx, value.Key, value.Revision); err != nil {
			klog.V(1).Infof("step: %s stays for now: %v", value.Key, err)
		}
	}
}
