package occupancy_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bramleyhatch/bramleyhatch/internal/occupancy"
)

// step returns the demand of a model with one step of waiting generations of equal length.
func step(model string, items int, length, due time.Duration) occupancy.ModelDemand {
	required := occupancy.RequiredSlots(slices.Repeat([]time.Duration{length}, items), due, 0)
	return occupancy.ModelDemand{Model: model, Waiting: items, Weight: 1, Required: required}
}

func ExampleRequiredSlots() {
	lengths := []time.Duration{7 * time.Second, 2 * time.Second, 2 * time.Second, time.Second, time.Second}
	fmt.Println(occupancy.RequiredSlots(lengths, 8*time.Second, 0), occupancy.RequiredSlots(lengths, 7*time.Second, 0), occupancy.RequiredSlots(lengths, 2*time.Second, 0))
	// Output: 2 2 4
}

func capsOf(demands []occupancy.ModelDemand, slots int) map[string]int {
	caps, view := map[string]int{}, &occupancy.View{}
	for _, demand := range demands {
		caps[demand.Model] = view.Cap(pool, demand.Model, demands, len(demands), slots, 0, start)
	}
	return caps
}

// Guards against a division by runs, in which a step with long texts becomes late while steps with short
// texts, which need few slots, are complete long before they are due.
func TestSlotsThatStepsRequire(t *testing.T) {
	const due = 4 * time.Second
	short, long := 300*time.Millisecond, time.Second
	demands := []occupancy.ModelDemand{
		step("long", 60, long, due), // the last text starts after 59 s of work, 3 s from now
		step("a", 60, short, due), step("b", 60, short, due), step("c", 60, short, due),
	}
	must.Eq(t, map[string]int{"long": 20, "a": 7, "b": 7, "c": 6}, capsOf(demands, 40))
	t.Run("equal shares without requirements", func(t *testing.T) {
		for i := range demands {
			demands[i].Required = 0
		}
		must.Eq(t, map[string]int{"long": 10, "a": 10, "b": 10, "c": 10}, capsOf(demands, 40))
	})
	t.Run("a step without slack needs all its slots", func(t *testing.T) {
		must.Eq(t, map[string]int{"now": 30, "a": 10}, capsOf([]occupancy.ModelDemand{step("now", 30, long, long), step("a", 60, short, due)}, 40))
	})
}

// Guards against a trainer with large steps that gets the least, or nothing beyond its floor, whenever not
// all steps can be in time.
func TestRequirementsThatDontFit(t *testing.T) {
	const due, length = 4 * time.Second, time.Second
	demands := []occupancy.ModelDemand{step("large", 90, length, due), step("a", 36, length, due), step("b", 36, length, due)}
	must.Eq(t, map[string]int{"large": 16, "a": 8, "b": 8}, capsOf(demands, 32))
}

// Guards against caps that exceed the slots or the demand, and against a model that gets less than its
// floor because others require more.
func TestDivisionWithRequirements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 300).Draw(t, "slots")
		demands := make([]occupancy.ModelDemand, rapid.IntRange(1, 14).Draw(t, "models"))
		total := 0
		for i := range demands {
			demands[i] = demand(fmt.Sprintf("m%02d", i), rapid.IntRange(0, 200).Draw(t, "waiting"), rapid.IntRange(0, 100).Draw(t, "running"), 1)
			total += demands[i].Waiting + demands[i].Running
			demands[i].Required = rapid.IntRange(0, 300).Draw(t, "required")
		}
		sum := 0
		for i, got := range capsOf(demands, slots) {
			sum += got
			for _, demand := range demands {
				wanted := demand.Waiting + demand.Running
				if demand.Model == i && (got > wanted || got < min(wanted, slots/10, slots/len(demands))) {
					t.Fatalf("the cap of %s is %d with a demand of %d", i, got, wanted)
				}
			}
		}
		if sum != min(total, slots) {
			t.Fatalf("the caps are %d together, with %d slots and a demand of %d", sum, slots, total)
		}
	})
}
