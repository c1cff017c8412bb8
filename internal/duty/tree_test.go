package duty_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
)

const maxChildren = 20

func order(size int) []string {
	names := make([]string, size)
	for i := range names {
		names[i] = fmt.Sprintf("g%d", i)
	}
	return names
}

func noSkip(string) bool { return false }

// children returns the processes that follow each process.
func children(names []string, skip func(string) bool) map[string][]string {
	followers := map[string][]string{}
	for _, name := range names {
		if !skip(name) {
			parent := duty.Parent(name, names, maxChildren, skip)
			followers[parent] = append(followers[parent], name)
		}
	}
	return followers
}

func ExampleParent() {
	names := order(30)
	fmt.Println(duty.Parent("g0", names, maxChildren, noSkip) == "", duty.Parent("g5", names, maxChildren, noSkip), duty.Parent("g25", names, maxChildren, noSkip))
	isFailed := func(name string) bool { return name == "g0" }
	fmt.Println(duty.Parent("g1", names, maxChildren, isFailed) == "", duty.Parent("g5", names, maxChildren, isFailed), duty.Parent("g25", names, maxChildren, isFailed))
	// Output:
	// true g0 g1
	// true g1 g1
}

// Guards against a process whose work grows with the fleet, and against long chains of processes.
func TestTreeIsBounded(t *testing.T) {
	for size, depth := range map[int]int{1: 0, 4: 1, 21: 1, 421: 2, 842: 3, 8421: 3} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			names := order(size)
			for parent, followers := range children(names, noSkip) {
				must.True(t, parent == "" || len(followers) <= maxChildren)
			}
			levels, last := 0, names[size-1]
			for duty.Parent(last, names, maxChildren, noSkip) != "" {
				last = duty.Parent(last, names, maxChildren, noSkip)
				levels++
			}
			must.Eq(t, depth, levels)
		})
	}
}

// Guards against a failure after which all processes call the store or choose another parent at once.
func TestFailureMovesOnlyChildren(t *testing.T) {
	names := order(421)
	before := map[string]string{}
	for _, name := range names {
		before[name] = duty.Parent(name, names, maxChildren, noSkip)
	}
	for _, failed := range []string{"g0", "g1", "g20", "g21", "g420"} {
		t.Run(failed, func(t *testing.T) {
			skip := func(name string) bool { return name == failed }
			roots := 0
			for _, name := range names {
				if name == failed {
					continue
				}
				parent := duty.Parent(name, names, maxChildren, skip)
				must.True(t, parent == before[name] || before[name] == failed)
				if parent == "" {
					roots++
				}
			}
			must.Eq(t, 1, roots)
			for parent, followers := range children(names, skip) {
				must.True(t, parent == "" || len(followers) <= 2*maxChildren)
			}
		})
	}
}

// Guards against processes that follow each other, which would never learn of a change, although each of
// them skips other processes.
func TestParentsComeFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := order(rapid.IntRange(1, 900).Draw(t, "size"))
		position := rapid.IntRange(0, len(names)-1).Draw(t, "position")
		failed := map[string]bool{}
		for _, i := range rapid.SliceOf(rapid.IntRange(0, len(names)-1)).Draw(t, "failed") {
			failed[names[i]] = true
		}
		parent := duty.Parent(names[position], names, rapid.IntRange(1, 30).Draw(t, "children"), func(name string) bool { return failed[name] })
		isFirst := true
		for i, name := range names[:position] {
			isFirst = isFirst && failed[name]
			if name == parent && !failed[name] && i < position {
				return
			}
		}
		if parent != "" || !isFirst {
			t.Fatalf("%s follows %q", names[position], parent)
		}
	})
}
