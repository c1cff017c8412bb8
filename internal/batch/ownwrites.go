package batch

import (
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// recordOpen records that a batch was open as of a revision, by the answer to a write of this
// process. It reports false if the batch has ended since: the answer may come later than the
// watch. The mutex must be held.
func (b *Board) recordOpen(id string, asOf uint64) bool {
	if b.open[id] {
		return true
	}
	if b.ended[id] != 0 || asOf <= b.listed {
		klog.InfoS("batch: ended before the store's answer arrived", "batch", id, "asOf", asOf, "listed", b.listed)
		b.endOwned(id)
		return false
	}
	b.open[id] = true
	b.unshown[openKey(id)] = asOf
	return true
}

// recordOwner records the owner key that this process has written, unless the watch has shown a
// newer change of the key. The mutex must be held.
func (b *Board) recordOwner(id string, ownership Ownership) {
	if b.ownerRevisions[id] >= ownership.Revision {
		return
	}
	b.owners[id] = b.Process
	b.ownerRevisions[id] = ownership.Revision
	b.unshown[ownerKey(id)] = ownership.Revision
	delete(b.unowned, id)
}

// MarkListed records that ApplyChanges has received a complete list of the watched keys, made at a
// revision. A key that this process wrote before and that the list lacks has been removed.
//
// While the store drops its history, a key may be written and removed without a change in the
// watch. The next list reports the removal only of keys that the watch has shown.
func (b *Board) MarkListed(revision uint64) {
	b.lock()
	defer b.mutex.Unlock()
	b.isListed, b.listed = true, max(b.listed, revision)
	var removed []platform.Value
	for key, written := range b.unshown {
		if written <= revision {
			klog.InfoS("batch: a key of this process is missing in the list", "key", key, "written", written, "listed", revision)
			removed = append(removed, platform.Value{Key: key, Revision: revision, Deleted: true})
		}
	}
	b.applyChanges(removed)
}
