package batch

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
)

// mustRunUntilCompacted checks that a process runs a batch until the store drops its history.
func mustRunUntilCompacted(t *testing.T, p *process, store *platformtest.Store) {
	t.Helper()
	p.mutex.Lock()
	owned := p.owned["b1"]
	p.mutex.Unlock()
	must.NotNil(t, owned)
	time.Sleep(2 * claimPollInterval)
	must.False(t, owned.isEnded())
	store.Compact()
	store.SetWatchesSilent(false)
	await(t, owned.isEnded)
}

func commit(t *testing.T, store *platformtest.Store, commit platform.Commit) uint64 {
	t.Helper()
	revision, err := store.Commit(t.Context(), commit)
	must.NoError(t, err)
	return revision
}

// Guards against a batch that runs on after its end: it was accepted and ended while the watches
// heard nothing, and no change reports the removal of a key that the watch has never shown.
func TestEndWithinDroppedHistory(t *testing.T) {
	t.Run("of an accepted batch", func(t *testing.T) {
		store := &platformtest.Store{}
		first, second := startProcess(t, store, "g1", "g1"), startProcess(t, store, "g2", "g2")
		store.SetWatchesSilent(true)
		must.NoError(t, first.AcceptOwn(t.Context(), newBatch(10, 20)))
		must.NoError(t, second.End(t.Context(), "b1", ""))
		mustRunUntilCompacted(t, first, store)
	})
	t.Run("of a batch that was handed over", func(t *testing.T) {
		store, first, second := setUpDrain(t)
		store.SetWatchesSilent(true)
		first.Drain(t.Context())
		must.NoError(t, first.End(t.Context(), "b1", ""))
		mustRunUntilCompacted(t, second, store)
	})
}

// Guards against a batch without an owner that no process claims: its owner key was written and
// removed while the watches heard nothing.
func TestOwnerKeyLostWithinDroppedHistory(t *testing.T) {
	store := &platformtest.Store{}
	p := startProcess(t, store, "g1", "g1")
	store.SetWatchesSilent(true)
	must.NoError(t, p.AcceptOwn(t.Context(), newBatch(10, 20)))
	accepted := p.owned["b1"].ledger.currentOwnership().Revision
	commit(t, store, platform.Commit{Remove: []string{ownerKey("b1")}})
	store.Compact()
	store.SetWatchesSilent(false)
	await(t, func() bool { return p.owned["b1"].ledger.currentOwnership().Revision > accepted })
}

// heldStore holds back answers to writes of owner keys.
type heldStore struct {
	*platformtest.Store

	// committed is closed once a write was executed, and release delivers its answer.
	committed, release chan struct{}
}

func (h *heldStore) Commit(ctx context.Context, commit platform.Commit) (uint64, error) {
	revision, err := h.Store.Commit(ctx, commit)
	if slices.ContainsFunc(commit.Writes, func(write platform.Write) bool { return strings.HasPrefix(write.Key, prefixOwner) }) {
		close(h.committed)
		<-h.release
	}
	return revision, err
}

// Guards against a batch that starts after its end: the watch shows the end before the answer to
// the write that accepts the batch, or takes it over, arrives.
func TestEndOvertakesAnswer(t *testing.T) {
	hold := func(p *process, store *platformtest.Store) *heldStore {
		held := &heldStore{Store: store, committed: make(chan struct{}), release: make(chan struct{})}
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.Store = held
		return held
	}
	end := func(t *testing.T, p *process, store *platformtest.Store) {
		t.Helper()
		commit(t, store, platform.Commit{Remove: []string{openKey("b1")}})
		await(t, func() bool {
			p.mutex.Lock()
			defer p.mutex.Unlock()
			return p.ended["b1"] != 0
		})
	}
	mustNotRun := func(t *testing.T, p *process) {
		t.Helper()
		p.mutex.Lock()
		defer p.mutex.Unlock()
		owned := p.owned["b1"]
		must.True(t, owned == nil || owned.isEnded())
		must.False(t, p.open["b1"])
	}
	t.Run("to an acceptance", func(t *testing.T) {
		store := &platformtest.Store{}
		p := startProcess(t, store, "g1", "g1")
		held := hold(p, store)
		accepted := make(chan error, 1)
		go func() { accepted <- p.AcceptOwn(context.Background(), newBatch(10, 20)) }()
		<-held.committed
		end(t, p, store)
		close(held.release)
		must.NoError(t, <-accepted)
		mustNotRun(t, p)
	})
	t.Run("to a handover", func(t *testing.T) {
		store, first, second := setUpDrain(t)
		held := hold(second, store)
		drained := make(chan struct{})
		go func() {
			first.Drain(context.Background())
			close(drained)
		}()
		<-held.committed
		end(t, second, store)
		close(held.release)
		<-drained
		mustNotRun(t, second)
	})
}

// Guards against a batch that is claimed after its end, which the watch has not shown yet.
func TestEndedBatchIsNotClaimed(t *testing.T) {
	store := &platformtest.Store{}
	first, second := startProcess(t, store, "g1", "g1"), startProcess(t, store, "g2", "g2")
	must.NoError(t, first.AcceptOwn(t.Context(), newBatch(10, 20)))
	await(t, func() bool { return second.Owner("b1") == "g1" })
	store.SetWatchesSilent(true)
	first.stop()
	commit(t, store, platform.Commit{Remove: []string{openKey("b1"), ownerKey("b1")}})
	second.ApplyChanges([]platform.Value{{Key: ownerKey("b1"), Revision: second.ownerRevisions["b1"] + 1, Deleted: true}})
	await(t, func() bool {
		second.mutex.Lock()
		defer second.mutex.Unlock()
		return second.ended["b1"] != 0
	})
	must.False(t, second.ownsBatch())
}

// Guards against a batch that is never resumed: it is reloaded before the watch has shown its key.
func TestReloadBeforeWatch(t *testing.T) {
	store := &platformtest.Store{}
	p := startProcess(t, store, "g1", "g1")
	store.SetWatchesSilent(true)
	must.NoError(t, p.AcceptOwn(t.Context(), newBatch(10, 20)))
	p.mutex.Lock()
	first := p.owned["b1"]
	p.mutex.Unlock()
	p.reload("b1", first)
	time.Sleep(2 * claimStagger)
	must.False(t, p.runsBatch())
	store.SetWatchesSilent(false)
	await(t, p.runsBatch)
}

// Guards against a batch that runs after its end at a process that has started again: it knows from the watch that the batch
// is open and its own, and the batch ends before the process has a lease.
func TestEndedBatchIsNotResumed(t *testing.T) {
	store := &platformtest.Store{}
	former, p := startProcess(t, store, "g1", "g1"), startProcess(t, store, "g1", "g1")
	lease := p.lease.Swap(0)
	must.NoError(t, former.Accept(t.Context(), newBatch(10, 20)))
	former.stop()
	await(t, func() bool { return p.isCommitting("b1") })
	store.SetWatchesSilent(true)
	commit(t, store, platform.Commit{Remove: []string{openKey("b1")}})
	p.lease.Store(lease)
	await(t, func() bool { return p.isEnded("b1") })
	must.False(t, p.runsBatch())
}

// Guards against a batch that stops, or whose readers are sent to a former owner, because an older change of its owner key is
// received after a newer one.
func TestOlderOwnerIsIgnored(t *testing.T) {
	t.Run("in the watch", func(t *testing.T) {
		p := startProcess(t, &platformtest.Store{}, "g1", "g1")
		must.NoError(t, p.AcceptOwn(t.Context(), newBatch(10, 20)))
		owner, err := proto.Marshal(statepb.Owner_builder{Process: "g2"}.Build())
		must.NoError(t, err)
		older := p.owned["b1"].ledger.currentOwnership().Revision - 1
		p.ApplyChanges([]platform.Value{{Key: ownerKey("b1"), Data: owner, Revision: older}})
		must.Eq(t, "g1", p.Owner("b1"))
		must.True(t, p.runsBatch())
	})
	t.Run("in an answer", func(t *testing.T) {
		p := startProcess(t, &platformtest.Store{}, "g1", "g1")
		p.mutex.Lock()
		p.owners["b1"], p.ownerRevisions["b1"] = "g2", 10
		p.recordOwner("b1", Ownership{Revision: 9})
		p.mutex.Unlock()
		must.Eq(t, "g2", p.Owner("b1"))
	})
}
