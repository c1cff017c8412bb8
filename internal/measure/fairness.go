package measure

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/fair"
)

// Parameters of the fairness experiment: one engine, eight client accounts of equal weight.
const (
	fairnessDuration      = 600.0 // seconds
	fairnessSlots         = 16
	fairnessTokenRate     = 50.0 // tokens per second and slot
	fairnessQueueSize     = 256
	fairnessSmallAccounts = 6
	fairnessTimeout       = 120.0 // seconds that a request may wait in the queue

	accountGreedy = 0
	accountBursty = 1
	accountCount  = 2 + fairnessSmallAccounts
)

// job is one request of the experiment.
type job struct {
	account int
	// estimatedCost is known on arrival, actualCost once the job has ended; both in tokens.
	estimatedCost float64
	actualCost    float64
	arrival       float64
}

// discipline decides the order in which queued jobs run.
type discipline interface {
	// push adds a job and returns the jobs refused because of it.
	push(job job, now float64) []job
	// pop returns the next job to run and the jobs whose wait timed out before it.
	pop(now float64) (next *job, refused []job)
	// settle charges the actual cost of a job that has ended.
	settle(job job)
}

// Fairness compares weighted fair queueing at a sidecar with first come first
// served and with strict priority, for a greedy, a bursty and six small accounts.
func Fairness() Experiment {
	return Experiment{Name: "fairness", Run: runFairness}
}

func runFairness(seed uint64) []Result {
	jobs := fairnessJobs(rand.New(rand.NewPCG(seed, 1)))
	policies := []struct {
		name  string
		queue discipline
	}{
		{"weighted fair queueing", newFairDiscipline()},
		{"first come first served", &fifoDiscipline{}},
		{"strict priority, large first", &priorityDiscipline{rank: func(account int) int { return account }}},
		{"strict priority, small first", &priorityDiscipline{rank: func(account int) int { return -account }}},
	}
	var results []Result
	for _, policy := range policies {
		run := &fairnessRun{queue: policy.queue}
		run.serve(jobs)
		results = append(results, Result{Policy: policy.name, Figures: run.figures(jobs)})
	}
	return results
}

// fairnessJobs returns the jobs in order of arrival. The greedy account requests twice the
// capacity, the bursty account half the capacity in bursts of 80, and each small account a third of
// its share. Jobs cost less than estimated.
func fairnessJobs(random *rand.Rand) []job {
	var jobs []job
	add := func(account int, at float64) {
		estimated := 100 + 300*random.Float64()
		jobs = append(jobs, job{account: account, estimatedCost: estimated, actualCost: estimated * (0.3 + 0.7*random.Float64()), arrival: at})
	}
	capacity := fairnessSlots * fairnessTokenRate
	mean := 250 * 0.65
	poisson := func(account int, rate float64, count int) {
		for at := random.ExpFloat64() / rate; at < fairnessDuration; at += random.ExpFloat64() / rate {
			for range count {
				add(account, at)
			}
		}
	}
	poisson(accountGreedy, 2*capacity/mean, 1)
	poisson(accountBursty, capacity/mean/2/80, 80)
	for i := range fairnessSmallAccounts {
		poisson(2+i, capacity/accountCount/mean/3, 1)
	}
	slices.SortStableFunc(jobs, func(a, b job) int { return compareFloat(a.arrival, b.arrival) })
	return jobs
}

// fairnessRun simulates one queueing discipline.
type fairnessRun struct {
	queue   discipline
	running completions
	served  [accountCount]float64
	refused [accountCount]int
	waits   [accountCount][]float64
}

func (r *fairnessRun) serve(jobs []job) {
	for _, job := range jobs {
		r.advance(job.arrival)
		r.countRefused(r.queue.push(job, job.arrival))
		r.startQueued(job.arrival)
	}
	r.advance(fairnessDuration)
}

// advance completes the jobs that end by now and starts queued ones in their place.
func (r *fairnessRun) advance(now float64) {
	for len(r.running) > 0 && r.running[0].at <= now {
		ended, ok := heap.Pop(&r.running).(completion)
		if !ok {
			return
		}
		r.served[ended.job.account] += ended.job.actualCost
		r.queue.settle(ended.job)
		r.startQueued(ended.at)
	}
}

func (r *fairnessRun) startQueued(now float64) {
	for len(r.running) < fairnessSlots {
		next, refused := r.queue.pop(now)
		r.countRefused(refused)
		if next == nil {
			return
		}
		r.waits[next.account] = append(r.waits[next.account], now-next.arrival)
		heap.Push(&r.running, completion{job: *next, at: now + next.actualCost/fairnessTokenRate})
	}
}

func (r *fairnessRun) countRefused(jobs []job) {
	for _, job := range jobs {
		r.refused[job.account]++
	}
}

// figures returns the smallest share of its max-min fair share that any account received, and the
// worst waits and refusals. The wait of the greedy account is excluded, because that account
// requests more than the capacity.
func (r *fairnessRun) figures(jobs []job) []Figure {
	var demand [accountCount]float64
	var sent [accountCount]int
	for _, job := range jobs {
		demand[job.account] += job.actualCost
		sent[job.account]++
	}
	due := maxMinShares(demand[:], fairnessDuration*fairnessSlots*fairnessTokenRate)
	worstShare, total, maxWait, maxRefused := 1.0, 0.0, 0.0, 0.0
	for account := range accountCount {
		worstShare = min(worstShare, r.served[account]/due[account])
		total += r.served[account]
		if account >= 2 {
			maxWait = max(maxWait, percentile(r.waits[account], 0.99))
			maxRefused = max(maxRefused, float64(r.refused[account])/float64(sent[account]))
		}
	}
	return []Figure{
		{Name: "worst share of due", Value: worstShare},
		{Name: "worst small p99 wait s", Value: maxWait},
		{Name: "worst small refused", Value: maxRefused},
		{Name: "bursty p99 wait s", Value: percentile(r.waits[accountBursty], 0.99)},
		{Name: "capacity used", Value: total / (fairnessDuration * fairnessSlots * fairnessTokenRate)},
	}
}

// maxMinShares divides a capacity max-min fairly: an account that requests less than an equal share
// receives its full demand, and the other accounts share the rest equally.
func maxMinShares(demand []float64, capacity float64) []float64 {
	shares := make([]float64, len(demand))
	order := make([]int, len(demand))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return compareFloat(demand[a], demand[b]) })
	for i, account := range order {
		share := capacity / float64(len(order)-i)
		shares[account] = min(demand[account], share)
		capacity -= shares[account]
	}
	return shares
}

func compareFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func percentile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(fraction*float64(len(sorted)-1))]
}

// completion is the end of a running job.
type completion struct {
	job job
	at  float64
}

// completions is a min-heap of running jobs by end time.
type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at < c[j].at }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *completions) Push(value any) {
	if added, ok := value.(completion); ok {
		*c = append(*c, added)
	}
}

// Pop implements heap.Interface.
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// fairDiscipline uses the sidecar's weighted fair queue.
type fairDiscipline struct {
	queue fair.Queue[job]
}

func newFairDiscipline() *fairDiscipline {
	return &fairDiscipline{queue: fair.Queue[job]{Size: fairnessQueueSize}}
}

func (d *fairDiscipline) push(added job, now float64) []job {
	evicted, err := d.queue.Push(queueRequest(added), added, timeAt(now))
	switch {
	case err != nil:
		return []job{added}
	case evicted != nil:
		return []job{evicted.Value()}
	default:
		return nil
	}
}

func (d *fairDiscipline) pop(now float64) (next *job, refused []job) {
	item, late := d.queue.Pop(timeAt(now))
	for _, expired := range late {
		refused = append(refused, expired.Value())
	}
	if item == nil {
		return nil, refused
	}
	value := item.Value()
	return &value, refused
}

func (d *fairDiscipline) settle(job job) {
	d.queue.Settle(queueRequest(job), job.actualCost)
}

func queueRequest(job job) fair.Request {
	return fair.Request{
		Account:  string(rune('a' + job.account)),
		Weight:   1,
		Cost:     job.estimatedCost,
		Deadline: timeAt(job.arrival + fairnessTimeout),
	}
}

func timeAt(now float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(now * float64(time.Second)))
}

// fifoDiscipline serves jobs in order of arrival.
type fifoDiscipline struct {
	jobs []job
}

func (f *fifoDiscipline) push(added job, _ float64) []job {
	if len(f.jobs) >= fairnessQueueSize {
		return []job{added}
	}
	f.jobs = append(f.jobs, added)
	return nil
}

func (f *fifoDiscipline) pop(now float64) (next *job, refused []job) {
	for len(f.jobs) > 0 {
		first := f.jobs[0]
		f.jobs = f.jobs[1:]
		if now-first.arrival < fairnessTimeout {
			return &first, refused
		}
		refused = append(refused, first)
	}
	return nil, refused
}

func (f *fifoDiscipline) settle(job) {}

// priorityDiscipline serves accounts in ascending order of rank.
type priorityDiscipline struct {
	fifoDiscipline

	rank func(account int) int
}

func (p *priorityDiscipline) push(added job, now float64) []job {
	refused := p.fifoDiscipline.push(added, now)
	slices.SortStableFunc(p.jobs, func(a, b job) int { return p.rank(a.account) - p.rank(b.account) })
	return refused
}
