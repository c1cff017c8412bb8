package forward

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
)

// Guards against a request that a stopping process passes on although it can't end in time, and against one that it
// refuses although it can.
func TestMayEndWithin(t *testing.T) {
	const target, left = 100 * time.Millisecond, time.Second
	for name, test := range map[string]struct {
		route     table.Route
		available time.Duration
		want      bool
	}{
		"repeatable, twice the target":        {table.Route{Kind: table.Idempotent, LatencyTarget: target}, 2 * target, true},
		"repeatable, less":                    {table.Route{Kind: table.Idempotent, LatencyTarget: target}, 2*target - 1, false},
		"repeatable, no target, all its time": {table.Route{Kind: table.Idempotent}, left, true},
		"repeatable, no target, less":         {table.Route{Kind: table.Idempotent}, left / 2, false},
		"resumable stream":                    {table.Route{Kind: table.Stream, Resumable: true, LatencyTarget: target}, 2 * target, true},
		"stream":                              {table.Route{Kind: table.Stream, LatencyTarget: target}, left / 2, false},
		"posting, all its time":               {table.Route{Kind: table.Once, LatencyTarget: target}, left, true},
		"posting, less":                       {table.Route{Kind: table.Once, LatencyTarget: target}, left / 2, false},
		"no time left":                        {table.Route{Kind: table.Idempotent, LatencyTarget: target}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			request := &Request{Route: &test.route, Deadline: clock.Now().Add(left)}
			must.Eq(t, test.want, request.mayEndWithin(test.available))
		})
	}
}
