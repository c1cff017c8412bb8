package measure

import (
	"testing"

	"github.com/shoenig/test/must"
)

// medianFigure returns the median of a policy's figure over all seeds.
func medianFigure(t *testing.T, table Table, policy, column string) float64 {
	t.Helper()
	for row := range table.Policies {
		for index := range table.Columns {
			if table.Policies[row] == policy && table.Columns[index] == column {
				return table.Cells[row][index].Median
			}
		}
	}
	t.Fatalf("table has no figure %q of policy %q", column, policy)
	return 0
}

// Guards against a load schedule that suits only some deployments: they differ in the number of
// models and samplers, step sizes and load times. On each deployment, a step takes at most one load
// time longer than with samplers that need no loads, and no more steps are late than under any
// baseline.
func TestLoadsOnManyDeployments(t *testing.T) {
	const worst, late = "worst model p90 s", "late share"
	for _, deployment := range LoadsDeployments() {
		t.Run(deployment.Name, func(t *testing.T) {
			table := Run(Loads(deployment), 3)
			bound := medianFigure(t, table, "no loads needed", worst) + deployment.LoadTime.Seconds()
			must.LessEq(t, bound, medianFigure(t, table, "by lack", worst))
			for _, baseline := range []string{"equal parts in order", "all everywhere"} {
				must.LessEq(t, medianFigure(t, table, baseline, late), medianFigure(t, table, "by lack", late))
			}
		})
	}
}
