package occupancy

import (
	"cmp"
	"math"
	"slices"
)

// floorShare is the share of a pool's slots that no model with demand falls below: a step that
// waits for another model's long texts still makes progress.
const floorShare = 0.1

// levelSteps is the number of bisection steps that determine the level. 64 steps reach the
// precision of a float64.
const levelSteps = 64

// divide divides the slots among the models. No model gets more than its demand. Each model gets its
// floor; then the models whose steps are due get the slots that their steps need to be complete in
// time, see guarantees; the rest is divided by weighted max-min fairness. The result is in the order
// of the demands.
//
// Every owner computes the division for itself: ties are broken by the model's name, so that equal
// demands give equal results.
func divide(demands []ModelDemand, slots int) []int {
	total := 0
	for _, demand := range demands {
		total += demand.total()
	}
	caps := make([]int, len(demands))
	if total <= slots {
		for i, demand := range demands {
			caps[i] = demand.total()
		}
		return caps
	}
	least := guarantees(demands, slots)
	level := fairLevel(demands, least, slots)
	left := slots
	for i, demand := range demands {
		caps[i] = int(demand.shareAt(level, least[i]))
		left -= caps[i]
	}
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	// The remainders of rounding down go to the models that are furthest below their weight.
	for ; left > 0; left-- {
		next := slices.MinFunc(order, func(a, b int) int {
			return cmp.Or(
				cmp.Compare(boolToInt(caps[a] >= demands[a].total()), boolToInt(caps[b] >= demands[b].total())),
				cmp.Compare(float64(caps[a])/demands[a].weight(), float64(caps[b])/demands[b].weight()),
				cmp.Compare(demands[a].Model, demands[b].Model),
			)
		})
		caps[next]++
	}
	return caps
}

// floorsOf returns the least number of slots of each model: its demand, but at most the floor. With
// more than ten models of a pool, the floor is an equal share.
func floorsOf(demands []ModelDemand, slots int) []int {
	floor := min(int(math.Ceil(floorShare*float64(slots))), slots/max(1, len(demands)))
	floors := make([]int, len(demands))
	for i, demand := range demands {
		floors[i] = min(demand.total(), floor)
	}
	return floors
}

// guarantees returns the slots that each model gets before the rest is divided: its floor, and what
// its steps need to be complete in time. If not all of that fits, each model gets the same part of
// what it needs beyond its floor.
func guarantees(demands []ModelDemand, slots int) []int {
	least := floorsOf(demands, slots)
	left, missing := slots-sumOf(least), 0
	for i, demand := range demands {
		missing += demand.missing(least[i], slots)
	}
	part := min(1, float64(left)/float64(max(1, missing)))
	for i, demand := range demands {
		least[i] += int(part * float64(demand.missing(least[i], slots)))
	}
	return least
}

// missing returns the slots that the model's steps need beyond its least number, given the slots of the
// pool.
func (d ModelDemand) missing(least, slots int) int {
	return max(0, min(d.Required, d.total(), slots)-least)
}

// fairLevel returns the largest number of slots for each unit of weight at which the shares of all
// models together don't exceed the slots.
func fairLevel(demands []ModelDemand, least []int, slots int) float64 {
	low, high := 0.0, 0.0
	for _, demand := range demands {
		high = max(high, float64(demand.total())/demand.weight())
	}
	for range levelSteps {
		middle := (low + high) / 2
		sum := 0.0
		for i, demand := range demands {
			sum += demand.shareAt(middle, least[i])
		}
		if sum <= float64(slots) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// shareAt returns the slots of a model at a number of slots for each unit of weight.
func (d ModelDemand) shareAt(level float64, least int) float64 {
	return min(max(level*d.weight(), float64(least)), float64(d.total()))
}

func (d ModelDemand) total() int { return d.Waiting + d.Running }

// weight returns the weight of the model; 0, an unset field of a message, means 1.
func (d ModelDemand) weight() float64 {
	if !(d.Weight > 0) || math.IsInf(d.Weight, 1) {
		return 1
	}
	return min(max(d.Weight, minWeight), maxWeight)
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

func sumOf(caps []int) int {
	sum := 0
	for _, cap := range caps {
		sum += cap
	}
	return sum
}
