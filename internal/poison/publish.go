package poison

import (
	"context"
	"errors"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// maxKeysPerCommit bounds the suspects that are written together; the store takes a few dozen keys a call.
	maxKeysPerCommit = 16
	// gatherDelay is the delay before a write, so that the crashes and answers of many requests share one. Other gateways
	// still learn of a crash well within the seconds after which they must not send the request any more.
	gatherDelay = 100 * time.Millisecond
	// minRetryDelay is the delay after a failed write; it doubles up to maxRetryDelay.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = time.Second
	// maxLeaseAge is how long new suspects are bound to the same lease.
	maxLeaseAge = time.Minute
	// sweepInterval is the time between two searches for suspects that are over.
	sweepInterval = time.Minute
)

// lease is the lease of this process's latest writes.
type lease struct {
	id        uint64
	grantedAt clock.Boot
}

// Run writes new crashes to the store until the context ends.
func (q *Quarantine) Run(ctx context.Context) error {
	q.lock()
	wake := q.wake
	q.mutex.Unlock()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sweep.C:
			q.dropOver()
		case <-wake:
			q.writeAll(ctx)
		}
	}
}

// dropOver forgets the suspects that are over.
func (q *Quarantine) dropOver() {
	q.lock()
	defer q.mutex.Unlock()
	for fingerprint := range q.suspects {
		q.dropIfOver(fingerprint)
	}
}

// writeAll writes until the store knows all suspects, or the context ends.
func (q *Quarantine) writeAll(ctx context.Context) {
	retryDelay := minRetryDelay
	for pause.For(ctx, gatherDelay) {
		commit, isDone, err := q.commit()
		if isDone {
			return
		}
		if err == nil && len(commit.Expect) > 0 {
			err = q.write(ctx, commit)
		}
		if err == nil {
			retryDelay = minRetryDelay
			continue
		}
		klog.InfoS("poison: writing suspects to the store failed; retrying", "suspects", len(commit.Expect), "after", retryDelay, "err", err.Error())
		pause.For(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// commit returns the change that writes some suspects, quarantined ones first, and removes those that were answered. It
// reports whether nothing is left to write or to await.
func (q *Quarantine) commit() (commit platform.Commit, isDone bool, err error) {
	q.lock()
	defer q.mutex.Unlock()
	now := q.now()
	isDone = true
	for _, isQuarantined := range []bool{true, false} {
		for fingerprint, each := range q.suspects {
			if !each.needsWrite() || each.isQuarantined() != isQuarantined {
				continue
			}
			isDone = false
			if each.isAwaited(now) || len(commit.Expect) == maxKeysPerCommit {
				continue
			}
			if err := q.addTo(&commit, fingerprint, each); err != nil {
				return platform.Commit{}, false, err
			}
		}
	}
	return commit, isDone, nil
}

// addTo adds a suspect to a commit. The mutex is held.
func (q *Quarantine) addTo(commit *platform.Commit, fingerprint string, suspect *suspect) error {
	key := q.Prefix + fingerprint
	if len(suspect.servers) == 0 {
		commit.Remove = append(commit.Remove, key)
	} else {
		data, err := proto.Marshal(suspect.state(suspect.trials))
		if err != nil {
			return err
		}
		commit.Writes = append(commit.Writes, platform.Write{Key: key, Data: data})
	}
	commit.Expect = append(commit.Expect, platform.Expect{Key: key, Revision: suspect.revision})
	suspect.isWriting = true
	return nil
}

// write sends a commit to the store.
func (q *Quarantine) write(ctx context.Context, commit platform.Commit) error {
	if len(commit.Writes) > 0 {
		lease, err := q.currentLease(ctx)
		if err != nil {
			return err
		}
		for i := range commit.Writes {
			commit.Writes[i].Lease = lease
		}
	}
	revision, err := q.Store.Commit(ctx, commit)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		q.applyCommit(commit, revision)
		return nil
	case errors.As(err, &conflict):
		q.applyError(commit, err)
		return nil
	default:
		q.applyError(commit, err)
		return err
	}
}

// currentLease returns the lease of new writes.
func (q *Quarantine) currentLease(ctx context.Context) (uint64, error) {
	now := q.readClock()
	if q.lease.id != 0 && now.Sub(q.lease.grantedAt) < maxLeaseAge {
		return q.lease.id, nil
	}
	id, err := q.Store.GrantLease(ctx, retention)
	if err != nil {
		return 0, err
	}
	q.lease = lease{id: id, grantedAt: now}
	return id, nil
}

func (q *Quarantine) readClock() clock.Boot {
	q.lock()
	defer q.mutex.Unlock()
	return q.now()
}

// applyCommit updates the suspects after a commit, whose revision is that of its last change. The watch shows those of
// the others.
func (q *Quarantine) applyCommit(commit platform.Commit, revision uint64) {
	q.lock()
	defer q.mutex.Unlock()
	if len(commit.Expect) == 1 {
		q.applyOwn(changeOf(commit, revision))
		return
	}
	now := q.now()
	for _, expect := range commit.Expect {
		known := q.suspects[strings.TrimPrefix(expect.Key, q.Prefix)]
		if known != nil && known.isWriting {
			known.writtenAt = now
		}
	}
}

// changeOf returns the change that a commit of one key has made.
func changeOf(commit platform.Commit, revision uint64) platform.Value {
	if len(commit.Remove) > 0 {
		return platform.Value{Key: commit.Remove[0], Revision: revision, Deleted: true}
	}
	write := commit.Writes[0]
	return platform.Value{Key: write.Key, Data: write.Data, Revision: revision, Lease: write.Lease}
}

// applyError updates the suspects after a failed commit. A conflict shows the present values of the store, which the next
// commit expects. After most other errors the commit may have taken effect, which the watch will show.
func (q *Quarantine) applyError(commit platform.Commit, err error) {
	var conflict *platform.ConflictError
	var missing *platform.NotFoundError
	q.lock()
	defer q.mutex.Unlock()
	switch {
	case errors.As(err, &conflict):
		q.applyConflict(commit, conflict)
	case errors.As(err, &missing):
		// The lease has ended.
		q.lease = lease{}
	}
}

// applyConflict updates the suspects of a commit to the present values of the store. The mutex is held.
func (q *Quarantine) applyConflict(commit platform.Commit, conflict *platform.ConflictError) {
	for _, expect := range commit.Expect {
		current, exists := conflict.Find(expect.Key)
		fingerprint := strings.TrimPrefix(expect.Key, q.Prefix)
		known := q.suspects[fingerprint]
		switch {
		case exists:
			q.applyOwn(current)
		case known != nil && known.revision == expect.Revision:
			q.applyRemoval(fingerprint)
		}
	}
}
