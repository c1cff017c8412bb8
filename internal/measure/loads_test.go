package measure

import (
	"testing"

	"github.com/shoenig/test/must"
)

// figure returns the median over seeds of a figure of a policy.
func figure(t *testing.T, table Table, policy, column string) float64 {
	t.Helper()
	for row := range table.Policies {
		for at := range table.Columns {
			if table.Policies[row] == policy && table.Columns[at] == column {
				return table.Cells[row][at].Median
			}
		}
	}
	t.Fatalf("no %s of %s", column, policy)
	return 0
}

// Trainers share samplers on deployments that differ in the number of models and
// samplers, in the sizes of steps and in the time of loads. Wherever it is, a step
// loses at most the time of one load against samplers that need none, and no more
// steps are late than under any of the simple ways.
func TestLoadsOnManyDeployments(t *testing.T) {
	const worst, late = "worst model p90 s", "late share"
	for _, site := range LoadsDeployments() {
		t.Run(site.Name, func(t *testing.T) {
			table := Run(Loads(site), 3)
			bound := figure(t, table, "no loads needed", worst) + site.LoadTime.Seconds()
			must.LessEq(t, bound, figure(t, table, "by lack", worst))
			for _, baseline := range []string{"equal parts in order", "all everywhere"} {
				must.LessEq(t, figure(t, table, baseline, late), figure(t, table, "by lack", late))
			}
		})
	}
}
