package rollout

import (
	"context"
	"net/http"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// announceTimeout bounds how long an announcement waits for the store.
const announceTimeout = 3 * time.Second

// Pull acknowledges the places before the requested one and returns the samples from
// it on, waiting for the first of them.
func (h *Holder) Pull(ctx context.Context, request *peerpb.PullRequest) (*peerpb.PullReply, error) {
	wait := min(request.GetWait().AsDuration(), h.MaxPullWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		result, changed, waiting, err := h.tryPull(request)
		if err != nil {
			return nil, err
		}
		if len(result.Samples()) > 0 || result.Done() {
			return pullReply(result, ""), nil
		}
		select {
		case <-ctx.Done():
			return pullReply(result, waiting), nil
		case <-timer.C:
			return pullReply(result, waiting), nil
		case <-changed:
		}
	}
}

func pullReply(result PullResult, waiting string) *peerpb.PullReply {
	return peerpb.PullReply_builder{Samples: result.Samples(), Next: result.Next(), Done: result.Done(), Waiting: waiting}.Build()
}

func (h *Holder) tryPull(request *peerpb.PullRequest) (PullResult, <-chan struct{}, string, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.step == nil {
		return PullResult{}, nil, "", noHolderError(h.Trainer)
	}
	if !h.step.IsUsableBy(request.GetAccount()) {
		return PullResult{}, nil, "", otherAccountError(h.Trainer)
	}
	before := h.step.NewestVersion()
	result, err := h.step.Pull(request.GetPlace(), int(request.GetMax()), request.GetVersion())
	h.cancelAttempts(h.step.StaleAttempts(), "its tokens are too old")
	h.released = append(h.released, h.step.Released()...)
	for _, sample := range result.Samples() {
		h.Metrics.observeStaleness(versionLag(h.step.NewestVersion(), OldestVersion(sample)))
	}
	if h.step.NewestVersion() != before {
		h.notify()
	}
	waiting := "running"
	if h.writeErr != nil {
		waiting = "store"
	}
	return result, h.changed, waiting, err
}

// Announce sets a newer version of the trainer. It takes effect at once and is
// acknowledged once the store holds it, so that a successor loads it too.
func (h *Holder) Announce(ctx context.Context, request *peerpb.AnnounceRequest) error {
	if err := h.announce(request.GetAccount(), request.GetVersion()); err != nil {
		return err
	}
	timer := time.NewTimer(announceTimeout)
	defer timer.Stop()
	for {
		stored, changed := h.isVersionStored(request.GetVersion())
		if stored {
			return nil
		}
		select {
		case <-ctx.Done():
			return versionNotStoredError()
		case <-timer.C:
			return versionNotStoredError()
		case <-changed:
		}
	}
}

func versionNotStoredError() error {
	return refusal.Unknown(http.StatusServiceUnavailable, "store_away", "the version is in force but not kept yet, announce it again").WithRetryAfter(retryAfter)
}

func (h *Holder) announce(account string, version uint64) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.step == nil {
		return noHolderError(h.Trainer)
	}
	if !h.step.IsUsableBy(account) {
		return otherAccountError(h.Trainer)
	}
	h.step.Announce(version)
	h.cancelAttempts(h.step.StaleAttempts(), "its tokens are too old")
	h.Decisions.Record(h.Trainer, "step", "version %d is the newest of the trainer", h.step.NewestVersion())
	h.notify()
	return nil
}

func (h *Holder) isVersionStored(version uint64) (bool, <-chan struct{}) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.step != nil && h.storedVersion >= version, h.changed
}

func versionLag(newest, oldest uint64) uint64 {
	if newest < oldest {
		return 0
	}
	return newest - oldest
}
