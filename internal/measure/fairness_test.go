package measure

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestMaxMinShares(t *testing.T) {
	must.Eq(t, []float64{45, 45, 10}, maxMinShares([]float64{500, 50, 10}, 100))
	must.Eq(t, []float64{20, 10}, maxMinShares([]float64{20, 10}, 100))
}

func TestFairnessIsRepeatable(t *testing.T) {
	must.Eq(t, runFairness(1), runFairness(1))
}
