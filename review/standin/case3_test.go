//go:build review

package standin

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	streamTime     = 84 * time.Second
	streamClients  = 49
	streamSamplers = 7
	streamEvents   = 25
	streamGap      = 40 * time.Millisecond
	// In each cycle one sampler fails failingShare of its requests for failingLength, with good health. Meanwhile two others
	// crash, one after the other, each crashDelay later and for crashLength.
	cycle          = 7 * time.Second
	crashesInCycle = 2
	failingShare   = 0.4
	failingLength  = 6 * time.Second
	crashDelay     = 800 * time.Millisecond
	crashLength    = 2 * time.Second
)

// resumedStream sends streams that may be resumed. With trouble, one of seven samplers fails part of its requests, and
// the others crash in turn.
func resumedStream(d *deployment, trouble bool) (verdict, error) {
	routes := []map[string]any{{
		"name": "draft", "hostname": host, "prefix": "/draft/", "type": "stream", "resumable": true, "sticky": true, "timeout-ms": 10000,
		"target-latency-ms": 500, "priority": 1, "backend": "lm", "max-attempts": 3, "public": false,
	}}
	pools := []map[string]any{{
		"name": "lm", "health-path": "/health", "max-conns": 140, "engine": map[string]any{"slots": 8, "kv-capacity": 66020, "models": []map[string]any{{"name": "m"}}},
	}}
	d.store.put("op/config", config(routes, pools))
	var samplers []*sampler
	for i := range streamSamplers {
		server := &sampler{id: fmt.Sprintf("i-lm%d", i), pool: "lm", zone: "z1", slots: 8, queue: 8, events: streamEvents, gap: streamGap, models: []string{"m"}, record: d.record}
		if err := server.start(); err != nil {
			return verdict{}, err
		}
		d.store.put("servers/"+server.id, server.entry("serving"))
		samplers = append(samplers, server)
	}
	if err := d.startGateways(2); err != nil {
		return verdict{}, err
	}
	var faults sync.WaitGroup
	if trouble {
		faults.Go(func() { failAndCrash(d, samplers, time.Now().Add(streamTime)) })
	}
	whole, short, failed := draft(d)
	faults.Wait()
	text := fmt.Sprintf("%d streams whole, %d ended as complete before their last event, %d broken off or refused", whole, short, failed)
	switch {
	case whole < streamClients:
		return verdict{}, errors.New("too few streams were served: " + text)
	case short > 0:
		return verdict{code: broken, text: "ORDER broken: " + text}, nil
	default:
		return verdict{code: held, text: "held: " + text}, nil
	}
}

// failAndCrash makes the last sampler fail part of its requests, and crashes the others in turn.
func failAndCrash(d *deployment, samplers []*sampler, end time.Time) {
	failing, others := samplers[len(samplers)-1], samplers[:len(samplers)-1]
	next := 0
	repeat(end, cycle, func() {
		d.record.add("sampler %s: fails %.0f in 100 requests from now on", failing.id, 100*failingShare)
		failing.setFaults(0, failingShare)
		time.AfterFunc(failingLength, func() { failing.setFaults(0, 0) })
		for range crashesInCycle {
			time.Sleep(crashDelay)
			crashAndStart(d, others[next%len(others)])
			next++
		}
	})
}

// crashAndStart crashes a sampler and starts it again under its ID.
func crashAndStart(d *deployment, server *sampler) {
	d.record.add("sampler %s: crashes", server.id)
	server.crash()
	time.Sleep(crashLength)
	if err := server.start(); err != nil {
		d.record.add("sampler %s: could not start again: %v", server.id, err)
		return
	}
	d.record.add("sampler %s: started again", server.id)
	d.store.put("servers/"+server.id, server.entry("serving"))
}

// draft reads streams from several clients at once and counts them by their end.
func draft(d *deployment) (whole, short, failed int) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	end := time.Now().Add(streamTime)
	for i := range streamClients {
		group.Go(func() {
			caller := newClient(d.gateways[i%len(d.gateways)].front)
			for time.Now().Before(end) {
				id := newID("d")
				d.record.add("client %d: sends %s POST /draft/note", i, id)
				header := map[string]string{"Model": "m", "Token-Usage": "40,25", "Prompt-Prefix": id[1:] + ":40"}
				answer := caller.send("POST", "/draft/note", id, header, []byte("prompt of "+id), 8*time.Second)
				events := countEvents(id, string(answer.body))
				d.record.add("client %d: %s answered %d, %d of %d events, error %v, signature %q", i, id, answer.status, events, streamEvents, answer.err, answer.header.Get("Sampler-Signature"))
				mutex.Lock()
				switch {
				case answer.err != nil || answer.status != 200:
					failed++
				case events == streamEvents:
					whole++
				default:
					short++
					d.record.add("ORDER: %s ended as complete after event %d of %d; its runs: %s", id, events, streamEvents, describe(d.record.runsOf(id)))
				}
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	return whole, short, failed
}

// describe tells where the runs of a request began.
func describe(runs []run) string {
	var parts []string
	for _, run := range runs {
		parts = append(parts, fmt.Sprintf("%s after event %d", run.sampler, run.after))
	}
	return strings.Join(parts, ", ")
}

// countEvents returns the number of events that stand in order from the first one.
func countEvents(id, body string) int {
	count := 0
	for _, line := range strings.Split(body, "\n") {
		if line == fmt.Sprintf("data: %s.%d", id, count+1) {
			count++
		}
	}
	return count
}
