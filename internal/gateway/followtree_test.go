package gateway

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/mirror"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
)

const (
	treeFollowers = 20
	// treeSize is the number of gateways of a tree with two levels below its root.
	treeSize = 2 + 2*treeFollowers
	// changeBound is the time in which a change must take effect at every gateway.
	changeBound = 2 * time.Second
	treePrefix  = "op/"
	// treeWatch is the duration of a watch without a change.
	treeWatch = time.Second
)

// countingStore counts the calls of one gateway.
type countingStore struct {
	*platformtest.Store
	calls atomic.Int64
	// isCutOff makes all calls fail.
	isCutOff atomic.Bool
}

func (s *countingStore) List(ctx context.Context, prefix string) (platform.ListReply, error) {
	if err := s.count(); err != nil {
		return platform.ListReply{}, err
	}
	return s.Store.List(ctx, prefix)
}

func (s *countingStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (platform.ListReply, error) {
	if err := s.count(); err != nil {
		return platform.ListReply{}, err
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

func (s *countingStore) count() error {
	s.calls.Add(1)
	if s.isCutOff.Load() {
		return &platform.UnavailableError{Operation: "call of a process that is cut off"}
	}
	return nil
}

// treeGateway is a gateway of a tree.
type treeGateway struct {
	name  string
	hosts *Hosts
	store *countingStore
	value atomic.Value
	// isFrozen makes its calls and the calls to it wait; isCutOff makes its calls fail.
	isFrozen, isCutOff atomic.Bool
	run                func()
	stop               context.CancelFunc
}

// startTree starts gateways that follow each other and returns them by their order in the tree.
func startTree(t *testing.T, store *platformtest.Store) []*treeGateway {
	t.Helper()
	gateways := map[string]*treeGateway{}
	var live []platform.Value
	var running sync.WaitGroup
	t.Cleanup(running.Wait)
	for i := range treeSize {
		g := &treeGateway{name: fmt.Sprintf("g%d", i), store: &countingStore{Store: store}}
		g.hosts = &Hosts{Name: g.name, Followers: treeFollowers}
		m := &mirror.Mirror{Store: g.store, Prefix: treePrefix, Wait: treeWatch, OnChanges: g.apply, Follow: g.follow, IsWatcher: g.hosts.IsWatcher}
		address := make(chan string, 1)
		server := &listen.GRPC{
			Address: "127.0.0.1:0", OnListening: func(a string) { address <- a }, Options: []grpc.ServerOption{grpc.UnaryInterceptor(g.intercept)},
			Register: func(registrar grpc.ServiceRegistrar) {
				peerpb.RegisterGatewayServer(registrar, &Server{Mirrors: map[string]*mirror.Mirror{treePrefix: m}})
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		g.stop = cancel
		running.Go(func() { _ = server.Run(ctx, 0) })
		g.run = func() { running.Go(func() { _ = m.Run(ctx) }) }
		data, err := proto.Marshal(statepb.Host_builder{Name: g.name, Address: <-address}.Build())
		must.NoError(t, err)
		live = append(live, platform.Value{Key: PrefixHost + g.name, Data: data, Revision: uint64(i + 1)})
		gateways[g.name] = g
	}
	for _, g := range gateways {
		g.hosts.ApplyChanges(live)
		g.hosts.MarkListed()
	}
	for _, g := range gateways {
		g.run()
	}
	var order []*treeGateway
	for _, name := range gateways["g0"].hosts.order {
		order = append(order, gateways[name])
	}
	return order
}

func (g *treeGateway) apply(changes []platform.Value) {
	for _, change := range changes {
		g.value.Store(string(change.Data))
	}
}

func (g *treeGateway) follow(ctx context.Context, prefix string, after uint64) (mirror.Update, mirror.FollowResult) {
	if g.isCutOff.Load() {
		return mirror.Update{}, mirror.Unavailable
	}
	update, result := g.hosts.Follow(ctx, prefix, after)
	g.awaitThaw(ctx)
	if g.isCutOff.Load() {
		return mirror.Update{}, mirror.Unavailable
	}
	return update, result
}

func (g *treeGateway) intercept(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	reply, err := handle(ctx, request)
	g.awaitThaw(ctx)
	return reply, err
}

func (g *treeGateway) awaitThaw(ctx context.Context) {
	for g.isFrozen.Load() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

// awaitTree waits until all gateways but one have a value.
func awaitTree(t *testing.T, order []*treeGateway, except *treeGateway, value string, bound time.Duration) {
	t.Helper()
	haveAll := func() error {
		for _, g := range order {
			if g != except && g.value.Load() != value {
				return fmt.Errorf("%s has %v, not %q", g.name, g.value.Load(), value)
			}
		}
		return nil
	}
	must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(haveAll), wait.Timeout(bound), wait.Gap(5*time.Millisecond)))
}

func write(t *testing.T, store *platformtest.Store, value string) {
	t.Helper()
	_, err := store.Commit(t.Context(), platform.Commit{Writes: []platform.Write{{Key: treePrefix + "config", Data: []byte(value)}}})
	must.NoError(t, err)
}

// callers returns the gateways that called the store since the counts were last taken.
func callers(order []*treeGateway) []string {
	var names []string
	for _, g := range order {
		if g.store.calls.Swap(0) > 0 {
			names = append(names, g.name)
		}
	}
	return names
}

// Guards against a change that reaches some gateways late, or a herd of calls to the store, when a gateway
// that others follow fails.
func TestChangeReachesAllGateways(t *testing.T) {
	fail := map[string]func(*treeGateway){
		"none fails":    func(*treeGateway) {},
		"stopped":       func(g *treeGateway) { g.stop() },
		"frozen":        func(g *treeGateway) { g.isFrozen.Store(true) },
		"cut off":       func(g *treeGateway) { g.isCutOff.Store(true); g.store.isCutOff.Store(true) },
		"without store": func(g *treeGateway) { g.store.isCutOff.Store(true) },
	}
	for _, position := range []int{0, 1} {
		for name, apply := range fail {
			if position == 0 && (name == "cut off" || name == "without store") {
				// The gateway that watches the store reaches it through others then.
				continue
			}
			t.Run(fmt.Sprintf("%d %s", position, name), func(t *testing.T) {
				store := &platformtest.Store{}
				write(t, store, "1")
				order := startTree(t, store)
				awaitTree(t, order, nil, "1", changeBound)
				callers(order)
				apply(order[position])
				write(t, store, "2")
				bound := changeBound
				if name == "cut off" {
					bound = 5 * time.Second // the bound of fleets with more than one level
				}
				awaitTree(t, order, order[position], "2", bound)
				called := callers(order)
				must.LessEq(t, 2, len(called), must.Sprint(called))
				time.Sleep(treeWatch)
				must.LessEq(t, 2, len(callers(order)))
			})
		}
	}
}

// Guards against a gateway that takes over from the root while nothing changes, and isn't followed because
// its first watch has not confirmed that: one gateway after the other would then watch the store.
func TestTakeoverWithoutChange(t *testing.T) {
	store := &platformtest.Store{}
	write(t, store, "1")
	order := startTree(t, store)
	awaitTree(t, order, nil, "1", changeBound)
	time.Sleep(2 * treeWatch)
	callers(order)
	order[0].isFrozen.Store(true)
	time.Sleep(3 * treeWatch)
	must.LessEq(t, 2, len(callers(order)))
}

// Guards against a start of the whole fleet in which every gateway lists all values in the store.
func TestStartTakesFewCalls(t *testing.T) {
	store := &platformtest.Store{}
	write(t, store, "1")
	order := startTree(t, store)
	awaitTree(t, order, nil, "1", changeBound)
	must.LessEq(t, 2, len(callers(order)))
}
