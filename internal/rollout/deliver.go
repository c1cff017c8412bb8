package rollout

import (
	"context"
	"net/http"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// announceWait bounds the wait for the store in an announcement.
const announceWait = 3 * time.Second

// Pull acknowledges what comes before a place and returns the samples from it
// on, waiting for the first of them.
func (h *Holder) Pull(ctx context.Context, request *peerpb.PullRequest) (*peerpb.PullReply, error) {
	wait := min(request.GetWait().AsDuration(), h.MaxPullWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		pulled, changed, waiting, err := h.pullNow(request)
		if err != nil {
			return nil, err
		}
		if len(pulled.Samples()) > 0 || pulled.Done() {
			return pullReply(pulled, ""), nil
		}
		select {
		case <-ctx.Done():
			return pullReply(pulled, waiting), nil
		case <-timer.C:
			return pullReply(pulled, waiting), nil
		case <-changed:
		}
	}
}

func pullReply(pulled PullResult, waiting string) *peerpb.PullReply {
	return peerpb.PullReply_builder{Samples: pulled.Samples(), Next: pulled.Next(), Done: pulled.Done(), Waiting: waiting}.Build()
}

func (h *Holder) pullNow(request *peerpb.PullRequest) (PullResult, <-chan struct{}, string, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.step == nil {
		return PullResult{}, nil, "", noHolder(h.Trainer)
	}
	if !h.step.IsUsableBy(request.GetAccount()) {
		return PullResult{}, nil, "", otherAccount(h.Trainer)
	}
	before := h.step.NewestVersion()
	pulled, err := h.step.Pull(request.GetPlace(), int(request.GetMax()), request.GetVersion())
	h.stop(h.step.StaleAttempts(), "its tokens are too old")
	h.forget = append(h.forget, h.step.Released()...)
	for _, sample := range pulled.Samples() {
		h.Metrics.handedOver(lag(h.step.NewestVersion(), OldestVersion(sample)))
	}
	if h.step.NewestVersion() != before {
		h.notify()
	}
	waiting := "running"
	if h.away != nil {
		waiting = "store"
	}
	return pulled, h.changed, waiting, err
}

// Announce takes a newer version of the trainer. It is in force at once; it is
// acknowledged once the store holds it, so that a successor knows it too.
func (h *Holder) Announce(ctx context.Context, request *peerpb.AnnounceRequest) error {
	if err := h.announce(request.GetAccount(), request.GetVersion()); err != nil {
		return err
	}
	timer := time.NewTimer(announceWait)
	defer timer.Stop()
	for {
		kept, changed := h.keptVersion(request.GetVersion())
		if kept {
			return nil
		}
		select {
		case <-ctx.Done():
			return notKept()
		case <-timer.C:
			return notKept()
		case <-changed:
		}
	}
}

func notKept() error {
	return refusal.Unknown(http.StatusServiceUnavailable, "store_away", "the version is in force but not kept yet, announce it again").WithRetryAfter(retry)
}

func (h *Holder) announce(account string, version uint64) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.step == nil {
		return noHolder(h.Trainer)
	}
	if !h.step.IsUsableBy(account) {
		return otherAccount(h.Trainer)
	}
	h.step.Announce(version)
	h.stop(h.step.StaleAttempts(), "its tokens are too old")
	h.Decisions.Record(h.Trainer, "step", "version %d is the newest of the trainer", h.step.NewestVersion())
	h.notify()
	return nil
}

func (h *Holder) keptVersion(version uint64) (bool, <-chan struct{}) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.step != nil && h.version >= version, h.changed
}

func lag(newest, oldest uint64) uint64 {
	if newest < oldest {
		return 0
	}
	return newest - oldest
}
