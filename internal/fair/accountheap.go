package fair

import "container/heap"

// notInHeap is the index of an account that is not in the heap.
const notInHeap = -1

// accountHeap is a heap of the accounts with waiting items, ordered by the start tag
// of their first item.
type accountHeap[T any] []*account[T]

var _ heap.Interface = &accountHeap[int]{}

func (h accountHeap[T]) Len() int { return len(h) }

func (h accountHeap[T]) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.startTag() != b.startTag() {
		return a.startTag() < b.startTag()
	}
	return a.items[0].sequence < b.items[0].sequence
}

// Pop is called by container/heap.
func (h *accountHeap[T]) Pop() any {
	last := len(*h) - 1
	account := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	account.index = notInHeap
	return account
}

// Push is called by container/heap.
func (h *accountHeap[T]) Push(value any) {
	added, ok := value.(*account[T])
	if !ok {
		return
	}
	added.index = len(*h)
	*h = append(*h, added)
}

func (h accountHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
