package duty

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
)

const (
	testLease  = 300 * time.Millisecond
	testMargin = 100 * time.Millisecond
	// suspension is longer than a lease.
	suspension = time.Second
)

// suspendingStore suspends the host after a call has taken effect and before its answer is read.
type suspendingStore struct {
	*platformtest.Store

	boot atomic.Int64
	// grants and renewals are the numbers of calls until the suspension; 0 means never.
	grants   atomic.Int32
	renewals atomic.Int32
}

func (s *suspendingStore) readBoot() clock.Boot {
	return clock.Now().Add(time.Duration(s.boot.Load()))
}

func (s *suspendingStore) countDown(calls *atomic.Int32) {
	if calls.Add(-1) == 0 {
		s.boot.Add(int64(suspension))
	}
}

func (s *suspendingStore) GrantLease(ctx context.Context, length time.Duration) (uint64, error) {
	lease, err := s.Store.GrantLease(ctx, length)
	s.countDown(&s.grants)
	return lease, err
}

func (s *suspendingStore) RenewLease(ctx context.Context, lease uint64, length time.Duration) error {
	err := s.Store.RenewLease(ctx, lease, length)
	s.countDown(&s.renewals)
	return err
}

func newSuspendingElector() (*suspendingStore, *Elector) {
	store := &suspendingStore{Store: &platformtest.Store{}}
	return store, &Elector{Store: store, Name: "order-a", Process: "p1", Lease: testLease, Margin: testMargin, boot: store.readBoot}
}

// Guards against a term that is taken for valid although the host was suspended past its end while the answer of the
// store was on its way.
func TestSuspensionDuringACallCounts(t *testing.T) {
	t.Run("acquire", func(t *testing.T) {
		store, elector := newSuspendingElector()
		store.grants.Store(1)
		term, _ := elector.acquire(t.Context())
		must.False(t, term.Valid(time.Now()))
	})
	t.Run("renew", func(t *testing.T) {
		store, elector := newSuspendingElector()
		store.renewals.Store(1)
		term, lease := elector.acquire(t.Context())
		ctx, cancel := context.WithTimeout(t.Context(), testLease/2)
		defer cancel()
		elector.renew(ctx, term, lease, cancel)
		must.False(t, term.Valid(time.Now()))
	})
	t.Run("resume", func(t *testing.T) {
		store, elector := newSuspendingElector()
		term, lease := elector.acquire(t.Context())
		store.renewals.Store(1)
		resumed := elector.resume(t.Context(), term, lease)
		must.False(t, resumed.Valid(time.Now()))
	})
}

// Guards against a suspension before a renewal that shortens the renewed term.
func TestSuspensionBeforeARenewalDoesNotCount(t *testing.T) {
	now := time.Now()
	boot := clock.Boot(time.Hour)
	term := newTerm(7, now.Add(3*time.Second), now, func() clock.Boot { return boot })
	boot = boot.Add(2 * time.Second)
	term.extend(now.Add(3*time.Second), moment{at: now, boot: boot})
	must.True(t, term.Valid(now.Add(2*time.Second)))
	boot = boot.Add(3 * time.Second)
	must.False(t, term.Valid(now))
}
