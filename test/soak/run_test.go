package soak_test

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

const (
	faultCount    = 14
	faultInterval = 700 * time.Millisecond
	itemsPerBatch = 6
	// settleTimeout limits how long all batches take to complete after the last fault has ended. In
	// that time, leases expire, batches are taken over and texts are completed.
	settleTimeout = 30 * time.Second
)

// placedBeside matches the log line of a generation that was placed in a shared pool; its group is the
// number of other owners' generations at the sampler.
var placedBeside = regexp.MustCompile(`batch: placed.* elsewhere=(\d+) .*cap=`)

// runFaults starts a deployment under load, injects faults, ends them and checks the system's
// guarantees. If drains isn't nil, a zone of servers is drained at random times. If turns isn't nil, all
// gateways are stopped in turn at random times, while versions of the weights are announced.
func runFaults(t *testing.T, random, drains, turns *rand.Rand) {
	d := newDeployment(t)
	trainers, callers := d.runLoad(t, random, func(g *group) {
		if drains != nil {
			d.moveOthers(t)
			g.Go(func() { d.drain(g, drains) })
		}
		if turns != nil {
			d.startTurns(g, turns)
		}
	})
	d.checkTrainers(t, trainers, 0)
	callers.check()
	if drains != nil {
		d.checkDrain(t)
	}
	if turns != nil {
		d.checkTurns(t)
	}
}

// runLoad runs trainers, callers and other load, injects faults, and returns once all faults have
// ended and all gateways are ready.
func (d *deployment) runLoad(t *testing.T, random *rand.Rand, startOthers func(g *group)) ([]*trainer, *callers) {
	t.Helper()
	g := &group{stopped: make(chan struct{})}
	callers := &callers{d: d, t: t}
	var trainers []*trainer
	seed := random.Uint64()
	for i, model := range models {
		trainer := &trainer{d: d, t: t, model: model, random: rand.New(rand.NewPCG(seed, uint64(2+i))), seen: map[string][]result{}}
		trainers = append(trainers, trainer)
		g.Go(func() { trainer.run(g) })
	}
	for i := range 2 {
		g.Go(func() { callers.run(g, i) })
	}
	startOthers(g)
	for range faultCount {
		d.inject(t, random)
		time.Sleep(faultInterval)
	}
	d.clearFaults()
	close(g.stopped)
	g.Wait()
	for _, p := range d.gateways {
		p.awaitReady(t)
	}
	return trainers, callers
}

// inject starts a random fault; earlier ones may still be active.
func (d *deployment) inject(t *testing.T, random *rand.Rand) {
	p := d.gateways[random.IntN(len(d.gateways))]
	server := d.servers[random.IntN(len(d.servers))]
	duration := time.Duration(300+random.IntN(2500)) * time.Millisecond
	kind := random.IntN(14)
	t.Logf("fault %d at %s for %s", kind, p.name, duration)
	switch kind {
	case 0:
		p.restart(syscall.SIGKILL, 100*time.Millisecond)
	case 1:
		p.restart(syscall.SIGTERM, 100*time.Millisecond)
	case 2:
		p.signal(syscall.SIGSTOP)
		time.AfterFunc(duration, func() { p.signal(syscall.SIGCONT) })
	case 3:
		p.toStore.set(silent, duration)
	case 4:
		p.toStore.set(oneWay, duration)
	case 5:
		p.toStore.reset()
	case 6:
		server.set(silent, duration)
	case 7:
		server.reset()
	case 8:
		server.set(slow, duration)
	case 9:
		d.SetUnavailable(true)
		time.AfterFunc(duration, func() { d.SetUnavailable(false) })
	case 10:
		d.LoseAnswers(1 + random.IntN(4))
	case 11:
		d.SetWatchesSilent(true)
		time.AfterFunc(duration/3, func() {
			d.Compact()
			d.SetWatchesSilent(false)
		})
	case 12:
		d.spoilAnswers(random.Uint64())
	case 13:
		d.keeper.wipeData()
	}
}

// spoilAnswers makes servers fail one in ten requests, with a truncated response, a refusal, or
// another request's response or refusal.
func (d *deployment) spoilAnswers(seed uint64) {
	for _, server := range append(append([]*wiretest.Sampler{}, d.samplers...), d.plain...) {
		var mutex sync.Mutex
		random := rand.New(rand.NewPCG(seed, 3))
		server.SetFault(func(string, int) wiretest.Fault {
			mutex.Lock()
			defer mutex.Unlock()
			if random.IntN(10) > 0 {
				return wiretest.NoFault
			}
			return []wiretest.Fault{wiretest.FaultTruncate, wiretest.FaultRefuse, wiretest.FaultWrongRequest, wiretest.FaultWrongRefusal}[random.IntN(4)]
		})
	}
}

func (l *link) set(mode linkMode, duration time.Duration) {
	l.mode.Store(int32(mode))
	time.AfterFunc(duration, func() { l.mode.Store(int32(open)) })
}

// send sends a request to a gateway and returns status 0 if the response is incomplete.
func send(p *process, method, path, id string, body []byte, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = "h.example"
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer key-acme")
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", "1500")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// callers send look-ups and postings, and record the status of each posting.
type callers struct {
	d *deployment
	t *testing.T

	mutex    sync.Mutex
	statuses map[string]int
	served   int
}

func (c *callers) run(g *group, number int) {
	for i := 0; !g.isStopped(); i++ {
		p := c.d.gateways[(i+number)%len(c.d.gateways)]
		id := fmt.Sprintf("c%d-%d", number, i)
		path := []string{"/look/x", "/post/x"}[i%2]
		status, body := send(p, http.MethodPost, path, id, []byte(id), 3*time.Second)
		if status == http.StatusOK && body != "answer to "+id {
			c.t.Errorf("request %s: unexpected response %q", id, body)
		}
		if status == http.StatusUnauthorized || status == http.StatusNotFound {
			c.t.Errorf("request %s was refused with status %d", id, status)
		}
		c.mutex.Lock()
		if c.statuses == nil {
			c.statuses = map[string]int{}
		}
		if status == http.StatusOK {
			c.served++
		}
		if path == "/post/x" {
			c.statuses[id] = status
		}
		c.mutex.Unlock()
		time.Sleep(15 * time.Millisecond)
	}
}

// check verifies that no posting ran twice, and that no posting reported as not run has run.
func (c *callers) check() {
	c.t.Helper()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	must.Greater(c.t, 20, c.served)
	for id, status := range c.statuses {
		runs := 0
		for _, server := range c.d.plain {
			runs += server.Runs(id)
		}
		must.LessEq(c.t, 1, runs, must.Sprint(id, status))
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			must.Eq(c.t, 0, runs, must.Sprint(id, status))
		}
	}
}

// result is an item's result as a trainer reads it.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
	Score string `json:"score"`
}

// trainer submits batches and reads their results at random gateways.
type trainer struct {
	d      *deployment
	t      *testing.T
	model  string
	random *rand.Rand

	// accepted lists the batches that got status 202.
	accepted []string
	// seen holds the results read so far, by batch.
	seen map[string][]result
}

func (r *trainer) gateway() *process { return r.d.gateways[r.random.IntN(len(r.d.gateways))] }

func (r *trainer) run(g *group) {
	for i := 0; !g.isStopped(); i++ {
		id := fmt.Sprintf("b%s%d", r.model, i)
		if r.submit(g, id) {
			r.accepted = append(r.accepted, id)
		}
		for range 4 {
			if len(r.accepted) > 0 {
				r.read(r.gateway(), r.accepted[r.random.IntN(len(r.accepted))])
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// batchItems returns the items of a model's batch, each with a scorer.
func batchItems(model, id string) []map[string]any {
	items := []map[string]any{}
	for i := range itemsPerBatch {
		item := fmt.Sprintf("%s-i%d", id, i)
		body := base64.StdEncoding.EncodeToString([]byte(item))
		items = append(items, map[string]any{
			"id": item, "path": "/batch/run/x", "headers": map[string]string{"Model": model}, "body": body, "token-count": 9, "group": item,
			"scorer": map[string]any{"id": "s-" + item, "hostname": "h.example", "path": "/score/x", "body": body},
		})
	}
	return items
}

func encodeBatch(t *testing.T, model string, items []map[string]any) []byte {
	t.Helper()
	text, err := json.Marshal(map[string]any{"step": 1, "model": model, "min-version": 1, "desired": 3, "items": items})
	must.NoError(t, err)
	return text
}

// submit retries a batch, as a trainer does, until it is accepted or the load ends.
func (r *trainer) submit(g *group, id string) bool {
	text := encodeBatch(r.t, r.model, batchItems(r.model, id))
	for !g.isStopped() {
		if status, _ := send(r.gateway(), http.MethodPost, "/batch/"+id, id, text, 4*time.Second); status == http.StatusAccepted {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// read reads a batch from its start, compares its results with previously read results and reports
// whether all results are present.
func (r *trainer) read(p *process, id string) bool {
	status, body := send(p, http.MethodGet, "/bramleyhatch/lots/"+id+"?after=0", id, nil, 3*time.Second)
	if status == http.StatusNotFound {
		r.t.Errorf("batch %s was accepted but is unknown to gateway %s", id, p.name)
	}
	if status != http.StatusOK {
		return false
	}
	var page struct {
		Total   int      `json:"total"`
		Results []result `json:"results"`
	}
	must.NoError(r.t, json.Unmarshal([]byte(body), &page))
	before := r.seen[id]
	for i := range min(len(before), len(page.Results)) {
		if before[i] != page.Results[i] {
			r.t.Errorf("result %d of batch %s changed from %v to %v at gateway %s", i, id, before[i], page.Results[i], p.name)
		}
	}
	if len(page.Results) > len(before) {
		r.seen[id] = page.Results
	}
	return page.Total == itemsPerBatch && len(page.Results) == itemsPerBatch
}

// checkTrainers checks that every accepted batch of every trainer completes within settleTimeout: no
// model may be held at its cap for good. othersSent is the number of batches that others sent.
func (d *deployment) checkTrainers(t *testing.T, trainers []*trainer, othersSent int) {
	t.Helper()
	deadline := time.Now().Add(settleTimeout)
	sent := othersSent
	for _, trainer := range trainers {
		trainer.check(deadline)
		// The trainer may have sent one more batch than it knows as accepted.
		sent += len(trainer.accepted) + 1
	}
	list, err := d.List(context.Background(), "bulk/")
	must.NoError(t, err)
	must.LessEq(t, sent, len(list.Values), must.Sprint("batches in the store"))
	d.checkSharing(t)
}

// checkSharing checks that owners have placed generations beside those that other owners reported. One
// gateway may own the batches of both trainers all the time.
func (d *deployment) checkSharing(t *testing.T) {
	t.Helper()
	placed, beside, owners := 0, 0, 0
	for _, p := range d.gateways {
		text, err := os.ReadFile(p.log.Name())
		must.NoError(t, err)
		if placedBeside.Match(text) {
			owners++
		}
		for _, line := range strings.Split(string(text), "\n") {
			if match := placedBeside.FindStringSubmatch(line); match != nil {
				placed++
				if match[1] != "0" {
					beside++
				}
			}
		}
	}
	t.Logf("generations placed with a cap: %d, %d of them beside those of other owners", placed, beside)
	if owners > 1 {
		must.Positive(t, beside)
	}
}

// check checks that every accepted batch completes until the deadline, and that every gateway returns
// all of its results.
func (r *trainer) check(deadline time.Time) {
	r.t.Helper()
	must.SliceNotEmpty(r.t, r.accepted)
	for _, id := range r.accepted {
		for _, p := range r.d.gateways {
			must.Wait(r.t, wait.InitialSuccess(wait.BoolFunc(func() bool { return r.read(p, id) }),
				wait.Timeout(max(time.Second, time.Until(deadline))), wait.Gap(50*time.Millisecond)), must.Sprint(id+" is complete at "+p.name))
		}
		items := map[string]bool{}
		for _, result := range r.seen[id] {
			must.False(r.t, items[result.ID])
			items[result.ID] = true
			must.Eq(r.t, "completed", result.State)
			must.Eq(r.t, wiretest.FullText(result.ID, eventsPerText), result.Text)
			must.Eq(r.t, "proof.s-"+result.ID, result.Score)
		}
	}
}
