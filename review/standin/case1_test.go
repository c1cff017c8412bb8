//go:build review

package standin

import (
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"
)

const (
	postTime    = 28 * time.Second
	postClients = 16
	// Of the answers of a faulty server, extraShare come twice for extraLength in each extraPeriod.
	extraShare  = 0.03
	extraLength = 5 * time.Second
	extraPeriod = 7 * time.Second
)

// extraAnswer sends requests that may run once to a service that is often full. With trouble, one of its two servers
// sends some answers a second time, late.
func extraAnswer(d *deployment, trouble bool) (verdict, error) {
	routes := []map[string]any{{
		"name": "post", "hostname": host, "prefix": "/post/", "type": "non_idempotent", "timeout-ms": 2000, "target-latency-ms": 150,
		"priority": 2, "backend": "ledger", "max-attempts": 2, "public": false,
	}}
	d.store.put("op/config", config(routes, []map[string]any{{"name": "ledger", "health-path": "/health", "max-conns": 100}}))
	var servers []*sampler
	for i := range 2 {
		server := &sampler{id: fmt.Sprintf("i-ledger%d", i), pool: "ledger", zone: "z1", slots: 6, queue: 2, work: 25 * time.Millisecond, record: d.record}
		if err := server.start(); err != nil {
			return verdict{}, err
		}
		d.store.put("servers/"+server.id, server.entry("serving"))
		servers = append(servers, server)
	}
	if err := d.startGateways(2); err != nil {
		return verdict{}, err
	}
	if trouble {
		go repeat(time.Now().Add(postTime), extraPeriod, func() {
			d.record.add("sampler %s: from now on %.0f in 100 answers come twice", servers[0].id, 100*extraShare)
			servers[0].setFaults(extraShare, 0)
			time.Sleep(extraLength)
			d.record.add("sampler %s: answers come once again", servers[0].id)
			servers[0].setFaults(0, 0)
		})
	}
	return judgePosts(d, post(d))
}

// judgePosts counts the requests that ran more than once, or ran although they were refused as not run.
func judgePosts(d *deployment, answers map[string]reply) (verdict, error) {
	twice, refused, served := 0, 0, 0
	ids := make([]string, 0, len(answers))
	for id := range answers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		runs := d.record.runsOf(id)
		if answers[id].status == 200 {
			served++
		}
		if len(runs) > 1 {
			twice++
			d.record.add("TWICE: %s ran %d times, on %s and %s; its client got status %d", id, len(runs), runs[0].sampler, runs[1].sampler, answers[id].status)
		}
		if isPromise(answers[id].status) && len(runs) > 0 {
			refused++
			d.record.add("REFUSED: %s was answered %d and ran %d times", id, answers[id].status, len(runs))
		}
	}
	text := fmt.Sprintf("%d requests that may run once, %d served; ran more than once: %d; refused as not run and ran: %d", len(answers), served, twice, refused)
	switch {
	case served < len(answers)/4:
		return verdict{}, errors.New("too few requests were served: " + text)
	case twice+refused > 0:
		return verdict{code: broken, text: "TWICE or REFUSED broken: " + text}, nil
	default:
		return verdict{code: held, text: "held: " + text}, nil
	}
}

// post sends requests from several clients at once and returns the answer of each.
func post(d *deployment) map[string]reply {
	var mutex sync.Mutex
	answers := map[string]reply{}
	var group sync.WaitGroup
	end := time.Now().Add(postTime)
	for i := range postClients {
		group.Go(func() {
			caller := newClient(d.gateways[i%len(d.gateways)].front)
			for time.Now().Before(end) {
				id := newID("p")
				d.record.add("client %d: sends %s POST /post/hours", i, id)
				answer := caller.send("POST", "/post/hours", id, nil, []byte("hours of "+id), 800*time.Millisecond)
				d.record.add("client %d: %s answered %d, error %v", i, id, answer.status, answer.err)
				mutex.Lock()
				answers[id] = answer
				mutex.Unlock()
				if isPromise(answer.status) {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	group.Wait()
	// A request that is still under way may run later.
	time.Sleep(2 * time.Second)
	return answers
}
