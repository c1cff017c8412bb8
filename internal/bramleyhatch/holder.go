package bramleyhatch

import (
	"sync"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	store "github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// holderPrefix of the keys of duties: under the prefix that every gateway
// mirrors, so that nobody has to ask the store whether a duty is free.
const holderPrefix = batch.Prefix + "duty/"

// holder knows whether the duty of gateways has a holder. Its zero value says
// that it has. It is safe for concurrent use.
type holder struct {
	mutex  sync.Mutex
	isFree bool
	isRead bool
	// last is what the duty's key says, revision its own; 0 while there is none.
	last     *statepb.Holder
	revision uint64
}

// take takes changes of the store's keys. The first ones are a whole list.
func (h *holder) take(changes []store.Value) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.isRead {
		h.isRead, h.isFree = true, true
	}
	for _, change := range changes {
		if change.Key == holderPrefix+dutyName {
			h.isFree = change.Deleted
			h.read(change)
		}
	}
}

// free reports whether nobody holds the duty.
func (h *holder) free() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.isFree
}

// read takes the duty's key. The mutex is held.
func (h *holder) read(change store.Value) {
	h.last, h.revision = nil, 0
	if change.Deleted {
		return
	}
	last, err := duty.ParseHolder(change)
	if err != nil {
		klog.ErrorS(err, "duty: the holder can't be read", "revision", change.Revision)
		return
	}
	h.last, h.revision = last, change.Revision
}

// leftBy returns what a process of this name and address holds. A host that has
// taken another one's name has an address of its own, and the other one may live.
func (h *holder) leftBy(process, address string) duty.PriorClaim {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.last == nil || h.last.GetProcess() != process || h.last.GetAddress() != address {
		return duty.PriorClaim{}
	}
	return duty.PriorClaim{Revision: h.revision, Fence: h.last.GetFence()}
}
