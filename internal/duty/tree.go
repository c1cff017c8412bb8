package duty

import "slices"

// Parent returns the process that a process follows in the tree over an order of processes, or "" if
// the process is the root. Each process has at most a number of children, which bounds its work and
// memory however many processes there are: with 20, 421 processes are at most two levels below the
// root, 8,421 three. Processes that skip accepts count as absent.
//
// A process follows one that comes before it in the order, so processes that see the same order never
// follow each other in a cycle, even if they skip different ones. If a process is skipped, its
// children follow the next one in the order; all others keep their parents.
func Parent(process string, order []string, children int, skip func(process string) bool) string {
	position := slices.Index(order, process)
	if position <= 0 {
		return ""
	}
	for next := (position - 1) / children; next < position; next++ {
		if !skip(order[next]) {
			return order[next]
		}
	}
	for _, previous := range slices.Backward(order[:(position-1)/children]) {
		if !skip(previous) {
			return previous
		}
	}
	return ""
}
