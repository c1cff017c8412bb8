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
	// renewals is how often the lease is renewed within its length.
	renewals = 3
	// sessionPause is the wait after a call that failed.
	sessionPause = 150 * time.Millisecond
)

// SessionStore is what a Session needs of the platform's store.
type SessionStore interface {
	Commit(ctx context.Context, commit platform.Commit) (uint64, error)
	RevokeLease(ctx context.Context, lease uint64) error
	GrantLease(ctx context.Context, length time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64, length time.Duration) error
}

// Session keeps a process known to the others: it holds a lease, and under it
// the key that tells where the process is reached. Exported fields are set before Run.
type Session struct {
	Store SessionStore
	Host  *statepb.Host
	// Prefix of the key that tells where the process is reached.
	Prefix string
	LeaseLength time.Duration

	lease   atomic.Uint64
	until   atomic.Int64
	leaving atomic.Bool
}

// Lease returns the present lease; 0 while it may have ended.
//
// Its time counts from before the call that got it, on a clock that counts
// suspensions: a process that stood still for longer has none until it has
// asked, and takes no work that others may have taken over.
func (s *Session) Lease() uint64 {
	if clock.Now() >= clock.Boot(s.until.Load()) {
		return 0
	}
	return s.lease.Load()
}

// Run keeps the lease until the context ends, then gives it up.
//
// After a renewal that failed the next one follows soon. The store's outages last
// about as long as a lease: a lease that has some tenths of a second left at the
// end of one lapsed while its process waited for the next quarter of its length.
func (s *Session) Run(ctx context.Context) error {
	isLate := false
	for ctx.Err() == nil {
		if s.lease.Load() == 0 {
			if err := s.begin(ctx); err != nil {
				klog.V(1).InfoS("session: no lease", "err", err.Error())
				pause.For(ctx, sessionPause)
				continue
			}
		}
		wait := s.LeaseLength / renewals
		if isLate {
			wait = sessionPause
		}
		if pause.For(ctx, wait) {
			isLate = !s.renew(ctx)
		}
	}
	return nil
}

// Close gives the lease up; all keys under it go.
func (s *Session) Close(ctx context.Context) {
	lease := s.lease.Swap(0)
	if lease == 0 {
		return
	}
	if err := s.Store.RevokeLease(ctx, lease); err != nil {
		klog.InfoS("session: lease was not given up, it will lapse", "lease", lease, "err", err.Error())
	}
}

// Leave tells the others that this process was asked to stop.
func (s *Session) Leave(ctx context.Context) {
	s.leaving.Store(true)
	lease := s.Lease()
	if lease == 0 {
		return
	}
	err := s.write(ctx, lease)
	klog.InfoS("session: leaving", "host", s.Host.GetName(), "err", err)
}

// write writes the key that tells where the process is reached.
func (s *Session) write(ctx context.Context, lease uint64) error {
	host, ok := proto.Clone(s.Host).(*statepb.Host)
	if !ok {
		return eris.New("session: the host can't be copied")
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

func (s *Session) begin(ctx context.Context) error {
	sent := clock.Now()
	lease, err := s.Store.GrantLease(ctx, s.LeaseLength)
	if err != nil {
		return err
	}
	if err := s.write(ctx, lease); err != nil {
		return err
	}
	klog.InfoS("session: lease", "lease", lease, "length", s.LeaseLength)
	s.until.Store(int64(sent.Add(s.LeaseLength)))
	s.lease.Store(lease)
	return nil
}

// renew reports whether the store has answered.
func (s *Session) renew(ctx context.Context) bool {
	lease := s.lease.Load()
	sent := clock.Now()
	err := s.Store.RenewLease(ctx, lease, s.LeaseLength)
	var gone *platform.NotFoundError
	switch {
	case err == nil:
		s.until.Store(int64(sent.Add(s.LeaseLength)))
	case errors.As(err, &gone):
		klog.InfoS("session: lease has lapsed", "lease", lease)
		s.lease.Store(0)
	default:
		klog.V(1).InfoS("session: lease not renewed", "lease", lease, "err", err.Error())
		return false
	}
	return true
}
