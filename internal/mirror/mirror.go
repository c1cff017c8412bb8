// Package mirror keeps a local copy of the store's values under one prefix.
package mirror

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// watcherRetryDelay is the delay after a failed call. Store outages last seconds; a
	// retry every tenth of a second detects their end without flooding the store.
	watcherRetryDelay = 100 * time.Millisecond
	// followerRetryDelay is the delay after a failed call of a process that follows
	// another process: well within the two seconds in which a change must take effect.
	followerRetryDelay = 500 * time.Millisecond
	// freshnessMargin is added to the duration of a watch to get the maximum age of the
	// last direct reply of the store. If that reply is older, other processes must stop
	// following this one.
	freshnessMargin = 900 * time.Millisecond
)

// Store is the part of the platform's store that a Mirror uses.
type Store interface {
	List(ctx context.Context, prefix string) (platform.ListReply, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (platform.ListReply, error)
}

// Mirror keeps a copy of the values under a prefix. Exported fields are set before Run.
type Mirror struct {
	Store  Store
	Prefix string
	// Wait bounds the duration of one watch.
	Wait time.Duration
	// OnChanges is called with the changes, in the order of the store's revisions.
	OnChanges func(changes []platform.Value)
	// OnListed is called after OnChanges has received a complete list, and known values
	// that are missing from the list as deleted; nil is allowed.
	OnListed func()
	// Follow waits for changes that another process has received. It reports false if
	// this process has to watch the store itself. If Follow is nil, this process always
	// watches the store itself.
	Follow func(ctx context.Context, prefix string, after uint64) (platform.ListReply, bool)
	// IsWatcher reports whether other processes follow this process's watches; nil
	// means that they do.
	IsWatcher func() bool
	// Pause is the delay after a watch of the store that returned changes, so that
	// changes in quick succession cost one call.
	Pause time.Duration
	// OnLost is called when the store stops answering. OnRegained is called when the
	// store answers again, before OnChanges receives the changes made meanwhile. Both
	// may be nil.
	OnLost     func()
	OnRegained func()
	// OnUpToDate is called once OnChanges has received all changes so far; nil is allowed.
	OnUpToDate func()

	known    map[string]uint64
	revision uint64
	isLost   bool
	history  history
}

// Run keeps the copy up to date until the context ends.
//
// A watch can go silent without an error. Each watch therefore has a timeout, and the
// next watch resumes from the last revision received. If the store has dropped its
// history since that revision, Run lists all values again and treats missing values as
// deleted.
func (m *Mirror) Run(ctx context.Context) error {
	isListed := false
	for ctx.Err() == nil {
		var err error
		if !isListed {
			err = m.list(ctx)
			isListed = err == nil
		} else {
			err = m.watch(ctx)
		}
		var compacted *platform.CompactedError
		switch {
		case err == nil, ctx.Err() != nil:
		case errors.As(err, &compacted):
			klog.InfoS("mirror: the store has dropped its history; listing all values again", "prefix", m.Prefix, "after", m.revision)
			isListed = false
		default:
			m.reportLost(err)
			pause.For(ctx, m.retryDelay())
		}
	}
	return nil
}

// retryDelay returns the delay after a failed call.
//
// While the store is down for all processes, a follower detects the recovery through
// the watcher. A follower has to call the store itself only if the store rejects the
// watcher. Followers retry less often than the watcher, since all of them call at the
// same time.
func (m *Mirror) retryDelay() time.Duration {
	if m.IsWatcher == nil || m.IsWatcher() {
		return watcherRetryDelay
	}
	return followerRetryDelay
}

func (m *Mirror) list(ctx context.Context) error {
	reply, err := m.Store.List(ctx, m.Prefix)
	if err != nil {
		return err
	}
	m.reportRegained()
	present := map[string]bool{}
	for _, value := range reply.Values {
		present[value.Key] = true
	}
	var changes []platform.Value
	for key := range m.known {
		if !present[key] {
			changes = append(changes, platform.Value{Key: key, Revision: reply.Revision, Deleted: true})
		}
	}
	m.apply(append(changes, reply.Values...))
	m.revision = max(m.revision, reply.Revision)
	m.history.reset(m.revision)
	if m.OnListed != nil {
		m.OnListed()
	}
	m.reportUpToDate()
	return nil
}

func (m *Mirror) watch(ctx context.Context) error {
	if m.Follow != nil {
		if reply, ok := m.Follow(ctx, m.Prefix, m.revision); ok {
			m.applyReply(reply, false)
			return nil
		}
	}
	reply, err := m.Store.Watch(ctx, m.Prefix, m.revision, m.Wait)
	if err != nil {
		return err
	}
	m.applyReply(reply, true)
	if m.Pause > 0 && len(reply.Values) > 0 {
		pause.For(ctx, m.Pause)
	}
	return nil
}

func (m *Mirror) applyReply(reply platform.ListReply, isDirect bool) {
	m.reportRegained()
	m.apply(reply.Values)
	m.revision = max(m.revision, reply.Revision)
	m.history.add(reply.Values, m.revision, isDirect)
	m.reportUpToDate()
}

func (m *Mirror) reportUpToDate() {
	if m.OnUpToDate != nil {
		m.OnUpToDate()
	}
}

// Changes waits up to wait for changes after a revision that this process has received
// by its own watch. It reports false if that watch is stale or changes since the
// revision are missing; the caller must then watch the store itself.
func (m *Mirror) Changes(ctx context.Context, after uint64, wait time.Duration) (platform.ListReply, bool) {
	return m.history.wait(ctx, after, wait, m.Wait+freshnessMargin)
}

// apply passes the values that are newer than the known ones to OnChanges. A delayed
// reply may hold values that a later reply has already replaced.
func (m *Mirror) apply(values []platform.Value) {
	if m.known == nil {
		m.known = map[string]uint64{}
	}
	var changes []platform.Value
	for _, value := range values {
		if known, ok := m.known[value.Key]; ok && known >= value.Revision {
			continue
		}
		if value.Deleted {
			delete(m.known, value.Key)
		} else {
			m.known[value.Key] = value.Revision
		}
		changes = append(changes, value)
	}
	if len(changes) > 0 {
		m.OnChanges(changes)
	}
}

func (m *Mirror) reportLost(err error) {
	if m.isLost {
		return
	}
	m.isLost = true
	klog.InfoS("mirror: the store does not answer; retrying", "prefix", m.Prefix, "revision", m.revision, "err", err)
	if m.OnLost != nil {
		m.OnLost()
	}
}

func (m *Mirror) reportRegained() {
	if !m.isLost {
		return
	}
	m.isLost = false
	klog.InfoS("mirror: the store answers again", "prefix", m.Prefix, "revision", m.revision)
	if m.OnRegained != nil {
		m.OnRegained()
	}
}
