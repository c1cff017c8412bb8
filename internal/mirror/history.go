package mirror

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// maxHistory is the number of changes kept for followers. A follower is rarely more
	// than a second behind, which is some dozens of changes.
	maxHistory = 512
	// maxCompleteBytes bounds the values of a complete update, which is sent as one message.
	// A follower that needs a larger one lists the values in the store.
	maxCompleteBytes = 8 << 20
)

// Update is what a process reports to those that follow it.
type Update struct {
	platform.ListReply
	// IsComplete is true if Values are all values under the prefix and not the changes since
	// a revision.
	IsComplete bool
	// Age is the time since the store confirmed that there are no further changes.
	Age time.Duration
	// Hops is the number of processes between the reporting one and the store.
	Hops int
	// IsStoreLost is true if the store doesn't answer the process that watches it.
	IsStoreLost bool
}

// history holds the values under a prefix and the newest changes for processes that follow
// this one.
type history struct {
	mutex  sync.Mutex
	values map[string]platform.Value
	// bytes is the size of the values.
	bytes   int
	changes []platform.Value
	// changes holds all changes after startRevision up to endRevision.
	startRevision uint64
	endRevision   uint64
	// confirmedAt is when the store last confirmed, to this process or to the one that it
	// follows, that there are no further changes; zero if never.
	confirmedAt clock.Boot
	// hops is the number of processes between this one and the store.
	hops        int
	isStoreLost bool
	changed     chan struct{}
}

// confirmation is the store's answer that there are no further changes. isStoreLost is true if the
// store hasn't answered since.
type confirmation struct {
	at          clock.Boot
	hops        int
	isStoreLost bool
}

// known returns the value of a key.
func (h *history) known(key string) (platform.Value, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	value, ok := h.values[key]
	return value, ok
}

// missing returns the known keys that are not in a complete list, as deleted at its revision.
func (h *history) missing(list platform.ListReply) []platform.Value {
	present := map[string]bool{}
	for _, value := range list.Values {
		present[value.Key] = true
	}
	for _, key := range list.Unreadable {
		present[key] = true
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var missing []platform.Value
	for key := range h.values {
		if !present[key] {
			missing = append(missing, platform.Value{Key: key, Revision: list.Revision, Deleted: true})
		}
	}
	return missing
}

// set stores a value, or removes it if it is deleted.
func (h *history) set(value platform.Value) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.values == nil {
		h.values = map[string]platform.Value{}
	}
	h.bytes -= sizeOf(h.values[value.Key])
	if value.Deleted {
		delete(h.values, value.Key)
		return
	}
	h.values[value.Key] = value
	h.bytes += sizeOf(value)
}

func sizeOf(value platform.Value) int { return len(value.Key) + len(value.Data) }

// reset drops all changes and restarts at the revision of a complete list, which does not
// contain the individual changes before that revision.
func (h *history) reset(revision uint64, confirmed confirmation) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.changes = nil
	h.startRevision, h.endRevision = revision, revision
	h.confirm(confirmed)
	h.notify()
}

// add appends changes up to a revision.
func (h *history) add(values []platform.Value, revision uint64, confirmed confirmation) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.changes = append(h.changes, values...)
	if extra := len(h.changes) - maxHistory; extra > 0 {
		h.startRevision = h.changes[extra-1].Revision
		h.changes = append([]platform.Value(nil), h.changes[extra:]...)
	}
	h.endRevision = max(h.endRevision, revision)
	wasLost := h.isStoreLost
	h.confirm(confirmed)
	if len(values) > 0 || wasLost != h.isStoreLost {
		h.notify()
	}
}

// confirm records a confirmation. The mutex is held.
func (h *history) confirm(confirmed confirmation) {
	h.confirmedAt, h.hops = max(h.confirmedAt, confirmed.at), confirmed.hops
	h.isStoreLost = confirmed.isStoreLost
}

// recordStoreLost records that the store doesn't answer.
func (h *history) recordStoreLost() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.isStoreLost {
		h.isStoreLost = true
		h.notify()
	}
}

func (h *history) isLost() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.isStoreLost
}

// age returns the time since the store last confirmed that there are no further changes, and the
// number of hops; ok is false if it never has.
func (h *history) age(now clock.Boot) (age time.Duration, hops int, ok bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return now.Sub(h.confirmedAt), h.hops, h.confirmedAt != 0
}

// wait waits for changes after a revision. It reports false if this process isn't up to date,
// see isCurrent, or the changes since the revision can't be told.
func (h *history) wait(ctx context.Context, after uint64, wait, maxAge time.Duration) (Update, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	wasLost := false
	for first := true; ; first = false {
		update, changed, ok := h.since(after, maxAge)
		if !ok || len(update.Values) > 0 || update.IsComplete || !first && update.IsStoreLost != wasLost {
			return update, ok
		}
		wasLost = update.IsStoreLost
		select {
		case <-ctx.Done():
			return update, true
		case <-timer.C:
			update, _, ok = h.since(after, maxAge)
			return update, ok
		case <-changed:
		}
	}
}

func (h *history) since(revision uint64, maxAge time.Duration) (Update, <-chan struct{}, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	update := Update{Age: clock.Now().Sub(h.confirmedAt), Hops: h.hops, IsStoreLost: h.isStoreLost}
	if !h.isCurrent(update.Age, maxAge) {
		return Update{}, nil, false
	}
	update.Revision = max(revision, h.endRevision)
	if revision < h.startRevision {
		if h.bytes > maxCompleteBytes {
			return Update{}, nil, false
		}
		update.IsComplete = true
		update.Values = slices.Collect(maps.Values(h.values))
		return update, h.changed, true
	}
	for _, change := range h.changes {
		if change.Revision > revision {
			update.Values = append(update.Values, change)
		}
	}
	return update, h.changed, true
}

// isCurrent reports whether other processes may follow this one: the store's last confirmation is
// recent enough for the number of hops, or the store is known to be lost. The mutex is held.
//
// Processes whose views of the fleet differ may follow each other in a cycle, in which a change
// never arrives. The number of hops then grows with each update until none of them is current.
func (h *history) isCurrent(age, maxAge time.Duration) bool {
	if h.confirmedAt == 0 || h.hops > maxHops {
		return false
	}
	return h.isStoreLost || age <= maxAge+time.Duration(h.hops)*hopTime
}

func (h *history) notify() {
	if h.changed != nil {
		close(h.changed)
	}
	h.changed = make(chan struct{})
}
