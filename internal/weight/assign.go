package weight

import (
	"cmp"
	"slices"
)

// Seat is a sampler that several models share.
type Seat struct {
	ID   string
	Zone string
	// Versions of the weights by model.
	Versions map[string]uint64
}

// Assign gives each model its own part of the samplers, of equal sizes, and
// moves as few of them as possible.
//
// Were each version loaded on all samplers, each sampler would load for all
// models and refuse new work much of the time; with parts, a load is paid for by
// the model that needs it. A sampler stays with the model that it serves: of two
// models it serves the one whose version it has followed further.
func Assign(models []string, seats []Seat, before map[string]string) map[string]string {
	after := map[string]string{}
	if len(models) == 0 {
		return after
	}
	seats = slices.Clone(seats)
	slices.SortFunc(seats, func(a, b Seat) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID)) })
	counts := map[string]int{}
	most := (len(seats) + len(models) - 1) / len(models)
	least := len(seats) / len(models)
	// At most so many models have one sampler more than the others.
	larger := len(seats) - least*len(models)
	var free []Seat
	for _, seat := range seats {
		model, ok := before[seat.ID]
		if !ok {
			model = followed(models, seat)
		}
		if model == "" || !slices.Contains(models, model) || !fits(counts[model], least, most, larger, counts) {
			free = append(free, seat)
			continue
		}
		counts[model]++
		after[seat.ID] = model
	}
	for _, seat := range free {
		model := slices.MinFunc(models, func(a, b string) int { return cmp.Compare(counts[a], counts[b]) })
		counts[model]++
		after[seat.ID] = model
	}
	return after
}

// fits reports whether a model may keep one more sampler.
func fits(count, least, most, larger int, counts map[string]int) bool {
	if count < least {
		return true
	}
	if count >= most {
		return false
	}
	for _, other := range counts {
		if other > least {
			larger--
		}
	}
	return larger > 0
}

// followed returns the model of whose weights a sampler has the highest
// version; "" if none was ever loaded.
func followed(models []string, seat Seat) string {
	best := ""
	for _, model := range models {
		if seat.Versions[model] > 1 && (best == "" || seat.Versions[model] > seat.Versions[best]) {
			best = model
		}
	}
	return best
}
