package platform

import (
	"strings"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	maxValueBytes = 1 << 20
	maxEvents     = 10000
)

// store is a key-value store with compare-and-swap, leases and watches.
type store struct {
	mutex     sync.Mutex
	revision  uint64
	values    map[string]platform.Value
	leases    map[uint64]time.Time
	lastLease uint64
	events    []platform.Value
	changed   chan struct{}
}

func newStore() *store {
	return &store{values: map[string]platform.Value{}, leases: map[uint64]time.Time{}, changed: make(chan struct{})}
}

// swap writes a value if the key has the expected revision and its lease, if any, is valid.
func (s *store) swap(request platform.SwapRequest, now time.Time) (uint64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	current := s.values[request.Key].Revision
	if current != request.Expect {
		return current, false
	}
	if request.Lease != 0 && s.leases[request.Lease].IsZero() {
		return current, false
	}
	s.apply(platform.Value{Key: request.Key, Data: request.Data, Lease: request.Lease})
	return s.revision, true
}

// remove deletes a key that exists and has the expected revision.
func (s *store) remove(key string, expect uint64, now time.Time) (uint64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	current := s.values[key].Revision
	if current != expect || current == 0 {
		return current, false
	}
	s.apply(platform.Value{Key: key, Deleted: true})
	return s.revision, true
}

func (s *store) get(key string, now time.Time) (platform.Value, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	value, ok := s.values[key]
	return value, ok
}

func (s *store) list(prefix string, now time.Time) platform.ListReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	reply := platform.ListReply{Revision: s.revision}
	for key, value := range s.values {
		if strings.HasPrefix(key, prefix) {
			reply.Values = append(reply.Values, value)
		}
	}
	return reply
}

// eventsAfter returns the events of a prefix after a revision, and a channel that is
// closed on the next change of any key.
func (s *store) eventsAfter(prefix string, revision uint64, now time.Time) (platform.ListReply, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	reply := platform.ListReply{Revision: s.revision}
	for _, event := range s.events {
		if event.Revision > revision && strings.HasPrefix(event.Key, prefix) {
			reply.Values = append(reply.Values, event)
		}
	}
	return reply, s.changed
}

func (s *store) grant(duration time.Duration, now time.Time) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = now.Add(duration)
	return s.lastLease
}

func (s *store) renew(lease uint64, duration time.Duration, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	if s.leases[lease].IsZero() {
		return false
	}
	s.leases[lease] = now.Add(duration)
	return true
}

// expire deletes expired leases and their values.
func (s *store) expire(now time.Time) {
	for lease, expiry := range s.leases {
		if now.Before(expiry) {
			continue
		}
		delete(s.leases, lease)
		for key, value := range s.values {
			if value.Lease == lease {
				s.apply(platform.Value{Key: key, Deleted: true})
			}
		}
	}
}

func (s *store) apply(event platform.Value) {
	s.revision++
	event.Revision = s.revision
	if event.Deleted {
		delete(s.values, event.Key)
	} else {
		s.values[event.Key] = event
	}
	s.events = append(s.events, event)
	if len(s.events) > maxEvents {
		s.events = s.events[len(s.events)-maxEvents:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
