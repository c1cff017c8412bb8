package bramleyhatch

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/table"
)

// One pool's trainer asks for texts of a single version. The samplers of another
// pool, whose trainers don't, went on only after all their runs had ended, each
// time they loaded weights.
func TestAsksWhole(t *testing.T) {
	now := &table.Table{Routes: []table.Route{
		{SingleVersion: true, Shares: []table.Share{{Pool: "a"}}},
		{Shares: []table.Share{{Pool: "b"}}},
	}}
	must.True(t, asksWhole(now, "a"))
	must.False(t, asksWhole(now, "b"))
}
