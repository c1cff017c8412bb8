package batch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

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
	must.True(t, second.runsBatch())
}
