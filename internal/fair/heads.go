package fair

import "container/heap"

// absent is the index of an account that is not in the heap.
const absent = -1

// heads is a heap of the accounts with waiting work, by their first item's start tag.
type heads[T any] []*account[T]

var _ heap.Interface = &heads[int]{}

func (h heads[T]) Len() int { return len(h) }

func (h heads[T]) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.start() != b.start() {
		return a.start() < b.start()
	}
	return a.items[0].order < b.items[0].order
}

// Pop is called by container/heap.
func (h *heads[T]) Pop() any {
	last := len(*h) - 1
	account := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	account.index = absent
	return account
}

// Push is called by container/heap.
func (h *heads[T]) Push(value any) {
	added, ok := value.(*account[T])
	if !ok {
		return
	}
	added.index = len(*h)
	*h = append(*h, added)
}

func (h heads[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
