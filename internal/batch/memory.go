package batch

import (
	"net/http"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	// itemBytes is the memory of an item of an open batch beside its message and text.
	itemBytes = 1 << 10
	// accountShare is the divisor of the memory for batches that those of one account may use, unless there is only one.
	accountShare = 2
)

// memoryBytes returns about the memory of a batch until it is unloaded, without the texts of its items.
func memoryBytes(batch *statepb.Batch) int64 {
	return int64(proto.Size(batch)) + int64(len(batch.GetItems()))*itemBytes
}

// checkMemory refuses a batch for which this process has no memory. Batches of other processes that it takes over count
// towards the limit, but are never refused. A batch that can't fit here may fit at a larger host, so none is refused for
// good.
func (b *Board) checkMemory(batch *statepb.Batch) error {
	if b.MaxBytes == 0 {
		return nil
	}
	size := memoryBytes(batch)
	b.lock()
	defer b.mutex.Unlock()
	all, own := int64(0), int64(0)
	for id, owned := range b.owned {
		if id == batch.GetId() {
			return nil
		}
		all += owned.memory
		if owned.batch.GetAccount() == batch.GetAccount() {
			own += owned.memory
		}
	}
	if all+size > b.MaxBytes || own > 0 && own+size > b.MaxBytes/accountShare {
		return refusal.NotRun(http.StatusServiceUnavailable, "no_memory", "other batches hold the memory of this process").WithRetryAfter(storeRetryAfter)
	}
	return nil
}
