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

// keeperHost is a host with a keeper that keeps texts in memory.
type keeperHost struct {
	*keeper.Server

	stop func()
}

// beginKeepers starts keepers by their zones, and returns them with a way to them.
func beginKeepers(t *testing.T, zones ...string) (map[string]*keeperHost, *Keepers) {
	t.Helper()
	hosts := &Hosts{Name: "g1"}
	running := map[string]*keeperHost{}
	for _, zone := range zones {
		name := "k-" + zone
		one, address := beginKeeper(t)
		running[name] = one
		data, err := proto.Marshal(statepb.Host_builder{Name: name, Zone: zone, Address: address}.Build())
		must.NoError(t, err)
		hosts.ApplyChanges([]platform.Value{{Key: PrefixKeeper + name, Data: data, Revision: 1}})
	}
	return running, &Keepers{Hosts: hosts, Zone: zones[0], Retired: func(string) bool { return false }}
}

func beginKeeper(t *testing.T) (*keeperHost, string) {
	t.Helper()
	one := &keeperHost{Server: &keeper.Server{}}
	must.NoError(t, one.Open())
	address := make(chan string, 1)
	server := &listen.GRPC{
		Address:   "127.0.0.1:0",
		Register:  func(registrar grpc.ServiceRegistrar) { peerpb.RegisterKeeperServer(registrar, one.Server) },
		Listening: func(listening string) { address <- listening },
	}
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() { _ = server.Run(ctx, time.Millisecond) })
	one.stop = func() {
		cancel()
		ended.Wait()
	}
	t.Cleanup(one.stop)
	return one, <-address
}

// has reports whether a keeper has an event of batch b1.
func (k *keeperHost) has(t *testing.T, event string) bool {
	t.Helper()
	reply, err := k.Texts(t.Context(), peerpb.TextsRequest_builder{Batch: "b1"}.Build())
	must.NoError(t, err)
	for _, partial := range reply.GetPartials() {
		for _, one := range partial.GetEvents() {
			if one == event {
				return true
			}
		}
	}
	return false
}

func part(after uint32, events ...string) []*statepb.Part {
	versions := make([]uint64, len(events))
	return []*statepb.Part{statepb.Part_builder{Item: "i0", After: after, Events: events, Versions: versions}.Build()}
}

// A keeper stops answering, and its lease lasts some seconds. Its copy moves to
// another keeper after the first failure, whole.
func TestKeeperThatDoesNotAnswer(t *testing.T) {
	running, keepers := beginKeepers(t, "a", "b", "c")
	must.NoError(t, keepers.Append(t.Context(), "b1", part(0, "x")))
	running["k-a"].stop()
	must.Error(t, keepers.Append(t.Context(), "b1", part(1, "y")))
	must.ErrorIs(t, keepers.Append(t.Context(), "b1", part(0, "x", "y")), batch.ErrKeeperChanged)
	must.NoError(t, keepers.Append(t.Context(), "b1", part(0, "x", "y")))
	must.True(t, running["k-b"].has(t, "y") != running["k-c"].has(t, "y"))
}

// Guards against a zone that is lost with an owner and all its texts.
func TestKeeperOfAnotherZone(t *testing.T) {
	for name, test := range map[string]struct {
		zones []string
		apart bool
		want  string
	}{
		"where a zone may be lost":     {[]string{"a", "b"}, true, "k-b"},
		"near where none may":          {[]string{"a", "b"}, false, "k-a"},
		"near where there is no other": {[]string{"a"}, true, "k-a"},
	} {
		t.Run(name, func(t *testing.T) {
			_, keepers := beginKeepers(t, test.zones...)
			keepers.PreferOtherZones = test.apart
			must.Eq(t, test.want, keepers.choose("b1")[0].name)
		})
	}
}

// Guards against all processes that end at once with one keeper's disk: each owner
// had the texts of a step with that keeper alone, and they were made anew.
func TestTextsOutliveDisks(t *testing.T) {
	running, keepers := beginKeepers(t, "a", "b", "c")
	keepers.Losses = 1
	must.NoError(t, keepers.Append(t.Context(), "b1", part(0, "x")))
	must.Eq(t, 2, holders(t, running, "x"))
	t.Run("a keeper stops", func(t *testing.T) {
		running["k-a"].stop()
		must.NoError(t, keepers.Append(t.Context(), "b1", part(1, "y")))
		must.Eq(t, 1, holders(t, running, "y"))
	})
	t.Run("the other one is enough", func(t *testing.T) {
		must.NoError(t, keepers.Append(t.Context(), "b1", part(2, "z")))
		must.Eq(t, 1, holders(t, running, "z"))
	})
	t.Run("none of them is left", func(t *testing.T) {
		left := keepers.choose("b1")[0].name
		running[left].stop()
		must.Error(t, keepers.Append(t.Context(), "b1", part(3, "u")))
		must.ErrorIs(t, keepers.Append(t.Context(), "b1", part(3, "u")), batch.ErrKeeperChanged)
		must.NoError(t, keepers.Append(t.Context(), "b1", part(0, "x", "y", "z", "u")))
		must.Eq(t, 1, holders(t, running, "u"))
	})
	t.Run("dropped", func(t *testing.T) {
		keepers.Drop(t.Context(), "b1")
		must.Eq(t, 0, holders(t, running, "u"))
	})
}

// Guards against a batch that ends while its texts are on their way, and takes its
// keepers from all others.
func TestEndedBatchSilencesNoKeeper(t *testing.T) {
	_, keepers := beginKeepers(t, "a", "b")
	keepers.Losses = 1
	must.NoError(t, keepers.Append(t.Context(), "b1", part(0, "x")))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	must.ErrorIs(t, keepers.Append(ended, "b1", part(1, "y")), context.Canceled)
	must.SliceLen(t, 2, keepers.choose("b2"))
}

// holders returns how many keepers have an event of batch b1.
func holders(t *testing.T, running map[string]*keeperHost, event string) int {
	t.Helper()
	count := 0
	for _, one := range running {
		if one.has(t, event) {
			count++
		}
	}
	return count
}

func TestSpread(t *testing.T) {
	keepers := []namedKeeper{{name: "a1", zone: "a"}, {name: "a2", zone: "a"}, {name: "b1", zone: "b"}}
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
			for _, one := range spread(keepers, test.count) {
				got = append(got, one.name)
			}
			must.Eq(t, test.want, got)
		})
	}
}
