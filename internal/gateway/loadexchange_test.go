package gateway

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/occupancy"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/platform/platformtest"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
	"github.com/bramleyhatch/bramleyhatch/internal/table"
)

const (
	sharedPool      = "lm"
	sharedSamplers  = 4
	slotsPerSampler = 4
)

// plainWire passes no metadata in headers. All answers are of version 3.
type plainWire struct{ backend.Wire }

func (plainWire) Prepare(http.Header, backend.Request)           {}
func (plainWire) IsAnswerTo(*http.Response, string) bool         { return true }
func (plainWire) IsNotRun(*http.Response) bool                   { return false }
func (plainWire) Version(*http.Response) uint64                  { return 3 }
func (plainWire) ParseVersionLine(string) (uint64, bool)         { return 0, false }
func (plainWire) EncodeItemHeader(map[string]string) http.Header { return http.Header{} }

// noTransfers is a keeper that stores nothing, a peer that refuses every batch, and a scorer without
// capacity.
type noTransfers struct{}

func (noTransfers) Append(context.Context, string, []*statepb.Part) error          { return nil }
func (noTransfers) Drop(context.Context, string)                                   {}
func (noTransfers) Fetch(context.Context, string) []*statepb.Partial               { return nil }
func (noTransfers) HandOver(context.Context, string, batch.Handover) (bool, error) { return false, nil }
func (noTransfers) Score(context.Context, *statepb.Scorer) (string, error)         { return "", nil }
func (noTransfers) Acquire(*statepb.Scorer, int) (func(), bool)                    { return nil, false }
func (noTransfers) Accept(context.Context, string, *statepb.Batch) (batch.Acceptance, error) {
	return batch.Refused, nil
}

// countingSampler is a sampler that counts its concurrent runs.
type countingSampler struct {
	running, most, total atomic.Int32
}

// sharedDeployment is a store and samplers that several owners use.
type sharedDeployment struct {
	store    *platformtest.Store
	samplers []*countingSampler
	entries  []roster.Entry
	// hold is closed when runs may end; nil ends each after runTime.
	hold    chan struct{}
	runTime time.Duration
	models  []string
	// dueAfter is when the steps of a model are due; without an entry, they never are.
	dueAfter map[string]time.Duration
	// measuresSpeeds makes owners place by the speed of samplers.
	measuresSpeeds bool
}

func newSharedDeployment(t *testing.T, models ...string) *sharedDeployment {
	t.Helper()
	d := &sharedDeployment{store: &platformtest.Store{}, runTime: 60 * time.Millisecond, models: models}
	versions := map[string]uint64{}
	for _, model := range models {
		versions[model] = 3
	}
	for i := range sharedSamplers {
		sampler := &countingSampler{}
		server := httptest.NewServer(d.serve(sampler))
		t.Cleanup(server.Close)
		d.samplers = append(d.samplers, sampler)
		d.entries = append(d.entries, roster.Entry{
			ID: fmt.Sprintf("s%d", i), Pool: sharedPool, Address: server.Listener.Addr().String(), Slots: slotsPerSampler, StartedAtMillis: 1, Versions: versions,
		})
	}
	return d
}

// serve answers each run with one event when it may end.
func (d *sharedDeployment) serve(sampler *countingSampler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		running := sampler.running.Add(1)
		defer sampler.running.Add(-1)
		sampler.total.Add(1)
		for most := sampler.most.Load(); running > most && !sampler.most.CompareAndSwap(most, running); most = sampler.most.Load() {
		}
		w.Header().Set("Content-Type", "text/event-stream")
		if d.hold != nil {
			select {
			case <-d.hold:
			case <-r.Context().Done():
				return
			}
		} else {
			time.Sleep(d.runTime)
		}
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	}
}

// most returns the largest number of concurrent runs of any sampler.
func (d *sharedDeployment) most() int {
	most := int32(0)
	for _, sampler := range d.samplers {
		most = max(most, sampler.most.Load())
	}
	return int(most)
}

// total returns the number of runs of all samplers.
func (d *sharedDeployment) total() int {
	total := int32(0)
	for _, sampler := range d.samplers {
		total += sampler.total.Load()
	}
	return int(total)
}

// testOwner is a process that owns batches and exchanges its load.
type testOwner struct {
	*LoadExchange

	name    string
	address string
	lease   uint64
	metrics *prometheus.Registry
	stop    func()
}

// startOwner starts a process that listens for others. Without isSharing, it takes part in no
// exchange.
func (d *sharedDeployment) startOwner(t *testing.T, name string, isSharing bool) *testOwner {
	t.Helper()
	lease, err := d.store.GrantLease(t.Context(), time.Hour)
	must.NoError(t, err)
	servers := &roster.Roster{Wire: plainWire{}, ReregisterTimeout: time.Second, Speeds: d.measuresSpeeds}
	for _, entry := range d.entries {
		servers.Set(entry)
	}
	current := &table.Table{
		Version: 1,
		Routes:  []table.Route{{Kind: table.Batch, Shares: []table.Share{{Pool: sharedPool, Weight: 1}}}},
		Pools:   []table.Pool{{Name: sharedPool, Models: d.models}},
	}
	current.Index()
	view := &table.View{}
	view.Update(current)
	board := &batch.Board{
		Process: name, Store: d.store, Roster: servers, Scorer: noTransfers{}, HeaderEncoder: plainWire{}, Keeper: noTransfers{}, Peers: noTransfers{},
		Routes: func(b *statepb.Batch) (batch.Route, bool) {
			return batch.Route{Pool: sharedPool, Rules: batch.Rules{MaxFailures: 3, DueAfter: d.dueAfter[b.GetModel()]}}, true
		},
		Lease:      func() uint64 { return lease },
		Candidates: func(string) []string { return []string{name} },
		IsLeaving:  func(string) bool { return false },
		Retention:  time.Hour, GroupDelay: time.Millisecond, ValueBytes: 1 << 20,
		Speeds: d.measuresSpeeds,
	}
	owner := &testOwner{name: name, lease: lease, metrics: prometheus.NewRegistry()}
	owner.LoadExchange = &LoadExchange{Process: name, Hosts: &Hosts{Name: name}, Board: board, Roster: servers, View: view, Metrics: owner.metrics}
	server := &Server{Board: board}
	if d.measuresSpeeds {
		owner.ExchangeSpeeds()
	}
	if isSharing {
		board.Sharing = owner.LoadExchange
		server.Loads = owner.LoadExchange
	}
	stopServer := owner.listen(t, server)
	ctx, cancel := context.WithCancel(context.Background())
	exchanging, stopExchange := context.WithCancel(context.Background())
	var ended, exchangeEnded sync.WaitGroup
	ended.Go(func() { _ = board.Run(ctx) })
	ended.Go(func() { d.watch(ctx, board) })
	if isSharing {
		exchangeEnded.Go(func() { _ = owner.Run(exchanging) })
	}
	// The exchange ends first: as after a crash, the last report holds the runs.
	owner.stop = sync.OnceFunc(func() {
		stopExchange()
		exchangeEnded.Wait()
		stopServer()
		cancel()
		ended.Wait()
	})
	t.Cleanup(owner.stop)
	return owner
}

// listen serves other gateways until the returned function is called.
func (o *testOwner) listen(t *testing.T, service peerpb.GatewayServer) (stop func()) {
	t.Helper()
	address := make(chan string, 1)
	server := &listen.GRPC{
		Address:     "127.0.0.1:0",
		Register:    func(registrar grpc.ServiceRegistrar) { peerpb.RegisterGatewayServer(registrar, service) },
		OnListening: func(listening string) { address <- listening },
	}
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() { _ = server.Run(ctx, time.Millisecond) })
	o.address = <-address
	stop = sync.OnceFunc(func() {
		cancel()
		ended.Wait()
	})
	t.Cleanup(stop)
	return stop
}

// watch delivers the store's changes to a board.
func (d *sharedDeployment) watch(ctx context.Context, board *batch.Board) {
	var revision uint64
	for ctx.Err() == nil {
		reply, err := d.store.Watch(ctx, batch.Prefix, revision, 20*time.Millisecond)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		revision = max(revision, reply.Revision)
		board.ApplyChanges(reply.Values)
	}
}

// connect tells each owner the addresses of all.
func connect(t *testing.T, owners ...*testOwner) {
	t.Helper()
	var changes []platform.Value
	for _, owner := range owners {
		data, err := proto.Marshal(statepb.Host_builder{Name: owner.name, Address: owner.address}.Build())
		must.NoError(t, err)
		changes = append(changes, platform.Value{Key: PrefixHost + owner.name, Data: data, Revision: 1})
	}
	for _, owner := range owners {
		owner.Hosts.ApplyChanges(changes)
	}
}

// submit lets an owner accept a batch of a model.
func (o *testOwner) submit(t *testing.T, model string, items int) {
	t.Helper()
	builder := statepb.Batch_builder{Id: "b-" + model, Model: model, Oldest: 3, Wanted: 1}
	for i := range items {
		builder.Items = append(builder.Items, statepb.Item_builder{Id: fmt.Sprintf("%s-%d", model, i), Path: "/p", Group: fmt.Sprintf("g%d", i)}.Build())
	}
	must.NoError(t, o.Board.Accept(t.Context(), builder.Build()))
}

// isComplete reports whether all items of a model's batch have their outcome.
func (o *testOwner) isComplete(t *testing.T, model string) bool {
	page, isOwn, err := o.Board.ReadOwned(t.Context(), "b-"+model, "", 0, 0)
	must.NoError(t, err)
	must.True(t, isOwn)
	return len(page.Outcomes) == int(page.Total)
}

// running returns the number of an owner's generations.
func (o *testOwner) running() int {
	total := 0
	for _, running := range o.Roster.RunningByServer(sharedPool) {
		total += running
	}
	return total
}

// countCaps returns the number of caps that an owner's metrics show.
func (o *testOwner) countCaps(t *testing.T) int {
	t.Helper()
	families, err := o.metrics.Gather()
	must.NoError(t, err)
	for _, family := range families {
		if family.GetName() == "bramleyhatch_occupancy_cap" {
			return len(family.GetMetric())
		}
	}
	return 0
}

func awaitCondition(t *testing.T, timeout time.Duration, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(timeout), wait.Gap(2*time.Millisecond)))
}

// Two trainers submit their steps at the same moment. Each owner filled every sampler by its own
// count, so that a sampler had twice as many runs as slots.
func TestOwnersShareSamplers(t *testing.T) {
	const items = 80
	for name, isSharing := range map[string]bool{"shared": true, "not shared": false} {
		t.Run(name, func(t *testing.T) {
			d := newSharedDeployment(t, "m", "n")
			first, second := d.startOwner(t, "g1", isSharing), d.startOwner(t, "g2", isSharing)
			connect(t, first, second)
			var submitting sync.WaitGroup
			submitting.Go(func() { first.submit(t, "m", items) })
			submitting.Go(func() { second.submit(t, "n", items) })
			submitting.Wait()
			awaitCondition(t, 20*time.Second, func() bool { return first.isComplete(t, "m") && second.isComplete(t, "n") })
			must.Eq(t, 2*items, d.total())
			if isSharing {
				must.LessEq(t, slotsPerSampler, d.most())
				return
			}
			must.Greater(t, slotsPerSampler, d.most())
		})
	}
}

// A model without work lends its slots: an owner that is alone uses the whole pool.
func TestUnusedSlotsAreLent(t *testing.T) {
	d := newSharedDeployment(t, "m", "n")
	d.hold = make(chan struct{})
	defer close(d.hold)
	first, second := d.startOwner(t, "g1", true), d.startOwner(t, "g2", true)
	connect(t, first, second)
	first.submit(t, "m", 80)
	awaitCondition(t, 5*time.Second, func() bool { return first.running() == sharedSamplers*slotsPerSampler })
	must.Eq(t, 1, first.countCaps(t))
}

// An owner dies or is cut off. Its runs were reported, so its slots would stay unused and the other
// model at its cap, if its last report counted on.
func TestOwnerThatIsCutOffFreesItsSlots(t *testing.T) {
	d := newSharedDeployment(t, "m", "n")
	d.hold = make(chan struct{})
	defer close(d.hold)
	first, second := d.startOwner(t, "g1", true), d.startOwner(t, "g2", true)
	connect(t, first, second)
	var submitting sync.WaitGroup
	submitting.Go(func() { first.submit(t, "m", 80) })
	submitting.Go(func() { second.submit(t, "n", 80) })
	submitting.Wait()
	const half, all = sharedSamplers * slotsPerSampler / 2, sharedSamplers * slotsPerSampler
	awaitCondition(t, 5*time.Second, func() bool { return first.running() == half && second.running() == half })
	// Several exchanges later neither has taken more.
	time.Sleep(3 * exchangeInterval)
	must.Eq(t, half, first.running())
	must.Eq(t, 1, countReports(first))
	second.stop()
	stoppedAt := time.Now()
	awaitCondition(t, 5*time.Second, func() bool { return first.running() == all })
	// The last report counts for a second; half a second is for a test machine that is busy.
	must.Less(t, occupancy.MaxReportAge+500*time.Millisecond, time.Since(stoppedAt))
	must.Eq(t, 0, countReports(first))
}

func countReports(owner *testOwner) int {
	count, _ := owner.occupancy.Reports(clock.Now())
	return count
}

// oldGateway is a gateway of a version without Exchange.
type oldGateway struct {
	peerpb.UnimplementedGatewayServer

	calls atomic.Int32
}

func (g *oldGateway) Exchange(ctx context.Context, request *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	g.calls.Add(1)
	return g.UnimplementedGatewayServer.Exchange(ctx, request)
}

// ownElsewhere tells an owner that g2 owns an open batch.
func (o *testOwner) ownElsewhere(t *testing.T) {
	t.Helper()
	data, err := proto.Marshal(statepb.Owner_builder{Process: "g2"}.Build())
	must.NoError(t, err)
	o.Board.ApplyChanges([]platform.Value{
		{Key: batch.PrefixOpen + "other", Revision: 1},
		{Key: batch.Prefix + "owner/other", Data: data, Revision: 1},
	})
}

// In a rolling upgrade, some owners don't know the call. They must not be asked ten times a second,
// and their models keep no slots from the others for longer than the start of a batch.
func TestOldGateway(t *testing.T) {
	d := newSharedDeployment(t, "m", "n")
	d.hold = make(chan struct{})
	defer close(d.hold)
	owner, old := d.startOwner(t, "g1", true), &testOwner{name: "g2", LoadExchange: &LoadExchange{Hosts: &Hosts{Name: "g2"}}}
	service := &oldGateway{}
	old.listen(t, service)
	connect(t, owner, old)
	owner.ownElsewhere(t)
	owner.submit(t, "m", 80)
	awaitCondition(t, 5*time.Second, func() bool { return owner.running() == sharedSamplers*slotsPerSampler })
	time.Sleep(5 * exchangeInterval)
	must.Eq(t, 1, service.calls.Load())
	must.Eq(t, 0, countReports(owner))
}

// A gateway with the setting off answers as an old one, also to owners that call it.
func TestExchangeIsOff(t *testing.T) {
	d := newSharedDeployment(t, "m", "n")
	owner, off := d.startOwner(t, "g1", true), d.startOwner(t, "g2", false)
	connect(t, owner, off)
	owner.ownElsewhere(t)
	owner.submit(t, "m", 20)
	awaitCondition(t, 10*time.Second, func() bool { return owner.isComplete(t, "m") })
	must.Eq(t, 0, countReports(owner))
	must.Eq(t, 0, countReports(off))
}

// A pool of one model isn't shared: no gateway is called, and no batch waits for answers.
func TestPoolOfOneModel(t *testing.T) {
	d := newSharedDeployment(t, "m")
	owner, other := d.startOwner(t, "g1", true), &testOwner{name: "g2", LoadExchange: &LoadExchange{Hosts: &Hosts{Name: "g2"}}}
	service := &oldGateway{}
	other.listen(t, service)
	connect(t, owner, other)
	owner.ownElsewhere(t)
	owner.submit(t, "m", 40)
	awaitCondition(t, 10*time.Second, func() bool { return owner.isComplete(t, "m") })
	must.Eq(t, 0, service.calls.Load())
	must.Eq(t, 0, owner.countCaps(t))
}

// An owner that accepts connections and answers nothing must not delay a step that starts by more
// than the time for announcing it, nor each later one.
func TestSilentOwnerDelaysNoStep(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	d := newSharedDeployment(t, "m", "n")
	d.hold = make(chan struct{})
	defer close(d.hold)
	owner, silent := d.startOwner(t, "g1", true), &testOwner{name: "g2", LoadExchange: &LoadExchange{Hosts: &Hosts{Name: "g2"}}, address: listener.Addr().String()}
	connect(t, owner, silent)
	owner.ownElsewhere(t)
	submittedAt := time.Now()
	owner.submit(t, "m", 80)
	awaitCondition(t, 5*time.Second, func() bool { return owner.running() > 0 })
	must.Less(t, peerTimeout, time.Since(submittedAt))
	awaitCondition(t, 5*time.Second, func() bool { return owner.running() == sharedSamplers*slotsPerSampler })
}

// The report of a model that has just ended its step says that its slots are free. Once it is no
// longer sent, a batch of another model that starts keeps an equal share for it.
func TestIdleModelIsReported(t *testing.T) {
	d := newSharedDeployment(t, "m", "n")
	owner := d.startOwner(t, "g1", true)
	owner.submit(t, "m", 4)
	awaitCondition(t, 5*time.Second, func() bool { return owner.isComplete(t, "m") && len(owner.Board.Demands(sharedPool)) == 0 })
	report, isActive := owner.report(clock.Now())
	must.False(t, isActive)
	must.Eq(t, []occupancy.PoolLoad{{Pool: sharedPool, Models: []occupancy.ModelDemand{{Model: "m"}}}}, report.Pools)
	report, _ = owner.report(clock.Now().Add(idleExchangeTime))
	must.SliceEmpty(t, report.Pools)
}

// A step has little time left, and another trainer's has ample. Without its weight at the other
// owner, both would have half of the slots until the late step is overdue; and one that can't be in
// time any more would hold the other at its cap.
func TestWeightReachesOtherOwner(t *testing.T) {
	const slots = sharedSamplers * slotsPerSampler
	d := newSharedDeployment(t, "m", "n")
	d.hold = make(chan struct{})
	defer close(d.hold)
	d.dueAfter = map[string]time.Duration{"m": time.Hour, "n": 2 * time.Second}
	first, second := d.startOwner(t, "g1", true), d.startOwner(t, "g2", true)
	connect(t, first, second)
	var submitting sync.WaitGroup
	submitting.Go(func() { first.submit(t, "m", 80) })
	submitting.Go(func() { second.submit(t, "n", 80) })
	submitting.Wait()
	firstCap := func() int {
		return first.Share(sharedPool, "m", first.Board.Demands(sharedPool), 0, clock.Now()).Part.Cap
	}
	// The weights are 1 and up to 4, then 1 and 0.5.
	awaitCondition(t, 5*time.Second, func() bool { return countReports(first) == 1 && firstCap() <= slots/4 })
	awaitCondition(t, 5*time.Second, func() bool { return firstCap() >= slots*6/10 })
}

// A process that owns its first batch of a pool has measured no sampler. It must not send the longest
// texts to samplers that others know to be slow.
func TestNewOwnerPlacesBySpeedsOfOthers(t *testing.T) {
	const fast, slow = 10 * time.Millisecond, 40 * time.Millisecond
	d := newSharedDeployment(t, "m", "n")
	d.measuresSpeeds = true
	d.hold = make(chan struct{})
	defer close(d.hold)
	first, second := d.startOwner(t, "g1", true), d.startOwner(t, "g2", true)
	connect(t, first, second)
	measure := func() bool {
		for i, entry := range d.entries {
			gap := slow
			if i == 0 {
				gap = fast
			}
			first.Roster.RecordEvent(first.Roster.Find(entry.ID), gap)
		}
		return len(first.Roster.Gaps(sharedPool)) == len(d.entries)
	}
	awaitCondition(t, 5*time.Second, measure)
	first.submit(t, "m", 1)
	awaitCondition(t, 5*time.Second, func() bool { return first.running() == 1 && len(second.Board.Owners()) == 1 })
	must.Eq(t, 0, second.Roster.FastGap(sharedPool))
	second.submit(t, "n", 4)
	awaitCondition(t, 5*time.Second, func() bool { return second.running() == 4 })
	must.Eq(t, fast, second.Roster.FastGap(sharedPool))
	// By the share of slots in use, each sampler would have one run.
	must.GreaterEq(t, 2, second.Roster.RunningByServer(sharedPool)["s0"])
}

// An owner dies, and another process claims its batch. The runs that the dead owner has reported are
// counted against the model's cap for as long as the report counts, no longer.
func TestTakeoverInSharedPool(t *testing.T) {
	const half = sharedSamplers * slotsPerSampler / 2
	d := newSharedDeployment(t, "m", "n")
	d.hold = make(chan struct{})
	defer close(d.hold)
	first, second := d.startOwner(t, "g1", true), d.startOwner(t, "g2", true)
	connect(t, first, second)
	var submitting sync.WaitGroup
	submitting.Go(func() { first.submit(t, "m", 80) })
	submitting.Go(func() { second.submit(t, "n", 80) })
	submitting.Wait()
	awaitCondition(t, 5*time.Second, func() bool { return first.running() == half && second.running() == half })
	reported := func() (runs int) {
		for _, entry := range d.entries {
			runs += second.occupancy.Elsewhere(sharedPool, entry.ID, clock.Now())
		}
		return runs
	}
	awaitCondition(t, 5*time.Second, func() bool { return reported() == half })
	first.stop()
	must.NoError(t, d.store.RevokeLease(t.Context(), first.lease))
	stoppedAt := time.Now()
	runs := func() (runs int) {
		for _, demand := range second.Board.Demands(sharedPool) {
			if demand.Model == "m" {
				runs = demand.Running
			}
		}
		return runs
	}
	awaitCondition(t, 5*time.Second, func() bool { return runs() > 0 })
	// The last report counts for a second, in which the batch is claimed and loaded; a second is for a
	// test machine that is busy.
	must.Less(t, occupancy.MaxReportAge+time.Second, time.Since(stoppedAt))
	must.Eq(t, []string{"g2"}, second.Board.Owners())
}

// Speeds measured here go to the others, and theirs are delivered here.
func TestReportsCarrySpeeds(t *testing.T) {
	d := newSharedDeployment(t, "m", "n")
	owner := d.startOwner(t, "g1", true)
	owner.Speeds = func(string) []occupancy.ServerLoad {
		return []occupancy.ServerLoad{{Server: "s1", Gap: 40 * time.Millisecond, Events: 12}}
	}
	var received occupancy.Report
	owner.OnReport = func(_ string, report occupancy.Report) { received = report }
	sent := occupancy.Report{Pools: []occupancy.PoolLoad{{
		Pool: sharedPool, Models: []occupancy.ModelDemand{{Model: "n", Waiting: 7, Running: 2, Weight: 2.5}},
		Servers: []occupancy.ServerLoad{{Server: "s2", Running: 2, Gap: 55 * time.Millisecond, Events: 9}},
	}}}
	owner.Receive(peerpb.ExchangeRequest_builder{Process: "g2", Pools: encodeReport(sent)}.Build())
	must.Eq(t, sent, received)
	must.Eq(t, []occupancy.ServerLoad{{Server: "s1", Gap: 40 * time.Millisecond, Events: 12}}, owner.serverLoads(sharedPool))
	must.Eq(t, 2, owner.occupancy.Elsewhere(sharedPool, "s2", clock.Now()))
}

// A report of another process holds values that no gateway sends. Multiplied, a gap would overflow or make its server the
// slowest for good; a weight that isn't a number would make every share one.
func TestStrangeReport(t *testing.T) {
	d := newSharedDeployment(t, "m", "n")
	owner := d.startOwner(t, "g1", true)
	var received occupancy.Report
	owner.OnReport = func(_ string, report occupancy.Report) { received = report }
	own := []occupancy.ModelDemand{{Model: "m", Waiting: 80, Required: math.MaxInt}}
	for _, gap := range []int64{-1, math.MinInt64, math.MaxInt64, math.MaxInt64 / 1000, maxReportedGap.Microseconds() + 1} {
		for _, weight := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
			owner.Receive(peerpb.ExchangeRequest_builder{Process: "g2", Pools: []*peerpb.PoolReport{peerpb.PoolReport_builder{
				Pool:    sharedPool,
				Models:  []*peerpb.ModelReport{peerpb.ModelReport_builder{Model: "n", Waiting: math.MaxUint32, Running: math.MaxUint32, Weight: weight, Required: math.MaxUint32}.Build()},
				Servers: []*peerpb.ServerReport{peerpb.ServerReport_builder{Server: "s1", Gap: gap, Events: math.MaxUint32}.Build()},
			}.Build()}}.Build())
			must.Eq(t, 0, received.Pools[0].Servers[0].Gap)
			must.Eq(t, maxReportedSlots, received.Pools[0].Models[0].Required)
			must.Eq(t, sharedSamplers*slotsPerSampler/2, owner.Share(sharedPool, "m", own, 0, clock.Now()).Part.Cap)
		}
	}
}

// Gateways start under new names for as long as this one runs. State about each of them would grow without bound.
func TestPeersOfThePastAreForgotten(t *testing.T) {
	d := newSharedDeployment(t, "m", "n")
	owner := d.startOwner(t, "g1", true)
	now := clock.Now()
	for i := range 100 {
		owner.Receive(peerpb.ExchangeRequest_builder{Process: fmt.Sprintf("h%d", i)}.Build())
	}
	must.SliceLen(t, 100, owner.partners(now))
	must.SliceEmpty(t, owner.partners(now.Add(2*callerAge)))
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	must.MapEmpty(t, owner.peers)
}

// BenchmarkExchange measures one exchange of two owners with runs at 41 samplers, both sides and
// loopback included. Small gateways have a tenth of a core.
func BenchmarkExchange(b *testing.B) {
	var loads []occupancy.ServerLoad
	for i := range 41 {
		loads = append(loads, occupancy.ServerLoad{Server: fmt.Sprintf("sampler-%02d", i), Running: 2, Gap: 40 * time.Millisecond, Events: 900})
	}
	report := occupancy.Report{Pools: []occupancy.PoolLoad{{Pool: sharedPool, Models: []occupancy.ModelDemand{{Model: "m", Waiting: 96, Running: 82, Weight: 1}}, Servers: loads}}}
	exchange := &LoadExchange{Process: "g2", Hosts: &Hosts{Name: "g2"}, Board: &batch.Board{}, Roster: &roster.Roster{}, View: &table.View{}}
	address := make(chan string, 1)
	server := &listen.GRPC{
		Address: "127.0.0.1:0",
		Register: func(registrar grpc.ServiceRegistrar) {
			peerpb.RegisterGatewayServer(registrar, &Server{Loads: exchange})
		},
		OnListening: func(listening string) { address <- listening },
	}
	go func() { _ = server.Run(b.Context(), time.Millisecond) }()
	connection, err := listen.Dial(<-address, nil)
	must.NoError(b, err)
	client := peerpb.NewGatewayClient(connection)
	for b.Loop() {
		reply, err := client.Exchange(b.Context(), peerpb.ExchangeRequest_builder{Process: "g1", Pools: encodeReport(report)}.Build())
		must.NoError(b, err)
		decodeReport(reply.GetPools())
	}
}
