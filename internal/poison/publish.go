package poison

import (
	"context"
	"errors"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// maxKeysPerCommit bounds the suspects that are written together; the store takes a few dozen keys a call.
	maxKeysPerCommit = 16
	// writeRetryDelay is the delay after a failed write: short enough that other gateways learn of a crash well within
	// the seconds after which they must not send the request any more.
	writeRetryDelay = 200 * time.Millisecond
)

// Run writes new crashes to the store until the context ends.
func (q *Quarantine) Run(ctx context.Context) error {
	q.lock()
	wake := q.wake
	q.mutex.Unlock()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		}
		q.writeAll(ctx)
	}
}

// writeAll writes until the store knows all suspects, or the context ends.
func (q *Quarantine) writeAll(ctx context.Context) {
	for ctx.Err() == nil {
		pending := q.pending()
		if len(pending) == 0 {
			return
		}
		if err := q.write(ctx, pending); err != nil {
			klog.InfoS("poison: writing suspects to the store failed; retrying", "suspects", len(pending), "err", err.Error())
			pause.For(ctx, writeRetryDelay)
		}
	}
}

// pending returns the fingerprints of some suspects that must be written.
func (q *Quarantine) pending() []string {
	q.lock()
	defer q.mutex.Unlock()
	var pending []string
	for fingerprint, each := range q.suspects {
		if each.needsWrite() && len(pending) < maxKeysPerCommit {
			pending = append(pending, fingerprint)
		}
	}
	return pending
}

// write writes suspects to the store.
func (q *Quarantine) write(ctx context.Context, fingerprints []string) error {
	commit, err := q.commit(fingerprints)
	if err != nil {
		return err
	}
	if len(commit.Writes) > 0 {
		lease, err := q.Store.GrantLease(ctx, retention)
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
	case errors.As(err, &conflict):
		q.applyConflict(commit, conflict)
		return nil
	case err != nil:
		return err
	}
	q.applyCommit(commit, revision)
	return nil
}

// commit returns the change that writes suspects and removes cleared ones.
func (q *Quarantine) commit(fingerprints []string) (platform.Commit, error) {
	q.lock()
	defer q.mutex.Unlock()
	var commit platform.Commit
	for _, fingerprint := range fingerprints {
		known := q.suspects[fingerprint]
		if known == nil {
			continue
		}
		key := q.Prefix + fingerprint
		commit.Expect = append(commit.Expect, platform.Expect{Key: key, Revision: known.revision})
		if known.isCleared {
			commit.Remove = append(commit.Remove, key)
			continue
		}
		data, err := proto.Marshal(known.state(known.trials))
		if err != nil {
			return platform.Commit{}, err
		}
		commit.Writes = append(commit.Writes, platform.Write{Key: key, Data: data})
	}
	return commit, nil
}

// applyCommit updates the suspects after a commit.
func (q *Quarantine) applyCommit(commit platform.Commit, revision uint64) {
	var changes []platform.Value
	for _, write := range commit.Writes {
		changes = append(changes, platform.Value{Key: write.Key, Data: write.Data, Revision: revision, Lease: write.Lease})
	}
	for _, key := range commit.Remove {
		changes = append(changes, platform.Value{Key: key, Revision: revision, Deleted: true})
	}
	q.ApplyChanges(changes)
}

// applyConflict updates the suspects to the current values of the store, so that the next commit expects those.
func (q *Quarantine) applyConflict(commit platform.Commit, conflict *platform.ConflictError) {
	q.ApplyChanges(conflict.Current)
	q.lock()
	defer q.mutex.Unlock()
	for _, expect := range commit.Expect {
		if _, exists := conflict.Find(expect.Key); exists || expect.Revision == 0 {
			continue
		}
		q.applyRemoval(strings.TrimPrefix(expect.Key, q.Prefix))
	}
}
