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
	// and the answer then holds the chunk, which takes 0.05 s at 60 Mbit/s. One of a
	// megabyte took longer than a call may, so that its owner never learned that the
	// store held it.
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
	// owner is the revision of the key that says who owns the batch.
	owner uint64
	// unsure says that the ledger has stopped without knowing what became of its
	// last write.
	unsure bool
}

func newLedger(store Store, batch string, group time.Duration, valueBytes int, owner uint64, listed []*statepb.Outcome, metrics *metrics) *ledger {
	return &ledger{store: store, batch: batch, group: group, valueBytes: valueBytes, metrics: metrics, owner: owner, listed: listed, changed: make(chan struct{}), urgent: make(chan struct{}, 1)}
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

// reclaimed takes the revision of the owner's key after it was written anew.
func (l *ledger) reclaimed(revision uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.owner = revision
	l.wake()
}

// read returns the outcomes from a place on, and a channel that is closed at the next change.
func (l *ledger) read(after uint64) ([]*statepb.Outcome, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if after >= uint64(len(l.listed)) {
		return nil, l.changed
	}
	return l.listed[after:], l.changed
}

// run writes outcomes until the context ends.
func (l *ledger) run(ctx context.Context) {
	for ctx.Err() == nil {
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
	chunk := statepb.Chunk_builder{First: uint64(len(l.listed)), Outcomes: l.head()}.Build()
	l.mutex.Unlock()
	data, err := proto.Marshal(chunk)
	if err != nil {
		klog.ErrorS(err, "batch: a chunk can't be encoded", "batch", l.batch)
		return
	}
	isTried := false
	for ctx.Err() == nil {
		isTried = true
		if l.commit(ctx, chunk.GetFirst(), data) {
			l.metrics.writes.WithLabelValues("held").Inc()
			l.list(chunk.GetOutcomes())
			klog.InfoS("batch: listed", "batch", l.batch, "first", chunk.GetFirst(), "outcomes", len(chunk.GetOutcomes()), "took", clock.Now().Sub(began))
			return
		}
		l.metrics.writes.WithLabelValues("open").Inc()
		pause.For(ctx, writePause)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unsure = isTried
}

// rest returns what is listed and what waits to be, once the ledger has stopped.
// It reports false if the store may hold more than that.
func (l *ledger) rest() (listed, pending []*statepb.Outcome, isSure bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.listed, l.pending, !l.unsure
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
func (l *ledger) commit(ctx context.Context, first uint64, data []byte) bool {
	l.mutex.Lock()
	owner := l.owner
	l.mutex.Unlock()
	if owner == 0 {
		return false
	}
	key := chunkKey(l.batch, first)
	_, err := l.store.Commit(ctx, platform.Commit{
		Expect: []platform.Expect{{Key: ownerKey(l.batch), Revision: owner}, {Key: key}},
		Writes: []platform.Write{{Key: key, Data: data}},
	})
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return true
	case errors.As(err, &conflict):
		for _, value := range conflict.Present {
			if value.Key == key && bytes.Equal(value.Data, data) {
				return true
			}
		}
		klog.InfoS("batch: a chunk was not written, the batch is owned anew", "batch", l.batch, "first", first, "owner", owner)
	default:
		klog.InfoS("batch: a chunk was not written", "batch", l.batch, "first", first, "err", err.Error())
	}
	return false
}

func (l *ledger) list(outcomes []*statepb.Outcome) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
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
