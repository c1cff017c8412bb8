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
	// PrefixHost is the prefix of the store keys of live gateways.
	PrefixHost = "live/host/"
	// PrefixKeeper is the prefix of the store keys of live keepers.
	PrefixKeeper = "live/keeper/"
	// followWait is how long a call to a watcher waits for changes; followMargin is
	// added for the answer. An unresponsive watcher is detected within their sum, well
	// within the time in which a change must take effect.
	followWait   = 500 * time.Millisecond
	followMargin = 250 * time.Millisecond
	// watcherCooldown is how long a watcher that did not answer is skipped.
	watcherCooldown = 3 * time.Second
)

// Hosts tracks the live gateways and keepers and connects to them. Exported fields are
// set before the first call. It is safe for concurrent use.
type Hosts struct {
	// Name is the name of this process.
	Name string

	mutex       sync.Mutex
	hosts       map[string]*statepb.Host
	keepers     map[string]*statepb.Host
	connections map[string]*grpc.ClientConn
	// detourHost is the peer that last relayed a store request for this process.
	detourHost string
	// watchers are the names of all gateways, ordered by rank as watchers of the store.
	watchers []string
	// watchFailedAt maps a watcher to the time of the last failed call to it.
	watchFailedAt map[string]clock.Boot
	// rejectedAt maps a gateway to the time when the store last rejected a request that it
	// relayed for this process.
	rejectedAt map[string]clock.Boot
}

var _ detour.Peers = &Hosts{}

// ApplyChanges updates the gateways and keepers from changed store keys.
func (h *Hosts) ApplyChanges(changes []platform.Value) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.hosts == nil {
		h.hosts = map[string]*statepb.Host{}
		h.keepers = map[string]*statepb.Host{}
		h.watchFailedAt = map[string]clock.Boot{}
		h.rejectedAt = map[string]clock.Boot{}
		h.connections = map[string]*grpc.ClientConn{}
	}
	for _, change := range changes {
		if name, ok := strings.CutPrefix(change.Key, PrefixHost); ok {
			applyHostChange(h.hosts, name, change)
		}
		if name, ok := strings.CutPrefix(change.Key, PrefixKeeper); ok {
			applyHostChange(h.keepers, name, change)
		}
	}
	h.rankWatchers()
}

// rankWatchers recomputes watchers from the live gateways. The mutex is held.
func (h *Hosts) rankWatchers() {
	h.watchers = duty.OrderBySize("watch", h.candidates(func(*statepb.Host) bool { return true }))
}

// candidates returns the gateways that isWanted accepts, in any order. The mutex is
// held.
func (h *Hosts) candidates(isWanted func(*statepb.Host) bool) []duty.Candidate {
	candidates := make([]duty.Candidate, 0, len(h.hosts))
	for name, host := range h.hosts {
		if isWanted(host) {
			candidates = append(candidates, duty.Candidate{Name: name, Cores: host.GetCores()})
		}
	}
	return candidates
}

func applyHostChange(hosts map[string]*statepb.Host, name string, change platform.Value) {
	if change.Deleted {
		klog.InfoS("hosts: process was removed", "host", name)
		delete(hosts, name)
		return
	}
	host := &statepb.Host{}
	if err := proto.Unmarshal(change.Data, host); err != nil {
		klog.ErrorS(err, "hosts: decoding a registration failed", "key", change.Key)
		return
	}
	klog.InfoS("hosts: process is live", "host", name, "address", host.GetAddress(), "zone", host.GetZone())
	hosts[name] = host
}

// Names returns the names of the live gateways, sorted.
func (h *Hosts) Names() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Sorted(maps.Keys(h.hosts))
}

// Candidates returns the gateways that may take a piece of work, in order of
// preference.
//
// Stopping gateways are excluded: in a rolling stop several stop at the same time, and
// the takeover of a batch must not wait for them.
func (h *Hosts) Candidates(work string) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return duty.OrderBySize(work, h.candidates(func(host *statepb.Host) bool { return !host.GetLeaving() }))
}

// IsLeaving reports whether a live gateway was asked to stop.
func (h *Hosts) IsLeaving(name string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.hosts[name].GetLeaving()
}

// Processes returns the live gateways, including this one, for the entry role, and nil
// for other roles.
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

// Fact returns nil: gateways exchange state through the store.
func (h *Hosts) Fact(string) *peerpb.Fact { return nil }

// Self returns the record of this process.
func (h *Hosts) Self() *peerpb.Process {
	for _, process := range h.Processes(peerpb.Role_ROLE_ENTRY) {
		if process.GetName() == h.Name {
			return process
		}
	}
	return peerpb.Process_builder{Name: h.Name, Role: peerpb.Role_ROLE_ENTRY}.Build()
}

// Client returns a client of another gateway, or nil if the gateway is unknown or
// connecting fails.
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

// connect returns the connection to a process, or nil on failure. The mutex is held.
func (h *Hosts) connect(host *statepb.Host) *grpc.ClientConn {
	if connection := h.connections[host.GetAddress()]; connection != nil {
		return connection
	}
	connection, err := listen.Dial(host.GetAddress(), nil)
	if err != nil {
		klog.ErrorS(err, "hosts: connecting to a process failed", "host", host.GetName())
		return nil
	}
	h.connections[host.GetAddress()] = connection
	return connection
}

// keeperClients returns clients of the keepers. Keepers in zones that isPreferred
// accepts come first; otherwise the order differs between processes.
func (h *Hosts) keeperClients(isPreferred func(zone string) bool) []keeperClient {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	names := make([]string, 0, len(h.keepers))
	for name := range h.keepers {
		names = append(names, name)
	}
	names = duty.Order(h.Name, names)
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(boolToInt(isPreferred(h.keepers[b].GetZone())), boolToInt(isPreferred(h.keepers[a].GetZone())))
	})
	var clients []keeperClient
	for _, name := range names {
		if connection := h.connect(h.keepers[name]); connection != nil {
			clients = append(clients, keeperClient{name: name, zone: h.keepers[name].GetZone(), KeeperClient: peerpb.NewKeeperClient(connection)})
		}
	}
	return clients
}

// Follow waits for store changes that the followed watcher has received. It reports
// false if this gateway must watch the store itself, because it is a watcher or no
// watcher answers.
func (h *Hosts) Follow(ctx context.Context, prefix string, after uint64) (platform.ListReply, bool) {
	name := h.watcher()
	client := h.Client(name)
	if client == nil {
		return platform.ListReply{}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, followWait+followMargin)
	defer cancel()
	reply, err := client.Watch(callCtx, peerpb.WatchRequest_builder{
		Prefix: prefix, After: after, Wait: followWait.Milliseconds(),
	}.Build())
	if err != nil {
		klog.V(1).InfoS("hosts: following a watcher failed", "host", name, "prefix", prefix, "err", err)
		h.mutex.Lock()
		h.watchFailedAt[name] = clock.Now()
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

// IsWatcher reports whether this gateway must watch the store itself.
func (h *Hosts) IsWatcher() bool { return h.watcher() == "" }

// watcher returns the name of the gateway to follow, or "" if this gateway must watch
// the store itself.
//
// All gateways use the same ranking and follow the first gateway that answers. When the
// watcher dies, the next gateway in rank gets no answer either, starts to watch the
// store, and is followed by the others. Otherwise all gateways would query the store
// until the lease of the dead watcher expires, with a load that grows with the number
// of gateways.
func (h *Hosts) watcher() string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := clock.Now()
	for _, name := range h.watchers {
		if name == h.Name {
			return ""
		}
		if at := h.watchFailedAt[name]; at == 0 || now.Sub(at) >= watcherCooldown {
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
