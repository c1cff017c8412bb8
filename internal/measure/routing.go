package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

// routingParams are the parameters of a routing experiment.
type routingParams struct {
	name     string
	servers  int
	zones    int
	entries  int
	rate     float64
	prefixes int
	// interval is the time between load reports, and lag is their delay.
	interval time.Duration
	lag      time.Duration
	// length is the duration of a run. Its first part, skip, is not measured, because entries know
	// no prefixes yet.
	length time.Duration
	skip   time.Duration
}

const (
	routingSlots           = 24
	routingCachePrefixes   = 8
	prefixTokens           = 2000
	uniqueTokens           = 200
	prefillTokensPerSecond = 4000.0
	decodeSecondsPerToken  = 0.0125
	outputTokens           = 300.0
	crossZoneSeconds       = 0.001
	// reportSeqPerSecond converts the time of a report to its sequence number.
	reportSeqPerSecond = 1_000_000
)

// RoutingToday compares policies for choosing a server at today's size: 9 samplers in 4 zones.
func RoutingToday() Experiment {
	return routingExperiment(routingParams{
		name: "routing, 9 samplers in 4 zones, 3 entries", servers: 9, zones: 4, entries: 3, rate: 40, prefixes: 40,
		interval: time.Second, lag: time.Second, length: 200 * time.Second, skip: 20 * time.Second,
	})
}

// Routing compares policies for choosing a server at the design size: 930 samplers.
func Routing() Experiment {
	return routingExperiment(routingParams{
		name: "routing, 930 samplers in 7 zones, 100 entries", servers: 930, zones: 7, entries: 100, rate: 4000, prefixes: 2000,
		interval: 5 * time.Second, lag: 3 * time.Second, length: 12 * time.Second, skip: 6 * time.Second,
	})
}

func routingExperiment(params routingParams) Experiment {
	return Experiment{Name: params.name, Run: func(seed uint64) []Result {
		var results []Result
		for _, policy := range routingPolicies() {
			results = append(results, newRoutingRun(params, policy, seed).run())
		}
		return results
	}}
}

// routingPolicy chooses one of an entry's servers; reports is set if the policy uses load reports.
type routingPolicy struct {
	name    string
	reports bool
	choose  func(entry *routingEntry, prefix uint64) *route.Server
}

func routingPolicies() []routingPolicy {
	prefixPolicy := func(name string, spread float64) routingPolicy {
		return routingPolicy{name: name, reports: true, choose: func(entry *routingEntry, prefix uint64) *route.Server {
			entry.chooser.Spread = spread
			return entry.chooser.Choose(entry.servers, route.Request{Prefix: prefix, Now: entry.now}).Server
		}}
	}
	return []routingPolicy{
		prefixPolicy("prefix by popularity (chosen)", route.DefaultSpread),
		prefixPolicy("prefix on two servers", 1e-9),
		{name: "two random choices", reports: true, choose: func(entry *routingEntry, _ uint64) *route.Server {
			return entry.chooser.Choose(entry.servers, route.Request{Now: entry.now}).Server
		}},
		{name: "least reported load", reports: true, choose: func(entry *routingEntry, _ uint64) *route.Server {
			return slices.MinFunc(entry.servers, func(a, b *route.Server) int { return int(a.ReportedLoad() - b.ReportedLoad()) })
		}},
		{name: "round robin", choose: func(entry *routingEntry, _ uint64) *route.Server {
			entry.next++
			return entry.servers[entry.next%len(entry.servers)]
		}},
		{name: "uniform random", choose: func(entry *routingEntry, _ uint64) *route.Server {
			return entry.servers[entry.random.IntN(len(entry.servers))]
		}},
	}
}

// routingEntry is the state of one entry.
type routingEntry struct {
	servers    []*route.Server
	chooser    *route.Chooser
	random     *rand.Rand
	next       int
	zone       int
	nextReport int
	now        time.Time
}

// routingSampler is an engine with slots, a queue and an LRU prefix cache.
type routingSampler struct {
	index   int
	zone    int
	running int
	queue   []*routingRequest
	cache   []int
	// reports holds the load report of each interval.
	reports []route.Report
}

type routingRequest struct {
	entry     int
	server    int
	prefix    int
	arrivedAt float64
	isStarted bool
}

// routingCompletion is the end of a request.
type routingCompletion struct {
	at      float64
	request *routingRequest
}

type routingCompletions []routingCompletion

func (c routingCompletions) Len() int           { return len(c) }
func (c routingCompletions) Less(i, j int) bool { return c[i].at < c[j].at }
func (c routingCompletions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *routingCompletions) Push(x any) { *c = append(*c, x.(routingCompletion)) }

// Pop implements heap.Interface.
func (c *routingCompletions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// routingRun simulates one policy with one seed.
type routingRun struct {
	routingParams

	policy      routingPolicy
	random      *rand.Rand
	popularity  *rand.Zipf
	entries     []*routingEntry
	samplers    []*routingSampler
	completions routingCompletions
	now         float64
	waits       []float64
	started     int
	hits        int
	maxQueue    int
	reports     int
}

func newRoutingRun(params routingParams, policy routingPolicy, seed uint64) *routingRun {
	r := &routingRun{routingParams: params, policy: policy, random: rand.New(rand.NewPCG(seed, 1))}
	r.popularity = rand.NewZipf(r.random, 1.2, 4, uint64(params.prefixes-1))
	for i := range params.servers {
		r.samplers = append(r.samplers, &routingSampler{index: i, zone: i % params.zones})
	}
	for i := range params.entries {
		random := rand.New(rand.NewPCG(seed, uint64(i+2)))
		entry := &routingEntry{chooser: &route.Chooser{Random: random}, random: random, zone: i % params.zones}
		for j := range params.servers {
			entry.servers = append(entry.servers, route.NewServer(fmt.Sprintf("%d", j), "", fmt.Sprintf("z%d", j%params.zones)))
		}
		entry.next = i * 7
		r.entries = append(r.entries, entry)
	}
	return r
}

func (r *routingRun) run() Result {
	r.warmUp()
	next := 0.0
	nextReport := 0
	for end := r.length.Seconds(); r.now < end; {
		for float64(nextReport)*r.interval.Seconds() <= r.now {
			r.recordReports(nextReport)
			nextReport++
		}
		if len(r.completions) > 0 && r.completions[0].at < next {
			completion := heap.Pop(&r.completions).(routingCompletion)
			r.now = completion.at
			r.finish(completion.request)
			continue
		}
		r.now = next
		r.routeArrival()
		next += r.random.ExpFloat64() / r.rate
	}
	return r.result()
}

func (r *routingRun) time(seconds float64) time.Time {
	return time.Unix(1_000_000, int64(seconds*1e9))
}

// warmUp fills 7 of 10 slots with requests that are already generating and end at random times.
func (r *routingRun) warmUp() {
	for _, sampler := range r.samplers {
		for range routingSlots * 7 / 10 {
			sampler.running++
			request := &routingRequest{entry: -1, server: sampler.index, isStarted: true}
			heap.Push(&r.completions, routingCompletion{at: r.random.Float64() * outputTokens * decodeSecondsPerToken, request: request})
		}
	}
}

// recordReports records the load of each sampler; entries receive it after the lag.
func (r *routingRun) recordReports(seq int) {
	at := uint64(float64(seq) * r.interval.Seconds() * reportSeqPerSecond)
	for _, sampler := range r.samplers {
		sampler.reports = append(sampler.reports, sampler.loadReport(at))
	}
}

func (s *routingSampler) loadReport(seq uint64) route.Report {
	return route.Report{Seq: seq + 1, Running: int64(s.running), Queued: int64(len(s.queue)), Slots: routingSlots}
}

// applyReports passes an entry the newest reports whose lag has elapsed.
func (r *routingRun) applyReports(entry *routingEntry) {
	if !r.policy.reports {
		return
	}
	newest := int((r.now - r.lag.Seconds()) / r.interval.Seconds())
	if newest < entry.nextReport || r.now < r.lag.Seconds() {
		return
	}
	entry.nextReport = newest + 1
	for i, server := range entry.servers {
		report := r.samplers[i].reports[newest]
		report.Time = r.time(float64(newest)*r.interval.Seconds() + r.lag.Seconds())
		server.UpdateReport(report)
		r.reports++
	}
}

func (r *routingRun) routeArrival() {
	index := r.random.IntN(len(r.entries))
	entry := r.entries[index]
	entry.now = r.time(r.now)
	r.applyReports(entry)
	prefix := int(r.popularity.Uint64())
	chosen := r.policy.choose(entry, route.Hash(fmt.Appendf(nil, "prefix %d", prefix)))
	chosen.Begin()
	server, _ := strconv.Atoi(chosen.Name())
	sampler := r.samplers[server]
	sampler.queue = append(sampler.queue, &routingRequest{entry: index, server: server, prefix: prefix, arrivedAt: r.now})
	r.startQueued(sampler)
	if r.now >= r.skip.Seconds() {
		r.maxQueue = max(r.maxQueue, len(sampler.queue))
	}
}

// startQueued starts queued requests while slots are free.
func (r *routingRun) startQueued(sampler *routingSampler) {
	for sampler.running < routingSlots && len(sampler.queue) > 0 {
		request := sampler.queue[0]
		sampler.queue = sampler.queue[1:]
		sampler.running++
		tokens := float64(uniqueTokens)
		isHit := sampler.usePrefix(request.prefix)
		if !isHit {
			tokens += prefixTokens
		}
		first := r.now + tokens/prefillTokensPerSecond
		wait := first - request.arrivedAt
		if sampler.zone != r.entries[request.entry].zone {
			wait += crossZoneSeconds
		}
		if request.arrivedAt >= r.skip.Seconds() {
			r.waits = append(r.waits, wait)
			r.started++
			r.hits += map[bool]int{true: 1}[isHit]
		}
		length := outputTokens * decodeSecondsPerToken * (0.5 + r.random.Float64())
		heap.Push(&r.completions, routingCompletion{at: first + length, request: request})
	}
}

// usePrefix moves a prefix to the front of the cache and reports whether it was cached.
func (s *routingSampler) usePrefix(prefix int) bool {
	index := slices.Index(s.cache, prefix)
	if index >= 0 {
		s.cache = slices.Delete(s.cache, index, index+1)
	} else if len(s.cache) >= routingCachePrefixes {
		s.cache = s.cache[:len(s.cache)-1]
	}
	s.cache = slices.Insert(s.cache, 0, prefix)
	return index >= 0
}

func (r *routingRun) finish(request *routingRequest) {
	sampler := r.samplers[request.server]
	sampler.running--
	if request.entry >= 0 {
		r.entries[request.entry].servers[request.server].Finish()
	}
	r.startQueued(sampler)
	if request.entry >= 0 && r.policy.reports {
		// The end of a response carries a load report.
		report := sampler.loadReport(uint64(r.now * reportSeqPerSecond))
		report.Time = r.time(r.now)
		r.entries[request.entry].servers[request.server].UpdateReport(report)
		r.reports++
	}
}

func (r *routingRun) result() Result {
	for _, sampler := range r.samplers {
		for _, request := range sampler.queue {
			r.waits = append(r.waits, r.now-request.arrivedAt)
		}
	}
	slices.Sort(r.waits)
	seconds := r.length.Seconds()
	bytes := float64(r.reports*reportBytes()) / float64(len(r.entries)) / seconds
	return Result{Policy: r.policy.name, Figures: []Figure{
		{Name: "prefix hits", Value: float64(r.hits) / float64(r.started)},
		{Name: "first token p50 s", Value: percentile(r.waits, 0.5)},
		{Name: "first token mean s", Value: mean(r.waits)},
		{Name: "first token p99 s", Value: percentile(r.waits, 0.99)},
		{Name: "longest queue", Value: float64(r.maxQueue)},
		{Name: "load bytes/s an entry", Value: bytes},
	}}
}

// reportBytes returns the encoded size of a load report.
func reportBytes() int {
	return proto.Size(peerpb.Load_builder{Server: "sampler-0123", Running: 20, Queued: 3, Slots: 24, Version: 100, Seq: 100_000}.Build())
}

func mean(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total / float64(max(1, len(values)))
}
