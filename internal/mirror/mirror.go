// Package mirror keeps a copy of the store's values under one prefix.
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
	// retryPause is the wait after a call that failed. The store's outages last
	// seconds; a tenth of a second finds their end without flooding it.
	retryPause = 100 * time.Millisecond
	// followerPause is that wait for a process that follows another one: well inside
	// the two seconds in which a change must be in force.
	followerPause = 500 * time.Millisecond
	// freshExtra is how much longer than one watch this process's own view of the
	// store may be without an answer before others must not follow it.
	freshExtra = 900 * time.Millisecond
)

// Store is what a Mirror needs of the platform's store.
type Store interface {
	List(ctx context.Context, prefix string) (platform.ListReply, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (platform.ListReply, error)
}

// Mirror keeps a copy of the values under a prefix. Exported fields are set before Run.
type Mirror struct {
	Store  Store
	Prefix string
	// Wait is the longest wait of one watch.
	Wait time.Duration
	// OnChanges is called with what has changed, in the order of the store's revisions.
	OnChanges func(changes []platform.Value)
	// OnListed is called after a whole list was taken; nil is allowed. After a
	// history that was lost, values that are missing from the list were reported
	// to Take as deleted before.
	OnListed func()
	// Follow waits for changes that another process has seen; it reports false
	// where this process is to watch the store itself. nil always does.
	Follow func(ctx context.Context, prefix string, after uint64) (platform.ListReply, bool)
	// IsWatcher reports whether others follow this process's watches; nil says so.
	IsWatcher func() bool
	// Pause is the wait between two watches of the store: changes that come close
	// to each other cost one call.
	Pause time.Duration
	// OnLost is called when the store stops answering, and Regained once it does
	// again, before what has changed meanwhile is taken; nil is allowed.
	OnLost     func()
	OnRegained func()
	// OnUpToDate is called once all changes up to now are taken; nil is allowed.
	OnUpToDate func()

	known    map[string]uint64
	revision uint64
	isLost   bool
	history  history
}

// Run keeps the copy until the context ends.
//
// A watch can go silent without an error. So each has an end, and the next one
// goes on from the last revision seen; where the store has dropped its history
// since, everything is listed anew and what is missing counts as deleted.
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
			klog.InfoS("mirror: the store has dropped its history, listing anew", "prefix", m.Prefix, "after", m.revision)
			isListed = false
		default:
			m.lost(err)
			pause.For(ctx, m.retry())
		}
	}
	return nil
}

// retry returns the wait after a call that failed.
//
// While the store is away for all, a process that follows another one hears of its
// return from that one; only where the store turns the watcher away it must ask
// itself, and not as often: all processes do.
func (m *Mirror) retry() time.Duration {
	if m.IsWatcher == nil || m.IsWatcher() {
		return retryPause
	}
	return followerPause
}

func (m *Mirror) list(ctx context.Context) error {
	reply, err := m.Store.List(ctx, m.Prefix)
	if err != nil {
		return err
	}
	m.regained()
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
	m.take(append(changes, reply.Values...))
	m.revision = max(m.revision, reply.Revision)
	m.history.restart(m.revision)
	if m.OnListed != nil {
		m.OnListed()
	}
	m.heard()
	return nil
}

func (m *Mirror) watch(ctx context.Context) error {
	if m.Follow != nil {
		if reply, ok := m.Follow(ctx, m.Prefix, m.revision); ok {
			m.takeReply(reply, false)
			return nil
		}
	}
	reply, err := m.Store.Watch(ctx, m.Prefix, m.revision, m.Wait)
	if err != nil {
		return err
	}
	m.takeReply(reply, true)
	if m.Pause > 0 && len(reply.Values) > 0 {
		pause.For(ctx, m.Pause)
	}
	return nil
}

func (m *Mirror) takeReply(reply platform.ListReply, direct bool) {
	m.regained()
	m.take(reply.Values)
	m.revision = max(m.revision, reply.Revision)
	m.history.add(reply.Values, m.revision, direct)
	m.heard()
}

func (m *Mirror) heard() {
	if m.OnUpToDate != nil {
		m.OnUpToDate()
	}
}

// Changes waits up to wait for changes after a revision that this process has
// seen by a watch of its own. It reports false if it has none of late, or
// doesn't know all changes since: the caller asks the store then.
func (m *Mirror) Changes(ctx context.Context, after uint64, wait time.Duration) (platform.ListReply, bool) {
	return m.history.wait(ctx, after, wait, m.Wait+freshExtra)
}

// take hands on the values that are newer than those known. An answer that was
// under way for long may show values that a later one has replaced.
func (m *Mirror) take(values []platform.Value) {
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

func (m *Mirror) lost(err error) {
	if m.isLost {
		return
	}
	m.isLost = true
	klog.InfoS("mirror: the store does not answer", "prefix", m.Prefix, "revision", m.revision, "err", err)
	if m.OnLost != nil {
		m.OnLost()
	}
}

func (m *Mirror) regained() {
	if !m.isLost {
		return
	}
	m.isLost = false
	klog.InfoS("mirror: the store answers again", "prefix", m.Prefix, "revision", m.revision)
	if m.OnRegained != nil {
		m.OnRegained()
	}
}
