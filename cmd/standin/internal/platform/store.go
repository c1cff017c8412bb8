package platform

import (
	"strings"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	maxValueBytes = 1 << 20
	eventsKept    = 10000
)

// store is the key-value service: compare-and-swap, leases and watches.
type store struct {
	mutex    sync.Mutex
	revision uint64
	values   map[string]platform.Value
	leases   map[uint64]time.Time
	next     uint64
	events   []platform.Value
	changed  chan struct{}
}

func newStore() *store {
	return &store{values: map[string]platform.Value{}, leases: map[uint64]time.Time{}, changed: make(chan struct{})}
}

// swap writes a value if the key has the expected revision.
func (s *store) swap(request platform.SwapRequest, now time.Time) (uint64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	present := s.values[request.Key].Revision
	if present != request.Expect {
		return present, false
	}
	if request.Lease != 0 && s.leases[request.Lease].IsZero() {
		return present, false
	}
	s.record(platform.Value{Key: request.Key, Data: request.Data, Lease: request.Lease})
	return s.revision, true
}

// remove deletes a key that has the expected revision.
func (s *store) remove(key string, expect uint64, now time.Time) (uint64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	present := s.values[key].Revision
	if present != expect || present == 0 {
		return present, false
	}
	s.record(platform.Value{Key: key, Deleted: true})
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

// after returns the events of a prefix after a revision and a channel that is
// closed with the next change.
func (s *store) after(prefix string, revision uint64, now time.Time) (platform.ListReply, <-chan struct{}) {
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

func (s *store) grant(length time.Duration, now time.Time) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.next++
	s.leases[s.next] = now.Add(length)
	return s.next
}

func (s *store) renew(lease uint64, length time.Duration, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	if s.leases[lease].IsZero() {
		return false
	}
	s.leases[lease] = now.Add(length)
	return true
}

// expire deletes the values of leases that have lapsed.
func (s *store) expire(now time.Time) {
	for lease, end := range s.leases {
		if now.Before(end) {
			continue
		}
		delete(s.leases, lease)
		for key, value := range s.values {
			if value.Lease == lease {
				s.record(platform.Value{Key: key, Deleted: true})
			}
		}
	}
}

func (s *store) record(event platform.Value) {
	s.revision++
	event.Revision = s.revision
	if event.Deleted {
		delete(s.values, event.Key)
	} else {
		s.values[event.Key] = event
	}
	s.events = append(s.events, event)
	if len(s.events) > eventsKept {
		s.events = s.events[len(s.events)-eventsKept:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
