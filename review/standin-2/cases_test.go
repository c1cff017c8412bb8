//go:build review

package standin2

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// contactTime is contact-ms, cancelTime is cancel-ms, settleTime is settle-ms of the small deployments.
const (
	contactTime = 3 * time.Second
	cancelTime  = 3 * time.Second
	settleTime  = time.Second
)

// endedAt is the gateway at which a batch is ended: the one that doesn't own the model's batches.
var endedAt = 1

// newServers starts samplers and applications in two zones.
func (d *deployment) newServers(samplers, slots int) (lm, app []*server) {
	for i := range samplers {
		lm = append(lm, d.newServer(fmt.Sprintf("i-lm%d", i), "lm", model, []string{"astana-a", "astana-b"}[i%2], slots))
	}
	for i := range 2 {
		app = append(app, d.newServer(fmt.Sprintf("i-app%d", i), "app", "", []string{"astana-a", "astana-b"}[i%2], 6))
	}
	return lm, app
}

// retentionCase reads an open batch that takes longer than status-s because one of six samplers was lost for good.
func retentionCase(isTroubled bool) bool {
	const status = 100 * time.Second
	d := newDeployment()
	d.statusS = "100"
	d.configure(map[string]any{"due-ms": 600000, "max-queue-s": 600, "timeout-ms": 600000})
	lm, _ := d.newServers(6, 2)
	for _, s := range lm {
		// Twelve slots make 72 texts of 14 s in 84 s, ten slots in 101 s and more.
		s.events, s.gap = 28, 500*time.Millisecond
	}
	d.start()
	b := newBatch("7c41e09b52d6a3f8", 9, 8, 9)
	d.submit(b)
	accepted := time.Now()
	if isTroubled {
		time.AfterFunc(5*time.Second, func() {
			record.log("%s is lost for good", lm[0].id)
			lm[0].crash()
		})
	}
	isBroken, listed := false, 0
	for time.Since(accepted) < status+8*time.Second && listed < len(b.ids) && !isBroken {
		for _, p := range d.gateways {
			code, results := read(p, b.id, 0)
			age := time.Since(accepted)
			if code != http.StatusOK {
				record.log("read at %s, %.1f s after the 202: status %d", p.name, age.Seconds(), code)
			}
			if (code == http.StatusNotFound || code == http.StatusGone) && age > settleTime {
				record.log("no client has ended the batch, %d results were read before, and %s answers %d", listed, p.name, code)
				isBroken = true
			}
			if len(results) > listed {
				listed = len(results)
				record.log("%d results read at %s, %.1f s after the 202", listed, p.name, age.Seconds())
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	if listed == len(b.ids) {
		got := call(d.gateways[0], http.MethodDelete, "/bramleyhatch/lots/"+b.id, nil, nil)
		record.log("all results are read, DELETE batch: %d", got.status)
		return isBroken
	}
	for _, id := range b.ids {
		isFinished := false
		for _, s := range lm {
			isFinished = isFinished || s.hasFinished(id)
		}
		if isFinished {
			continue
		}
		got := call(d.gateways[0], http.MethodGet, "/bramleyhatch/items/"+b.id+"?id="+id, nil, nil)
		record.log("body of item %s, which no sampler has finished: %d", id, got.status)
		isBroken = isBroken || got.status == http.StatusNotFound
	}
	return isBroken
}

// refusedCase sends requests that may run once. One of seven applications fails two fifths of them, after it has run them,
// with 503 and without Not-Executed. The client sends a refused request again, as the refusal allows.
func refusedCase(isTroubled bool) bool {
	d := newDeployment()
	d.configure(nil)
	var app []*server
	var mutex sync.Mutex
	applied := map[string]int{}
	for i := range 7 {
		s := d.newServer(fmt.Sprintf("i-app%d", i), "app", "", []string{"astana-a", "astana-b"}[i%2], 6)
		s.onRun = func(body string) {
			mutex.Lock()
			defer mutex.Unlock()
			applied[body]++
		}
		app = append(app, s)
	}
	count := 0
	app[0].fail = func(id string) int {
		mutex.Lock()
		defer mutex.Unlock()
		count++
		if isTroubled && count%5 < 2 {
			record.log("%s has run %s and answers 503 without Not-Executed", app[0].id, id)
			return http.StatusServiceUnavailable
		}
		return 0
	}
	d.start()
	isBroken := false
	post := func(i int) {
		body := fmt.Sprintf("posting %d", i)
		for attempt := range 2 {
			id := fmt.Sprintf("9c41d07be2%04d%02d", i, attempt)
			p := d.gateways[(i+attempt)%2]
			got := call(p, http.MethodPost, "/posu412/2f", []byte(body), map[string]string{"Attempt-Id": id, "Deadline-Ms": "2000"})
			runs := 0
			for _, s := range app {
				runs += s.runs(id)
			}
			isPromise := got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests || got.status == http.StatusRequestTimeout || got.status == http.StatusMisdirectedRequest
			record.log("%s as %s at %s: %d %v, Not-Executed %q; servers that ran it: %d", body, id, p.name, got.status, got.err, got.header.Get("Not-Executed"), runs)
			mutex.Lock()
			isBroken = isBroken || isPromise && runs > 0 || runs > 1
			mutex.Unlock()
			if !isPromise {
				break
			}
		}
		mutex.Lock()
		defer mutex.Unlock()
		if applied[body] > 1 {
			record.log("%s was applied %d times", body, applied[body])
		}
	}
	var clients sync.WaitGroup
	for client := range 8 {
		clients.Go(func() {
			for i := range 20 {
				post(100*client + i)
			}
		})
	}
	clients.Wait()
	return isBroken
}

// arrival is a request that has reached a sampler.
type arrival struct {
	id string
	at time.Time
}

// endedCase ends a batch, restarts the gateways in turn, and sends the same submission again while the store is slow.
func endedCase(isTroubled bool) bool {
	d := newDeployment()
	d.configure(nil)
	lm, _ := d.newServers(2, 2)
	var mutex sync.Mutex
	var arrivals []arrival
	for _, s := range lm {
		s.events, s.gap = 20, 100*time.Millisecond
		s.onArrival = func(s *server, r *http.Request) {
			mutex.Lock()
			defer mutex.Unlock()
			arrivals = append(arrivals, arrival{id: r.Header.Get("Attempt-Id"), at: time.Now()})
			record.log("item %s reaches %s", r.Header.Get("Attempt-Id"), s.id)
		}
	}
	d.start()
	b := newBatch("7c41e09b52d6a3f8", 6, 4, 6)
	d.submit(b)
	time.Sleep(time.Second)
	got := call(d.gateways[0], http.MethodDelete, "/bramleyhatch/lots/"+b.id, nil, nil)
	record.log("DELETE batch: %d %v", got.status, got.err)
	if got.status != http.StatusOK {
		unable("the batch isn't ended")
	}
	ended := time.Now()
	if isTroubled {
		for _, p := range d.gateways {
			p.terminate()
			p.start()
			p.awaitReady()
		}
		time.Sleep(time.Second)
		d.store.slowdown.Store(50)
		record.log("the store is slow: 50 times")
	} else {
		time.Sleep(6 * time.Second)
	}
	time.Sleep(100 * time.Millisecond)
	got = call(d.gateways[0], http.MethodPost, "/pule252/"+b.id, b.body, map[string]string{"Attempt-Id": b.id, "Content-Type": "application/json"})
	record.log("the same submission again at %s: %d %v", d.gateways[0].name, got.status, got.err)
	time.Sleep(500 * time.Millisecond)
	d.store.slowdown.Store(1)
	record.log("the store is as usual")
	calm := time.Now()
	time.Sleep(12 * time.Second)
	mutex.Lock()
	defer mutex.Unlock()
	late := 0
	for _, each := range arrivals {
		if each.at.Sub(ended) > cancelTime && each.at.Sub(calm) > contactTime {
			late++
		}
	}
	record.log("items that reached a sampler over %s after the ack of the end, from gateways in touch with a stable store: %d", cancelTime, late)
	return late > 0
}

// compactCase ends a batch at another gateway than its owner, while the store's watches hear nothing before the store
// drops its history.
func compactCase(isTroubled bool) bool {
	d := newDeployment()
	d.configure(nil)
	lm, _ := d.newServers(2, 2)
	var mutex sync.Mutex
	var arrivals []arrival
	for _, s := range lm {
		s.events, s.gap = 20, 100*time.Millisecond
		s.onArrival = func(s *server, r *http.Request) {
			mutex.Lock()
			defer mutex.Unlock()
			arrivals = append(arrivals, arrival{id: r.Header.Get("Attempt-Id"), at: time.Now()})
			record.log("item %s reaches %s", r.Header.Get("Attempt-Id"), s.id)
		}
	}
	d.start()
	isDropped := make(chan struct{})
	if isTroubled {
		go func() {
			record.log("watches hear nothing for a second")
			d.store.compact(time.Second)
			record.log("the store has dropped its history and cut the watches")
			close(isDropped)
		}()
	} else {
		close(isDropped)
	}
	time.Sleep(100 * time.Millisecond)
	b := newBatch("7c41e09b52d6a3f8", 6, 4, 6)
	d.submit(b)
	time.Sleep(300 * time.Millisecond)
	p := d.gateways[endedAt]
	got := call(p, http.MethodDelete, "/bramleyhatch/lots/"+b.id, nil, nil)
	record.log("DELETE batch at %s: %d %v", p.name, got.status, got.err)
	if got.status != http.StatusOK {
		unable("the batch isn't ended")
	}
	ended := time.Now()
	<-isDropped
	calm := time.Now()
	time.Sleep(14 * time.Second)
	mutex.Lock()
	defer mutex.Unlock()
	late := 0
	for _, each := range arrivals {
		if each.at.Sub(ended) > cancelTime && each.at.Sub(calm) > contactTime {
			late++
		}
	}
	record.log("items that reached a sampler over %s after the ack of the end, from gateways in touch with a stable store: %d", cancelTime, late)
	return late > 0
}

// resetCase resets channels between the gateways and the samplers for some seconds, then waits for the batch.
func resetCase(isTroubled bool) bool {
	const limit = 12 * time.Second
	d := newDeployment()
	d.configure(nil)
	lm, _ := d.newServers(9, 8)
	var mutex sync.Mutex
	last := map[string]time.Time{}
	for _, s := range lm {
		s.events, s.gap = 40, 40*time.Millisecond
		s.onArrival = func(s *server, r *http.Request) {
			mutex.Lock()
			defer mutex.Unlock()
			last[r.Header.Get("Attempt-Id")] = time.Now()
			record.log("item %s reaches %s", r.Header.Get("Attempt-Id"), s.id)
		}
	}
	d.start()
	b := newBatch("7c41e09b52d6a3f8", 30, 4, 30)
	random := rand.New(rand.NewSource(time.Now().UnixNano()))
	d.submit(b)
	accepted := time.Now()
	lastReset := accepted
	if isTroubled {
		for after := 300; after <= 3900; after += 200 {
			time.Sleep(time.Until(accepted.Add(time.Duration(after) * time.Millisecond)))
			count := 0
			for _, s := range lm {
				count += s.reset(func() bool { return random.Float64() < 0.55 })
			}
			lastReset = time.Now()
			record.log("%d channels to samplers are reset", count)
		}
	}
	done := map[string]bool{}
	for time.Since(accepted) < limit {
		_, results := read(d.gateways[0], b.id, 0)
		for _, each := range results {
			if !done[each.ID] {
				record.log("result of %s: %s", each.ID, each.State)
			}
			done[each.ID] = true
		}
		if len(done) == len(b.ids) {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	ended := time.Now()
	got := call(d.gateways[0], http.MethodDelete, "/bramleyhatch/lots/"+b.id, nil, nil)
	record.log("the trainer's time is over, DELETE: %d", got.status)
	steady := lastReset.Add(contactTime)
	mutex.Lock()
	defer mutex.Unlock()
	lost := 0
	for _, id := range b.ids {
		isFinished := done[id]
		for _, s := range lm {
			isFinished = isFinished || s.hasFinished(id)
		}
		if isFinished {
			continue
		}
		from := last[id]
		if from.Before(steady) {
			from = steady
		}
		record.log("item %s isn't listed; at no sampler in steady state for the last %.1f s", id, ended.Sub(from).Seconds())
		if ended.Sub(from) >= 5*time.Second {
			lost++
		}
	}
	return lost > 0
}

// linesCase lets samplers make events whose data begins with a line feed.
func linesCase(isTroubled bool) bool {
	d := newDeployment()
	d.configure(nil)
	lm, _ := d.newServers(2, 8)
	for _, s := range lm {
		s.data = func(id string, event int) string {
			if isTroubled && event == 3 {
				return "\n\n" + eventData(id, event)
			}
			return eventData(id, event)
		}
	}
	d.start()
	b := newBatch("7c41e09b52d6a3f8", 2, 4, 2)
	d.submit(b)
	isBroken := false
	var results []result
	for began := time.Now(); time.Since(began) < 15*time.Second && len(results) < len(b.ids); time.Sleep(300 * time.Millisecond) {
		_, results = read(d.gateways[0], b.id, 0)
	}
	if len(results) < len(b.ids) {
		unable("only %d results", len(results))
	}
	for _, each := range results {
		isWhole := each.Text == lm[0].wholeText(each.ID)
		record.log("result of %s: %s, whole text: %t", each.ID, each.State, isWhole)
		if each.State == "completed" && !isWhole {
			record.log("  listed %q", each.Text)
			record.log("  made   %q", lm[0].wholeText(each.ID))
			isBroken = true
		}
	}
	return isBroken
}

// hostCase names the host of the route in capitals, which is the same host.
func hostCase(isTroubled bool) bool {
	name := host
	if isTroubled {
		name = "Ficu95.Example"
	}
	d := newDeployment()
	d.configure(nil)
	lm, _ := d.newServers(2, 8)
	d.start()
	b := newBatch("7c41e09b52d6a3f8", 2, 4, 2)
	got := callHost(d.gateways[0], name, http.MethodPost, "/pule252/"+b.id, b.body, map[string]string{"Attempt-Id": b.id, "Content-Type": "application/json"})
	record.log("POST batch with Host %s: %d %v", name, got.status, got.err)
	if got.status != http.StatusAccepted {
		return false
	}
	var results []result
	for began := time.Now(); time.Since(began) < 15*time.Second && len(results) < len(b.ids); time.Sleep(300 * time.Millisecond) {
		_, results = read(d.gateways[0], b.id, 0)
	}
	isBroken := false
	for _, each := range results {
		runs := lm[0].runs(each.ID) + lm[1].runs(each.ID)
		record.log("result of %s: %s after %d runs", each.ID, each.State, runs)
		isBroken = isBroken || each.State == "down"
	}
	return isBroken
}

// memoryMB is memory-mb of an entry host.
const memoryMB = 284

// watchMemory ends a process that uses more memory than its host has, as the platform does.
func (p *process) watchMemory(onEnd func()) {
	for peak := 0; ; time.Sleep(10 * time.Millisecond) {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
		if err != nil {
			return
		}
		used := 0
		for line := range strings.Lines(string(text)) {
			if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
				_, _ = fmt.Sscanf(rest, "%d", &used)
			}
		}
		if used>>10 > peak+50 {
			peak = used >> 10
			record.log("%s uses %d MB", p.name, peak)
		}
		if used>>10 > memoryMB {
			record.log("%s uses %d MB, more than its host has, and is killed", p.name, used>>10)
			onEnd()
			_ = p.command.Process.Signal(syscall.SIGKILL)
			return
		}
	}
}

// floodCase lets a sampler send one event without an end, while clients call the gateways on kept channels.
func floodCase(isTroubled bool) bool {
	d := newDeployment()
	d.configure(nil)
	lm, app := d.newServers(2, 8)
	var once sync.Once
	lm[0].spoil = func(_ string, event int) bool {
		isFirst := false
		if isTroubled && event == 3 {
			once.Do(func() { isFirst = true })
		}
		return isFirst
	}
	for _, s := range app {
		s.work = 300 * time.Millisecond
	}
	d.start()
	var mutex sync.Mutex
	killed := map[*process]time.Time{}
	for _, p := range d.gateways {
		go p.watchMemory(func() {
			mutex.Lock()
			defer mutex.Unlock()
			killed[p] = time.Now()
		})
	}
	lost := map[*process]int{}
	var clients sync.WaitGroup
	began := time.Now()
	for number := range 12 {
		p := d.gateways[number%2]
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 2 * time.Second}
			for i := 0; time.Since(began) < 10*time.Second; i++ {
				id := fmt.Sprintf("9c41d07b%04d%04d", number, i)
				request, _ := http.NewRequest(http.MethodPost, "http://"+p.front+"/lohu930/2f", strings.NewReader("check "+id))
				request.Host = host
				for name, value := range map[string]string{"Authorization": "Bearer " + key, "Attempt-Id": id, "Deadline-Ms": "2000"} {
					request.Header.Set(name, value)
				}
				response, err := client.Do(request)
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
				runs := app[0].runs(id) + app[1].runs(id)
				if err == nil {
					continue
				}
				record.log("request %s at %s, request %d of its channel, run by %d servers: %v", id, p.name, i, runs, err)
				if i == 0 || runs == 0 {
					return
				}
				mutex.Lock()
				lost[p]++
				mutex.Unlock()
				return
			}
		})
	}
	time.Sleep(time.Second)
	b := newBatch("7c41e09b52d6a3f8", 2, 4, 2)
	d.submit(b)
	clients.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	isBroken := false
	for p := range killed {
		record.log("%s ended by itself; requests of kept channels that a sound server ran and that got no answer: %d", p.name, lost[p])
		isBroken = isBroken || lost[p] > 3
	}
	return isBroken
}
