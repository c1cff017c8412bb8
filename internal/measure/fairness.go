package measure

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/fair"
)

// Sizes of the fairness experiment: one engine, eight client accounts of equal weight.
const (
	fairnessLength  = 600.0 // seconds
	fairnessSlots   = 16
	fairnessSpeed   = 50.0 // tokens a second in a slot
	fairnessQueue   = 256
	fairnessSmall   = 6
	fairnessPatient = 120.0 // seconds that a request may wait

	accountGreedy = 0
	accountBursty = 1
	accountCount  = 2 + fairnessSmall
)

// job is one request of the experiment.
type job struct {
	account int
	// declared is the expected cost, actual what it turns out to be, in tokens.
	declared float64
	actual   float64
	arrival  float64
}

// discipline is the order in which a queue is served.
type discipline interface {
	// push adds a job and returns those that are refused.
	push(job job, now float64) []job
	// pop returns the next job, and those that were given up before it.
	pop(now float64) (next *job, refused []job)
	// settle tells the true cost of a job that has ended.
	settle(job job)
}

// Fairness compares weighted fair queueing at a sidecar with first come first
// served and with strict priority, for a greedy account, a bursty one and six small ones.
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
		{"first come first served", &fifo{}},
		{"strict priority, large first", &priority{rank: func(account int) int { return account }}},
		{"strict priority, small first", &priority{rank: func(account int) int { return -account }}},
	}
	var results []Result
	for _, policy := range policies {
		run := &fairnessRun{queue: policy.queue}
		run.serve(jobs)
		results = append(results, Result{Policy: policy.name, Figures: run.figures(jobs)})
	}
	return results
}

// fairnessJobs returns the arrivals in order: the greedy account asks for twice
// the capacity, the bursty one for half of it in bursts of 80, each small one
// for a third of its share. Answers end before the length that was declared.
func fairnessJobs(random *rand.Rand) []job {
	var jobs []job
	add := func(account int, at float64) {
		declared := 100 + 300*random.Float64()
		jobs = append(jobs, job{account: account, declared: declared, actual: declared * (0.3 + 0.7*random.Float64()), arrival: at})
	}
	capacity := fairnessSlots * fairnessSpeed
	mean := 250 * 0.65
	poisson := func(account int, rate float64, count int) {
		for at := random.ExpFloat64() / rate; at < fairnessLength; at += random.ExpFloat64() / rate {
			for range count {
				add(account, at)
			}
		}
	}
	poisson(accountGreedy, 2*capacity/mean, 1)
	poisson(accountBursty, capacity/mean/2/80, 80)
	for i := range fairnessSmall {
		poisson(2+i, capacity/accountCount/mean/3, 1)
	}
	slices.SortStableFunc(jobs, func(a, b job) int { return compareFloat(a.arrival, b.arrival) })
	return jobs
}

// fairnessRun serves jobs by one discipline.
type fairnessRun struct {
	queue   discipline
	running endings
	served  [accountCount]float64
	refused [accountCount]int
	waits   [accountCount][]float64
}

func (r *fairnessRun) serve(jobs []job) {
	for _, job := range jobs {
		r.advance(job.arrival)
		r.refuse(r.queue.push(job, job.arrival))
		r.fill(job.arrival)
	}
	r.advance(fairnessLength)
}

// advance ends what ends before now and starts what waits.
func (r *fairnessRun) advance(now float64) {
	for len(r.running) > 0 && r.running[0].at <= now {
		ended, ok := heap.Pop(&r.running).(ending)
		if !ok {
			return
		}
		r.served[ended.job.account] += ended.job.actual
		r.queue.settle(ended.job)
		r.fill(ended.at)
	}
}

func (r *fairnessRun) fill(now float64) {
	for len(r.running) < fairnessSlots {
		next, refused := r.queue.pop(now)
		r.refuse(refused)
		if next == nil {
			return
		}
		r.waits[next.account] = append(r.waits[next.account], now-next.arrival)
		heap.Push(&r.running, ending{job: *next, at: now + next.actual/fairnessSpeed})
	}
}

func (r *fairnessRun) refuse(jobs []job) {
	for _, job := range jobs {
		r.refused[job.account]++
	}
}

// figures are those of the worst account: its served share of what is due to
// it, and the worst waits; the greedy account's own wait counts for nothing,
// since it asks for more than there is.
func (r *fairnessRun) figures(jobs []job) []Figure {
	var asked [accountCount]float64
	var sent [accountCount]int
	for _, job := range jobs {
		asked[job.account] += job.actual
		sent[job.account]++
	}
	due := dueShares(asked[:], fairnessLength*fairnessSlots*fairnessSpeed)
	least, total, wait, refused := 1.0, 0.0, 0.0, 0.0
	for account := range accountCount {
		least = min(least, r.served[account]/due[account])
		total += r.served[account]
		if account >= 2 {
			wait = max(wait, percentile(r.waits[account], 0.99))
			refused = max(refused, float64(r.refused[account])/float64(sent[account]))
		}
	}
	return []Figure{
		{Name: "worst share of due", Value: least},
		{Name: "worst small p99 wait s", Value: wait},
		{Name: "worst small refused", Value: refused},
		{Name: "bursty p99 wait s", Value: percentile(r.waits[accountBursty], 0.99)},
		{Name: "capacity used", Value: total / (fairnessLength * fairnessSlots * fairnessSpeed)},
	}
}

// dueShares divides a capacity max-min fairly: who asks for less than an equal
// share gets all of it, the others share what is left.
func dueShares(asked []float64, capacity float64) []float64 {
	due := make([]float64, len(asked))
	order := make([]int, len(asked))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return compareFloat(asked[a], asked[b]) })
	for i, account := range order {
		share := capacity / float64(len(order)-i)
		due[account] = min(asked[account], share)
		capacity -= due[account]
	}
	return due
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

func percentile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(part*float64(len(sorted)-1))]
}

// ending is a running job and when it ends.
type ending struct {
	job job
	at  float64
}

// endings is a heap of running jobs, the first to end first.
type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push is called by container/heap.
func (e *endings) Push(value any) {
	if added, ok := value.(ending); ok {
		*e = append(*e, added)
	}
}

// Pop is called by container/heap.
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fairDiscipline feeds the sidecar's own queue.
type fairDiscipline struct {
	queue fair.Queue[job]
}

func newFairDiscipline() *fairDiscipline {
	return &fairDiscipline{queue: fair.Queue[job]{Size: fairnessQueue}}
}

func (d *fairDiscipline) push(added job, now float64) []job {
	evicted, err := d.queue.Push(shareOf(added), added, clock(now))
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
	item, late := d.queue.Pop(clock(now))
	for _, missed := range late {
		refused = append(refused, missed.Value())
	}
	if item == nil {
		return nil, refused
	}
	found := item.Value()
	return &found, refused
}

func (d *fairDiscipline) settle(job job) {
	d.queue.Settle(shareOf(job), job.actual)
}

func shareOf(job job) fair.Request {
	return fair.Request{
		Account:  string(rune('a' + job.account)),
		Weight:   1,
		Cost:     job.declared,
		Deadline: clock(job.arrival + fairnessPatient),
	}
}

func clock(now float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(now * float64(time.Second)))
}

// fifo serves first what came first.
type fifo struct {
	jobs []job
}

func (f *fifo) push(added job, _ float64) []job {
	if len(f.jobs) >= fairnessQueue {
		return []job{added}
	}
	f.jobs = append(f.jobs, added)
	return nil
}

func (f *fifo) pop(now float64) (next *job, refused []job) {
	for len(f.jobs) > 0 {
		first := f.jobs[0]
		f.jobs = f.jobs[1:]
		if now-first.arrival < fairnessPatient {
			return &first, refused
		}
		refused = append(refused, first)
	}
	return nil, refused
}

func (f *fifo) settle(job) {}

// priority serves the account of the lowest rank first.
type priority struct {
	fifo

	rank func(account int) int
}

func (p *priority) push(added job, now float64) []job {
	refused := p.fifo.push(added, now)
	slices.SortStableFunc(p.jobs, func(a, b job) int { return p.rank(a.account) - p.rank(b.account) })
	return refused
}
