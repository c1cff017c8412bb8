package usage_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/usage"
)

// newCollection returns a sidecar with two counted responses and two entries that hold copies.
func newCollection() (*fleet, *usage.Collector) {
	sidecar := peerpb.Process_builder{Name: "s1", Zone: "a", Role: peerpb.Role_ROLE_SIDECAR}.Build()
	fleet := newFleet(sidecar, entry("e1", "a"), entry("e2", "b"))
	counter := newCounter()
	fleet.counters = map[string]*usage.Counter{"s1": counter}
	for range 2 {
		counts := counter.Add("a", "m", noon, 1, 1)
		fleet.ledgers["e1"].Merge(counts)
		fleet.ledgers["e2"].Merge(counts)
	}
	return fleet, &usage.Collector{Directory: fleet, Peers: fleet}
}

func TestCollectsEachCounterOnce(t *testing.T) {
	fleet, collector := newCollection()
	counts, unreachable := collector.Collect(t.Context(), 0, noon.Unix()+1)
	must.Eq(t, uint64(2), requests(counts))
	must.Len(t, 0, unreachable)
	must.Eq(t, 1, fleet.collected)
}

// Guards against lost counters of a restarted sidecar: its new incarnation
// answers, and the entries must not exclude the counters of the old incarnation.
func TestCollectsFormerIncarnation(t *testing.T) {
	fleet, collector := newCollection()
	restarted := newCounter()
	restarted.Incarnation = 2
	restarted.Add("a", "m", noon, 1, 1)
	fleet.counters["s1"] = restarted
	counts, _ := collector.Collect(t.Context(), 0, noon.Unix()+1)
	must.Eq(t, uint64(3), requests(counts))
}

func TestCollectsFromReplicasOfUnreachable(t *testing.T) {
	fleet, collector := newCollection()
	fleet.kill("s1")
	counts, unreachable := collector.Collect(t.Context(), 0, noon.Unix()+1)
	must.Eq(t, uint64(2), requests(counts))
	must.Eq(t, []string{"s1"}, unreachable)
}
