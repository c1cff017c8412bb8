// Package platformtest holds a small key-value service in memory for tests of
// the parts that use the platform's.
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

// Store is a key-value service in memory. Its zero value is empty.
// It is safe for concurrent use.
type Store struct {
	mutex    sync.Mutex
	values   map[string]platform.Value
	revision uint64
	changed  chan struct{}
	away     bool
	silent   bool
	lose     int
	before   func()
	calls    int
	swaps    int
	// deleted holds the newest deletion of each key, for watches.
	deleted map[string]platform.Value
	// compacted is the revision up to which changes are no longer known.
	compacted uint64
	leases    map[uint64]*time.Timer
}

// Commit changes several keys at once if all have the expected revisions.
func (s *Store) Commit(_ context.Context, commit platform.Commit) (uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.call("commit"); err != nil {
		return 0, err
	}
	if conflict := s.conflict(commit); conflict != nil {
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
	if s.lose > 0 {
		s.lose--
		return 0, &platform.UnavailableError{Operation: "commit"}
	}
	return s.revision, nil
}

// conflict returns the present values of a commit's expectations if one fails.
func (s *Store) conflict(commit platform.Commit) error {
	failed := &platform.ConflictError{}
	for _, expect := range commit.Expect {
		if present := s.values[expect.Key]; present.Revision != expect.Revision && failed.Key == "" {
			failed.Key, failed.Revision = expect.Key, present.Revision
		}
	}
	if failed.Key == "" {
		return nil
	}
	for _, expect := range commit.Expect {
		if value, found := s.values[expect.Key]; found {
			failed.Current = append(failed.Current, value)
		}
	}
	return failed
}

// Compact forgets what has changed so far.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.compacted = s.revision
	s.deleted = nil
}

// RevokeLease ends a lease and removes its keys.
func (s *Store) RevokeLease(_ context.Context, lease uint64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.call("end"); err != nil {
		return err
	}
	return s.end(lease)
}

func (s *Store) end(lease uint64) error {
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

// GrantLease makes a lease.
func (s *Store) GrantLease(_ context.Context, length time.Duration) (uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.call("grant"); err != nil {
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
		_ = s.end(lease)
	})
	return lease, nil
}

// RenewLease lengthens a lease.
func (s *Store) RenewLease(_ context.Context, lease uint64, length time.Duration) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.call("renew"); err != nil {
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
	s.wake()
}

// BeforeNextSwap calls do once, just before the next swap: the place of a racing writer.
func (s *Store) BeforeNextSwap(do func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.before = do
}

// Calls returns the number of calls so far; a watch counts as one.
func (s *Store) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// Delete removes a key that has the expected revision.
func (s *Store) Delete(_ context.Context, key string, expect uint64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.call("delete"); err != nil {
		return err
	}
	if present := s.values[key].Revision; present != expect {
		return &platform.ConflictError{Key: key, Revision: present}
	}
	s.remove(key)
	return nil
}

// Get returns the value of a key.
func (s *Store) Get(_ context.Context, key string) (platform.Value, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.call("get"); err != nil {
		return platform.Value{}, err
	}
	value, found := s.values[key]
	if !found {
		return platform.Value{}, &platform.NotFoundError{Key: key}
	}
	return value, nil
}

// List returns the values whose key has the prefix.
func (s *Store) List(_ context.Context, prefix string) (platform.ListReply, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.call("list"); err != nil {
		return platform.ListReply{}, err
	}
	return s.list(prefix, 0), nil
}

// LoseAnswers makes the next swaps take effect and fail without an answer.
func (s *Store) LoseAnswers(number int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lose = number
}

// SetUnavailable begins or ends an outage.
func (s *Store) SetUnavailable(away bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = away
	s.wake()
}

// SetWatchesSilent makes watches show nothing although values change.
func (s *Store) SetWatchesSilent(silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = silent
}

// CompareAndSwap writes a value if its key has the expected revision.
func (s *Store) CompareAndSwap(_ context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error) {
	s.mutex.Lock()
	before := s.before
	s.before = nil
	s.mutex.Unlock()
	if before != nil {
		before()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.call("swap"); err != nil {
		return 0, err
	}
	if present := s.values[key].Revision; present != expect {
		return 0, &platform.ConflictError{Key: key, Revision: present}
	}
	s.write(key, data, lease)
	if s.lose > 0 {
		s.lose--
		return 0, &platform.UnavailableError{Operation: "swap"}
	}
	return s.revision, nil
}

// Writes returns the number of swaps that took effect.
func (s *Store) Writes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.swaps
}

// Watch waits for a change after the revision.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (platform.ListReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		reply, changed, err := s.look(prefix, after)
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

func (s *Store) look(prefix string, after uint64) (platform.ListReply, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.call("watch"); err != nil {
		return platform.ListReply{}, nil, err
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if s.silent {
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
		if strings.HasPrefix(key, prefix) && value.Revision > after {
			reply.Values = append(reply.Values, value)
		}
	}
	return reply
}

func (s *Store) call(operation string) error {
	s.calls++
	if s.away {
		return &platform.UnavailableError{Operation: operation}
	}
	return nil
}

func (s *Store) write(key string, data []byte, lease uint64) {
	if s.values == nil {
		s.values = map[string]platform.Value{}
	}
	s.revision++
	s.swaps++
	s.values[key] = platform.Value{Key: key, Data: data, Revision: s.revision, Lease: lease}
	s.wake()
}

func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}
