package bramleyhatch

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/table"
)

// Guards against a route to one pool that makes the samplers of another pool, whose
// routes don't require a single version, finish all runs before each weight load.
func TestNeedsSingleVersion(t *testing.T) {
	current := &table.Table{Routes: []table.Route{
		{SingleVersion: true, Shares: []table.Share{{Pool: "a"}}},
		{Shares: []table.Share{{Pool: "b"}}},
	}}
	must.True(t, needsSingleVersion(current, "a"))
	must.False(t, needsSingleVersion(current, "b"))
}
