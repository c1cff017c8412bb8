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

// routingSize is the input of a routing measurement.
type routingSize struct {
	name     string
	servers  int
	zones    int
	entries  int
	rate     float64
	prefixes int
	// interval and lag of load reports.
	interval time.Duration
	lag      time.Duration
	// length of a run, of which skip is not measured: entries know no prefixes then.
	length time.Duration
	skip   time.Duration
}

const (
	routingSlots   = 24
	routingCache   = 8
	prefixTokens   = 2000
	ownTokens      = 200
	prefillPerTick = 4000.0
	decodeSeconds  = 0.0125
	outputTokens   = 300.0
	zoneSeconds    = 0.001
	// reportsPerSecond numbers reports by their time.
	reportsPerSecond = 1_000_000
)

// RoutingToday measures the choice of a server at today's size: 9 samplers in 4 zones.
func RoutingToday() Experiment {
	return routingOf(routingSize{
		name: "routing, 9 samplers in 4 zones, 3 entries", servers: 9, zones: 4, entries: 3, rate: 40, prefixes: 40,
		interval: time.Second, lag: time.Second, length: 200 * time.Second, skip: 20 * time.Second,
	})
}

// Routing measures the choice of a server at the size to design for: 930 samplers.
func Routing() Experiment {
	return routingOf(routingSize{
		name: "routing, 930 samplers in 7 zones, 100 entries", servers: 930, zones: 7, entries: 100, rate: 4000, prefixes: 2000,
		interval: 5 * time.Second, lag: 3 * time.Second, length: 12 * time.Second, skip: 6 * time.Second,
	})
}

func routingOf(size routingSize) Experiment {
	return Experiment{Name: size.name, Run: func(seed uint64) []Result {
		var results []Result
		for _, policy := range routingPolicies() {
			results = append(results, newRoutingRun(size, policy, seed).measure())
		}
		return results
	}}
}

// routingPolicy chooses among an entry's servers.
type routingPolicy struct {
	name    string
	reports bool
	choose  func(entry *routingEntry, prefix uint64) *route.Server
}

func routingPolicies() []routingPolicy {
	spread := func(name string, spread float64) routingPolicy {
		return routingPolicy{name: name, reports: true, choose: func(entry *routingEntry, prefix uint64) *route.Server {
			entry.chooser.Spread = spread
			return entry.chooser.Choose(entry.servers, route.Request{Prefix: prefix, Now: entry.now}).Server
		}}
	}
	return []routingPolicy{
		spread("prefix by popularity (chosen)", route.DefaultSpread),
		spread("prefix on two servers", 1e-9),
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

// routingEntry is what one entry knows.
type routingEntry struct {
	servers []*route.Server
	chooser *route.Chooser
	random  *rand.Rand
	next    int
	zone    int
	taken   int
	now     time.Time
}

// sampler is an engine with slots, a queue and a prefix cache.
type sampler struct {
	index   int
	zone    int
	running int
	queue   []*routed
	cache   []int
	// told are the loads at each interval.
	told []route.Report
}

// routed is one request.
type routed struct {
	entry   int
	server  int
	prefix  int
	arrived float64
	begun   bool
}

// routingEvent is the end of a request.
type routingEvent struct {
	at      float64
	request *routed
}

type routingEvents []routingEvent

func (e routingEvents) Len() int           { return len(e) }
func (e routingEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e routingEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push adds an event for container/heap.
func (e *routingEvents) Push(x any) { *e = append(*e, x.(routingEvent)) }

// Pop removes the last event for container/heap.
func (e *routingEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// routingRun is one policy with one seed.
type routingRun struct {
	routingSize

	policy   routingPolicy
	random   *rand.Rand
	popular  *rand.Zipf
	entries  []*routingEntry
	samplers []*sampler
	events   routingEvents
	now      float64
	waits    []float64
	begun    int
	hits     int
	longest  int
	reports  int
}

func newRoutingRun(size routingSize, policy routingPolicy, seed uint64) *routingRun {
	r := &routingRun{routingSize: size, policy: policy, random: rand.New(rand.NewPCG(seed, 1))}
	r.popular = rand.NewZipf(r.random, 1.2, 4, uint64(size.prefixes-1))
	for i := range size.servers {
		r.samplers = append(r.samplers, &sampler{index: i, zone: i % size.zones})
	}
	for i := range size.entries {
		random := rand.New(rand.NewPCG(seed, uint64(i+2)))
		entry := &routingEntry{chooser: &route.Chooser{Random: random}, random: random, zone: i % size.zones}
		for j := range size.servers {
			entry.servers = append(entry.servers, route.NewServer(fmt.Sprintf("%d", j), "", fmt.Sprintf("z%d", j%size.zones)))
		}
		entry.next = i * 7
		r.entries = append(r.entries, entry)
	}
	return r
}

func (r *routingRun) measure() Result {
	r.warm()
	next := 0.0
	told := 0
	for end := r.length.Seconds(); r.now < end; {
		for float64(told)*r.interval.Seconds() <= r.now {
			r.tell(told)
			told++
		}
		if len(r.events) > 0 && r.events[0].at < next {
			event := heap.Pop(&r.events).(routingEvent)
			r.now = event.at
			r.finish(event.request)
			continue
		}
		r.now = next
		r.arrive()
		next += r.random.ExpFloat64() / r.rate
	}
	return r.result()
}

func (r *routingRun) time(seconds float64) time.Time {
	return time.Unix(1_000_000, int64(seconds*1e9))
}

// warm starts with requests in the middle of their answers, which end one by one.
func (r *routingRun) warm() {
	for _, one := range r.samplers {
		for range routingSlots * 7 / 10 {
			one.running++
			request := &routed{entry: -1, server: one.index, begun: true}
			heap.Push(&r.events, routingEvent{at: r.random.Float64() * outputTokens * decodeSeconds, request: request})
		}
	}
}

// tell notes the load of each sampler, which entries learn after the lag.
func (r *routingRun) tell(seq int) {
	at := uint64(float64(seq) * r.interval.Seconds() * reportsPerSecond)
	for _, one := range r.samplers {
		one.told = append(one.told, one.report(at))
	}
}

func (s *sampler) report(seq uint64) route.Report {
	return route.Report{Seq: seq + 1, Running: int64(s.running), Queued: int64(len(s.queue)), Slots: routingSlots}
}

// learn gives an entry the newest reports whose lag has passed.
func (r *routingRun) learn(entry *routingEntry) {
	if !r.policy.reports {
		return
	}
	newest := int((r.now - r.lag.Seconds()) / r.interval.Seconds())
	if newest < entry.taken || r.now < r.lag.Seconds() {
		return
	}
	entry.taken = newest + 1
	for i, server := range entry.servers {
		report := r.samplers[i].told[newest]
		report.Time = r.time(float64(newest)*r.interval.Seconds() + r.lag.Seconds())
		server.UpdateReport(report)
		r.reports++
	}
}

func (r *routingRun) arrive() {
	index := r.random.IntN(len(r.entries))
	entry := r.entries[index]
	entry.now = r.time(r.now)
	r.learn(entry)
	prefix := int(r.popular.Uint64())
	chosen := r.policy.choose(entry, route.Hash(fmt.Appendf(nil, "prefix %d", prefix)))
	chosen.Begin()
	server, _ := strconv.Atoi(chosen.Name())
	one := r.samplers[server]
	one.queue = append(one.queue, &routed{entry: index, server: server, prefix: prefix, arrived: r.now})
	r.begin(one)
	if r.now >= r.skip.Seconds() {
		r.longest = max(r.longest, len(one.queue))
	}
}

// begin starts waiting requests in free slots.
func (r *routingRun) begin(one *sampler) {
	for one.running < routingSlots && len(one.queue) > 0 {
		request := one.queue[0]
		one.queue = one.queue[1:]
		one.running++
		tokens := float64(ownTokens)
		isHit := one.take(request.prefix)
		if !isHit {
			tokens += prefixTokens
		}
		first := r.now + tokens/prefillPerTick
		wait := first - request.arrived
		if one.zone != r.entries[request.entry].zone {
			wait += zoneSeconds
		}
		if request.arrived >= r.skip.Seconds() {
			r.waits = append(r.waits, wait)
			r.begun++
			r.hits += map[bool]int{true: 1}[isHit]
		}
		length := outputTokens * decodeSeconds * (0.5 + r.random.Float64())
		heap.Push(&r.events, routingEvent{at: first + length, request: request})
	}
}

// take uses a prefix and reports whether it was cached.
func (s *sampler) take(prefix int) bool {
	at := slices.Index(s.cache, prefix)
	if at >= 0 {
		s.cache = slices.Delete(s.cache, at, at+1)
	} else if len(s.cache) >= routingCache {
		s.cache = s.cache[:len(s.cache)-1]
	}
	s.cache = slices.Insert(s.cache, 0, prefix)
	return at >= 0
}

func (r *routingRun) finish(request *routed) {
	one := r.samplers[request.server]
	one.running--
	if request.entry >= 0 {
		r.entries[request.entry].servers[request.server].Finish()
	}
	r.begin(one)
	if request.entry >= 0 && r.policy.reports {
		// The end of an answer carries the load.
		report := one.report(uint64(r.now * reportsPerSecond))
		report.Time = r.time(r.now)
		r.entries[request.entry].servers[request.server].UpdateReport(report)
		r.reports++
	}
}

func (r *routingRun) result() Result {
	for _, one := range r.samplers {
		for _, request := range one.queue {
			r.waits = append(r.waits, r.now-request.arrived)
		}
	}
	slices.Sort(r.waits)
	seconds := r.length.Seconds()
	bytes := float64(r.reports*reportBytes()) / float64(len(r.entries)) / seconds
	return Result{Policy: r.policy.name, Figures: []Figure{
		{Name: "prefix hits", Value: float64(r.hits) / float64(r.begun)},
		{Name: "first token p50 s", Value: percentile(r.waits, 0.5)},
		{Name: "first token mean s", Value: mean(r.waits)},
		{Name: "first token p99 s", Value: percentile(r.waits, 0.99)},
		{Name: "longest queue", Value: float64(r.longest)},
		{Name: "load bytes/s an entry", Value: bytes},
	}}
}

// reportBytes is the size of a load report between processes.
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
