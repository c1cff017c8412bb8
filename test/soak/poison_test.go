package soak_test

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

const (
	// crashServerCount is the number of servers per pool: enough that crashing requests don't take
	// down the whole pool all the time.
	crashServerCount = 5
	crashDowntime    = 300 * time.Millisecond
	crashRunTime     = 30 * time.Millisecond
	crashingBody     = "crash"
	// copyInterval is the time between two copies of any crashing request.
	copyInterval = 100 * time.Millisecond
	// crashBatchInterval is the time between two batches with a crashing item.
	crashBatchInterval = 2 * time.Second
	// quarantineCrashes is the number of crashes after which a request is kept from the servers.
	quarantineCrashes = 3
	// maxLateArrivals is how often a quarantined request may still reach a server.
	maxLateArrivals = 3
	// quarantineDelay is how long gateways that reach the store may take to agree on a quarantine.
	quarantineDelay = 3 * time.Second
	// repeatTime is how long copies are sent to gateways that agree on the quarantine.
	repeatTime = 6 * time.Second
	// unluckyCrashes is the number of crashes after which the unlucky items crash no more servers: more than a caller's
	// request is sent in minutes.
	unluckyCrashes = 8
)

// crashingPaths are the paths of the crashing requests: a look-up, a posting and a stream.
var crashingPaths = []string{"/look/crash", "/post/crash", "/stream/crash"}

// itemPath is the path of the unlucky items: samplers crash while they run them, and then no more.
const itemPath = "/batch/run/crash"

// Guards against a request that crashes each server that runs it, and that is repeated while other
// faults keep the gateways from agreeing on its quarantine.
func TestSoakCrashingRequest(t *testing.T) {
	runSeeds(t, func(t *testing.T, seed uint64) {
		d := newDeploymentOf(t, crashServerCount, crashServerCount)
		crashers := newCrashers(t, d, seed)
		g := &group{stopped: make(chan struct{})}
		trainers, callers := d.runLoad(t, rand.New(rand.NewPCG(seed, 1)), func(*group) {
			g.Go(func() { crashers.sendRequests(g) })
			g.Go(func() { crashers.sendBatches(g) })
		})
		recovered := time.Now()
		time.Sleep(quarantineDelay)
		d.mustServe(t, "q")
		time.Sleep(time.Until(recovered.Add(quarantineDelay + repeatTime)))
		close(g.stopped)
		g.Wait()
		crashers.check(recovered)
		d.checkTrainers(t, trainers, crashers.batchesSent)
		callers.check()
	})
}

// crashers send crashing requests to random gateways.
type crashers struct {
	d *deployment
	t *testing.T
	// random selects gateways and requests, batchRandom the gateways of batches.
	random, batchRandom *rand.Rand
	// triggers holds the trigger of each path.
	triggers map[string]*wiretest.CrashTrigger

	// refused lists the IDs of the requests that were refused as not run.
	refused []string
	// batchesSent counts the batches that were sent, accepted lists those that got status 202.
	batchesSent int
	accepted    []string
}

func newCrashers(t *testing.T, d *deployment, seed uint64) *crashers {
	t.Helper()
	c := &crashers{d: d, t: t, random: rand.New(rand.NewPCG(seed, 5)), batchRandom: rand.New(rand.NewPCG(seed, 6)), triggers: map[string]*wiretest.CrashTrigger{}}
	for _, path := range append(slices.Clone(crashingPaths), itemPath) {
		trigger := &wiretest.CrashTrigger{
			Matches: func(request wiretest.RunRequest) bool {
				return request.Path == path && request.Account == "acme" && request.Body == crashingBody
			},
			RunTime: crashRunTime, Downtime: crashDowntime,
		}
		trigger.AddTo(slices.Concat(d.plain, d.samplers)...)
		c.triggers[path] = trigger
	}
	c.triggers[itemPath].StopAfter(unluckyCrashes)
	return c
}

// sendRequests repeats the crashing look-up, posting and stream, each time with a new ID.
func (c *crashers) sendRequests(g *group) {
	for i := 0; !g.isStopped(); i++ {
		id, path := fmt.Sprintf("x%d", i), crashingPaths[c.random.IntN(len(crashingPaths))]
		p := c.d.gateways[c.random.IntN(len(c.d.gateways))]
		if status, _ := send(p, http.MethodPost, path, id, []byte(crashingBody), 3*time.Second); status == http.StatusServiceUnavailable {
			c.refused = append(c.refused, id)
		}
		time.Sleep(copyInterval)
	}
}

// sendBatches sends batches whose first item is unlucky.
func (c *crashers) sendBatches(g *group) {
	for i := 0; !g.isStopped(); i++ {
		id := fmt.Sprintf("x%d", i)
		items := batchItems(models[0], id)
		items[0]["path"], items[0]["body"] = itemPath, base64.StdEncoding.EncodeToString([]byte(crashingBody))
		text := encodeBatch(c.t, models[0], items)
		c.batchesSent++
		for next := time.Now().Add(crashBatchInterval); !g.isStopped() && time.Now().Before(next); time.Sleep(copyInterval) {
			if slices.Contains(c.accepted, id) {
				continue
			}
			p := c.d.gateways[c.batchRandom.IntN(len(c.d.gateways))]
			if status, _ := send(p, http.MethodPost, "/batch/"+id, id, text, 4*time.Second); status == http.StatusAccepted {
				c.accepted = append(c.accepted, id)
			}
		}
	}
}

// check checks that each crashing request hardly reaches a server once the gateways have recovered
// and agree on its quarantine, that no request reported as not run has run, and that all items of the
// batches complete.
func (c *crashers) check(recovered time.Time) {
	c.t.Helper()
	late := map[string]int{}
	arrived := map[string]bool{}
	for _, path := range crashingPaths {
		arrivals, crashes := c.triggers[path].Arrivals(), c.triggers[path].Crashes()
		for _, arrival := range arrivals {
			arrived[arrival.ID] = true
			if len(crashes) >= quarantineCrashes && arrival.Time.After(agreedAt(recovered, crashes)) {
				late[path]++
			}
		}
		c.t.Logf("%s: %d arrivals, %d crashes, %d late arrivals", path, len(arrivals), len(crashes), late[path])
	}
	for _, path := range crashingPaths {
		must.LessEq(c.t, maxLateArrivals, late[path], must.Sprint("late arrivals of ", path))
	}
	for _, id := range c.refused {
		must.False(c.t, arrived[id], must.Sprint("a refused copy has run: ", id))
	}
	c.t.Logf("%s: %d crashes", itemPath, len(c.triggers[itemPath].Crashes()))
	c.checkBatches()
}

// agreedAt returns the time from which the gateways agree on the quarantine of a request.
func agreedAt(recovered time.Time, crashes []wiretest.Crash) time.Time {
	third := crashes[quarantineCrashes-1].Time
	if third.After(recovered) {
		return third.Add(quarantineDelay)
	}
	return recovered.Add(quarantineDelay)
}

// checkBatches checks that all items complete.
func (c *crashers) checkBatches() {
	c.t.Helper()
	must.SliceNotEmpty(c.t, c.accepted)
	deadline := time.Now().Add(settleTimeout)
	for i, id := range c.accepted {
		p := c.d.gateways[i%len(c.d.gateways)]
		must.Wait(c.t, wait.InitialSuccess(wait.BoolFunc(func() bool { return c.countComplete(p, id) == itemsPerBatch }),
			wait.Timeout(max(time.Second, time.Until(deadline))), wait.Gap(50*time.Millisecond)), must.Sprint("the items of batch ", id, " are complete at ", p.name))
	}
}

// countComplete returns the number of complete items of a batch.
func (c *crashers) countComplete(p *process, id string) int {
	status, body := send(p, http.MethodGet, "/bramleyhatch/lots/"+id+"?after=0", id, nil, 3*time.Second)
	if status != http.StatusOK {
		return 0
	}
	var page struct {
		Results []result `json:"results"`
	}
	must.NoError(c.t, json.Unmarshal([]byte(body), &page))
	complete := 0
	for _, result := range page.Results {
		isWhole := result.Text == wiretest.FullText(result.ID, eventsPerText) && result.Score == "proof.s-"+result.ID
		if result.State == "completed" && isWhole {
			complete++
		}
	}
	return complete
}
