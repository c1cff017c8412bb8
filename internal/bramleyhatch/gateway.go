package bramleyhatch

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeromicro/go-zero/rest"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/detour"
	"github.com/bramleyhatch/bramleyhatch/internal/forward"
	"github.com/bramleyhatch/bramleyhatch/internal/gateway"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/logging"
	"github.com/bramleyhatch/bramleyhatch/internal/mirror"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	store "github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
	"github.com/bramleyhatch/bramleyhatch/internal/usage"
	"github.com/bramleyhatch/bramleyhatch/internal/weight"
	"github.com/bramleyhatch/bramleyhatch/platform"
)

const (
	// idleConnection is how long an unused connection to a backend server is
	// kept: less than the 10 s after which servers close theirs, since a request
	// sent on one that is just being closed gets no answer.
	idleConnection = 8 * time.Second
	// registrationPause is the wait between two watches of registrations. Loads of
	// weights change many of them within a second; some tenths of a second late they
	// still count well within the time in which a draining server must be left.
	registrationPause = 400 * time.Millisecond
	// livePause is that wait for what gateways tell each other. A batch begins and
	// ends with a handful of changes.
	livePause = 100 * time.Millisecond
)

// Gateway is the process on an entry host whose backend servers it reaches by itself.
// Exported fields are set before Run.
type Gateway struct {
	Settings *settingspb.Gateway

	*Process

	store     *platform.Store
	caller    *detour.Caller
	hosts     *gateway.Hosts
	session   *gateway.Session
	view      *table.View
	roster    *roster.Roster
	cold      *coldUsers
	forwarder *forward.Forwarder
	board     *batch.Board
	wall      *clock.Wall
	counter   *usage.Counter
	steps     weight.Steps
	holder    holder
	// retirements are the hosts that are to be emptied.
	retirements retirements
	// peerServer answers other gateways.
	peerServer *gateway.Server
	// isDraining is true once the process was asked to stop.
	isDraining atomic.Bool
}

// Run serves until the context ends and all running requests have ended.
func (g *Gateway) Run(ctx context.Context) error {
	g.Process = newProcess(g.Settings.GetProcess(), &settingspb.Secure{})
	g.addStore()
	g.addServers()
	g.addBatches()
	g.addMirrors()
	g.addDuty()
	g.addCallers()
	g.addReady()
	g.addGauges()
	g.AddDrain(g.drain)
	defer closeSession(g.session)
	return g.run(ctx, settingspb.Caller_builder{Listen: g.Settings.GetFront().GetListen()}.Build())
}

// addStore adds the ways to the store and this process's lease.
func (g *Gateway) addStore() {
	settings := g.Settings.GetStore()
	g.hosts = &gateway.Hosts{Name: g.Process.Settings.GetName()}
	direct := &detour.Direct{Address: settings.GetAddress()}
	g.caller = &detour.Caller{Direct: direct, Peers: g.hosts, Metrics: g.Metrics}
	g.store = &platform.Store{Transport: g.caller, Timeout: settings.GetTimeout().AsDuration()}
	g.session = g.addSession(g.store, gateway.PrefixHost, settings.GetLease().AsDuration())
}

// addServers adds the knowledge of backend servers and the way to them.
func (g *Gateway) addServers() {
	g.view = &table.View{}
	g.cold = newColdUsers(g.Process.Settings.GetName(), g.view)
	g.roster = &roster.Roster{
		Zone:   g.Process.Settings.GetZone(),
		Region: g.Process.Settings.GetRegion(),
		Wire:   platform.Wire{},
		Idle:   idleConnection,
		ColdLimits:   g.cold,
		ReregisterTimeout:   g.Settings.GetDirectory().GetBack().AsDuration(),
	}
	g.forwarder = &forward.Forwarder{Roster: g.roster}
}

// addBatches adds the batches of trainers.
func (g *Gateway) addBatches() {
	settings := g.Settings.GetBatches()
	g.board = &batch.Board{
		Process: g.Process.Settings.GetName(),
		Store:   g.store,
		Roster:  g.roster,
		Scorer:  &gateway.Scorer{View: g.view, Forwarder: g.forwarder, Proof: platform.Wire{}.Proof},
		Wire:    platform.Wire{},
		Routes:  gateway.Routes(g.view),
		Metrics: g.Metrics,
		Lease:   g.session.Lease,
		Candidates:   g.hosts.Candidates,
		IsLeaving:  g.hosts.IsLeaving,
		Peers:   &gateway.Peers{Hosts: g.hosts},
		Keeper: &gateway.Keepers{
			Hosts: g.hosts, Zone: g.Process.Settings.GetZone(), PreferOtherZones: settings.GetZones() > 0, Losses: int(settings.GetLosses()), Retired: g.retirements.has,
		},
		Retention:       settings.GetKeep().AsDuration(),
		GroupDelay:      settings.GetGroup().AsDuration(),
		ValueBytes: int(g.Settings.GetStore().GetValueBytes()),
	}
	g.AddTask("batches", g.board.Run)
	g.peerServer = &gateway.Server{
		Board: g.board, Direct: g.caller.Direct, Roster: g.roster, Incarnation: g.Incarnation, Mirrors: map[string]*mirror.Mirror{},
	}
	g.AddService(func(registrar grpc.ServiceRegistrar) { peerpb.RegisterGatewayServer(registrar, g.peerServer) })
}

// addMirrors adds the copies of what the store holds.
func (g *Gateway) addMirrors() {
	wait := g.Settings.GetStore().GetWatch().AsDuration()
	operator := &mirror.Mirror{Store: g.store, Prefix: platform.PrefixOperator, Wait: wait, OnChanges: g.takeOperator}
	servers := &mirror.Mirror{
		Store: g.store, Prefix: platform.PrefixServer, Wait: wait, OnChanges: g.takeServers, Pause: registrationPause,
		OnListed: g.roster.MarkListed, OnLost: g.roster.RecordStoreLost, OnRegained: g.roster.RecordStoreRegained,
	}
	live := &mirror.Mirror{Store: g.store, Prefix: batch.Prefix, Wait: wait, OnChanges: g.takeLive, Pause: livePause, OnUpToDate: g.cold.heard}
	for name, one := range map[string]*mirror.Mirror{"operator": operator, "servers": servers, "live": live} {
		one.Follow, one.IsWatcher = g.hosts.Follow, g.hosts.IsWatcher
		g.peerServer.Mirrors[one.Prefix] = one
		g.AddTask(name, one.Run)
	}
}

// takeLive takes changes of what gateways tell each other through the store.
func (g *Gateway) takeLive(changes []store.Value) {
	g.hosts.ApplyChanges(changes)
	g.holder.take(changes)
	g.board.ApplyChanges(changes)
	g.cold.take(changes)
	takeSteps(&g.steps, changes)
}

// takeSteps takes changes of the keys of open batches.
func takeSteps(steps *weight.Steps, changes []store.Value) {
	for _, change := range changes {
		id, isOpen := strings.CutPrefix(change.Key, batch.PrefixOpen)
		if !isOpen {
			continue
		}
		if change.Deleted {
			steps.Close(id)
			continue
		}
		open := &statepb.Open{}
		if err := proto.Unmarshal(change.Data, open); err != nil {
			klog.ErrorS(err, "weight: an open batch can't be read", "key", change.Key)
			continue
		}
		steps.Open(id, weight.Step{Model: open.GetModel(), Oldest: open.GetOldest(), Runs: int(open.GetItems())})
	}
}

func (g *Gateway) takeOperator(changes []store.Value) {
	for _, change := range changes {
		if platform.IsRetirement(change.Key) {
			g.retirements.take(change)
			continue
		}
		if zone, isDrain := platform.DrainedZone(change.Key); isDrain {
			g.takeDrain(zone, change.Deleted)
			continue
		}
		if change.Deleted {
			continue
		}
		if model, version, ok, err := platform.ReadVersion(change.Key, change.Data); ok {
			if err != nil {
				klog.ErrorS(err, "weight: a named version can't be read", "revision", change.Revision)
				continue
			}
			if g.steps.RecordVersion(model, version) {
				klog.InfoS("weight: named", "model", model, "version", version)
			}
			continue
		}
		if !platform.IsTable(change.Key) {
			continue
		}
		next, err := platform.ReadTable(change.Data)
		if err != nil {
			klog.ErrorS(err, "table: a version can't be read, the one in force stays", "revision", change.Revision)
			continue
		}
		g.view.Update(next)
	}
}

// takeDrain takes an operator's word on a zone's servers.
func (g *Gateway) takeDrain(zone string, isOver bool) {
	if isOver {
		g.roster.RestoreZone(zone)
		return
	}
	g.roster.DrainZone(zone)
}

func (g *Gateway) takeServers(changes []store.Value) {
	for _, change := range changes {
		if change.Deleted {
			g.roster.Remove(platform.ServerID(change.Key))
			continue
		}
		entry, err := platform.ReadServer(change.Key, change.Data)
		if err != nil {
			klog.InfoS("roster: an entry names no server to use", "key", change.Key, "err", err.Error())
			g.roster.Remove(platform.ServerID(change.Key))
			continue
		}
		g.roster.Set(entry)
	}
}

// addCallers adds the interface for callers and trainers.
func (g *Gateway) addCallers() {
	handler := &gateway.Handler{
		Wire:      platform.Wire{},
		Formats:   gateway.Formats{ReadBatch: platform.ReadBatch, WriteOutcomes: platform.EncodeOutcomes},
		View:      g.view,
		Forwarder: g.forwarder,
		Board:     g.board,
		Hosts:     g.hosts,
		NoConfigRetry:   g.Settings.GetFront().GetUnknown().AsDuration(),
		CountStart:     g.count,
		Metrics:   g.Metrics,
	}
	g.notFound = g.closing(handler)
}

// addGauges adds what this process knows of the others and of what is in force.
func (g *Gateway) addGauges() {
	g.Metrics.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleyhatch_gateway_hosts",
			Help: "Gateways that live, this one included.",
		}, func() float64 { return float64(len(g.hosts.Names())) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleyhatch_gateway_table_version",
			Help: "Version of the operators' configuration in force here; 0 if none is known.",
		}, g.tableVersion),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleyhatch_gateway_drained_zones",
			Help: "Zones whose backend servers an operator has drained.",
		}, g.drainedZones),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleyhatch_gateway_drained_running",
			Help: "Requests of this gateway that still run in drained zones.",
		}, g.drainedRunning),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleyhatch_log_dropped_lines",
			Help: "Lines of the log that were dropped.",
		}, func() float64 { return float64(logging.Dropped()) }),
	)
}

func (g *Gateway) drainedZones() float64 {
	zones, _ := g.roster.DrainedZones()
	return float64(zones)
}

func (g *Gateway) drainedRunning() float64 {
	_, running := g.roster.DrainedZones()
	return float64(running)
}

func (g *Gateway) tableVersion() float64 {
	if now := g.view.Current(); now != nil {
		return float64(now.Version)
	}
	return 0
}

// closing tells callers to open no more requests on their connection once the
// process was asked to stop.
func (g *Gateway) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.isDraining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// addReady adds the balancer's question and the metrics, on addresses of their own.
func (g *Gateway) addReady() {
	ready := rest.Route{Method: http.MethodGet, Path: platform.PathReady, Handler: g.answerReady}
	g.addListener("ready", g.Settings.GetFront().GetReady(), ready)
	if address := g.Settings.GetFront().GetMetrics(); address != "" {
		metrics := promhttp.HandlerFor(g.Metrics, promhttp.HandlerOpts{})
		g.addListener("metrics", address, rest.Route{Method: http.MethodGet, Path: "/metrics", Handler: metrics.ServeHTTP})
	}
}

func (g *Gateway) addListener(name, address string, routes ...rest.Route) {
	server := &listen.HTTP{Address: address, Routes: routes}
	g.AddTask(name, func(ctx context.Context) error { return server.Run(ctx, time.Second) })
}

func (g *Gateway) answerReady(w http.ResponseWriter, _ *http.Request) {
	if reason := g.notReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReady returns why no callers should come here; "" if they should.
func (g *Gateway) notReady() string {
	switch {
	case g.isDraining.Load():
		return "draining"
	case g.view.Current() == nil:
		return "no configuration yet"
	case !g.roster.IsListed():
		return "no backend servers known yet"
	default:
		return ""
	}
}

// drain says that no more callers should come, hands the batches over, and
// serves on until the balancer has noticed.
func (g *Gateway) drain(ctx context.Context) {
	g.isDraining.Store(true)
	began := time.Now()
	var told sync.WaitGroup
	told.Go(func() { g.session.Leave(ctx) })
	g.board.Drain(ctx)
	told.Wait()
	pause.For(ctx, g.Settings.GetFront().GetLinger().AsDuration()-time.Since(began))
}
