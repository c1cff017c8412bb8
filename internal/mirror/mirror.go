// Package mirror keeps a local copy of the store's values under one prefix.
package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
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
	// followRetryPause is the delay before another process is followed.
	followRetryPause = 50 * time.Millisecond
	// maxFollowGap is how long a process finds no process to follow before it calls the store
	// itself, and directTime is how long it then watches the store.
	maxFollowGap = time.Second
	directTime   = 2 * time.Second
	// lostCheckInterval is the mean interval at which a follower checks the store itself
	// while the process that it follows gets no answer: the store may reject only some
	// processes.
	lostCheckInterval = 5 * time.Second
	// freshnessMargin is added to the duration of a watch to get the maximum age of the
	// store's confirmation at the process that watches it; each hop adds hopTime, the longest
	// time of a call to follow a process. With an older confirmation, or more than maxHops
	// hops, a process must not be followed.
	freshnessMargin = 900 * time.Millisecond
	hopTime         = 750 * time.Millisecond
	maxHops         = 4
)

// FollowResult is the result of an attempt to follow another process.
type FollowResult int

const (
	// NotFollowing means that this process has to watch the store itself.
	NotFollowing FollowResult = iota
	// Followed means that the update is valid.
	Followed
	// Unavailable means that the process to follow gave no update; the next attempt may choose
	// another one.
	Unavailable
)

// errStoreLost means that the process that watches the store gets no answer.
var errStoreLost = errors.New("the store doesn't answer the process that watches it")

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
	// OnListed is called with the revision of a complete list after OnChanges has received
	// it, and known values that are missing from the list as deleted; nil is allowed.
	OnListed func(revision uint64)
	// Follow waits for changes after a revision that another process has received; after
	// revision 0, for all values. If Follow is nil, this process always watches the store
	// itself.
	Follow func(ctx context.Context, prefix string, after uint64) (Update, FollowResult)
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

	isListed bool
	revision uint64
	isLost   bool
	history  history
	// followedAt is when this process last got an update from another one; directUntil is
	// how long it calls the store itself without trying to follow.
	followedAt  clock.Boot
	directUntil clock.Boot
	// lostCheckAt is when the store is checked while the followed process gets no answer.
	// isBypassing is true if the store answered the last check.
	lostCheckAt clock.Boot
	isBypassing bool
}

// Run keeps the copy up to date until the context ends.
//
// A watch can go silent without an error. Each watch therefore has a timeout, and the
// next watch resumes from the last revision received. If the store has dropped its
// history since that revision, Run lists all values again and treats missing values as
// deleted.
func (m *Mirror) Run(ctx context.Context) error {
	m.followedAt = clock.Now()
	for ctx.Err() == nil {
		if m.Follow != nil && m.follow(ctx) {
			continue
		}
		err := m.callStore(ctx)
		var compacted *platform.CompactedError
		switch {
		case err == nil, ctx.Err() != nil:
		case errors.As(err, &compacted):
			klog.InfoS("mirror: the store has dropped its history; listing all values again", "prefix", m.Prefix, "after", m.revision)
			m.isListed = false
		default:
			m.isBypassing = false
			if clock.Now() >= m.directUntil {
				m.history.recordStoreLost()
			}
			m.reportLost(err)
			pause.For(ctx, m.retryDelay())
		}
	}
	return nil
}

// callStore lists the values in the store or watches it.
func (m *Mirror) callStore(ctx context.Context) error {
	if m.isListed {
		return m.watch(ctx)
	}
	return m.list(ctx)
}

// follow waits for an update of another process. It reports false if this process has to call the
// store itself now.
func (m *Mirror) follow(ctx context.Context) bool {
	if clock.Now() < m.directUntil {
		return false
	}
	after := m.revision
	if !m.isListed {
		after = 0
	}
	update, result := m.Follow(ctx, m.Prefix, after)
	now := clock.Now()
	switch {
	case result == NotFollowing:
		return false
	case result == Followed && m.isUsable(update):
		m.followedAt = now
		return m.followUpdate(update, now)
	case now.Sub(m.followedAt) < maxFollowGap:
		pause.For(ctx, followRetryPause)
		return true
	default:
		klog.InfoS("mirror: no process to follow; calling the store", "prefix", m.Prefix, "revision", m.revision)
		m.followedAt, m.directUntil = now, now.Add(directTime)
		return false
	}
}

// isUsable reports whether an update of another process can be applied. All values of a process that is
// behind this one may hold keys that this one knows to be removed; no later change would remove them.
func (m *Mirror) isUsable(update Update) bool {
	if update.IsComplete {
		return update.Revision >= m.revision
	}
	return m.isListed
}

// followUpdate applies an update of another process. It reports false if this process has to call the
// store itself now: the store doesn't answer the other process, but may answer this one.
func (m *Mirror) followUpdate(update Update, now clock.Boot) bool {
	confirmed := confirmation{at: now.Add(-update.Age), hops: update.Hops + 1, isStoreLost: update.IsStoreLost}
	if !update.IsStoreLost {
		m.lostCheckAt, m.isBypassing = 0, false
		m.applyUpdate(update, confirmed)
		return true
	}
	if m.isBypassing {
		return false
	}
	m.applyUpdate(update, confirmed)
	if m.lostCheckAt == 0 {
		// All followers learn of the loss at the same moment.
		m.lostCheckAt = now.Add(time.Duration((0.5 + rand.Float64()) * float64(lostCheckInterval)))
	}
	if now < m.lostCheckAt {
		return true
	}
	m.lostCheckAt = now.Add(lostCheckInterval)
	m.isBypassing = true
	return false
}

// applyUpdate applies an update of another process.
func (m *Mirror) applyUpdate(update Update, confirmed confirmation) {
	if !update.IsStoreLost {
		m.reportRegained()
	}
	if update.IsComplete {
		m.applyList(update.ListReply, confirmed)
	} else {
		m.applyChanges(update.ListReply, confirmed)
	}
	if update.IsStoreLost {
		m.reportLost(errStoreLost)
		return
	}
	m.reportUpToDate()
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
	m.applyList(reply, confirmation{at: clock.Now()})
	m.reportUpToDate()
	return nil
}

// applyList applies a list of all values.
func (m *Mirror) applyList(list platform.ListReply, confirmed confirmation) {
	missing := m.history.missing(list)
	klog.InfoS("mirror: listed all values", "prefix", m.Prefix, "revision", list.Revision, "after", m.revision, "values", len(list.Values), "missing", len(missing))
	m.apply(append(missing, list.Values...))
	m.revision = max(m.revision, list.Revision)
	m.history.reset(m.revision, confirmed)
	m.isListed = true
	if m.OnListed != nil {
		m.OnListed(list.Revision)
	}
}

func (m *Mirror) watch(ctx context.Context) error {
	wait := m.Wait
	if age, _, ok := m.Age(); !ok || age > m.Wait {
		// Processes that follow this one need a confirmation at once.
		wait = time.Millisecond
	}
	reply, err := m.Store.Watch(ctx, m.Prefix, m.revision, wait)
	if err != nil {
		return err
	}
	m.reportRegained()
	m.applyChanges(reply, confirmation{at: clock.Now()})
	m.reportUpToDate()
	if m.Pause > 0 && len(reply.Values) > 0 {
		pause.For(ctx, m.Pause)
	}
	return nil
}

func (m *Mirror) applyChanges(reply platform.ListReply, confirmed confirmation) {
	m.apply(reply.Values)
	m.revision = max(m.revision, reply.Revision)
	m.history.add(reply.Values, m.revision, confirmed)
}

func (m *Mirror) reportUpToDate() {
	if m.OnUpToDate != nil {
		m.OnUpToDate()
	}
}

// IsStoreLost reports whether the store doesn't answer this process or the one that it follows.
func (m *Mirror) IsStoreLost() bool { return m.history.isLost() }

// Age returns the time since the store last confirmed that there are no further changes, and the
// number of processes that passed the confirmation on; ok is false before the first one.
func (m *Mirror) Age() (age time.Duration, hops int, ok bool) { return m.history.age(clock.Now()) }

// Changes waits up to wait for changes after a revision. It reports false if this process isn't
// up to date or can't tell the changes since the revision; the caller must then follow another
// process or call the store.
func (m *Mirror) Changes(ctx context.Context, after uint64, wait time.Duration) (Update, bool) {
	return m.history.wait(ctx, after, wait, m.Wait+freshnessMargin)
}

// apply passes the values that are newer than the known ones to OnChanges. A delayed
// reply may hold values that a later reply has already replaced.
func (m *Mirror) apply(values []platform.Value) {
	var changes []platform.Value
	for _, value := range values {
		if known, ok := m.history.known(value.Key); ok && known.Revision >= value.Revision {
			continue
		}
		m.history.set(value)
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
