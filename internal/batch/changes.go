package batch

import (
	"strings"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// ApplyChanges takes changes of the store's small keys.
func (b *Board) ApplyChanges(changes []platform.Value) {
	b.lock()
	defer b.mutex.Unlock()
	for _, change := range changes {
		if id, ok := strings.CutPrefix(change.Key, PrefixOpen); ok {
			b.takeOpen(id, change)
		}
		if id, process, ok := ParseOwner(change); ok {
			b.takeOwner(id, process, change)
		}
		if id, ok := strings.CutPrefix(change.Key, prefixStored); ok {
			b.takeStored(id, change)
		}
	}
	b.nudge()
}

func (b *Board) takeOpen(id string, change platform.Value) {
	if !change.Deleted {
		b.open[id] = true
		b.openRevisions[id] = change.Revision
		if _, isKnown := b.unowned[id]; b.owners[id] == "" && !isKnown {
			b.unowned[id] = unowned{since: clock.Now()}
		}
		b.resume(id)
		return
	}
	b.ended[id] = b.open[id] || b.ended[id]
	delete(b.open, id)
	delete(b.openRevisions, id)
	delete(b.unowned, id)
	if held := b.held[id]; held != nil && !held.ended {
		klog.InfoS("batch: ended", "batch", id)
		held.ended = true
		held.end()
		b.endEarly(held)
		b.work(func() { b.Keeper.Drop(b.ctx, id) })
	}
}

// takeStored notes whether anything of a batch is stored. Once nothing is, nothing
// of it is remembered here either: every gateway hears of every batch.
func (b *Board) takeStored(id string, change platform.Value) {
	if change.Deleted {
		delete(b.stored, id)
		delete(b.accounts, id)
		delete(b.ended, id)
		delete(b.ownerRevisions, id)
		return
	}
	b.accounts[id] = string(change.Data)
	if b.stored[id] == 0 {
		b.stored[id] = clock.Now()
	}
}

func (b *Board) takeOwner(id, process string, change platform.Value) {
	b.ownerRevisions[id] = change.Revision
	if change.Deleted {
		if b.open[id] {
			b.unowned[id] = unowned{since: clock.Now(), last: b.owners[id]}
		}
		delete(b.owners, id)
		if b.stored[id] == 0 {
			delete(b.ownerRevisions, id)
		}
		return
	}
	b.owners[id] = process
	delete(b.unowned, id)
	held := b.held[id]
	switch {
	case process != b.Process && held != nil:
		klog.InfoS("batch: owned by another process now", "batch", id, "owner", process)
		held.cancel()
		delete(b.held, id)
		b.endEarly(held)
	case process == b.Process && held != nil:
		held.ledger.reclaimed(Ownership{Revision: change.Revision, Lease: change.Lease})
		b.endEarly(held)
	default:
		b.resume(id)
	}
}

// ParseOwner reads which process owns which batch from a change of the store's keys;
// the process is "" where the batch has no owner any more. It reports false for
// changes of other keys, and for a value that can't be read.
func ParseOwner(change platform.Value) (id, process string, ok bool) {
	id, ok = strings.CutPrefix(change.Key, prefixOwner)
	if !ok || change.Deleted {
		return id, "", ok
	}
	owner := &statepb.Owner{}
	if err := proto.Unmarshal(change.Data, owner); err != nil {
		klog.ErrorS(err, "batch: an owner can't be read", "key", change.Key)
		return id, "", false
	}
	return id, owner.GetProcess(), true
}

// resume runs an open batch that this process owns and does not run: a write of
// its own that got no answer was done all the same, or an earlier process of the
// same name owned it. The mutex is held.
//
// A process that starts anew finds what it owned before, mostly batches that their
// trainers have ended; reading these too would keep those still open waiting.
func (b *Board) resume(id string) {
	if b.owners[id] != b.Process || b.held[id] != nil || !b.open[id] || b.claiming[id] {
		return
	}
	b.claiming[id] = true
	revision := b.ownerRevisions[id]
	b.work(func() { b.takeBack(b.ctx, id, revision) })
}
