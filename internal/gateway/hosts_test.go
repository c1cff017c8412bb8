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

// loadHosts applies the host keys of the store to hosts.
func loadHosts(t *testing.T, store *platformtest.Store, hosts *Hosts) {
	t.Helper()
	list, err := store.List(t.Context(), PrefixHost)
	must.NoError(t, err)
	hosts.ApplyChanges(list.Values)
}

// Guards against a takeover that waits for stopping gateways: in a rolling stop several
// gateways stay live for seconds while they stop, and released batches waited for those
// that were first in the claim order.
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
	loadHosts(t, store, hosts)
	must.Eq(t, []string{"g1", "g2", "g3"}, slices.Sorted(slices.Values(hosts.Candidates("work"))))
	sessions["g2"].Leave(t.Context())
	loadHosts(t, store, hosts)
	must.Eq(t, []string{"g1", "g3"}, slices.Sorted(slices.Values(hosts.Candidates("work"))))
	must.Eq(t, []string{"g1", "g2", "g3"}, hosts.Names())
	t.Run("a leaving host gets a new lease and stays leaving", func(t *testing.T) {
		must.NoError(t, store.RevokeLease(t.Context(), sessions["g2"].Lease()))
		for before := sessions["g2"].Lease(); sessions["g2"].Lease() == before || sessions["g2"].Lease() == 0; {
			time.Sleep(time.Millisecond)
		}
		loadHosts(t, store, hosts)
		must.Eq(t, []string{"g1", "g3"}, slices.Sorted(slices.Values(hosts.Candidates("work"))))
	})
}
