package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// maxHistory is the number of changes kept for followers. A follower is rarely more
// than a second behind, which is some dozens of changes.
const maxHistory = 512

// history buffers the newest changes for processes that follow this one.
type history struct {
	mutex   sync.Mutex
	changes []platform.Value
	// changes holds all changes after startRevision up to endRevision.
	startRevision uint64
	endRevision   uint64
	// lastDirect is the time of the last answer to this process's own watch of the
	// store.
	lastDirect clock.Boot
	changed    chan struct{}
}

// reset drops all changes and restarts at the revision of a list, which does not
// contain the individual changes before that revision.
func (h *history) reset(revision uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.changes = nil
	h.startRevision, h.endRevision = revision, revision
	h.lastDirect = 0
	h.notify()
}

// add appends changes up to a revision. isDirect is true if they come from this
// process's own watch of the store and not from another process.
func (h *history) add(values []platform.Value, revision uint64, isDirect bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.changes = append(h.changes, values...)
	if extra := len(h.changes) - maxHistory; extra > 0 {
		h.startRevision = h.changes[extra-1].Revision
		h.changes = append([]platform.Value(nil), h.changes[extra:]...)
	}
	h.endRevision = max(h.endRevision, revision)
	if isDirect {
		h.lastDirect = clock.Now()
	}
	if len(values) > 0 {
		h.notify()
	}
}

// wait waits for changes after a revision. It reports false if the last direct
// watch is older than maxAge or changes since the revision are missing.
//
// Without the age check, two processes that follow each other would never receive a
// change and would both assume that there is none.
func (h *history) wait(ctx context.Context, after uint64, wait, maxAge time.Duration) (platform.ListReply, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		reply, changed, ok := h.since(after, maxAge)
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

func (h *history) since(revision uint64, maxAge time.Duration) (platform.ListReply, <-chan struct{}, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	if h.lastDirect == 0 || clock.Now().Sub(h.lastDirect) > maxAge || revision < h.startRevision {
		return platform.ListReply{}, nil, false
	}
	reply := platform.ListReply{Revision: max(revision, h.endRevision)}
	for _, change := range h.changes {
		if change.Revision > revision {
			reply.Values = append(reply.Values, change)
		}
	}
	return reply, h.changed, true
}

func (h *history) notify() {
	if h.changed != nil {
		close(h.changed)
	}
	h.changed = make(chan struct{})
}
