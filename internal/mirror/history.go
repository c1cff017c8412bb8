package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// historySize is the number of changes kept for followers. A follower is rarely
// more than a second behind, which is some dozens of changes.
const historySize = 512

// history holds the newest changes for processes that follow this one.
type history struct {
	mutex   sync.Mutex
	changes []platform.Value
	// from is the revision after which all changes are here, upto the newest one.
	from    uint64
	upto    uint64
	direct  clock.Boot
	changed chan struct{}
}

// restart forgets all changes: those up to a revision were not seen one by one.
func (h *history) restart(revision uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.changes = nil
	h.from, h.upto = revision, revision
	h.direct = 0
	h.wake()
}

// add takes changes up to a revision. Direct says that they come from a watch of
// the store and not from another process.
func (h *history) add(values []platform.Value, revision uint64, direct bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.changes = append(h.changes, values...)
	if extra := len(h.changes) - historySize; extra > 0 {
		h.from = h.changes[extra-1].Revision
		h.changes = append([]platform.Value(nil), h.changes[extra:]...)
	}
	h.upto = max(h.upto, revision)
	if direct {
		h.direct = clock.Now()
	}
	if len(values) > 0 {
		h.wake()
	}
}

// wait waits for changes after a revision.
//
// Only what was seen directly and of late is told. Two processes that followed
// each other would else hear nothing new for good, and both take it for calm.
func (h *history) wait(ctx context.Context, after uint64, wait, fresh time.Duration) (platform.ListReply, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		reply, changed, ok := h.after(after, fresh)
		if !ok || len(reply.Values) > 0 {
			return reply, ok
		}
		select {
		case <-ctx.Done():
			return reply, true
		case <-timer.C:
			return reply, true
		case <-changed:
		}
	}
}

func (h *history) after(revision uint64, fresh time.Duration) (platform.ListReply, <-chan struct{}, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	if h.direct == 0 || clock.Now().Sub(h.direct) > fresh || revision < h.from {
		return platform.ListReply{}, nil, false
	}
	reply := platform.ListReply{Revision: max(revision, h.upto)}
	for _, change := range h.changes {
		if change.Revision > revision {
			reply.Values = append(reply.Values, change)
		}
	}
	return reply, h.changed, true
}

func (h *history) wake() {
	if h.changed != nil {
		close(h.changed)
	}
	h.changed = make(chan struct{})
}
