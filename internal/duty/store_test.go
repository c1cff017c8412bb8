package duty_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

var errConnectionLost = &platform.UnavailableError{Operation: "call", Cause: errors.New("connection cut")}

// store is an in-memory key-value store with leases and the faults of the real one.
type store struct {
	mutex    sync.Mutex
	revision uint64
	values   map[string]platform.Value
	leases   map[uint64]time.Time
	calls    int
	// isDown makes calls fail before they take effect.
	isDown bool
	// lostAnswers is the number of next calls whose changes take effect but whose answers are lost.
	lostAnswers int
}

func newStore() *store {
	return &store{values: map[string]platform.Value{}, leases: map[uint64]time.Time{}}
}

func (s *store) Delete(_ context.Context, key string, expect uint64) error {
	return s.call(func() error {
		if s.values[key].Revision != expect {
			return &platform.ConflictError{Key: key}
		}
		s.revision++
		delete(s.values, key)
		return nil
	})
}

func (s *store) Get(_ context.Context, key string) (platform.Value, error) {
	var value platform.Value
	err := s.call(func() error {
		value = s.values[key]
		if value.Revision == 0 {
			return &platform.NotFoundError{Key: key}
		}
		return nil
	})
	return value, err
}

func (s *store) GrantLease(_ context.Context, length time.Duration) (uint64, error) {
	var lease uint64
	err := s.call(func() error {
		lease = uint64(len(s.leases) + 1)
		s.leases[lease] = time.Now().Add(length)
		return nil
	})
	return lease, err
}

func (s *store) RenewLease(_ context.Context, lease uint64, length time.Duration) error {
	return s.call(func() error {
		if !time.Now().Before(s.leases[lease]) {
			return &platform.NotFoundError{Key: "lease"}
		}
		s.leases[lease] = time.Now().Add(length)
		return nil
	})
}

func (s *store) CompareAndSwap(_ context.Context, key string, expect uint64, data []byte, lease uint64) (uint64, error) {
	var revision uint64
	err := s.call(func() error {
		if s.values[key].Revision != expect {
			return &platform.ConflictError{Key: key, Revision: s.values[key].Revision}
		}
		s.revision++
		revision = s.revision
		s.values[key] = platform.Value{Key: key, Data: data, Revision: revision, Lease: lease}
		return nil
	})
	return revision, err
}

// call runs one call with the injected faults.
func (s *store) call(apply func() error) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.isDown {
		return errConnectionLost
	}
	s.expireLeases()
	err := apply()
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return errConnectionLost
	}
	return err
}

func (s *store) expireLeases() {
	for key, value := range s.values {
		if value.Lease != 0 && !time.Now().Before(s.leases[value.Lease]) {
			s.revision++
			delete(s.values, key)
		}
	}
}

func (s *store) set(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
}

func (s *store) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// leaseEnd returns when a lease expires.
func (s *store) leaseEnd(lease uint64) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leases[lease]
}
