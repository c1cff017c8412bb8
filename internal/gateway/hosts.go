package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/detour"
	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// PrefixHost of the store's keys of live gateways.
	PrefixHost = "live/host/"
	// PrefixKeeper of the store's keys of live keepers.
	PrefixKeeper = "live/keeper/"
	// followWait is the longest wait of one follow, followExtra what its answer may
	// take longer: a watcher that went silent is noticed within their sum, well
	// inside the time in which a change must be in force.
	followWait  = 500 * time.Millisecond
	followExtra = 250 * time.Millisecond
	// watcherAgain is how long a watcher that did not answer is passed over.
	watcherAgain = 3 * time.Second
)

// Hosts knows the other gateways and speaks to them. Exported fields are set
// before the first call. It is safe for concurrent use.
type Hosts struct {
	// Name of this process.
	Name string

	mutex       sync.Mutex
	hosts       map[string]*statepb.Host
	keepers     map[string]*statepb.Host
	connections map[string]*grpc.ClientConn
	// served is the peer that made the last call for this process.
	served string
	// watchers are all gateways, the one that should watch the store first.
	watchers []string
	// silent is when a watcher did not answer last.
	silent map[string]clock.Boot
	// turned is when the store turned a gateway away last that made a call for this process.
	turned map[string]clock.Boot
}

var _ detour.Peers = &Hosts{}

// ApplyChanges takes changes of the store's keys.
func (h *Hosts) ApplyChanges(changes []platform.Value) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.hosts == nil {
		h.hosts = map[string]*statepb.Host{}
		h.keepers = map[string]*statepb.Host{}
		h.silent = map[string]clock.Boot{}
		h.turned = map[string]clock.Boot{}
		h.connections = map[string]*grpc.ClientConn{}
	}
	for _, change := range changes {
		if name, ok := strings.CutPrefix(change.Key, PrefixHost); ok {
			takeHost(h.hosts, name, change)
		}
		if name, ok := strings.CutPrefix(change.Key, PrefixKeeper); ok {
			takeHost(h.keepers, name, change)
		}
	}
	h.rankWatchers()
}

// rankWatchers orders the gateways as candidates for watching the store.
func (h *Hosts) rankWatchers() {
	h.watchers = duty.OrderBySize("watch", h.candidates(func(*statepb.Host) bool { return true }))
}

// candidates returns the gateways that are wanted, in any order. The mutex is held.
func (h *Hosts) candidates(isWanted func(*statepb.Host) bool) []duty.Candidate {
	candidates := make([]duty.Candidate, 0, len(h.hosts))
	for name, host := range h.hosts {
		if isWanted(host) {
			candidates = append(candidates, duty.Candidate{Name: name, Cores: host.GetCores()})
		}
	}
	return candidates
}

func takeHost(hosts map[string]*statepb.Host, name string, change platform.Value) {
	if change.Deleted {
		klog.InfoS("hosts: gone", "host", name)
		delete(hosts, name)
		return
	}
	host := &statepb.Host{}
	if err := proto.Unmarshal(change.Data, host); err != nil {
		klog.ErrorS(err, "hosts: an entry can't be read", "key", change.Key)
		return
	}
	klog.InfoS("hosts: live", "host", name, "address", host.GetAddress(), "zone", host.GetZone())
	hosts[name] = host
}

// Names returns the names of the gateways that live, in order.
func (h *Hosts) Names() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Sorted(maps.Keys(h.hosts))
}

// Candidates returns the gateways that may do a piece of work, the one first that should.
//
// In a rolling stop several stop at the same time; those that can take a batch over
// must not wait for their turns.
func (h *Hosts) Candidates(work string) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return duty.OrderBySize(work, h.candidates(func(host *statepb.Host) bool { return !host.GetLeaving() }))
}

// IsLeaving reports whether a gateway that lives was asked to stop.
func (h *Hosts) IsLeaving(name string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.hosts[name].GetLeaving()
}

// Processes returns the gateways that live, this one included; of other roles there are none.
func (h *Hosts) Processes(role peerpb.Role) []*peerpb.Process {
	if role != peerpb.Role_ROLE_ENTRY {
		return nil
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var processes []*peerpb.Process
	for _, host := range h.hosts {
		processes = append(processes, peerpb.Process_builder{
			Name: host.GetName(), Zone: host.GetZone(), Region: host.GetRegion(), Address: host.GetAddress(),
			Incarnation: host.GetIncarnation(), Role: role, State: peerpb.State_STATE_LIVE,
		}.Build())
	}
	slices.SortFunc(processes, func(a, b *peerpb.Process) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return processes
}

// Fact returns nothing: what processes tell each other here goes through the store.
func (h *Hosts) Fact(string) *peerpb.Fact { return nil }

// Self returns this process.
func (h *Hosts) Self() *peerpb.Process {
	for _, process := range h.Processes(peerpb.Role_ROLE_ENTRY) {
		if process.GetName() == h.Name {
			return process
		}
	}
	return peerpb.Process_builder{Name: h.Name, Role: peerpb.Role_ROLE_ENTRY}.Build()
}

// Client returns a client of another gateway, or nil if it isn't known.
func (h *Hosts) Client(name string) peerpb.GatewayClient {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	host := h.hosts[name]
	if host == nil || name == h.Name {
		return nil
	}
	connection := h.connect(host)
	if connection == nil {
		return nil
	}
	return peerpb.NewGatewayClient(connection)
}

// connect returns the connection to a process, or nil. The mutex is held.
func (h *Hosts) connect(host *statepb.Host) *grpc.ClientConn {
	if connection := h.connections[host.GetAddress()]; connection != nil {
		return connection
	}
	connection, err := listen.Dial(host.GetAddress(), nil)
	if err != nil {
		klog.ErrorS(err, "hosts: no connection", "host", host.GetName())
		return nil
	}
	h.connections[host.GetAddress()] = connection
	return connection
}

// keeperClients returns clients of the keepers, those of zones that are wanted first
// and else in an order that differs from process to process.
func (h *Hosts) keeperClients(isWanted func(zone string) bool) []namedKeeper {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	names := make([]string, 0, len(h.keepers))
	for name := range h.keepers {
		names = append(names, name)
	}
	names = duty.Order(h.Name, names)
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(boolToInt(isWanted(h.keepers[b].GetZone())), boolToInt(isWanted(h.keepers[a].GetZone())))
	})
	var clients []namedKeeper
	for _, name := range names {
		if connection := h.connect(h.keepers[name]); connection != nil {
			clients = append(clients, namedKeeper{name: name, zone: h.keepers[name].GetZone(), KeeperClient: peerpb.NewKeeperClient(connection)})
		}
	}
	return clients
}

// Follow waits for changes that a watcher of the store has seen. It reports
// false where this gateway is to watch the store itself: if it is a watcher, or
// none answers.
func (h *Hosts) Follow(ctx context.Context, prefix string, after uint64) (platform.ListReply, bool) {
	name := h.watcher()
	client := h.Client(name)
	if client == nil {
		return platform.ListReply{}, false
	}
	asking, cancel := context.WithTimeout(ctx, followWait+followExtra)
	defer cancel()
	reply, err := client.Watch(asking, peerpb.WatchRequest_builder{
		Prefix: prefix, After: after, Wait: followWait.Milliseconds(),
	}.Build())
	if err != nil {
		klog.V(1).InfoS("hosts: a watcher does not answer", "host", name, "prefix", prefix, "err", err)
		h.mutex.Lock()
		h.silent[name] = clock.Now()
		h.mutex.Unlock()
		return platform.ListReply{}, false
	}
	if !reply.GetKnown() {
		return platform.ListReply{}, false
	}
	list := platform.ListReply{Revision: reply.GetRevision()}
	for _, change := range reply.GetChanges() {
		list.Values = append(list.Values, platform.Value{
			Key: change.GetKey(), Data: change.GetData(), Revision: change.GetRevision(), Lease: change.GetLease(), Deleted: change.GetDeleted(),
		})
	}
	return list, true
}

// IsWatcher reports whether this gateway is to watch the store, and the others
// follow it.
func (h *Hosts) IsWatcher() bool { return h.watcher() == "" }

// watcher returns the gateway that this one follows; "" if it is to watch the
// store itself.
//
// All gateways rank each other alike, and the first that answers is the one that
// watches. When it dies, the next one finds no answer as the others do, watches
// itself, and is followed from then on. Else all would turn to the store until the
// dead one's lease had lapsed, with calls that grow with the gateways.
func (h *Hosts) watcher() string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := clock.Now()
	for _, name := range h.watchers {
		if name == h.Name {
			return ""
		}
		if at := h.silent[name]; at == 0 || now.Sub(at) >= watcherAgain {
			return name
		}
	}
	return ""
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}
