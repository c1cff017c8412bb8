package duty_test

import (
	"slices"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
)

// Guards against small hosts as owners: all trainers' batches were owned by hosts with a sixth of
// the CPU time of other hosts, which were idle.
func TestSmallHostsComeLast(t *testing.T) {
	candidates := []duty.Candidate{{Name: "small1", Cores: 0.15}, {Name: "small2", Cores: 0.15}, {Name: "large1", Cores: 0.8}, {Name: "large2", Cores: 0.6}}
	for _, work := range []string{"model/a", "model/b", "model/c", "model/d", "model/e"} {
		order := duty.OrderBySize(work, candidates)
		must.Len(t, 4, order)
		must.SliceContainsAll(t, []string{"large1", "large2"}, order[:2])
	}
}

// A process of unknown size, such as a process without a CPU limit, counts as having one core.
func TestUnknownSize(t *testing.T) {
	must.Eq(t, "unknown", duty.OrderBySize("work", []duty.Candidate{{Name: "small", Cores: 0.3}, {Name: "unknown"}})[0])
}

func TestOrderBySizeMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := make([]duty.Candidate, rapid.IntRange(2, 12).Draw(t, "candidates"))
		for i := range candidates {
			candidates[i] = duty.Candidate{Name: "g" + strconv.Itoa(i), Cores: rapid.SampledFrom([]float64{0.15, 0.3, 0.8, 1}).Draw(t, "cores")}
		}
		gone := rapid.IntRange(0, len(candidates)-1).Draw(t, "gone")
		before := duty.OrderBySize("work", candidates)
		must.Len(t, len(candidates), before)
		must.Eq(t, before, duty.OrderBySize("work", reversed(candidates)))
		rest := slices.Delete(slices.Clone(candidates), gone, gone+1)
		isLargest := !slices.ContainsFunc(rest, func(c duty.Candidate) bool { return c.Cores >= candidates[gone].Cores })
		if before[0] == candidates[gone].Name || isLargest {
			return
		}
		must.Eq(t, before[0], duty.OrderBySize("work", rest)[0])
	})
}

func reversed(candidates []duty.Candidate) []duty.Candidate {
	clone := slices.Clone(candidates)
	slices.Reverse(clone)
	return clone
}
