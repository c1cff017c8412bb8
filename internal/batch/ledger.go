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
	// writeRetryDelay is the delay before a failed write is retried.
	writeRetryDelay = 100 * time.Millisecond
	// chunkShare is the share of the store's largest value that a chunk may fill: base64 encoding
	// and field names add a third.
	chunkShare = 0.6
	// maxChunkBytes also bounds a chunk: a write whose answer was lost is retried, and the answer
	// then contains the chunk. Over a narrow link an answer of a megabyte exceeds the call
	// timeout, so the owner could never confirm that the store holds the chunk.
	maxChunkBytes = 256 << 10
)

// ledger lists the outcomes of a batch at positions that never change. A position is visible
// only once the store holds it.
type ledger struct {
	store Store
	batch string
	// groupDelay is how long outcomes are gathered before they are written together.
	groupDelay time.Duration
	valueBytes int
	metrics    *metrics

	mutex   sync.Mutex
	listed  []*statepb.Outcome
	pending []*statepb.Outcome
	changed chan struct{}
	// urgent ends the gathering of outcomes.
	urgent chan struct{}
	// ownership is the state that makes this process the owner of the batch.
	ownership Ownership
	// isInDoubt reports whether a write with an unknown result was sent: the store may have
	// committed it, or may still commit it.
	isInDoubt bool
	// isSuperseded reports whether the store holds a chunk of another writer at the next
	// position.
	isSuperseded bool
	isStopped    bool
}

// Ownership identifies the owner key under which a process owns a batch.
type Ownership struct {
	// Revision is the revision of the owner key; 0 while it is unknown.
	Revision uint64
	// Lease is the lease of the owner key; 0 while it is unknown.
	Lease uint64
}

func newLedger(store Store, batch string, group time.Duration, valueBytes int, ownership Ownership, listed []*statepb.Outcome, metrics *metrics) *ledger {
	return &ledger{store: store, batch: batch, groupDelay: group, valueBytes: valueBytes, metrics: metrics, ownership: ownership, listed: listed, changed: make(chan struct{}), urgent: make(chan struct{}, 1)}
}

// enqueue adds outcomes to be listed: at once if they are urgent, otherwise together with the
// outcomes that follow within the group delay.
func (l *ledger) enqueue(outcomes []*statepb.Outcome, isUrgent bool) {
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

// setOwnership updates the ownership after the owner key was rewritten.
func (l *ledger) setOwnership(ownership Ownership) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if ownership.Revision > l.ownership.Revision {
		l.ownership = ownership
	}
	l.wake()
}

func (l *ledger) currentOwnership() Ownership {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.ownership
}

// nextPosition returns the position of the next chunk.
func (l *ledger) nextPosition() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return uint64(len(l.listed))
}

// ledgerView is a snapshot of a ledger's outcomes from a position on.
type ledgerView struct {
	outcomes []*statepb.Outcome
	// changed is closed at the next change.
	changed <-chan struct{}
	// isStopped reports whether the ledger has stopped, so that no change follows.
	isStopped bool
	// lease is the lease of the owner key.
	lease uint64
	// isInDoubt reports whether the store may hold outcomes that the ledger lacks.
	isInDoubt bool
}

func (l *ledger) read(after uint64) ledgerView {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	view := ledgerView{changed: l.changed, isStopped: l.isStopped, lease: l.ownership.Lease, isInDoubt: l.isInDoubt}
	if after < uint64(len(l.listed)) {
		view.outcomes = l.listed[after:]
	}
	return view
}

// run writes outcomes until the context ends, or until another writer's chunk occupies the next
// position.
func (l *ledger) run(ctx context.Context) {
	defer l.stop()
	for ctx.Err() == nil && !l.superseded() {
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

// stop marks the ledger as stopped and wakes its readers, which continue at another process.
func (l *ledger) stop() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isStopped = true
	l.wake()
}

func (l *ledger) superseded() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.isSuperseded
}

// gather waits for more outcomes, so that one write lists many.
func (l *ledger) gather(ctx context.Context) {
	timer := time.NewTimer(l.groupDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-l.urgent:
	}
}

// write writes the pending outcomes as one chunk, and retries until the result is known.
//
// A write without an answer may be committed seconds later. The retry sends the same chunk under
// the same key: the store keeps whichever arrives first and rejects the later one with a conflict
// that contains the chunk. Under another key, or with more outcomes in the chunk, the store could
// keep both.
func (l *ledger) write(ctx context.Context) {
	began := clock.Now()
	l.mutex.Lock()
	first, outcomes := uint64(len(l.listed)), l.nextChunk()
	l.mutex.Unlock()
	data, err := marshalChunk(first, outcomes)
	if err != nil {
		klog.ErrorS(err, "batch: cannot encode a chunk", "batch", l.batch)
		return
	}
	for ctx.Err() == nil && !l.superseded() {
		if l.commit(ctx, first, data) {
			l.metrics.writes.WithLabelValues("held").Inc()
			l.markListed(outcomes)
			klog.InfoS("batch: listed", "batch", l.batch, "first", first, "outcomes", len(outcomes), "took", clock.Now().Sub(began))
			return
		}
		l.metrics.writes.WithLabelValues("open").Inc()
		pause.For(ctx, writeRetryDelay)
	}
}

func marshalChunk(first uint64, outcomes []*statepb.Outcome) ([]byte, error) {
	return proto.Marshal(statepb.Chunk_builder{First: first, Outcomes: outcomes}.Build())
}

// snapshot returns the listed and the pending outcomes once the ledger has stopped. isComplete is
// false if the store may hold more than the listed outcomes.
func (l *ledger) snapshot() (listed, pending []*statepb.Outcome, isComplete bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.listed, l.pending, !l.isInDoubt && !l.isSuperseded
}

// nextChunk returns as many pending outcomes as fit into one value.
func (l *ledger) nextChunk() []*statepb.Outcome {
	size, maxSize := 0, min(maxChunkBytes, int(chunkShare*float64(l.valueBytes)))
	for i, outcome := range l.pending {
		size += proto.Size(outcome)
		if i > 0 && size > maxSize {
			return l.pending[:i:i]
		}
	}
	return l.pending[:len(l.pending):len(l.pending)]
}

// commit writes a chunk if this process owns the batch, and reports whether the store holds it.
//
// From the call until its result is known, the ledger is in doubt: another gateway may read the
// chunk from the store and return it to clients before this process receives the answer. So the
// call continues even if the batch is stopped: if it were canceled, the owner would not know
// which outcomes are listed, and could not hand the batch over.
func (l *ledger) commit(ctx context.Context, first uint64, data []byte) bool {
	ownership, isFirst := l.beginWrite()
	if ownership.Revision == 0 {
		return false
	}
	key := chunkKey(l.batch, first)
	_, err := l.store.Commit(context.WithoutCancel(ctx), platform.Commit{
		Expect: []platform.Expect{{Key: ownerKey(l.batch), Revision: ownership.Revision}, {Key: key}},
		Writes: []platform.Write{{Key: key, Data: data}},
	})
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return true
	case errors.As(err, &conflict):
		return l.handleConflict(conflict, ownership, key, data)
	case isFirst && isNotCommitted(err):
		l.endWrite()
	}
	klog.InfoS("batch: a chunk was not written", "batch", l.batch, "first", first, "err", err.Error())
	return false
}

// beginWrite marks the ledger as in doubt. It reports whether no earlier write is in doubt.
func (l *ledger) beginWrite() (ownership Ownership, isFirst bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	isFirst = !l.isInDoubt
	l.isInDoubt = l.isInDoubt || l.ownership.Revision != 0
	return l.ownership, isFirst
}

func (l *ledger) endWrite() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isInDoubt = false
}

// handleConflict handles a rejected write of a chunk. It reports whether the store already holds
// the chunk.
//
// If the store holds no chunk at this position, the owner key has changed. Earlier attempts can
// no longer be committed, because revisions are never reused, and only another owner knows which
// outcomes are listed.
func (l *ledger) handleConflict(conflict *platform.ConflictError, ownership Ownership, key string, data []byte) bool {
	present, isPresent := conflict.Find(key)
	if isPresent && bytes.Equal(present.Data, data) {
		return true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	klog.InfoS("batch: a chunk was not written because the owner or the position has changed", "batch", l.batch, "key", key, "owner", ownership.Revision, "overtaken", isPresent)
	l.isInDoubt = false
	l.isSuperseded = isPresent
	if l.ownership == ownership {
		l.ownership.Lease = 0
	}
	return false
}

func (l *ledger) markListed(outcomes []*statepb.Outcome) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isInDoubt = false
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
	// Prefix is the prefix of the small keys that every gateway watches.
	Prefix = "live/"
	// PrefixOpen is the prefix of the keys of batches that have not ended.
	PrefixOpen  = Prefix + "open/"
	prefixOwner = Prefix + "owner/"
	// prefixStored is the prefix of the keys that exist while the store holds any other key of a
	// batch.
	prefixStored = Prefix + "stored/"
	prefixBulk   = "bulk/"
	prefixOut    = "out/"
)

func openKey(batch string) string   { return PrefixOpen + batch }
func ownerKey(batch string) string  { return prefixOwner + batch }
func storedKey(batch string) string { return prefixStored + batch }
func bulkKey(batch string) string   { return prefixBulk + batch }

func chunkPrefix(batch string) string { return prefixOut + batch + "/" }

// chunkKey returns a key that sorts the chunks of a batch by their first position.
func chunkKey(batch string, first uint64) string {
	return fmt.Sprintf("%s%08d", chunkPrefix(batch), first)
}
