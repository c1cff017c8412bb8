package measure

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
)

// Parameters of the load at plain servers, from docs/design/hard-load.md.
const (
	overloadSlots    = 6
	overloadQueue    = 24
	overloadTarget   = 150 * time.Millisecond
	overloadTimeout  = 800 * time.Millisecond
	overloadNetwork  = time.Millisecond
	overloadOwners   = 3
	overloadCalmRate = 300.0
	// Look-ups take 25 ms on average, of which 2 % take five times the usual time.
	overloadLookupMean  = 25 * time.Millisecond
	overloadSigma       = 0.5
	overloadLongShare   = 0.02
	overloadLongFactor  = 5.0
	overloadScorerMean  = 80 * time.Millisecond
	overloadScorerSigma = 0.3
	overloadScorerRate  = 100.0
	// overloadViewDelay is the time until gateways see that servers were lost or are back.
	overloadViewDelay = 200 * time.Millisecond
	overloadPumpTime  = 20 * time.Millisecond
	// The load rises and servers are lost at overloadStart; both end at overloadEnd.
	overloadStart  = 3 * time.Second
	overloadEnd    = 11 * time.Second
	overloadLength = 17 * time.Second
	// overloadSettled is the time after the return from which refusals count as a second wave.
	overloadSettled = overloadEnd + time.Second
	// overloadEnded is the time from which the service must be as before the burst.
	overloadEnded = overloadEnd + 3*time.Second
)

// overloadParams are the parameters of a run.
type overloadParams struct {
	gateways int
	servers  int
	left     int
	// offered is the load during the burst as a multiple of what the servers left could serve without
	// scorers; calm is the rate of look-ups before and after.
	offered float64
	calm    float64
	// accounts holds the weight of each account.
	accounts []float64
	// scorers is the rate of scorer calls.
	scorers float64
	// service draws the time of a look-up.
	service func(random *rand.Rand) time.Duration
}

// Overload compares policies for a service that lost most of its servers under several times its load.
func Overload(offered float64) Experiment {
	return Experiment{Name: fmt.Sprintf("overload, %g times the capacity left", offered), Run: func(seed uint64) []Result {
		var results []Result
		for _, policy := range overloadPolicies() {
			results = append(results, newOverloadRun(defaultOverload(offered), policy, seed).run().result())
		}
		return results
	}}
}

func defaultOverload(offered float64) overloadParams {
	params := overloadParams{gateways: 20, servers: 7, left: 2, offered: offered, calm: overloadCalmRate, scorers: overloadScorerRate, service: lookupTime}
	for i := range 78 {
		params.accounts = append(params.accounts, 1/float64(i+1))
	}
	return params
}

// logNormal draws a log-normal time of the given mean.
func logNormal(random *rand.Rand, mean time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}

func lookupTime(random *rand.Rand) time.Duration {
	usual := overloadLookupMean.Seconds() / (1 + overloadLongShare*(overloadLongFactor-1))
	took := logNormal(random, time.Duration(usual*float64(time.Second)), overloadSigma)
	if random.Float64() < overloadLongShare {
		took = time.Duration(float64(took) * overloadLongFactor)
	}
	return took
}

// overloadServer is a plain server.
type overloadServer struct {
	isLost  bool
	running int
	queue   []*overloadTry
	// lost counts the losses; the end of a run that began before the last one is void.
	lost int
}

// overloadTry is a request at a server.
type overloadTry struct {
	service time.Duration
	sentAt  clock.Boot
	onEnd   func(took time.Duration)
}

// overloadRequest is a caller's request.
type overloadRequest struct {
	gateway  *overloadGateway
	account  int
	firstAt  clock.Boot
	sentAt   clock.Boot
	returned bool
	tries    int
	// retryAfter is the delay that the policy sets for a refusal.
	retryAfter time.Duration
}

// left returns the time until the request's deadline.
func (r *overloadRequest) left(now clock.Boot) time.Duration {
	return overloadTimeout - now.Sub(r.firstAt)
}

// overloadGateway is the view of one gateway.
type overloadGateway struct {
	random  *rand.Rand
	running []int
	control overloadControl
	// The first gateways own batches and keep the texts that wait for a scorer.
	isOwner        bool
	scorersWaiting int
	// scorersRunning holds the scorer calls at each server.
	scorersRunning []int
}

// overloadCounts are the counts of one account or of all.
type overloadCounts struct {
	offered, inTime, late, refused, full, tries, returned, returnedServed int
}

// overloadRun simulates one policy with one seed.
type overloadRun struct {
	overloadParams

	policy   overloadPolicy
	random   *rand.Rand
	now      clock.Boot
	events   overloadEvents
	servers  []*overloadServer
	visible  int
	gateways []*overloadGateway
	// all and byAccount count requests sent in the burst, settled those sent from overloadSettled on
	// and ended those from overloadEnded on.
	all, settled, ended overloadCounts
	byAccount           []overloadCounts
	// scored counts the scorer calls that ended in the burst.
	scored int
}

type overloadEvent struct {
	at  clock.Boot
	run func()
}

type overloadEvents []overloadEvent

func (e overloadEvents) Len() int           { return len(e) }
func (e overloadEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e overloadEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *overloadEvents) Push(x any) { *e = append(*e, x.(overloadEvent)) }

// Pop implements heap.Interface.
func (e *overloadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newOverloadRun(params overloadParams, policy overloadPolicy, seed uint64) *overloadRun {
	r := &overloadRun{overloadParams: params, policy: policy, random: rand.New(rand.NewPCG(seed, 1))}
	r.byAccount = make([]overloadCounts, len(params.accounts))
	r.visible = params.servers
	for range params.servers {
		r.servers = append(r.servers, &overloadServer{})
	}
	for i := range params.gateways {
		random := rand.New(rand.NewPCG(seed, uint64(i+2)))
		gateway := &overloadGateway{random: random, running: make([]int, params.servers), scorersRunning: make([]int, params.servers), isOwner: i < overloadOwners}
		gateway.control = policy.newControl(random)
		r.gateways = append(r.gateways, gateway)
	}
	return r
}

func (r *overloadRun) after(delay time.Duration, run func()) {
	heap.Push(&r.events, overloadEvent{at: r.now.Add(delay), run: run})
}

func (r *overloadRun) run() *overloadRun {
	r.after(0, r.arrive)
	r.after(0, r.scorerArrives)
	r.after(0, r.pump)
	r.after(overloadStart, func() { r.setLost(true) })
	r.after(overloadStart+overloadViewDelay, func() { r.visible = r.left })
	r.after(overloadEnd, func() { r.setLost(false) })
	r.after(overloadEnd+overloadViewDelay, func() { r.visible = r.overloadParams.servers })
	for r.now < clock.Boot(overloadLength) {
		event := heap.Pop(&r.events).(overloadEvent)
		r.now = event.at
		event.run()
	}
	return r
}

func (r *overloadRun) setLost(isLost bool) {
	for _, server := range r.servers[r.left:] {
		*server = overloadServer{isLost: isLost, lost: server.lost + 1}
	}
	for _, gateway := range r.gateways {
		clear(gateway.running[r.left:])
		clear(gateway.scorersRunning[r.left:])
	}
}

// isBurst reports whether the load is raised.
func (r *overloadRun) isBurst() bool {
	return r.now >= clock.Boot(overloadStart) && r.now < clock.Boot(overloadEnd)
}

func (r *overloadRun) rate() float64 {
	if r.isBurst() {
		return r.offered * float64(r.left*overloadSlots) / overloadLookupMean.Seconds()
	}
	return r.calm
}

// arrive starts a look-up at a random gateway.
func (r *overloadRun) arrive() {
	gateway := r.gateways[r.random.IntN(len(r.gateways))]
	request := &overloadRequest{gateway: gateway, account: r.drawAccount(), firstAt: r.now}
	r.begin(request)
	r.after(time.Duration(r.random.ExpFloat64()/r.rate()*float64(time.Second)), r.arrive)
}

func (r *overloadRun) drawAccount() int {
	total := 0.0
	for _, weight := range r.accounts {
		total += weight
	}
	drawn := r.random.Float64() * total
	for account, weight := range r.accounts {
		if drawn -= weight; drawn < 0 {
			return account
		}
	}
	return len(r.accounts) - 1
}

// count changes the counts that a request belongs to by the time at which it was sent.
func (r *overloadRun) count(request *overloadRequest, change func(*overloadCounts)) {
	sent := time.Duration(request.sentAt)
	if sent >= overloadStart && sent < overloadEnd {
		change(&r.all)
		change(&r.byAccount[request.account])
	}
	if sent >= overloadSettled {
		change(&r.settled)
	}
	if sent >= overloadEnded {
		change(&r.ended)
	}
}

func (r *overloadRun) begin(request *overloadRequest) {
	request.sentAt, request.tries = r.now, 0
	r.count(request, func(counts *overloadCounts) {
		counts.offered++
		if request.returned {
			counts.returned++
		}
	})
	if !request.gateway.control.admit(r, request) {
		r.refuse(request)
		return
	}
	r.try(request, nil)
}

// try sends a request to the server with the fewest requests of this gateway that hasn't refused it.
func (r *overloadRun) try(request *overloadRequest, full []int) {
	server := r.choose(request.gateway, full)
	request.tries++
	r.count(request, func(counts *overloadCounts) { counts.tries++ })
	isFull := r.send(request.gateway, server, r.service(r.random), func(took time.Duration) {
		request.gateway.control.recordAnswer(r.now, "lookup", took)
		r.finish(request)
	})
	if isFull {
		r.count(request, func(counts *overloadCounts) { counts.full++ })
		request.gateway.control.onFull(r, request, append(full, server))
	}
}

func (r *overloadRun) finish(request *overloadRequest) {
	if request.left(r.now) < 0 {
		return
	}
	r.count(request, func(counts *overloadCounts) {
		if r.now.Sub(request.sentAt) <= overloadTarget {
			counts.inTime++
		} else {
			counts.late++
		}
		if request.returned {
			counts.returnedServed++
		}
	})
}

// refuse ends a request; its caller comes back once.
func (r *overloadRun) refuse(request *overloadRequest) {
	r.count(request, func(counts *overloadCounts) { counts.refused++ })
	if request.returned || request.retryAfter >= request.left(r.now) {
		return
	}
	r.after(request.retryAfter, func() {
		request.returned = true
		r.begin(request)
	})
}

// choose returns the visible server with the fewest running requests of the gateway.
func (r *overloadRun) choose(gateway *overloadGateway, full []int) int {
	best, ties := -1, 0
	for i := range r.visible {
		if slices.Contains(full, i) {
			continue
		}
		if best < 0 || gateway.running[i] < gateway.running[best] {
			best, ties = i, 1
		} else if gateway.running[i] == gateway.running[best] {
			ties++
			if gateway.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// send sends a request to a server and reports whether it is refused because the server is full.
func (r *overloadRun) send(gateway *overloadGateway, index int, service time.Duration, onEnd func(time.Duration)) bool {
	server := r.servers[index]
	if server.isLost {
		return false
	}
	if server.running == overloadSlots && len(server.queue) == overloadQueue {
		return true
	}
	gateway.running[index]++
	server.queue = append(server.queue, &overloadTry{service: service + overloadNetwork, sentAt: r.now, onEnd: func(took time.Duration) {
		gateway.running[index]--
		onEnd(took)
	}})
	r.startQueued(server)
	return false
}

func (r *overloadRun) startQueued(server *overloadServer) {
	for server.running < overloadSlots && len(server.queue) > 0 {
		started := server.queue[0]
		server.queue = server.queue[1:]
		server.running++
		lost := server.lost
		r.after(started.service, func() {
			if server.lost != lost {
				return
			}
			server.running--
			r.startQueued(server)
			started.onEnd(r.now.Sub(started.sentAt))
		})
	}
}

func (r *overloadRun) scorerArrives() {
	r.gateways[r.random.IntN(min(overloadOwners, len(r.gateways)))].scorersWaiting++
	r.after(time.Duration(r.random.ExpFloat64()/r.scorers*float64(time.Second)), r.scorerArrives)
}

// pump starts the scorer calls that the windows allow.
func (r *overloadRun) pump() {
	for _, gateway := range r.gateways {
		if !gateway.isOwner {
			continue
		}
		for window := gateway.control.scorerWindow(r); gateway.scorersWaiting > 0 && total(gateway.scorersRunning) < window; {
			if !r.startScorer(gateway) {
				break
			}
		}
	}
	r.after(overloadPumpTime, r.pump)
}

func total(counts []int) int {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}

func (r *overloadRun) startScorer(gateway *overloadGateway) bool {
	server := r.choose(gateway, nil)
	service := logNormal(r.random, overloadScorerMean, overloadScorerSigma)
	isFull := r.send(gateway, server, service, func(took time.Duration) {
		gateway.scorersRunning[server]--
		gateway.control.recordAnswer(r.now, "scorer", took)
		if r.isBurst() {
			r.scored++
		}
	})
	if isFull {
		gateway.control.recordFull(r.now)
		return false
	}
	gateway.scorersWaiting--
	if !r.servers[server].isLost {
		gateway.scorersRunning[server]++
	}
	return true
}

// drawServices returns the mean time of a look-up at an idle server and the share that is in time.
func (p overloadParams) drawServices() (mean time.Duration, inTime float64) {
	const draws = 20_000
	random := rand.New(rand.NewPCG(1, 1))
	for range draws {
		took := p.service(random) + overloadNetwork
		mean += took / draws
		if took <= overloadTarget {
			inTime += 1.0 / draws
		}
	}
	return mean, inTime
}

func (p overloadParams) meanService() time.Duration {
	mean, _ := p.drawServices()
	return mean
}

// capacity returns the look-ups that the servers left can serve in time during the burst, beside the
// quarter of their slots that scorers always have.
func (p overloadParams) capacity() float64 {
	mean, inTime := p.drawServices()
	slots := float64(p.left*overloadSlots) * 3 / 4
	return slots * (overloadEnd - overloadStart).Seconds() / mean.Seconds() * inTime
}

func (r *overloadRun) result() Result {
	counts := r.all
	return Result{Policy: r.policy.name, Figures: []Figure{
		{Name: "in time of capacity", Value: float64(counts.inTime) / r.capacity()},
		{Name: "late of served", Value: float64(counts.late) / float64(max(1, counts.inTime+counts.late))},
		{Name: "refused", Value: float64(counts.refused) / float64(counts.offered)},
		{Name: "requests to servers a request", Value: float64(counts.tries) / float64(counts.offered)},
		{Name: "returned served", Value: float64(counts.returnedServed) / float64(max(1, counts.returned))},
		{Name: "refused after return", Value: float64(r.settled.refused) / float64(max(1, r.settled.offered))},
		{Name: "scorer calls/s", Value: float64(r.scored) / (overloadEnd - overloadStart).Seconds()},
	}}
}
