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

	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/detour"
	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/mirror"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// PrefixHost is the prefix of the store keys of live gateways.
	PrefixHost = "live/host/"
	// PrefixKeeper is the prefix of the store keys of live keepers.
	PrefixKeeper = "live/keeper/"
	// followWait is how long a call to the followed gateway waits for changes; followMargin
	// is added for the answer. An unresponsive gateway is detected within their sum, well
	// within the time in which a change must take effect.
	followWait   = 500 * time.Millisecond
	followMargin = 250 * time.Millisecond
	// followCooldown is how long a gateway that did not answer is skipped.
	followCooldown = 3 * time.Second
	// maxLoggedHosts is the number of processes that a line on changed processes names.
	maxLoggedHosts = 5
)

// Hosts tracks the live gateways and keepers and connects to them. Exported fields are
// set before the first call. It is safe for concurrent use.
type Hosts struct {
	// Name is the name of this process, Cores the number of CPU cores that it may use.
	Name  string
	Cores float64
	// Followers is the maximum number of gateways that follow one gateway.
	Followers int

	mutex       sync.Mutex
	hosts       map[string]*statepb.Host
	keepers     map[string]*statepb.Host
	connections map[string]*grpc.ClientConn
	// detourHost is the peer that last relayed a store request for this process.
	detourHost string
	// order holds the names of all gateways, this one included, by rank in the tree in which
	// gateways follow each other's changes of the store; the first one watches the store.
	order []string
	// isListed is true once the live gateways are known.
	isListed bool
	// followFailedAt maps a gateway to the time of the last failed attempt to follow it.
	followFailedAt map[string]clock.Boot
	// followed is the gateway that this one last followed, "" if it watches the store itself.
	followed string
	// detourFailedAt maps a gateway to the time when it last failed to relay a store request for
	// this process.
	detourFailedAt map[string]clock.Boot
}

var _ detour.Peers = &Hosts{}

// ApplyChanges updates the gateways and keepers from changed store keys.
func (h *Hosts) ApplyChanges(changes []platform.Value) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.hosts == nil {
		h.hosts = map[string]*statepb.Host{}
		h.keepers = map[string]*statepb.Host{}
		h.followFailedAt = map[string]clock.Boot{}
		h.detourFailedAt = map[string]clock.Boot{}
		h.connections = map[string]*grpc.ClientConn{}
	}
	var live, removed []string
	for _, change := range changes {
		hosts, name := h.processesOf(change.Key)
		if hosts == nil {
			continue
		}
		if applyHostChange(hosts, name, change) {
			live = append(live, name)
		} else {
			removed = append(removed, name)
		}
	}
	if len(live)+len(removed) > 0 {
		logHosts("live", live)
		logHosts("removed", removed)
		h.rank()
	}
}

// processesOf returns the gateways or the keepers, and the name of the process that registers under a key;
// nil for other keys. The mutex is held.
func (h *Hosts) processesOf(key string) (processes map[string]*statepb.Host, name string) {
	if name, ok := strings.CutPrefix(key, PrefixHost); ok {
		return h.hosts, name
	}
	if name, ok := strings.CutPrefix(key, PrefixKeeper); ok {
		return h.keepers, name
	}
	return nil, ""
}

// logHosts logs which processes changed. The line is bounded: when the whole fleet starts, each process
// hears of all others at once.
func logHosts(state string, names []string) {
	if len(names) > 0 {
		klog.InfoS("hosts: processes changed", "state", state, "count", len(names), "hosts", names[:min(len(names), maxLoggedHosts)])
	}
}

// MarkListed records that all live gateways are known.
func (h *Hosts) MarkListed() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.isListed = true
}

// rank recomputes the order of the gateways. The mutex is held.
func (h *Hosts) rank() {
	candidates := h.candidates(func(*statepb.Host) bool { return true })
	if h.hosts[h.Name] == nil {
		candidates = append(candidates, duty.Candidate{Name: h.Name, Cores: h.Cores})
	}
	h.order = duty.OrderBySize("watch", candidates)
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

// applyHostChange applies a change and reports whether the process is live.
func applyHostChange(hosts map[string]*statepb.Host, name string, change platform.Value) bool {
	if change.Deleted {
		delete(hosts, name)
		return false
	}
	host := &statepb.Host{}
	if err := proto.Unmarshal(change.Data, host); err != nil {
		klog.ErrorS(err, "hosts: decoding a registration failed", "key", change.Key)
		return hosts[name] != nil
	}
	hosts[name] = host
	return true
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

// Follow waits for store changes that the followed gateway knows.
//
// Gateways follow each other in a tree, see duty.Parent: the first one watches the store, and the
// work of each is bounded. When a gateway fails, only its children choose another parent.
func (h *Hosts) Follow(ctx context.Context, prefix string, after uint64) (mirror.Update, mirror.FollowResult) {
	if !h.knowsHosts() {
		if prefix == batch.Prefix {
			return mirror.Update{}, mirror.NotFollowing
		}
		return mirror.Update{}, mirror.Unavailable
	}
	name := h.parent()
	client := h.Client(name)
	if client == nil {
		return mirror.Update{}, mirror.NotFollowing
	}
	callCtx, cancel := context.WithTimeout(ctx, followWait+followMargin)
	defer cancel()
	reply, err := client.Watch(callCtx, peerpb.WatchRequest_builder{
		Prefix: prefix, After: after, Wait: followWait.Milliseconds(), Complete: true,
	}.Build())
	// A gateway that has just started may know no values yet. One that knew them and isn't up to date
	// any more is cut off.
	if err != nil || !reply.GetKnown() && after > 0 {
		klog.V(1).InfoS("hosts: following a gateway failed", "host", name, "prefix", prefix, "err", err)
		h.mutex.Lock()
		h.followFailedAt[name] = clock.Now()
		h.mutex.Unlock()
		return mirror.Update{}, mirror.Unavailable
	}
	if !reply.GetKnown() {
		return mirror.Update{}, mirror.Unavailable
	}
	update := mirror.Update{
		ListReply:  platform.ListReply{Revision: reply.GetRevision()},
		IsComplete: reply.GetComplete(), Age: time.Duration(reply.GetAge()) * time.Microsecond, Hops: int(reply.GetHops()), IsStoreLost: reply.GetLost(),
	}
	for _, change := range reply.GetChanges() {
		update.Values = append(update.Values, platform.Value{
			Key: change.GetKey(), Data: change.GetData(), Revision: change.GetRevision(), Lease: change.GetLease(), Deleted: change.GetDeleted(),
		})
	}
	return update, mirror.Followed
}

func (h *Hosts) knowsHosts() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.isListed
}

// IsWatcher reports whether this gateway must watch the store itself.
func (h *Hosts) IsWatcher() bool { return !h.knowsHosts() || h.parent() == "" }

// parent returns the name of the gateway to follow, or "" if this gateway must watch the store itself.
func (h *Hosts) parent() string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := clock.Now()
	parent := duty.Parent(h.Name, h.order, max(1, h.Followers), func(name string) bool {
		at := h.followFailedAt[name]
		return at != 0 && now.Sub(at) < followCooldown
	})
	if parent != h.followed {
		klog.InfoS("hosts: the gateway to follow changed; without one this gateway watches the store", "host", parent, "before", h.followed, "gateways", len(h.order))
		h.followed = parent
	}
	return parent
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}
