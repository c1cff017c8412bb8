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
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

const (
	faults     = 14
	faultPause = 700 * time.Millisecond
	batchItems = 6
	// settleTime is how long all batches may take once every fault has ended:
	// leases, takeovers and whole texts.
	settleTime = 30 * time.Second
)

// run starts a deployment, loads it, injects faults, heals it and checks what is
// promised. Where drains isn't nil, a zone of servers is drained now and then.
func run(t *testing.T, random, drains *rand.Rand) {
	w := newWorld(t)
	g := &group{stopped: make(chan struct{})}
	trainer := &trainer{w: w, t: t, random: rand.New(rand.NewPCG(random.Uint64(), 2)), seen: map[string][]result{}}
	callers := &callers{w: w, t: t}
	g.Go(func() { trainer.run(g) })
	for i := range 2 {
		g.Go(func() { callers.run(g, i) })
	}
	if drains != nil {
		w.spread(t)
		g.Go(func() { w.drain(g, drains) })
	}
	for range faults {
		w.inject(t, random)
		time.Sleep(faultPause)
	}
	w.heal()
	close(g.stopped)
	g.Wait()
	for _, p := range w.gateways {
		p.awaitReady(t)
	}
	trainer.check()
	callers.check()
	if drains != nil {
		w.checkDrain(t)
	}
}

// inject begins one fault; those before it may still last.
func (w *world) inject(t *testing.T, random *rand.Rand) {
	p := w.gateways[random.IntN(len(w.gateways))]
	server := w.servers[random.IntN(len(w.servers))]
	length := time.Duration(300+random.IntN(2500)) * time.Millisecond
	kind := random.IntN(14)
	t.Logf("fault %d at %s for %s", kind, p.name, length)
	switch kind {
	case 0:
		p.stop(syscall.SIGKILL, 100*time.Millisecond)
	case 1:
		p.stop(syscall.SIGTERM, 100*time.Millisecond)
	case 2:
		p.signal(syscall.SIGSTOP)
		time.AfterFunc(length, func() { p.signal(syscall.SIGCONT) })
	case 3:
		p.toStore.set(silent, length)
	case 4:
		p.toStore.set(oneWay, length)
	case 5:
		p.toStore.reset()
	case 6:
		server.set(silent, length)
	case 7:
		server.reset()
	case 8:
		server.set(slow, length)
	case 9:
		w.SetUnavailable(true)
		time.AfterFunc(length, func() { w.SetUnavailable(false) })
	case 10:
		w.LoseAnswers(1 + random.IntN(4))
	case 11:
		w.SetWatchesSilent(true)
		time.AfterFunc(length/3, func() {
			w.Compact()
			w.SetWatchesSilent(false)
		})
	case 12:
		w.spoil(random.Uint64())
	case 13:
		w.keeper.wipe()
	}
}

// spoil makes servers spoil a part of their answers.
func (w *world) spoil(seed uint64) {
	for _, server := range append(append([]*wiretest.Sampler{}, w.samplers...), w.plain...) {
		var mutex sync.Mutex
		random := rand.New(rand.NewPCG(seed, 3))
		server.SetFault(func(string, int) wiretest.Fault {
			mutex.Lock()
			defer mutex.Unlock()
			if random.IntN(10) > 0 {
				return wiretest.NoFault
			}
			return []wiretest.Fault{wiretest.FaultTruncate, wiretest.FaultRefuse, wiretest.FaultWrongRequest}[random.IntN(3)]
		})
	}
}

func (l *link) set(mode mode, length time.Duration) {
	l.mode.Store(int32(mode))
	time.AfterFunc(length, func() { l.mode.Store(int32(open)) })
}

// send sends a request to a gateway; status 0 is an answer that never came whole.
func send(p *process, method, path, id string, body []byte, most time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), most)
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

// callers send look-ups and postings, and remember what they were told of them.
type callers struct {
	w *world
	t *testing.T

	mutex    sync.Mutex
	statuses map[string]int
	served   int
}

func (c *callers) run(g *group, number int) {
	for i := 0; !g.isStopped(); i++ {
		p := c.w.gateways[(i+number)%len(c.w.gateways)]
		id := fmt.Sprintf("c%d-%d", number, i)
		path := []string{"/look/x", "/post/x"}[i%2]
		status, body := send(p, http.MethodPost, path, id, []byte(id), 3*time.Second)
		if status == http.StatusOK && body != "answer to "+id {
			c.t.Errorf("%s got %q", id, body)
		}
		if status == http.StatusUnauthorized || status == http.StatusNotFound {
			c.t.Errorf("%s was refused with %d", id, status)
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

// check checks that no posting ran twice, and none that was said not to have run.
func (c *callers) check() {
	c.t.Helper()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	must.Greater(c.t, 20, c.served)
	for id, status := range c.statuses {
		runs := 0
		for _, server := range c.w.plain {
			runs += server.Runs(id)
		}
		must.LessEq(c.t, 1, runs, must.Sprint(id, status))
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			must.Eq(c.t, 0, runs, must.Sprint(id, status))
		}
	}
}

// result is an outcome as a trainer reads it.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
	Score string `json:"score"`
}

// trainer sends batches in and reads them, at any gateway.
type trainer struct {
	w      *world
	t      *testing.T
	random *rand.Rand

	// accepted are the batches that were answered 202.
	accepted []string
	// seen are the places read so far.
	seen map[string][]result
}

func (r *trainer) gateway() *process { return r.w.gateways[r.random.IntN(len(r.w.gateways))] }

func (r *trainer) run(g *group) {
	for i := 0; !g.isStopped(); i++ {
		id := fmt.Sprintf("b%d", i)
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

// submit sends a batch in, again and again as a trainer does, until it is taken.
func (r *trainer) submit(g *group, id string) bool {
	items := []map[string]any{}
	for i := range batchItems {
		item := fmt.Sprintf("%s-i%d", id, i)
		body := base64.StdEncoding.EncodeToString([]byte(item))
		items = append(items, map[string]any{
			"id": item, "path": "/batch/run/x", "headers": map[string]string{"Model": "m"}, "body": body, "token-count": 9, "group": item,
			"scorer": map[string]any{"id": "s-" + item, "hostname": "h.example", "path": "/score/x", "body": body},
		})
	}
	text, err := json.Marshal(map[string]any{"step": 1, "model": "m", "min-version": 1, "desired": 3, "items": items})
	must.NoError(r.t, err)
	for !g.isStopped() {
		if status, _ := send(r.gateway(), http.MethodPost, "/batch/"+id, id, text, 4*time.Second); status == http.StatusAccepted {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// read reads a batch from its start and compares it with what was read before.
func (r *trainer) read(p *process, id string) bool {
	status, body := send(p, http.MethodGet, "/bramleyhatch/lots/"+id+"?after=0", id, nil, 3*time.Second)
	if status == http.StatusNotFound {
		r.t.Errorf("%s was accepted, and %s knows nothing of it", id, p.name)
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
			r.t.Errorf("place %d of %s changed from %v to %v at %s", i, id, before[i], page.Results[i], p.name)
		}
	}
	if len(page.Results) > len(before) {
		r.seen[id] = page.Results
	}
	return page.Total == batchItems && len(page.Results) == batchItems
}

// check checks that every batch that was accepted becomes whole, and that every
// gateway shows it so.
func (r *trainer) check() {
	r.t.Helper()
	must.SliceNotEmpty(r.t, r.accepted)
	until := time.Now().Add(settleTime)
	for _, id := range r.accepted {
		for _, p := range r.w.gateways {
			must.Wait(r.t, wait.InitialSuccess(wait.BoolFunc(func() bool { return r.read(p, id) }),
				wait.Timeout(max(time.Second, time.Until(until))), wait.Gap(50*time.Millisecond)), must.Sprint(id+" is whole at "+p.name))
		}
		items := map[string]bool{}
		for _, result := range r.seen[id] {
			must.False(r.t, items[result.ID])
			items[result.ID] = true
			must.Eq(r.t, "completed", result.State)
			must.Eq(r.t, wiretest.FullText(result.ID, events), result.Text)
			must.Eq(r.t, "proof.s-"+result.ID, result.Score)
		}
	}
	list, err := r.w.List(context.Background(), "bulk/")
	must.NoError(r.t, err)
	r.mustKnow(list.Values)
}

// mustKnow checks that the store holds no batch that was never sent.
func (r *trainer) mustKnow(values []platform.Value) {
	r.t.Helper()
	must.LessEq(r.t, len(r.accepted)+1, len(values))
}
