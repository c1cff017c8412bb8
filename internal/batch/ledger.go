package batch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// writePause is the wait before a write that failed is tried again.
	writePause = 100 * time.Millisecond
	// chunkShare is the part of the store's largest value that a chunk may fill:
	// base64 and the names around it take a third more.
	chunkShare = 0.6
	// chunkBytes bounds a chunk besides: a write whose answer was lost is tried again,
	// and the answer then holds the chunk. One of a megabyte takes longer over a narrow
	// link than a call may, so that its owner never learns that the store holds it.
	chunkBytes = 256 << 10
)

// ledger lists the outcomes of a batch at places that never change. A place is
// shown only once the store holds it.
type ledger struct {
	store Store
	batch string
	// group is how long outcomes are gathered before they are written together.
	group      time.Duration
	valueBytes int
	metrics    *metrics

	mutex   sync.Mutex
	listed  []*statepb.Outcome
	pending []*statepb.Outcome
	changed chan struct{}
	// urgent ends the gathering of outcomes.
	urgent chan struct{}
	// title is what makes this process the batch's owner.
	title Ownership
	// isOpen says that a write was sent of which it isn't known whether the store has
	// done it, or still will.
	isOpen bool
	// isOvertaken says that the store holds a chunk of another writer at the next place.
	isOvertaken bool
	isStopped   bool
}

// Ownership is what makes a process the owner of a batch.
type Ownership struct {
	// Revision of the key that says who owns the batch; 0 while this isn't known.
	Revision uint64
	// Lease with which the key ends; 0 while this isn't known.
	Lease uint64
}

func newLedger(store Store, batch string, group time.Duration, valueBytes int, title Ownership, listed []*statepb.Outcome, metrics *metrics) *ledger {
	return &ledger{store: store, batch: batch, group: group, valueBytes: valueBytes, metrics: metrics, title: title, listed: listed, changed: make(chan struct{}), urgent: make(chan struct{}, 1)}
}

// add takes outcomes to be listed: at once if they are urgent, else together
// with those that come soon after.
func (l *ledger) add(outcomes []*statepb.Outcome, isUrgent bool) {
	if len(outcomes) == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pending = append(l.pending, outcomes...)
	if isUrgent {
		select {
		case l.urgent <- struct{}{}:
		default:
		}
	}
	l.wake()
}

// reclaimed takes the title after the owner's key was written anew.
func (l *ledger) reclaimed(title Ownership) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if title.Revision > l.title.Revision {
		l.title = title
	}
	l.wake()
}

// owned returns the title.
func (l *ledger) owned() Ownership {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.title
}

// next returns the place of the next chunk.
func (l *ledger) next() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return uint64(len(l.listed))
}

// reading is what a ledger knows of the places from one on.
type reading struct {
	outcomes []*statepb.Outcome
	// changed is closed at the next change.
	changed <-chan struct{}
	// isStopped says that there won't be one.
	isStopped bool
	// lease with which the title ends.
	lease uint64
	// isOpen says that the store may hold more than the ledger knows of.
	isOpen bool
}

func (l *ledger) read(after uint64) reading {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found := reading{changed: l.changed, isStopped: l.isStopped, lease: l.title.Lease, isOpen: l.isOpen}
	if after < uint64(len(l.listed)) {
		found.outcomes = l.listed[after:]
	}
	return found
}

// run writes outcomes until the context ends, or until another writer's chunk
// stands where the next one belongs.
func (l *ledger) run(ctx context.Context) {
	defer l.stop()
	for ctx.Err() == nil && !l.overtaken() {
		l.mutex.Lock()
		changed, isEmpty := l.changed, len(l.pending) == 0
		l.mutex.Unlock()
		if isEmpty {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				continue
			}
		}
		l.gather(ctx)
		l.write(ctx)
	}
}

// stop lets readers go on elsewhere at once.
func (l *ledger) stop() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isStopped = true
	l.wake()
}

func (l *ledger) overtaken() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.isOvertaken
}

// gather waits for more outcomes, so that one write lists many.
func (l *ledger) gather(ctx context.Context) {
	timer := time.NewTimer(l.group)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-l.urgent:
	}
}

// write writes the waiting outcomes as one chunk, and tries until it is known
// what became of it.
//
// A write without an answer may be done seconds later. The same chunk is sent
// again under the same key: whichever comes first is kept, and the other finds
// it there. Under another key, or with more outcomes in it, both could be kept.
func (l *ledger) write(ctx context.Context) {
	began := clock.Now()
	l.mutex.Lock()
	first, outcomes := uint64(len(l.listed)), l.head()
	l.mutex.Unlock()
	data, err := marshalChunk(first, outcomes)
	if err != nil {
		klog.ErrorS(err, "batch: a chunk can't be encoded", "batch", l.batch)
		return
	}
	for ctx.Err() == nil && !l.overtaken() {
		if l.commit(ctx, first, data) {
			l.metrics.writes.WithLabelValues("held").Inc()
			l.list(outcomes)
			klog.InfoS("batch: listed", "batch", l.batch, "first", first, "outcomes", len(outcomes), "took", clock.Now().Sub(began))
			return
		}
		l.metrics.writes.WithLabelValues("open").Inc()
		pause.For(ctx, writePause)
	}
}

func marshalChunk(first uint64, outcomes []*statepb.Outcome) ([]byte, error) {
	return proto.Marshal(statepb.Chunk_builder{First: first, Outcomes: outcomes}.Build())
}

// rest returns what is listed and what waits to be, once the ledger has stopped.
// It reports false if the store may hold more than that.
func (l *ledger) rest() (listed, pending []*statepb.Outcome, isSure bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.listed, l.pending, !l.isOpen && !l.isOvertaken
}

// head returns as many of the waiting outcomes as fit into one value.
func (l *ledger) head() []*statepb.Outcome {
	size, most := 0, min(chunkBytes, int(chunkShare*float64(l.valueBytes)))
	for i, outcome := range l.pending {
		size += proto.Size(outcome)
		if i > 0 && size > most {
			return l.pending[:i:i]
		}
	}
	return l.pending[:len(l.pending):len(l.pending)]
}

// commit writes a chunk if this process owns the batch, and reports whether the
// store holds it.
//
// From the call until its end is known the ledger is open: another gateway may read
// the chunk from the store and show it before this process hears that it is there.
// So a call is let end where the batch is stopped: cut off, it left the owner unsure
// of what is listed, and what came of the batch couldn't be given to the next one.
func (l *ledger) commit(ctx context.Context, first uint64, data []byte) bool {
	title, isFirst := l.begin()
	if title.Revision == 0 {
		return false
	}
	key := chunkKey(l.batch, first)
	_, err := l.store.Commit(context.WithoutCancel(ctx), platform.Commit{
		Expect: []platform.Expect{{Key: ownerKey(l.batch), Revision: title.Revision}, {Key: key}},
		Writes: []platform.Write{{Key: key, Data: data}},
	})
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return true
	case errors.As(err, &conflict):
		return l.conflict(conflict, title, key, data)
	case isFirst && isNothingDone(err):
		l.close()
	}
	klog.InfoS("batch: a chunk was not written", "batch", l.batch, "first", first, "err", err.Error())
	return false
}

// begin opens the ledger for a write. It reports whether no earlier write is open.
func (l *ledger) begin() (title Ownership, isFirst bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	isFirst = !l.isOpen
	l.isOpen = l.isOpen || l.title.Revision != 0
	return l.title, isFirst
}

func (l *ledger) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isOpen = false
}

// conflict takes the store's word that a chunk can't be written. It reports whether
// that is because the store holds it.
//
// Where the chunk isn't there, the owner's key has changed. No earlier try can be
// done any more, since revisions don't come back, and what is listed is another
// owner's to say.
func (l *ledger) conflict(conflict *platform.ConflictError, title Ownership, key string, data []byte) bool {
	present, isThere := conflict.Find(key)
	if isThere && bytes.Equal(present.Data, data) {
		return true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	klog.InfoS("batch: a chunk was not written, the batch is owned anew", "batch", l.batch, "key", key, "owner", title.Revision, "overtaken", isThere)
	l.isOpen = false
	l.isOvertaken = isThere
	if l.title == title {
		l.title.Lease = 0
	}
	return false
}

func (l *ledger) list(outcomes []*statepb.Outcome) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isOpen = false
	l.listed = append(l.listed, outcomes...)
	for _, outcome := range outcomes {
		l.metrics.countOutcome(outcome.GetFailed())
	}
	l.pending = l.pending[len(outcomes):]
	l.wake()
}

func (l *ledger) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Keys of the store.
const (
	// Prefix of the small keys that every gateway watches.
	Prefix = "live/"
	// PrefixOpen of the keys of batches that their trainers have not ended.
	PrefixOpen  = Prefix + "open/"
	prefixOwner = Prefix + "owner/"
	// prefixStored of keys that stay as long as anything of a batch is stored.
	prefixStored = Prefix + "stored/"
	prefixBulk   = "bulk/"
	prefixOut    = "out/"
)

func openKey(batch string) string   { return PrefixOpen + batch }
func ownerKey(batch string) string  { return prefixOwner + batch }
func storedKey(batch string) string { return prefixStored + batch }
func bulkKey(batch string) string   { return prefixBulk + batch }

func chunkPrefix(batch string) string { return prefixOut + batch + "/" }

// chunkKey orders the chunks of a batch by their first place.
func chunkKey(batch string, first uint64) string {
	return fmt.Sprintf("%s%08d", chunkPrefix(batch), first)
}
