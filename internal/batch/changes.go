package batch

import (
	"strings"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// ApplyChanges applies changes of the watched keys of the store.
func (b *Board) ApplyChanges(changes []platform.Value) {
	b.lock()
	defer b.mutex.Unlock()
	b.applyChanges(changes)
}

// applyChanges is ApplyChanges for callers that hold the mutex.
func (b *Board) applyChanges(changes []platform.Value) {
	for _, change := range changes {
		if id, ok := strings.CutPrefix(change.Key, PrefixOpen); ok {
			b.applyOpen(id, change)
		}
		if id, process, ok := ParseOwner(change); ok {
			b.applyOwner(id, process, change)
		}
		if id, ok := strings.CutPrefix(change.Key, prefixStored); ok {
			b.applyStored(id, change)
		}
	}
	b.countOwners()
	b.notify()
}

func (b *Board) applyOpen(id string, change platform.Value) {
	delete(b.unshown, openKey(id))
	if !change.Deleted {
		b.open[id] = true
		b.openRevisions[id] = change.Revision
		if _, isKnown := b.unowned[id]; b.owners[id] == "" && !isKnown {
			b.unowned[id] = unownedBatch{since: clock.Now()}
		}
		b.resume(id)
		return
	}
	if b.ended[id] == 0 && (b.open[id] || b.stored[id] != 0) {
		b.ended[id] = clock.Now()
	}
	delete(b.open, id)
	delete(b.openRevisions, id)
	delete(b.unowned, id)
	delete(b.unloaded, id)
	b.endOwned(id)
}

// endOwned ends the runs of a batch that has ended, if this process owns it. The mutex must be
// held.
func (b *Board) endOwned(id string) {
	owned := b.owned[id]
	if owned == nil || owned.ended {
		return
	}
	klog.InfoS("batch: ended", "batch", id)
	owned.ended = true
	owned.end()
	b.endEarlyRun(owned)
	b.startTask(func() { b.Keeper.Drop(b.ctx, id) })
}

// applyStored records whether the store holds any key of a batch. Once the store holds none, the
// batch is removed from memory too, because every gateway watches every batch.
func (b *Board) applyStored(id string, change platform.Value) {
	if change.Deleted {
		b.forget(id)
		return
	}
	b.accounts[id] = string(change.Data)
	if b.stored[id] == 0 {
		b.stored[id] = clock.Now()
	}
}

func (b *Board) applyOwner(id, process string, change platform.Value) {
	if change.Revision < b.ownerRevisions[id] {
		return
	}
	b.ownerRevisions[id] = change.Revision
	delete(b.unshown, ownerKey(id))
	if change.Deleted {
		if b.open[id] {
			b.unowned[id] = unownedBatch{since: clock.Now(), lastOwner: b.owners[id]}
		}
		delete(b.owners, id)
		if b.stored[id] == 0 {
			delete(b.ownerRevisions, id)
		}
		return
	}
	b.owners[id] = process
	delete(b.unowned, id)
	owned := b.owned[id]
	switch {
	case process != b.Process && owned != nil:
		klog.InfoS("batch: stopped because another process owns it now", "batch", id, "owner", process)
		owned.cancel()
		delete(b.owned, id)
		b.endEarlyRun(owned)
	case process == b.Process && owned != nil:
		owned.ledger.setOwnership(Ownership{Revision: change.Revision, Lease: change.Lease})
		b.endEarlyRun(owned)
	default:
		b.resume(id)
	}
}

// ParseOwner parses a change of an owner key into a batch and the process that owns it; the
// process is "" if the batch no longer has an owner. It returns false for changes of other keys
// and for values that cannot be decoded.
func ParseOwner(change platform.Value) (id, process string, ok bool) {
	id, ok = strings.CutPrefix(change.Key, prefixOwner)
	if !ok || change.Deleted {
		return id, "", ok
	}
	owner := &statepb.Owner{}
	if err := proto.Unmarshal(change.Data, owner); err != nil {
		klog.ErrorS(err, "batch: decoding an owner key failed", "key", change.Key)
		return id, "", false
	}
	return id, owner.GetProcess(), true
}

// resume starts an open batch that this process owns but does not run. That happens after a write
// of this process was committed without an answer, or if a previous process of the same name was
// the owner. The mutex must be held.
//
// A restarted process sees the keys of all batches it owned before, most of which have ended;
// loading the ended ones would delay the open ones.
func (b *Board) resume(id string) {
	if b.owners[id] != b.Process || b.owned[id] != nil || !b.open[id] || b.claiming[id] || b.unloaded[id] {
		return
	}
	b.claiming[id] = true
	revision := b.ownerRevisions[id]
	b.startTask(func() { b.reclaim(b.ctx, id, revision) })
}
