// Package platformtest provides an in-memory fake of the platform's key-value service.
package platformtest

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// Store is an in-memory key-value service. Its zero value is empty.
// It is safe for concurrent use.
type Store struct {
	mutex         sync.Mutex
	values        map[string]platform.Value
	revision      uint64
	changed       chan struct{}
	unavailable   bool
	silentWatches bool
	answersToLose int
	beforeSwap    func()
	calls         int
	writes        int
	// deleted holds the latest deletion event of each key, for watches.
	deleted map[string]platform.Value
	// compacted is the revision up to which changes were discarded.
	compacted uint64
	leases    map[uint64]*time.Timer
	// unreadable holds the keys whose values can't be decoded.
	unreadable map[string]bool
}

// Commit changes several keys atomically if all have the expected revisions.
func (s *Store) Commit(_ context.Context, commit platform.Commit) (uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.countCall("commit"); err != nil {
		return 0, err
	}
	if conflict := s.checkExpectations(commit); conflict != nil {
		return 0, conflict
	}
	for _, write := range commit.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return 0, &platform.NotFoundError{Key: "lease"}
		}
	}
	for _, write := range commit.Writes {
		s.write(write.Key, write.Data, write.Lease)
	}
	for _, key := range commit.Remove {
		s.remove(key)
	}
	if s.answersToLose > 0 {
		s.answersToLose--
		return 0, &platform.UnavailableError{Operation: "commit"}
	}
	return s.revision, nil
}

// checkExpectations returns a *platform.ConflictError with the current values if a key doesn't have
// the revision that the commit expects.
func (s *Store) checkExpectations(commit platform.Commit) error {
	conflict := &platform.ConflictError{Current: []platform.Value{}}
	for _, expect := range commit.Expect {
		if current := s.values[expect.Key]; current.Revision != expect.Revision && conflict.Key == "" {
			conflict.Key, conflict.Revision = expect.Key, current.Revision
		}
	}
	if conflict.Key == "" {
		return nil
	}
	for _, expect := range commit.Expect {
		if value, found := s.values[expect.Key]; found {
			conflict.Current = append(conflict.Current, value)
		}
	}
	return conflict
}

// Compact discards all past changes.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.compacted = s.revision
	s.deleted = nil
}

// RevokeLease revokes a lease and removes its keys.
func (s *Store) RevokeLease(_ context.Context, lease uint64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.countCall("revoke"); err != nil {
		return err
	}
	return s.revoke(lease)
}

func (s *Store) revoke(lease uint64) error {
	timer := s.leases[lease]
	if timer == nil {
		return &platform.NotFoundError{Key: "lease"}
	}
	timer.Stop()
	delete(s.leases, lease)
	for key, value := range s.values {
		if value.Lease == lease {
			s.remove(key)
		}
	}
	return nil
}

// GrantLease creates a lease and returns its ID.
func (s *Store) GrantLease(_ context.Context, length time.Duration) (uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.countCall("grant"); err != nil {
		return 0, err
	}
	if s.leases == nil {
		s.leases = map[uint64]*time.Timer{}
	}
	s.revision++
	lease := s.revision
	s.leases[lease] = time.AfterFunc(length, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		_ = s.revoke(lease)
	})
	return lease, nil
}

// RenewLease extends a lease to length from now.
func (s *Store) RenewLease(_ context.Context, lease uint64, length time.Duration) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.countCall("renew"); err != nil {
		return err
	}
	timer := s.leases[lease]
	if timer == nil {
		return &platform.NotFoundError{Key: "lease"}
	}
	timer.Reset(length)
	return nil
}

func (s *Store) remove(key string) {
	if _, found := s.values[key]; !found {
		return
	}
	s.revision++
	delete(s.values, key)
	if s.deleted == nil {
		s.deleted = map[string]platform.Value{}
	}
	s.deleted[key] = platform.Value{Key: key, Revision: s.revision, Deleted: true}
	s.notifyWatchers()
}

// BeforeNextSwap calls hook once, at the start of the next swap. It simulates a concurrent writer.
func (s *Store) BeforeNextSwap(hook func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.beforeSwap = hook
}

// Calls returns the number of calls so far. A watch counts once, and again each
// time a change wakes it.
func (s *Store) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// Delete removes a key that has the expected revision.
func (s *Store) Delete(_ context.Context, key string, expect uint64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.countCall("delete"); err != nil {
		return err
	}
	if current := s.values[key].Revision; current != expect {
		return &platform.ConflictError{Key: key, Revision: current}
	}
	s.remove(key)
	return nil
}

// Get returns the value of a key.
func (s *Store) Get(_ context.Context, key string) (platform.Value, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.countCall("get"); err != nil {
		return platform.Value{}, err
	}
	value, found := s.values[key]
	switch {
	case !found:
		return platform.Value{}, &platform.NotFoundError{Key: key}
	case s.unreadable[key]:
		return platform.Value{}, &platform.UnavailableError{Operation: "read " + key}
	default:
		return value, nil
	}
}

// List returns the values whose key has the prefix.
func (s *Store) List(_ context.Context, prefix string) (platform.ListReply, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.countCall("list"); err != nil {
		return platform.ListReply{}, err
	}
	return s.list(prefix, 0), nil
}

// LoseAnswers makes the next swaps and commits take effect but fail as if the response were lost.
func (s *Store) LoseAnswers(number int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.answersToLose = number
}

// SetUnavailable starts or ends an outage.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unavailable = unavailable
	s.notifyWatchers()
}

// SetUnreadable makes a key one whose value can't be decoded, or ends that.
func (s *Store) SetUnreadable(key string, unreadable bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.unreadable == nil {
		s.unreadable = map[string]bool{}
	}
	s.unreadable[key] = unreadable
}

// SetWatchesSilent makes watches return no events although values change.
func (s *Store) SetWatchesSilent(silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silentWatches = silent
}

// CompareAndSwap writes a value if its key has the expected revision.
func (s *Store) CompareAndSwap(_ context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error) {
	s.mutex.Lock()
	hook := s.beforeSwap
	s.beforeSwap = nil
	s.mutex.Unlock()
	if hook != nil {
		hook()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.countCall("swap"); err != nil {
		return 0, err
	}
	if current := s.values[key].Revision; current != expect {
		return 0, &platform.ConflictError{Key: key, Revision: current}
	}
	s.write(key, data, lease)
	if s.answersToLose > 0 {
		s.answersToLose--
		return 0, &platform.UnavailableError{Operation: "swap"}
	}
	return s.revision, nil
}

// Writes returns the number of values written so far, by swaps and commits.
func (s *Store) Writes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.writes
}

// Watch waits at most wait for a change after the revision.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (platform.ListReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		reply, changed, err := s.changesSince(prefix, after)
		if err != nil || len(reply.Values) > 0 {
			return reply, err
		}
		select {
		case <-ctx.Done():
			return reply, nil
		case <-changed:
		}
	}
}

func (s *Store) changesSince(prefix string, after uint64) (platform.ListReply, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.countCall("watch"); err != nil {
		return platform.ListReply{}, nil, err
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if s.silentWatches {
		return platform.ListReply{Revision: after}, s.changed, nil
	}
	if after < s.compacted {
		return platform.ListReply{}, nil, &platform.CompactedError{Prefix: prefix, After: after}
	}
	reply := s.list(prefix, after)
	for key, value := range s.deleted {
		if strings.HasPrefix(key, prefix) && value.Revision > after {
			reply.Values = append(reply.Values, value)
		}
	}
	slices.SortFunc(reply.Values, func(a, b platform.Value) int { return cmp.Compare(a.Revision, b.Revision) })
	return reply, s.changed, nil
}

func (s *Store) list(prefix string, after uint64) platform.ListReply {
	reply := platform.ListReply{Revision: s.revision}
	for key, value := range s.values {
		switch {
		case !strings.HasPrefix(key, prefix) || value.Revision <= after:
		case s.unreadable[key]:
			reply.Unreadable = append(reply.Unreadable, key)
		default:
			reply.Values = append(reply.Values, value)
		}
	}
	return reply
}

func (s *Store) countCall(operation string) error {
	s.calls++
	if s.unavailable {
		return &platform.UnavailableError{Operation: operation}
	}
	return nil
}

func (s *Store) write(key string, data []byte, lease uint64) {
	if s.values == nil {
		s.values = map[string]platform.Value{}
	}
	s.revision++
	s.writes++
	s.values[key] = platform.Value{Key: key, Data: data, Revision: s.revision, Lease: lease}
	s.notifyWatchers()
}

func (s *Store) notifyWatchers() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}
