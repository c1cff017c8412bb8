package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/forward"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
	"github.com/bramleyhatch/bramleyhatch/platform"
)

// Guards against a server that gets no work since this process had no memory for its answer, and against one that keeps
// getting work although it sends malformed answers.
func TestFailuresOfServers(t *testing.T) {
	for code, isFailure := range map[string]bool{backend.CodeMalformed: true, backend.CodeNoAnswerMemory: false} {
		t.Run(code, func(t *testing.T) {
			servers := &roster.Roster{Wire: platform.Wire{}}
			for _, id := range []string{"s1", "s2"} {
				servers.Set(roster.Entry{ID: id, Pool: poolName, Address: "127.0.0.1:1", Slots: 4, StartedAtMillis: 1})
			}
			forward.RecordFailure(t.Context(), servers, servers.Find("s1"), refusal.Unknown(http.StatusBadGateway, code, "failed"))
			chosen := map[string]bool{}
			for range 2 {
				server, _ := servers.Choose(poolName, nil)
				chosen[server.Name()] = true
			}
			must.Eq(t, isFailure, !chosen["s1"])
		})
	}
}

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
			request := &forward.Request{Route: &test.route, Deadline: clock.Now().Add(left)}
			must.Eq(t, test.want, request.MayEndWithin(test.available))
		})
	}
}
