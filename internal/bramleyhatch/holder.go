package bramleyhatch

import (
	"sync"

	"github.com/bramleyhatch/bramleyhatch/internal/batch"
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
		}
	}
}

// free reports whether nobody holds the duty.
func (h *holder) free() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.isFree
}
