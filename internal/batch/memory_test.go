package batch

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// newBatchOf returns a batch of an account with a number of items.
func newBatchOf(id, account string, items int) *statepb.Batch {
	batch := statepb.Batch_builder{Id: id, Account: account}.Build()
	for i := range items {
		batch.SetItems(append(batch.GetItems(), statepb.Item_builder{Id: fmt.Sprint(i), Path: "/"}.Build()))
	}
	return batch
}

// Guards against accepted batches that together take more memory than the process has, and against an account whose
// batches lock out those of others.
func TestBatchMemory(t *testing.T) {
	const items = 100
	b := &Board{MaxBytes: 8*memoryBytes(newBatchOf("x", "a", items)) + 1000, owned: map[string]*ownedBatch{}}
	own := func(id, account string) {
		batch := newBatchOf(id, account, items)
		b.owned[id] = &ownedBatch{owner: &owner{batch: batch}, memory: memoryBytes(batch)}
	}
	mustRefuse := func(batch *statepb.Batch) {
		t.Helper()
		var refused *refusal.Error
		must.True(t, errors.As(b.checkMemory(batch), &refused))
		must.Eq(t, http.StatusServiceUnavailable, refused.Status)
		must.True(t, refusal.IsNotRun(refused))
	}
	mustRefuse(newBatchOf("large", "a", 9*items))
	must.NoError(t, b.checkMemory(newBatchOf("alone", "a", 7*items)))
	for i := range 4 {
		must.NoError(t, b.checkMemory(newBatchOf("next", "a", items)))
		own(fmt.Sprint("a", i), "a")
	}
	mustRefuse(newBatchOf("next", "a", items))
	for i := range 4 {
		must.NoError(t, b.checkMemory(newBatchOf("next", "b", items)))
		own(fmt.Sprint("b", i), "b")
	}
	mustRefuse(newBatchOf("next", "c", items))
	must.NoError(t, b.checkMemory(newBatchOf("a0", "a", items)))
}

// Guards against a batch that is stored although its gateway has no memory for it.
func TestBatchWithoutMemoryIsNotStored(t *testing.T) {
	b := &Board{MaxBytes: 1, ValueBytes: 1 << 20}
	var refused *refusal.Error
	must.True(t, errors.As(b.commitBatch(t.Context(), newBatchOf("b1", "a", 1)), &refused))
	must.Eq(t, "no_memory", refused.Code)
}
