package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/keeper"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// keeperHost is a host whose keeper stores texts in memory.
type keeperHost struct {
	*keeper.Server

	stop func()
}

// startKeepers starts a keeper in each zone. It returns the keepers by name and a
// Keepers that is connected to them.
func startKeepers(t *testing.T, zones ...string) (map[string]*keeperHost, *Keepers) {
	t.Helper()
	hosts := &Hosts{Name: "g1"}
	running := map[string]*keeperHost{}
	for _, zone := range zones {
		name := "k-" + zone
		host, address := startKeeper(t)
		running[name] = host
		data, err := proto.Marshal(statepb.Host_builder{Name: name, Zone: zone, Address: address}.Build())
		must.NoError(t, err)
		hosts.ApplyChanges([]platform.Value{{Key: PrefixKeeper + name, Data: data, Revision: 1}})
	}
	return running, &Keepers{Hosts: hosts, Zone: zones[0], IsEmptying: func(string) bool { return false }}
}

func startKeeper(t *testing.T) (*keeperHost, string) {
	t.Helper()
	host := &keeperHost{Server: &keeper.Server{}}
	must.NoError(t, host.Open())
	address := make(chan string, 1)
	server := &listen.GRPC{
		Address:     "127.0.0.1:0",
		Register:    func(registrar grpc.ServiceRegistrar) { peerpb.RegisterKeeperServer(registrar, host.Server) },
		OnListening: func(listening string) { address <- listening },
	}
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() { _ = server.Run(ctx, time.Millisecond) })
	host.stop = func() {
		cancel()
		ended.Wait()
	}
	t.Cleanup(host.stop)
	return host, <-address
}

// has reports whether the keeper stores an event of batch b1.
func (k *keeperHost) has(t *testing.T, event string) bool {
	t.Helper()
	reply, err := k.Texts(t.Context(), peerpb.TextsRequest_builder{Batch: "b1"}.Build())
	must.NoError(t, err)
	for _, partial := range reply.GetPartials() {
		for _, stored := range partial.GetEvents() {
			if stored == event {
				return true
			}
		}
	}
	return false
}

func newParts(after uint32, events ...string) []*statepb.Part {
	versions := make([]uint64, len(events))
	return []*statepb.Part{statepb.Part_builder{Item: "i0", After: after, Events: events, Versions: versions}.Build()}
}

// Guards against waiting some seconds until the lease of an unresponsive keeper
// expires: after the first failed call, all texts must go to another keeper.
func TestKeeperThatDoesNotAnswer(t *testing.T) {
	running, keepers := startKeepers(t, "a", "b", "c")
	must.NoError(t, keepers.Append(t.Context(), "b1", newParts(0, "x")))
	running["k-a"].stop()
	must.Error(t, keepers.Append(t.Context(), "b1", newParts(1, "y")))
	must.ErrorIs(t, keepers.Append(t.Context(), "b1", newParts(0, "x", "y")), batch.ErrKeeperChanged)
	must.NoError(t, keepers.Append(t.Context(), "b1", newParts(0, "x", "y")))
	must.True(t, running["k-b"].has(t, "y") != running["k-c"].has(t, "y"))
}

// Guards against losing an owner and all its texts with one zone.
func TestKeeperOfAnotherZone(t *testing.T) {
	for name, test := range map[string]struct {
		zones            []string
		preferOtherZones bool
		want             string
	}{
		"where a zone may be lost":     {[]string{"a", "b"}, true, "k-b"},
		"near where none may":          {[]string{"a", "b"}, false, "k-a"},
		"near where there is no other": {[]string{"a"}, true, "k-a"},
	} {
		t.Run(name, func(t *testing.T) {
			_, keepers := startKeepers(t, test.zones...)
			keepers.PreferOtherZones = test.preferOtherZones
			must.Eq(t, test.want, keepers.choose("b1")[0].name)
		})
	}
}

// Guards against generating texts again after a crash of all processes and the loss of
// one keeper's disk: that keeper alone stored the texts of a step.
func TestTextsOutliveDisks(t *testing.T) {
	running, keepers := startKeepers(t, "a", "b", "c")
	keepers.Losses = 1
	must.NoError(t, keepers.Append(t.Context(), "b1", newParts(0, "x")))
	must.Eq(t, 2, countHolders(t, running, "x"))
	t.Run("a keeper stops", func(t *testing.T) {
		running["k-a"].stop()
		must.NoError(t, keepers.Append(t.Context(), "b1", newParts(1, "y")))
		must.Eq(t, 1, countHolders(t, running, "y"))
	})
	t.Run("the other one is enough", func(t *testing.T) {
		must.NoError(t, keepers.Append(t.Context(), "b1", newParts(2, "z")))
		must.Eq(t, 1, countHolders(t, running, "z"))
	})
	t.Run("none of them is left", func(t *testing.T) {
		remaining := keepers.choose("b1")[0].name
		running[remaining].stop()
		must.Error(t, keepers.Append(t.Context(), "b1", newParts(3, "u")))
		must.ErrorIs(t, keepers.Append(t.Context(), "b1", newParts(3, "u")), batch.ErrKeeperChanged)
		must.NoError(t, keepers.Append(t.Context(), "b1", newParts(0, "x", "y", "z", "u")))
		must.Eq(t, 1, countHolders(t, running, "u"))
	})
	t.Run("dropped", func(t *testing.T) {
		keepers.Drop(t.Context(), "b1")
		must.Eq(t, 0, countHolders(t, running, "u"))
	})
}

// Guards against a batch that ends during an append and thereby marks its keepers as
// failed for all other batches.
func TestEndedBatchFailsNoKeeper(t *testing.T) {
	_, keepers := startKeepers(t, "a", "b")
	keepers.Losses = 1
	must.NoError(t, keepers.Append(t.Context(), "b1", newParts(0, "x")))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	must.ErrorIs(t, keepers.Append(ended, "b1", newParts(1, "y")), context.Canceled)
	must.SliceLen(t, 2, keepers.choose("b2"))
}

// countHolders returns the number of keepers that store an event of batch b1.
func countHolders(t *testing.T, running map[string]*keeperHost, event string) int {
	t.Helper()
	count := 0
	for _, host := range running {
		if host.has(t, event) {
			count++
		}
	}
	return count
}

func TestSpread(t *testing.T) {
	keepers := []keeperClient{{name: "a1", zone: "a"}, {name: "a2", zone: "a"}, {name: "b1", zone: "b"}}
	for name, test := range map[string]struct {
		count int
		want  []string
	}{
		"one":                    {1, []string{"a1"}},
		"another zone first":     {2, []string{"a1", "b1"}},
		"then the same":          {3, []string{"a1", "b1", "a2"}},
		"no more than there are": {4, []string{"a1", "b1", "a2"}},
	} {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, chosen := range spreadByZone(keepers, test.count) {
				got = append(got, chosen.name)
			}
			must.Eq(t, test.want, got)
		})
	}
}
