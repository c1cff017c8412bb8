package duty

import "slices"

// MaxChildren is the number of processes that follow one process in a tree. It bounds the work and
// the memory of a process, however many there are: 421 processes are at most two levels below the
// root, 8,421 three.
const MaxChildren = 20

// Parent returns the process that a process follows in the tree over an order of processes, or "" if
// the process is the root. Processes that skip accepts count as absent.
//
// A process follows one that comes before it in the order, so processes that see the same order never
// follow each other in a cycle, even if they skip different ones. If a process is skipped, its
// children follow the next one in the order; all others keep their parents.
func Parent(process string, order []string, skip func(process string) bool) string {
	position := slices.Index(order, process)
	if position <= 0 {
		return ""
	}
	for next := (position - 1) / MaxChildren; next < position; next++ {
		if !skip(order[next]) {
			return order[next]
		}
	}
	for _, previous := range slices.Backward(order[:(position-1)/MaxChildren]) {
		if !skip(previous) {
			return previous
		}
	}
	return ""
}
