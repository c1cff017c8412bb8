package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// renewalsPerLease is the number of renewals per lease length.
	renewalsPerLease = 3
	// sessionRetryDelay is the delay after a failed call.
	sessionRetryDelay = 150 * time.Millisecond
	// maxLostDelay is the maximum delay after a failed call while the store is known to be
	// lost: the store may reject only the process that watches it.
	maxLostDelay = 3 * time.Second
)

// SessionStore is the part of the store client that Session uses.
type SessionStore interface {
	Commit(ctx context.Context, commit platform.Commit) (uint64, error)
	RevokeLease(ctx context.Context, lease uint64) error
	GrantLease(ctx context.Context, length time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64, length time.Duration) error
}

// Session registers a process in the store: it holds a lease and, attached to the
// lease, a key with the address of the process. Exported fields are set before Run.
type Session struct {
	Store SessionStore
	Host  *statepb.Host
	// Prefix is the prefix of the registration key.
	Prefix      string
	LeaseLength time.Duration
	// IsStoreLost reports whether the store doesn't answer the process that watches it; nil
	// means that this isn't known.
	IsStoreLost func() bool

	lease     atomic.Uint64
	expiresAt atomic.Int64
	leaving   atomic.Bool
}

// Lease returns the ID of the current lease, or 0 if the lease may have expired.
//
// The lease length counts from before the call that granted or renewed the lease, on a
// clock that includes suspensions. A process that was suspended for longer than its
// lease has none until the next renewal, and takes no work that others may have taken
// over.
func (s *Session) Lease() uint64 {
	if clock.Now() >= clock.Boot(s.expiresAt.Load()) {
		return 0
	}
	return s.lease.Load()
}

// Run acquires and renews the lease until the context ends.
//
// After a failed renewal, Run retries after sessionRetryDelay. Store outages last about
// as long as a lease: a lease with some tenths of a second left at the end of an outage
// would expire before the next regular renewal.
func (s *Session) Run(ctx context.Context) error {
	isRetry := false
	for ctx.Err() == nil {
		if s.lease.Load() == 0 {
			if err := s.acquire(ctx); err != nil {
				klog.V(1).InfoS("session: acquiring a lease failed", "err", err.Error())
				s.pauseAfterFailure(ctx, maxLostDelay)
				continue
			}
		}
		if isRetry {
			s.pauseAfterFailure(ctx, s.LeaseLength/renewalsPerLease)
		} else {
			pause.For(ctx, s.LeaseLength/renewalsPerLease)
		}
		if ctx.Err() == nil {
			isRetry = !s.renew(ctx)
		}
	}
	return nil
}

// pauseAfterFailure waits for sessionRetryDelay or, while the store is known to be lost, for up to
// maxDelay.
//
// All processes of a fleet lose the store at the same moment. The process that watches it detects the
// end of the outage and the others hear of it at once, so they needn't all ask the store.
func (s *Session) pauseAfterFailure(ctx context.Context, maxDelay time.Duration) {
	failedAt := time.Now()
	for pause.For(ctx, sessionRetryDelay) {
		if s.IsStoreLost == nil || !s.IsStoreLost() || time.Since(failedAt) >= maxDelay {
			return
		}
	}
}

// Close releases the lease, which deletes all keys under it.
func (s *Session) Close(ctx context.Context) {
	lease := s.lease.Swap(0)
	if lease == 0 {
		return
	}
	if err := s.Store.RevokeLease(ctx, lease); err != nil {
		klog.InfoS("session: releasing the lease failed; it will expire", "lease", lease, "err", err.Error())
	}
}

// Leave announces that this process was asked to stop.
func (s *Session) Leave(ctx context.Context) {
	s.leaving.Store(true)
	lease := s.Lease()
	if lease == 0 {
		return
	}
	err := s.publish(ctx, lease)
	klog.InfoS("session: announcing that this process is leaving", "host", s.Host.GetName(), "err", err)
}

// publish writes the registration key.
func (s *Session) publish(ctx context.Context, lease uint64) error {
	host, ok := proto.Clone(s.Host).(*statepb.Host)
	if !ok {
		return eris.New("session: copy host record: unexpected type")
	}
	host.SetLeaving(s.leaving.Load())
	data, err := proto.Marshal(host)
	if err != nil {
		return err
	}
	_, err = s.Store.Commit(ctx, platform.Commit{
		Writes: []platform.Write{{Key: s.Prefix + s.Host.GetName(), Data: data, Lease: lease}},
	})
	return err
}

func (s *Session) acquire(ctx context.Context) error {
	sentAt := clock.Now()
	lease, err := s.Store.GrantLease(ctx, s.LeaseLength)
	if err != nil {
		return err
	}
	if err := s.publish(ctx, lease); err != nil {
		return err
	}
	klog.InfoS("session: acquired a lease", "lease", lease, "length", s.LeaseLength)
	s.expiresAt.Store(int64(sentAt.Add(s.LeaseLength)))
	s.lease.Store(lease)
	return nil
}

// renew renews the lease, or clears it if it has expired. It reports whether the store
// answered.
func (s *Session) renew(ctx context.Context) bool {
	lease := s.lease.Load()
	sentAt := clock.Now()
	err := s.Store.RenewLease(ctx, lease, s.LeaseLength)
	var notFound *platform.NotFoundError
	switch {
	case err == nil:
		s.expiresAt.Store(int64(sentAt.Add(s.LeaseLength)))
	case errors.As(err, &notFound):
		klog.InfoS("session: lease has expired", "lease", lease)
		s.lease.Store(0)
	default:
		klog.V(1).InfoS("session: renewing the lease failed", "lease", lease, "err", err.Error())
		return false
	}
	return true
}
