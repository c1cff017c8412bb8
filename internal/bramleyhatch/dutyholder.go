package bramleyhatch

import (
	"sync"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	store "github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// holderPrefix is the prefix of the keys of duties. It lies under the prefix that
// every gateway mirrors, so that no gateway calls the store to check whether a duty
// is free.
const holderPrefix = batch.Prefix + "duty/"

// dutyHolder tracks the holder of the gateways' duty. Its zero value reports the duty as
// held. It is safe for concurrent use.
type dutyHolder struct {
	mutex    sync.Mutex
	isFree   bool
	isSynced bool
	// last is the value of the duty's key, revision the key's revision; nil and 0
	// while the key does not exist.
	last     *statepb.Holder
	revision uint64
}

// apply updates the holder from changes of the store's keys. The first call must
// have the complete list.
func (h *dutyHolder) apply(changes []store.Value) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.isSynced {
		h.isSynced, h.isFree = true, true
	}
	for _, change := range changes {
		if change.Key == holderPrefix+dutyName {
			h.isFree = change.Deleted
			h.parse(change)
		}
	}
}

// free reports whether no process holds the duty.
func (h *dutyHolder) free() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.isFree
}

// parse sets last and revision from a change of the duty's key. The caller holds the mutex.
func (h *dutyHolder) parse(change store.Value) {
	h.last, h.revision = nil, 0
	if change.Deleted {
		return
	}
	last, err := duty.ParseHolder(change)
	if err != nil {
		klog.ErrorS(err, "duty: cannot parse the holder", "revision", change.Revision)
		return
	}
	h.last, h.revision = last, change.Revision
}

// priorClaim returns the claim of the duty that a previous process of this host left
// under the same name and address. A host that reuses another host's name has a
// different address, and the other host may still be alive.
func (h *dutyHolder) priorClaim(process, address string) duty.PriorClaim {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.last == nil || h.last.GetProcess() != process || h.last.GetAddress() != address {
		return duty.PriorClaim{}
	}
	return duty.PriorClaim{Revision: h.revision, Fence: h.last.GetFence()}
}
