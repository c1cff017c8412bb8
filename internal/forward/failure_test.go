package forward_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/forward"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
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
