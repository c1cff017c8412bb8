package gateway

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
)

// follow hands what the store holds of hosts to hosts.
func follow(t *testing.T, store *platformtest.Store, hosts *Hosts) {
	t.Helper()
	list, err := store.List(t.Context(), PrefixHost)
	must.NoError(t, err)
	hosts.ApplyChanges(list.Values)
}

// Several gateways are stopped one soon after the other. Each of them is still
// there for seconds, and the batches they give up wait for those of them that
// come first in the order in which gateways claim.
func TestLeavingHostsAreNoCandidates(t *testing.T) {
	store, hosts := &platformtest.Store{}, &Hosts{Name: "g1"}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	sessions := map[string]*Session{}
	for _, name := range []string{"g1", "g2", "g3"} {
		session := &Session{Store: store, Prefix: PrefixHost, LeaseLength: time.Second, Host: statepb.Host_builder{Name: name}.Build()}
		sessions[name] = session
		running.Go(func() { _ = session.Run(ctx) })
		for session.Lease() == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	follow(t, store, hosts)
	must.Eq(t, []string{"g1", "g2", "g3"}, slices.Sorted(slices.Values(hosts.Candidates("work"))))
	sessions["g2"].Leave(t.Context())
	follow(t, store, hosts)
	must.Eq(t, []string{"g1", "g3"}, slices.Sorted(slices.Values(hosts.Candidates("work"))))
	must.Eq(t, []string{"g1", "g2", "g3"}, hosts.Names())
	t.Run("a leaving host gets a new lease and stays leaving", func(t *testing.T) {
		must.NoError(t, store.RevokeLease(t.Context(), sessions["g2"].Lease()))
		for before := sessions["g2"].Lease(); sessions["g2"].Lease() == before || sessions["g2"].Lease() == 0; {
			time.Sleep(time.Millisecond)
		}
		follow(t, store, hosts)
		must.Eq(t, []string{"g1", "g3"}, slices.Sorted(slices.Values(hosts.Candidates("work"))))
	})
}
