package member

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// When a sidecar restarts, or another host takes over its backend server, its in-memory
// state is lost. The new process must detect from the messages of others, in any order,
// that there was an earlier process.
func TestIsFirstProcess(t *testing.T) {
	process := func(name, server string, incarnation uint64) *peerpb.Process {
		return peerpb.Process_builder{Name: name, Server: server, Incarnation: incarnation}.Build()
	}
	older, younger := process("entry", "", 1), process("other", "", 9)
	tests := map[string]struct {
		received []*peerpb.Process
		isFirst  bool
	}{
		"no other process known": {nil, false},
		"older knows of none":    {[]*peerpb.Process{older}, true},
		"only younger ones":      {[]*peerpb.Process{younger}, true},
		"started again":          {[]*peerpb.Process{older, process("s1", "server", 4)}, false},
		"on another host":        {[]*peerpb.Process{process("s0", "server", 4), older}, false},
		"its own record returns": {[]*peerpb.Process{older, process("s1", "server", 5)}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			members := NewMembers(process("s1", "server", 5))
			for _, process := range test.received {
				members.MergeAnswer(time.Unix(10, 0), peerpb.Gossip_builder{Sender: older, Processes: []*peerpb.Process{process}}.Build())
			}
			must.Eq(t, test.isFirst, members.IsFirstProcess())
		})
	}
}
