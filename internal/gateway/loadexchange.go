package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/occupancy"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
)

const (
	// exchangeInterval is the interval of calls to the other owners while this process has batches
	// of a shared pool: a fraction of the time of a generation, so that few slots that others have
	// freed or taken are unknown here.
	exchangeInterval = 100 * time.Millisecond
	// idleExchangeInterval is the interval after the last batch, for idleExchangeTime: more than the
	// time between two steps of a trainer. The reports tell the others that the model's slots are
	// free; without them they would keep an equal share for it when a batch starts.
	idleExchangeInterval = 500 * time.Millisecond
	idleExchangeTime     = 10 * time.Second
	// callerAge is how long a process that has called is called too: several idle intervals.
	callerAge = 2 * time.Second
	// exchangeCooldown is how long a gateway of a version without Exchange isn't asked again.
	exchangeCooldown = 3 * time.Second
	// maxReportedGap is the largest usual gap that is taken from another process: a run with longer ones counts as stalled.
	// A larger value would overflow, or keep all work from its server.
	maxReportedGap = 2 * time.Second
	// maxReportedSlots bounds the slots that steps of another process require: the sum over several processes
	// could overflow.
	maxReportedSlots = 1 << 16
)

// LoadExchange exchanges the load of this process on shared pools with the other gateways that own
// open batches. Exported fields are set before the first call. It is safe for concurrent use.
//
// A pool is shared if batch routes use it and its samplers have two or more models.
type LoadExchange struct {
	// Process is the name of this process.
	Process string
	Hosts   *Hosts
	Board   *batch.Board
	Roster  *roster.Roster
	View    *table.View
	// Speeds returns what this process knows of the speed of a pool's servers, as Gap and Events;
	// nil if it measures none.
	Speeds func(pool string) []occupancy.ServerLoad
	// OnReport is called with each report of another process; it may be nil.
	OnReport func(process string, report occupancy.Report)
	// Metrics registers the metrics; nil leaves them unregistered.
	Metrics prometheus.Registerer

	occupancy occupancy.View

	once  sync.Once
	cap   *prometheus.GaugeVec
	mutex sync.Mutex
	// usedAt is when this process last had a batch of a model in a pool.
	usedAt map[modelInPool]clock.Boot
	// peers holds the state of calls from and to other processes.
	peers map[string]*exchangePeer
}

// modelInPool identifies a model in a pool.
type modelInPool struct{ pool, model string }

// exchangePeer is the state of calls from and to another process.
type exchangePeer struct {
	// calledAt is when the process last called; zero if it has not.
	calledAt clock.Boot
	// isCalling is true while a periodic call to the process runs.
	isCalling bool
	// skipUntil is when a process of a version without Exchange is asked again.
	skipUntil clock.Boot
	// isFailing is true if the last call to the process failed.
	isFailing bool
}

var _ batch.Sharing = &LoadExchange{}

// init initializes the maps and the metrics on first use.
func (e *LoadExchange) init() {
	e.once.Do(func() {
		e.usedAt = map[modelInPool]clock.Boot{}
		e.peers = map[string]*exchangePeer{}
		e.cap = prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bramleyhatch_occupancy_cap",
			Help: "Generations of a model that this process may run concurrently in a shared pool.",
		}, []string{"pool", "model"})
		if e.Metrics == nil {
			return
		}
		e.Metrics.MustRegister(e.cap, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleyhatch_occupancy_reports",
			Help: "Other processes whose report on shared pools counts now.",
		}, func() float64 {
			count, _ := e.occupancy.Reports(clock.Now())
			return float64(count)
		}))
	})
}

// ExchangeSpeeds makes reports carry the usual gaps of servers that this process has measured, and
// takes over those of other processes. It is called before the first other call.
func (e *LoadExchange) ExchangeSpeeds() {
	e.Speeds, e.OnReport = e.measuredSpeeds, e.adoptSpeeds
}

// measuredSpeeds returns the usual gaps of a pool's servers that this process has measured.
func (e *LoadExchange) measuredSpeeds(pool string) []occupancy.ServerLoad {
	gaps := e.Roster.Gaps(pool)
	loads := make([]occupancy.ServerLoad, 0, len(gaps))
	for _, gap := range gaps {
		loads = append(loads, occupancy.ServerLoad{Server: gap.Server, Gap: gap.Gap, Events: gap.Events})
	}
	return loads
}

// adoptSpeeds takes over the usual gaps that another process has measured.
func (e *LoadExchange) adoptSpeeds(_ string, report occupancy.Report) {
	for _, pool := range report.Pools {
		for _, server := range pool.Servers {
			if server.Gap > 0 {
				e.Roster.AdoptGap(server.Server, server.Gap, server.Events)
			}
		}
	}
}

// Run calls the other owners until the context ends.
func (e *LoadExchange) Run(ctx context.Context) error {
	e.init()
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	var calledAt clock.Boot
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := clock.Now()
		report, isActive := e.report(now)
		// Half an interval allows for ticks that come early.
		if len(report.Pools) == 0 || !isActive && now.Sub(calledAt) < idleExchangeInterval-exchangeInterval/2 {
			continue
		}
		calledAt = now
		for _, name := range e.partners(now) {
			if e.startCalling(name) {
				calls.Go(func() {
					defer e.endCalling(name)
					e.call(ctx, name, report)
				})
			}
		}
	}
}

// Announce calls the other owners at once. It returns once all have answered or the context has
// ended; calls that run then continue up to their own timeout.
func (e *LoadExchange) Announce(ctx context.Context) {
	e.init()
	now := clock.Now()
	report, _ := e.report(now)
	var calls sync.WaitGroup
	for _, name := range e.partners(now) {
		calls.Go(func() { e.call(context.WithoutCancel(ctx), name, report) })
	}
	answered := make(chan struct{})
	go func() {
		calls.Wait()
		close(answered)
	}()
	select {
	case <-answered:
	case <-ctx.Done():
	}
}

// Receive records the report of a process that calls, and returns this process's report.
func (e *LoadExchange) Receive(request *peerpb.ExchangeRequest) *peerpb.ExchangeReply {
	e.init()
	now := clock.Now()
	if name := request.GetProcess(); name != "" && name != e.Process {
		e.mutex.Lock()
		e.peer(name).calledAt = now
		e.mutex.Unlock()
		e.record(name, request.GetPools(), now)
	}
	report, _ := e.report(now)
	return peerpb.ExchangeReply_builder{Pools: encodeReport(report)}.Build()
}

// call sends this process's report to another one and records its answer.
func (e *LoadExchange) call(ctx context.Context, name string, report occupancy.Report) {
	client := e.Hosts.Client(name)
	if client == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := client.Exchange(ctx, peerpb.ExchangeRequest_builder{Process: e.Process, Pools: encodeReport(report)}.Build())
	now := clock.Now()
	e.recordResult(name, err, now)
	if err == nil {
		e.record(name, reply.GetPools(), now)
	}
}

// recordResult records whether a call succeeded. A change is logged, not each call.
func (e *LoadExchange) recordResult(name string, err error, now clock.Boot) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	peer := e.peer(name)
	isUnknown := status.Code(err) == codes.Unimplemented
	if isUnknown {
		peer.skipUntil = now.Add(exchangeCooldown)
	}
	if isFailing := err != nil; isFailing != peer.isFailing {
		peer.isFailing = isFailing
		if isFailing {
			klog.InfoS("occupancy: exchanging load with a gateway failed; its slots count as free once its report is too old", "host", name, "unknown", isUnknown, "err", err.Error())
			return
		}
		klog.InfoS("occupancy: exchanging load with a gateway works again", "host", name)
	}
}

func (e *LoadExchange) record(name string, pools []*peerpb.PoolReport, now clock.Boot) {
	report := decodeReport(pools)
	e.occupancy.Update(name, report, now)
	if e.OnReport != nil {
		e.OnReport(name, report)
	}
}

// peer returns the state of a process. The mutex is held.
func (e *LoadExchange) peer(name string) *exchangePeer {
	if e.peers[name] == nil {
		e.peers[name] = &exchangePeer{}
	}
	return e.peers[name]
}

// startCalling reports whether a periodic call to a process may start. A process that is slow to
// answer gets one periodic call at a time.
func (e *LoadExchange) startCalling(name string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	peer := e.peer(name)
	if peer.isCalling {
		return false
	}
	peer.isCalling = true
	return true
}

func (e *LoadExchange) endCalling(name string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.peer(name).isCalling = false
}

// partners returns the processes to call: those that own open batches or have called lately, except
// those of a version without Exchange.
func (e *LoadExchange) partners(now clock.Boot) []string {
	names := e.Board.Owners()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for name, peer := range e.peers {
		switch {
		case peer.calledAt != 0 && now.Sub(peer.calledAt) < callerAge:
			names = append(names, name)
		case !peer.isCalling && now >= peer.skipUntil && !slices.Contains(names, name):
			// Processes start under new names; those of the past would be kept for good.
			delete(e.peers, name)
		}
	}
	names = slices.DeleteFunc(names, func(name string) bool {
		return name == e.Process || e.peers[name] != nil && now < e.peers[name].skipUntil
	})
	slices.Sort(names)
	return slices.Compact(names)
}

// report returns the load of this process on shared pools. Models whose last batch ended within
// idleExchangeTime are part of it, without demand; isActive is false if there are no others.
func (e *LoadExchange) report(now clock.Boot) (report occupancy.Report, isActive bool) {
	for _, pool := range e.sharedPools() {
		models := e.Board.Demands(pool)
		isActive = isActive || len(models) > 0
		models = append(models, e.idleModels(pool, models, now)...)
		if len(models) > 0 {
			report.Pools = append(report.Pools, occupancy.PoolLoad{Pool: pool, Models: models, Servers: e.serverLoads(pool)})
		}
	}
	return report, isActive
}

// idleModels returns the models without a batch that had one within idleExchangeTime, given those
// that have one now.
func (e *LoadExchange) idleModels(pool string, active []occupancy.ModelDemand, now clock.Boot) []occupancy.ModelDemand {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, model := range active {
		e.usedAt[modelInPool{pool, model.Model}] = now
	}
	var idle []occupancy.ModelDemand
	for key, usedAt := range e.usedAt {
		switch {
		case key.pool != pool || usedAt == now:
		case now.Sub(usedAt) < idleExchangeTime:
			idle = append(idle, occupancy.ModelDemand{Model: key.model})
		default:
			delete(e.usedAt, key)
			e.cap.DeleteLabelValues(key.pool, key.model)
		}
	}
	return idle
}

// serverLoads returns the runs of this process at each server of a pool, with the speeds that it
// knows.
func (e *LoadExchange) serverLoads(pool string) []occupancy.ServerLoad {
	running := e.Roster.RunningByServer(pool)
	var loads []occupancy.ServerLoad
	if e.Speeds != nil {
		loads = e.Speeds(pool)
	}
	for i := range loads {
		loads[i].Running = running[loads[i].Server]
		delete(running, loads[i].Server)
	}
	for server, count := range running {
		loads = append(loads, occupancy.ServerLoad{Server: server, Running: count})
	}
	slices.SortFunc(loads, func(a, b occupancy.ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
	return loads
}

// sharedPools returns the pools that several models share.
func (e *LoadExchange) sharedPools() []string {
	current := e.View.Current()
	if current == nil {
		return nil
	}
	var shared []string
	for i := range current.Pools {
		if countModels(&current.Pools[i]) > 1 {
			shared = append(shared, current.Pools[i].Name)
		}
	}
	return shared
}

// countModels returns the number of models whose batches may use a pool.
func countModels(pool *table.Pool) int {
	if _, hasBatches := pool.Senders(); !hasBatches {
		return 0
	}
	return len(pool.Models)
}

// Models returns the number of models that share a pool.
func (e *LoadExchange) Models(pool string) int {
	current := e.View.Current()
	if current == nil || current.Pool(pool) == nil {
		return 0
	}
	return countModels(current.Pool(pool))
}

// Elsewhere returns the number of generations that other processes run at a server, and the age of
// the oldest report on them.
func (e *LoadExchange) Elsewhere(pool, server string, now clock.Boot) (running int, age time.Duration) {
	return e.occupancy.ElsewhereSince(pool, server, now)
}

// Share returns the share of a model in a pool.
func (e *LoadExchange) Share(pool, model string, own []occupancy.ModelDemand, startedAt, now clock.Boot) batch.Share {
	e.init()
	share := batch.Share{Slots: e.Roster.UsableSlots(pool)}
	share.Part = e.occupancy.Part(pool, model, own, e.Models(pool), share.Slots, startedAt, now)
	share.Reports, share.Age = e.occupancy.Reports(now)
	e.cap.WithLabelValues(pool, model).Set(float64(share.Part.Cap))
	return share
}

func encodeReport(report occupancy.Report) []*peerpb.PoolReport {
	pools := make([]*peerpb.PoolReport, 0, len(report.Pools))
	for _, pool := range report.Pools {
		encoded := peerpb.PoolReport_builder{Pool: pool.Pool}
		for _, model := range pool.Models {
			encoded.Models = append(encoded.Models, peerpb.ModelReport_builder{
				Model: model.Model, Waiting: uint32(model.Waiting), Running: uint32(model.Running), Weight: model.Weight, Required: uint32(model.Required),
			}.Build())
		}
		for _, server := range pool.Servers {
			encoded.Servers = append(encoded.Servers, peerpb.ServerReport_builder{
				Server: server.Server, Running: uint32(server.Running), Gap: server.Gap.Microseconds(), Events: uint32(server.Events),
			}.Build())
		}
		pools = append(pools, encoded.Build())
	}
	return pools
}

func decodeReport(pools []*peerpb.PoolReport) occupancy.Report {
	var report occupancy.Report
	for _, pool := range pools {
		decoded := occupancy.PoolLoad{Pool: pool.GetPool()}
		for _, model := range pool.GetModels() {
			decoded.Models = append(decoded.Models, occupancy.ModelDemand{
				Model: model.GetModel(), Waiting: int(model.GetWaiting()), Running: int(model.GetRunning()), Weight: model.GetWeight(),
				Required: int(min(model.GetRequired(), maxReportedSlots)),
			})
		}
		for _, server := range pool.GetServers() {
			decoded.Servers = append(decoded.Servers, occupancy.ServerLoad{
				Server: server.GetServer(), Running: int(server.GetRunning()), Gap: decodeGap(server.GetGap()), Events: int(server.GetEvents()),
			})
		}
		report.Pools = append(report.Pools, decoded)
	}
	return report
}

// decodeGap returns a usual gap in microseconds as a duration; 0, unknown, if no server can have it.
func decodeGap(micros int64) time.Duration {
	if micros < 0 || micros > maxReportedGap.Microseconds() {
		return 0
	}
	return time.Duration(micros) * time.Microsecond
}
