package bramleyhatch

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeromicro/go-zero/rest"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/admission"
	"github.com/bramleyhatch/bramleyhatch/internal/backend"
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
	"github.com/bramleyhatch/bramleyhatch/internal/poison"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
	"github.com/bramleyhatch/bramleyhatch/internal/usage"
	"github.com/bramleyhatch/bramleyhatch/internal/weight"
	"github.com/bramleyhatch/bramleyhatch/platform"
)

const (
	// idleConnTimeout is the idle timeout of connections to backend servers: less than
	// the 10 s after which servers close theirs, since a request sent on a connection
	// that is being closed gets no response.
	idleConnTimeout = 8 * time.Second
	// registrationWatchDelay is the delay between two watches of registrations, so
	// that one watch returns many changes: weight loads change many registrations
	// within a second. A delay of some tenths of a second is still well within the
	// time in which a draining server must stop receiving requests.
	registrationWatchDelay = 400 * time.Millisecond
	// sharedKeysWatchDelay is the delay between two watches of the keys that gateways
	// share through the store. A batch begins and ends with a handful of changes.
	sharedKeysWatchDelay = 100 * time.Millisecond
)

// Gateway is the process on an entry host that reaches backend servers without sidecars.
// Exported fields are set before Run.
type Gateway struct {
	Settings *settingspb.Gateway

	*Process

	store      *platform.Store
	transport  *detour.Transport
	hosts      *gateway.Hosts
	session    *gateway.Session
	view       *table.View
	roster     *roster.Roster
	cold       *coldLimiter
	quarantine *poison.Quarantine
	forwarder  *forward.Forwarder
	// admission is nil unless the settings enable it.
	admission  *admission.Controller
	board      *batch.Board
	wall       *clock.Wall
	counter    *usage.Counter
	steps      weight.Steps
	dutyHolder dutyHolder
	// hostsToEmpty holds the hosts with disks that operators ask to empty.
	hostsToEmpty hostsToEmpty
	// peerServer serves the calls of other gateways.
	peerServer *gateway.Server
	// operator is the local copy of the operators' keys.
	operator *mirror.Mirror
}

// Run serves until the context ends and all running requests have ended.
func (g *Gateway) Run(ctx context.Context) error {
	g.Process = newProcess(g.Settings.GetProcess(), &settingspb.Secure{})
	g.addStore()
	g.addServers()
	g.addBatches()
	g.addMirrors()
	g.addControlDuty()
	g.addCallers()
	g.addReadiness()
	g.addGauges()
	g.AddDrain(g.drain)
	defer closeSession(g.session)
	return g.run(ctx, settingspb.Caller_builder{Listen: g.Settings.GetFront().GetListen()}.Build())
}

// addStore adds the client of the store and this process's lease.
func (g *Gateway) addStore() {
	settings := g.Settings.GetStore()
	g.hosts = &gateway.Hosts{
		Name:      g.Process.Settings.GetName(),
		Cores:     g.Process.Settings.GetShare() * g.Process.Settings.GetCores(),
		Followers: int(settings.GetFollowers()),
	}
	direct := &detour.Direct{Address: settings.GetAddress()}
	g.transport = &detour.Transport{Direct: direct, Peers: g.hosts, Metrics: g.Metrics}
	g.store = &platform.Store{Transport: g.transport, Timeout: settings.GetTimeout().AsDuration()}
	g.session = g.addSession(g.store, gateway.PrefixHost, settings.GetLease().AsDuration())
}

// addServers adds the roster of backend servers and the forwarder of requests to them.
func (g *Gateway) addServers() {
	g.view = &table.View{}
	g.cold = newColdLimiter(g.Process.Settings.GetName(), g.view)
	g.roster = &roster.Roster{
		Zone:              g.Process.Settings.GetZone(),
		Region:            g.Process.Settings.GetRegion(),
		Wire:              platform.Wire{},
		ServerMetrics:     backend.NewMetrics(g.Metrics),
		IdleTimeout:       idleConnTimeout,
		ColdLimits:        g.cold,
		ReregisterTimeout: g.Settings.GetDirectory().GetBack().AsDuration(),
		Speeds:            g.Settings.GetBatches().GetSpeeds(),
	}
	g.quarantine = &poison.Quarantine{Store: g.store, Prefix: batch.Prefix + "poison/", Metrics: g.Metrics}
	g.AddTask("quarantine", g.quarantine.Run)
	g.forwarder = &forward.Forwarder{Roster: g.roster, Quarantine: g.quarantine, IsPlainPool: g.isPlainPool, Metrics: g.Metrics}
	if g.Settings.GetFront().GetAdmit() {
		g.admission = &admission.Controller{}
		g.forwarder.Admission = g.admission
		g.roster.PreferFull = true
		g.Metrics.MustRegister(&gateway.AdmissionCollector{Controller: g.admission})
	}
}

// isPlainPool reports whether a pool of the configuration serves no models.
func (g *Gateway) isPlainPool(name string) bool {
	current := g.view.Current()
	if current == nil {
		return false
	}
	pool := current.Pool(name)
	return pool != nil && len(pool.Models) == 0
}

// addBatches adds the batches of trainers.
func (g *Gateway) addBatches() {
	settings := g.Settings.GetBatches()
	scorer := &gateway.Scorer{View: g.view, Forwarder: g.forwarder, Proof: platform.Wire{}.Proof}
	g.board = &batch.Board{
		Process:       g.Process.Settings.GetName(),
		Store:         g.store,
		Roster:        g.roster,
		Scorer:        scorer,
		HeaderEncoder: platform.Wire{},
		Routes:        gateway.Routes(g.view),
		Metrics:       g.Metrics,
		Lease:         g.session.Lease,
		Candidates:    g.hosts.Candidates,
		IsLeaving:     g.hosts.IsLeaving,
		Peers:         &gateway.Peers{Hosts: g.hosts},
		Keeper: &gateway.Keepers{
			Hosts: g.hosts, Zone: g.Process.Settings.GetZone(), PreferOtherZones: settings.GetZones() > 0, Losses: int(settings.GetLosses()), IsEmptying: g.hostsToEmpty.has,
		},
		Retention:  settings.GetKeep().AsDuration(),
		GroupDelay: settings.GetGroup().AsDuration(),
		ValueBytes: int(g.Settings.GetStore().GetValueBytes()),
		MaxBytes:   g.batchBytes,
		Speeds:     settings.GetSpeeds(),
	}
	if g.admission != nil {
		scorer.Window = func(pool string, slots int) int {
			return g.admission.ScorerWindow(pool, slots, g.board.OwnerCount(), clock.Now())
		}
	}
	loads := g.addLoadExchange()
	g.AddTask("batches", g.board.Run)
	g.peerServer = &gateway.Server{
		Board: g.board, Direct: g.transport.Direct, Roster: g.roster, Incarnation: g.Incarnation, Mirrors: map[string]*mirror.Mirror{}, Loads: loads,
	}
	g.AddService(func(registrar grpc.ServiceRegistrar) { peerpb.RegisterGatewayServer(registrar, g.peerServer) })
}

// addLoadExchange adds the exchange of load with the other owners of batches and returns it, or nil
// if the setting is off.
func (g *Gateway) addLoadExchange() *gateway.LoadExchange {
	if !g.Settings.GetBatches().GetShare() {
		return nil
	}
	loads := &gateway.LoadExchange{
		Process: g.Process.Settings.GetName(), Hosts: g.hosts, Board: g.board, Roster: g.roster, View: g.view, Metrics: g.Metrics,
	}
	if g.Settings.GetBatches().GetSpeeds() {
		loads.ExchangeSpeeds()
	}
	g.board.Sharing = loads
	g.AddTask("loads", loads.Run)
	return loads
}

// addMirrors adds the local copies of the store's keys.
func (g *Gateway) addMirrors() {
	wait := g.Settings.GetStore().GetWatch().AsDuration()
	g.operator = &mirror.Mirror{Store: g.store, Prefix: platform.PrefixOperator, Wait: wait, OnChanges: g.applyOperator}
	servers := &mirror.Mirror{
		Store: g.store, Prefix: platform.PrefixServer, Wait: wait, OnChanges: g.applyServers, Pause: registrationWatchDelay,
		OnListed: func(uint64) { g.roster.MarkListed() }, OnLost: g.roster.RecordStoreLost, OnRegained: g.roster.RecordStoreRegained,
	}
	shared := &mirror.Mirror{Store: g.store, Prefix: batch.Prefix, Wait: wait, OnChanges: g.applySharedKeys, Pause: sharedKeysWatchDelay, OnListed: g.markSharedKeysListed, OnUpToDate: g.cold.markCurrent}
	g.session.IsStoreLost = shared.IsStoreLost
	for name, m := range map[string]*mirror.Mirror{"operator": g.operator, "servers": servers, "live": shared} {
		m.Follow, m.IsWatcher = g.hosts.Follow, g.hosts.IsWatcher
		g.peerServer.Mirrors[m.Prefix] = m
		g.AddTask(name, m.Run)
	}
}

// applySharedKeys processes changes of the keys that gateways share through the store.
func (g *Gateway) applySharedKeys(changes []store.Value) {
	g.hosts.ApplyChanges(changes)
	g.dutyHolder.apply(changes)
	g.board.ApplyChanges(changes)
	g.cold.apply(changes)
	g.quarantine.ApplyChanges(changes)
	applySteps(&g.steps, changes)
}

// markSharedKeysListed processes the end of a complete list of the keys that gateways share through the store.
func (g *Gateway) markSharedKeysListed(revision uint64) {
	g.hosts.MarkListed()
	g.board.MarkListed(revision)
}

// applySteps updates the steps from changes of the open batches' keys.
func applySteps(steps *weight.Steps, changes []store.Value) {
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
			klog.ErrorS(err, "weight: cannot parse the record of an open batch", "key", change.Key)
			continue
		}
		steps.Open(id, weight.Step{Model: open.GetModel(), MinVersion: open.GetOldest(), Runs: int(open.GetItems())})
	}
}

func (g *Gateway) applyOperator(changes []store.Value) {
	for _, change := range changes {
		if platform.IsRetirement(change.Key) {
			g.hostsToEmpty.apply(change)
			continue
		}
		if zone, isDrain := platform.DrainedZone(change.Key); isDrain {
			g.applyDrain(zone, change.Deleted)
			continue
		}
		if change.Deleted {
			continue
		}
		if model, version, ok, err := platform.ReadVersion(change.Key, change.Data); ok {
			if err != nil {
				klog.ErrorS(err, "weight: cannot parse the version that a trainer announced", "revision", change.Revision)
				continue
			}
			if g.steps.RecordVersion(model, version) {
				klog.InfoS("weight: a trainer announced a version", "model", model, "version", version)
			}
			continue
		}
		if !platform.IsTable(change.Key) {
			continue
		}
		next, err := platform.ReadTable(change.Data)
		if err != nil {
			klog.ErrorS(err, "table: cannot parse a version of the configuration; the version in force stays", "revision", change.Revision)
			continue
		}
		g.view.Update(next)
	}
}

// applyDrain drains a zone's servers on an operator's order, or restores them when
// the order ends.
func (g *Gateway) applyDrain(zone string, isOver bool) {
	if isOver {
		g.roster.RestoreZone(zone)
		return
	}
	g.roster.DrainZone(zone)
}

func (g *Gateway) applyServers(changes []store.Value) {
	for _, change := range changes {
		if change.Deleted {
			g.roster.Remove(platform.ServerID(change.Key))
			continue
		}
		entry, err := platform.ReadServer(change.Key, change.Data)
		if err != nil {
			klog.InfoS("roster: cannot use the registration of a server", "key", change.Key, "err", err.Error())
			g.roster.Remove(platform.ServerID(change.Key))
			continue
		}
		g.roster.Set(entry)
	}
}

// addCallers adds the API for callers and trainers.
func (g *Gateway) addCallers() {
	handler := &gateway.Handler{
		Wire:          platform.Wire{},
		Formats:       gateway.Formats{ReadBatch: platform.ReadBatch, EncodeOutcomes: platform.EncodeOutcomes},
		View:          g.view,
		Forwarder:     g.forwarder,
		Board:         g.board,
		Hosts:         g.hosts,
		NoConfigRetry: g.Settings.GetFront().GetUnknown().AsDuration(),
		CountStart:    g.countRequest,
		Metrics:       g.Metrics,
		Shutdown:      &g.shutdown,
	}
	g.notFound = handler
	g.refuse = refusal.WriteFractional
	g.limits.MaxHeaderBytes = func() int64 { return g.clientLimits().MaxHeaderBytes }
	g.limits.HeaderTimeout = func() time.Duration { return g.clientLimits().HeaderTimeout }
}

// clientLimits returns the limits on clients that are in force; zero values mean the defaults.
func (g *Gateway) clientLimits() table.Limits {
	if current := g.view.Current(); current != nil {
		return current.Limits
	}
	return table.Limits{}
}

// addGauges adds the gauges of membership, configuration, drains and the log.
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
			Name: "bramleyhatch_gateway_config_age_seconds",
			Help: "Time since the store confirmed that there is no newer configuration; -1 before the first time.",
		}, g.configAge),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleyhatch_gateway_follow_hops",
			Help: "Gateways that pass the store's changes on to this one; 0 if it watches the store.",
		}, g.followHops),
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

func (g *Gateway) configAge() float64 {
	age, _, ok := g.operator.Age()
	if !ok {
		return -1
	}
	return age.Seconds()
}

func (g *Gateway) followHops() float64 {
	_, hops, _ := g.operator.Age()
	return float64(hops)
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
	if current := g.view.Current(); current != nil {
		return float64(current.Version)
	}
	return 0
}

// addReadiness adds the load balancer's readiness check and the metrics, each on its
// own address.
func (g *Gateway) addReadiness() {
	ready := rest.Route{Method: http.MethodGet, Path: platform.PathReady, Handler: g.answerReady}
	g.addListener("ready", g.Settings.GetFront().GetReady(), ready)
	if address := g.Settings.GetFront().GetMetrics(); address != "" {
		metrics := promhttp.HandlerFor(g.Metrics, metricsOptions)
		g.addListener("metrics", address, rest.Route{Method: http.MethodGet, Path: "/metrics", Handler: metrics.ServeHTTP})
	}
}

func (g *Gateway) addListener(name, address string, routes ...rest.Route) {
	server := &listen.HTTP{Address: address, Routes: routes, Limits: controlLimits(), Metrics: g.listenMetrics}
	g.AddTask(name, func(ctx context.Context) error { return server.Run(ctx, time.Second) })
}

func (g *Gateway) answerReady(w http.ResponseWriter, _ *http.Request) {
	if reason := g.unreadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// unreadyReason returns why the load balancer should send no callers here; "" if it should.
func (g *Gateway) unreadyReason() string {
	switch {
	case g.shutdown.isStopping.Load():
		return "draining"
	case g.view.Current() == nil:
		return "no configuration yet"
	case !g.roster.IsListed():
		return "no backend servers known yet"
	default:
		return ""
	}
}

// drain reports this process as not ready, hands its batches over, and keeps
// serving until the load balancer has had time to notice.
func (g *Gateway) drain(ctx context.Context) {
	started := time.Now()
	var leaving sync.WaitGroup
	leaving.Go(func() { g.session.Leave(ctx) })
	g.board.Drain(ctx)
	leaving.Wait()
	pause.For(ctx, g.Settings.GetFront().GetLinger().AsDuration()-time.Since(started))
}
