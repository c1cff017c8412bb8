package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func at(seconds float64) uint64 { return uint64(seconds * float64(time.Second)) }

// Gateways are replaced one after the other. What the second one gives up must
// go to the first, which is done, and not to the third, which is next.
func TestSuccessorsInRollingReplacement(t *testing.T) {
	hosts := []started{{"g1", at(100)}, {"g2", at(0.2)}, {"g3", at(0.1)}, {"g4", at(0)}}
	for _, work := range []string{"a", "b", "c", "d", "e"} {
		must.Eq(t, "g1", successors(hosts, work, at(101))[0])
	}
}

func TestSuccessors(t *testing.T) {
	together := []started{{"g1", at(0)}, {"g2", at(0.2)}, {"g3", at(0.3)}}
	t.Run("a deployment that started as a whole spreads", func(t *testing.T) {
		first := map[string]bool{}
		for _, work := range []string{"a", "b", "c", "d", "e", "f", "g"} {
			first[successors(together, work, at(1))[0]] = true
		}
		must.Greater(t, 1, len(first))
	})
	t.Run("a start long ago counts no more", func(t *testing.T) {
		later := []started{{"g1", at(0)}, {"g2", at(30)}}
		must.Eq(t, successors([]started{{"g1", 0}, {"g2", 0}}, "a", at(200)), successors(later, "a", at(200)))
	})
	t.Run("none", func(t *testing.T) { must.SliceEmpty(t, successors(nil, "a", 0)) })
}
