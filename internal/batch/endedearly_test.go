package batch

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
)

// runsBatch reports whether a process runs batch b1.
func (p *process) runsBatch() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	owned := p.owned["b1"]
	return owned != nil && !owned.isEnded()
}

// mustNotRun checks for a time in which an early run would start that a process runs no batch.
func mustNotRun(t *testing.T, p *process) {
	t.Helper()
	for began := time.Now(); time.Since(began) < 2*earlyStartDelay; time.Sleep(time.Millisecond) {
		must.False(t, p.runsBatch())
	}
}

// Guards against a batch that runs again after its end: it is sent again while the store is slow, to
// a process that did not see the end.
func TestEndedBatchDoesNotRunEarly(t *testing.T) {
	t.Run("at a process that has started since", func(t *testing.T) {
		store := &platformtest.Store{}
		first := startProcess(t, store, "g1", "g1")
		must.NoError(t, first.Accept(t.Context(), newBatch(10, 20)))
		must.NoError(t, first.End(t.Context(), "b1", ""))
		first.stop()
		second := startProcess(t, store, "g1", "g1")
		second.Store = &slowStore{Store: store}
		accepted := make(chan error, 1)
		go func() { accepted <- second.Accept(t.Context(), newBatch(10, 20)) }()
		mustNotRun(t, second)
		must.NoError(t, <-accepted)
	})
	t.Run("at a process that learns of it after it was sent again", func(t *testing.T) {
		store := &platformtest.Store{}
		first, second := startProcess(t, store, "g1", "g1"), startProcess(t, store, "g2", "g2")
		must.NoError(t, first.Accept(t.Context(), newBatch(10, 20)))
		must.NoError(t, first.End(t.Context(), "b1", ""))
		await(t, func() bool { return second.isAccepted("b1") })
		second.startEarly(newBatch(10, 20))
		must.False(t, second.runsBatch())
	})
	t.Run("at a process that has not listed the batches yet", func(t *testing.T) {
		store := &platformtest.Store{}
		p := &process{routes: &routes{route: knownRoute, known: true}}
		p.Board = newBoard(store, "g1", p, "g1")
		p.lease.Store(1)
		store.SetUnavailable(true)
		mustBeUnknown(t, p.Accept(shortContext(t), newBatch(10, 20)))
		must.False(t, p.runsBatch())
	})
	t.Run("once the store shows the end", func(t *testing.T) {
		store := &platformtest.Store{}
		first, second := startProcess(t, store, "g1", "g1"), startProcess(t, store, "g2", "g2")
		store.SetWatchesSilent(true)
		must.NoError(t, second.AcceptOwn(t.Context(), newBatch(10, 20)))
		must.NoError(t, second.End(t.Context(), "b1", ""))
		first.Store = &slowStore{Store: store}
		accepted := make(chan error, 1)
		go func() { accepted <- first.Accept(t.Context(), newBatch(10, 20)) }()
		await(t, func() bool { return first.runsBatch() })
		must.NoError(t, <-accepted)
		must.False(t, first.runsBatch())
		mustNotRun(t, first)
		go func() { accepted <- first.Accept(t.Context(), newBatch(10, 20)) }()
		mustNotRun(t, first)
		must.NoError(t, <-accepted)
	})
}

// Guards against a second run of a batch that another process has accepted, until the watch shows
// its owner.
func TestEarlyRunStopsAtConflict(t *testing.T) {
	store := &platformtest.Store{}
	first, second := startProcess(t, store, "g1", "g1"), startProcess(t, store, "g2", "g2")
	store.SetWatchesSilent(true)
	must.NoError(t, second.AcceptOwn(t.Context(), newBatch(10, 20)))
	first.Store = &slowStore{Store: store}
	accepted := make(chan error, 1)
	go func() { accepted <- first.Accept(t.Context(), newBatch(10, 20)) }()
	await(t, func() bool { return first.earlyRunOf("b1") != nil })
	must.NoError(t, <-accepted)
	await(t, func() bool { return !first.runsBatch() })
	must.False(t, first.isEnded("b1"))
	must.True(t, second.runsBatch())
}

// deferringStore answers no write of an open batch, and defers the writes, which commitDeferredWrites executes.
type deferringStore struct {
	*platformtest.Store

	mutex    sync.Mutex
	deferred []platform.Commit
}

func (s *deferringStore) Commit(ctx context.Context, commit platform.Commit) (uint64, error) {
	for _, write := range commit.Writes {
		if strings.HasPrefix(write.Key, PrefixOpen) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.deferred = append(s.deferred, commit)
			return 0, &platform.UnavailableError{Operation: "commit"}
		}
	}
	return s.Store.Commit(ctx, commit)
}

// commitDeferredWrites executes the deferred writes whose conditions still hold.
func (s *deferringStore) commitDeferredWrites(t *testing.T) {
	t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	must.SliceNotEmpty(t, s.deferred)
	for _, commit := range s.deferred {
		_, err := s.Store.Commit(t.Context(), commit)
		var conflict *platform.ConflictError
		must.True(t, err == nil || errors.As(err, &conflict))
	}
	s.deferred = nil
}

// startDeferring starts a process that runs a batch early, with its writes not executed yet.
func startDeferring(t *testing.T) (*deferringStore, *process) {
	t.Helper()
	store := &deferringStore{Store: &platformtest.Store{}}
	p := startProcess(t, store.Store, "g1", "g1")
	p.Store = store
	mustBeUnknown(t, p.Accept(shortContext(t), newBatch(10, 20)))
	must.NotNil(t, p.earlyRunOf("b1"))
	return store, p
}

// mustBeEnded checks that a batch can be read, and that the store holds it as ended.
func mustBeEnded(t *testing.T, p *process, store *platformtest.Store) {
	t.Helper()
	open, err := store.List(t.Context(), PrefixOpen)
	must.NoError(t, err)
	must.SliceEmpty(t, open.Values)
	page, err := p.ReadStored(t.Context(), "b1", "", 0)
	must.NoError(t, err)
	must.Eq(t, 2, page.Total)
}

// Guards against a batch that runs after its end: it was ended while it ran early, and the store executes a write of its
// acceptance after that.
func TestEndOfEarlyRunOutlastsLateWrite(t *testing.T) {
	t.Run("executed after the end", func(t *testing.T) {
		store, p := startDeferring(t)
		must.NoError(t, p.End(t.Context(), "b1", ""))
		store.commitDeferredWrites(t)
		await(t, func() bool { return p.earlyRunOf("b1") == nil })
		mustNotRun(t, p)
		mustBeEnded(t, p, store.Store)
	})
	t.Run("executed before the end", func(t *testing.T) {
		store, p := startDeferring(t)
		store.commitDeferredWrites(t)
		must.NoError(t, p.End(t.Context(), "b1", ""))
		await(t, func() bool { return p.earlyRunOf("b1") == nil })
		mustNotRun(t, p)
		mustBeEnded(t, p, store.Store)
	})
	t.Run("sent again", func(t *testing.T) {
		store, p := startDeferring(t)
		must.NoError(t, p.End(t.Context(), "b1", ""))
		must.NoError(t, p.Accept(t.Context(), newBatch(10, 20)))
		mustNotRun(t, p)
		mustBeEnded(t, p, store.Store)
	})
}
