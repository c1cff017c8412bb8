package gateway_test

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

const (
	serversPerPool = 5
	// quarantineCrashes is the number of crashes after which a request is kept from the servers.
	quarantineCrashes = 3
	// maxLateArrivals is how often a quarantined request may still reach a server.
	maxLateArrivals = 3
	// quarantineDelay is how long after the crash the gateways may take to agree on the quarantine.
	quarantineDelay = 3 * time.Second
	// repeatTime is how long copies are sent to gateways that agree on the quarantine.
	repeatTime = 6 * time.Second
	// copyInterval is the time between two copies of a crashing request: with two attempts each,
	// they don't take down the whole pool.
	copyInterval = 250 * time.Millisecond
	// minInnocents is the number of innocent requests that are sent to gateways that agree on the quarantine.
	minInnocents = 11
	// repeatTimeout bounds how long requests are repeated. On a machine under load a stream takes more than a second, and
	// minInnocents take longer than repeatTime.
	repeatTimeout = time.Minute
	// innocentInterval is the time between two requests that crash nothing.
	innocentInterval = 50 * time.Millisecond
	// releaseTimeout is how long after the crash an innocent request may be refused.
	releaseTimeout = 10 * time.Second
	crashDowntime  = 300 * time.Millisecond
	crashRunTime   = 30 * time.Millisecond
	crashingBody   = "crash"
)

// crashingDeployment is a deployment in which one request crashes the servers that run it.
type crashingDeployment struct {
	*deployment

	gateways []*gateway
	trigger  *wiretest.CrashTrigger
	// plain are the servers of pool "app", samplers those of pool "lm".
	plain    []*wiretest.Sampler
	samplers []*wiretest.Sampler
}

// newCrashingDeployment starts gateways and servers that crash if they run a request with the path
// and crashingBody.
func newCrashingDeployment(t *testing.T, gateways int, account, path string) *crashingDeployment {
	t.Helper()
	d := &crashingDeployment{deployment: newDeployment(t)}
	d.trigger = &wiretest.CrashTrigger{
		Matches: func(request wiretest.RunRequest) bool {
			return request.Path == path && request.Account == account && request.Body == crashingBody
		},
		RunTime: crashRunTime, Downtime: crashDowntime,
	}
	for i := range serversPerPool {
		d.plain = append(d.plain, d.NewSampler(t, fmt.Sprintf("a%d", i), "app", ""))
		d.samplers = append(d.samplers, d.NewSampler(t, fmt.Sprintf("s%d", i), "lm", "m"))
	}
	d.trigger.AddTo(d.plain...)
	d.trigger.AddTo(d.samplers...)
	for i := range gateways {
		d.gateways = append(d.gateways, d.launch(t, fmt.Sprintf("g%d", i)))
	}
	for _, g := range d.gateways {
		g.awaitReady(t)
	}
	return d
}

// isClosed returns a condition for repeat: whether a channel is closed.
func isClosed(stopped <-chan struct{}) func([]sentCopy) bool {
	return func([]sentCopy) bool {
		select {
		case <-stopped:
			return true
		default:
			return false
		}
	}
}

// Bodies of the requests that repeat sends: copies of the crashing request, distinct requests, and
// copies of one innocent request.
func crashing(string) string    { return crashingBody }
func distinct(id string) string { return "innocent " + id }
func innocent(string) string    { return "innocent" }

// sentCopy is a copy of a request as its caller saw it.
type sentCopy struct {
	reply

	id   string
	sent time.Time
}

// thirdCrash returns the time of the crash that starts the quarantine, or false before it.
func (d *crashingDeployment) thirdCrash() (time.Time, bool) {
	crashes := d.trigger.Crashes()
	if len(crashes) < quarantineCrashes {
		return time.Time{}, false
	}
	return crashes[quarantineCrashes-1].Time, true
}

// isOver reports whether copies were sent for repeatTime under the quarantine, and enough innocent requests with them.
func (d *crashingDeployment) isOver(innocents []sentCopy) bool {
	third, ok := d.thirdCrash()
	return ok && time.Since(third) > quarantineDelay+repeatTime && len(sentAfter(innocents, third.Add(quarantineDelay))) >= minInnocents
}

func sentAfter(copies []sentCopy, start time.Time) []sentCopy {
	return slices.DeleteFunc(slices.Clone(copies), func(sent sentCopy) bool { return sent.sent.Before(start) })
}

// repeatInnocents repeats distinct innocent requests until the test is over.
func (d *crashingDeployment) repeatInnocents(t *testing.T, path string) []sentCopy {
	t.Helper()
	return d.repeat(t, "i", path, distinct, innocentInterval, d.isOver)
}

// repeat sends requests with new IDs to the gateways in turn until a condition on those sent holds.
// bodyOf returns the body for an ID.
func (d *crashingDeployment) repeat(t *testing.T, name, path string, bodyOf func(id string) string, interval time.Duration, isOver func(sent []sentCopy) bool) []sentCopy {
	t.Helper()
	var copies []sentCopy
	deadline := time.Now().Add(repeatTimeout)
	for i := 0; !isOver(copies) && time.Now().Before(deadline); i++ {
		id, sent := fmt.Sprintf("%s%d", name, i), time.Now()
		got := d.gateways[i%len(d.gateways)].send(t, http.MethodPost, path, "key-acme", id, []byte(bodyOf(id)), "Model", "m")
		copies = append(copies, sentCopy{reply: got, id: id, sent: sent})
		time.Sleep(max(0, interval-time.Since(sent)))
	}
	return copies
}

// mustStayQuarantined checks that hardly any arrival of the crashing request follows once the
// gateways agree on its quarantine, and that refused copies say so and didn't run.
func (d *crashingDeployment) mustStayQuarantined(t *testing.T, copies []sentCopy) {
	t.Helper()
	third, ok := d.thirdCrash()
	must.True(t, ok, must.Sprint("three servers have crashed"))
	agreed := third.Add(quarantineDelay)
	arrived := map[string]bool{}
	late := 0
	for _, arrival := range d.trigger.Arrivals() {
		arrived[arrival.ID] = true
		if arrival.Time.After(agreed) {
			late++
		}
	}
	t.Logf("%d arrivals and %d crashes in total, %d arrivals from %s after the third crash on, %d copies", len(d.trigger.Arrivals()), len(d.trigger.Crashes()), late, quarantineDelay, len(copies))
	must.LessEq(t, maxLateArrivals, late, must.Sprint("late arrivals"))
	for _, sent := range copies {
		if sent.status == http.StatusServiceUnavailable {
			must.NotEq(t, "", sent.header.Get("Retry-After"), must.Sprint(sent.id))
			must.False(t, arrived[sent.id], must.Sprint("a refused copy has run: ", sent.id))
		}
		if sent.sent.After(agreed) && !arrived[sent.id] {
			must.Eq(t, http.StatusServiceUnavailable, sent.status, must.Sprint(sent.id))
		}
	}
}

// mustServe checks that all requests sent once the gateways agreed on the quarantine were served.
func (d *crashingDeployment) mustServe(t *testing.T, copies []sentCopy) {
	t.Helper()
	third, _ := d.thirdCrash()
	agreed := sentAfter(copies, third.Add(quarantineDelay))
	for _, sent := range agreed {
		must.NoError(t, sent.err, must.Sprint(sent.id))
		must.Eq(t, http.StatusOK, sent.status, must.Sprint(sent.id))
	}
	must.GreaterEq(t, minInnocents, len(agreed), must.Sprint("innocent requests"))
}

// repeatBeside repeats a crashing request beside innocent requests to the same pool.
func (d *crashingDeployment) repeatBeside(t *testing.T, path, innocentPath string) {
	t.Helper()
	var copies, innocents []sentCopy
	var group sync.WaitGroup
	stopped := make(chan struct{})
	group.Go(func() { copies = d.repeat(t, "c", path, crashing, copyInterval, isClosed(stopped)) })
	group.Go(func() {
		defer close(stopped)
		innocents = d.repeatInnocents(t, innocentPath)
	})
	group.Wait()
	d.mustStayQuarantined(t, copies)
	d.mustServe(t, innocents)
}

// Guards against a request that crashes each server that runs it: its caller repeats it, and each
// copy takes down more servers until the whole pool is down.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	t.Run("look-up", func(t *testing.T) {
		t.Parallel()
		newCrashingDeployment(t, 3, "acme", "/look/x").repeatBeside(t, "/look/x", "/look/y")
	})
	t.Run("posting", func(t *testing.T) {
		t.Parallel()
		newCrashingDeployment(t, 2, "acme", "/post/x").repeatBeside(t, "/post/x", "/look/y")
	})
	t.Run("stream", func(t *testing.T) {
		t.Parallel()
		newCrashingDeployment(t, 2, "acme", "/stream/x").repeatBeside(t, "/stream/x", "/stream/y")
	})
	t.Run("innocent request in flight", testInnocentIsReleased)
}

// Guards against a request that stays refused because it ran on the servers that another request
// crashed.
func testInnocentIsReleased(t *testing.T) {
	t.Parallel()
	const innocentPath, innocentCallers = "/look/slow", 8
	d := newCrashingDeployment(t, 2, "acme", "/look/x")
	// The crashing request may reach a server that runs nothing else.
	d.trigger.CrashOnlyBeside(func(request wiretest.RunRequest) bool { return request.Path == innocentPath })
	for _, server := range d.plain {
		server.SetServiceTime(4 * crashRunTime)
	}
	stopped := make(chan struct{})
	var group sync.WaitGroup
	for i := range innocentCallers {
		group.Go(func() {
			d.repeat(t, fmt.Sprintf("i%d-", i), innocentPath, innocent, innocentInterval, isClosed(stopped))
		})
	}
	t.Cleanup(group.Wait)
	t.Cleanup(func() { close(stopped) })
	d.repeat(t, "c", "/look/x", crashing, copyInterval, func([]sentCopy) bool { return d.crashesWith(innocentPath) >= quarantineCrashes })
	crashed := time.Now()
	must.GreaterEq(t, quarantineCrashes, d.crashesWith(innocentPath))
	time.Sleep(quarantineDelay)
	for number, g := range d.gateways {
		serves := func() bool {
			return g.send(t, http.MethodPost, innocentPath, "key-acme", "again", []byte(innocent(""))).status == http.StatusOK
		}
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(serves), wait.Timeout(max(time.Second, releaseTimeout-time.Since(crashed))), wait.Gap(copyInterval)), must.Sprint("served again by ", g.name))
		for range 5 {
			must.True(t, serves(), must.Sprint("still served by gateway ", number))
		}
	}
}

// crashesWith returns the number of crashes of servers that also ran a request with a path.
func (d *crashingDeployment) crashesWith(path string) int {
	count := 0
	for _, crash := range d.trigger.Crashes() {
		for _, request := range crash.Running {
			if request.Path == path {
				count++
				break
			}
		}
	}
	return count
}

var encodedCrash = base64.StdEncoding.EncodeToString([]byte(crashingBody))

const (
	// crashingBatches is the number of batches that contain the same crashing request: the pauses
	// between the runs of one item grow.
	crashingBatches = 3
	itemsPerBatch   = 5
	// unluckyCrashes is the number of crashes after which the crashing request crashes no more servers.
	unluckyCrashes = 8
	// owedTimeout is how long after the last crash a batch may take: three seconds until all is steady, and five in which an
	// item may be at no server.
	owedTimeout = 8 * time.Second
)

// Guards against an item that is never placed again, or never scored, because servers crashed while they ran it.
func TestCrashedItemIsOwed(t *testing.T) {
	t.Run("item", func(t *testing.T) {
		t.Parallel()
		d := newCrashingDeployment(t, 2, "acme", "/batch/run/x")
		d.runUnlucky(t, func(item map[string]any) { item["body"] = encodedCrash })
	})
	t.Run("scorer's request", func(t *testing.T) {
		t.Parallel()
		d := newCrashingDeployment(t, 2, "", "/score/x")
		d.runUnlucky(t, func(item map[string]any) { item["scorer"].(map[string]any)["body"] = encodedCrash })
	})
}

// runUnlucky runs batches whose first items run on servers that crash, more often than a caller's request is sent in
// minutes, and checks that all items are complete soon after the last crash.
func (d *crashingDeployment) runUnlucky(t *testing.T, makeCrashing func(item map[string]any)) {
	t.Helper()
	for _, sampler := range d.samplers {
		sampler.SetPace(10, 10*time.Millisecond)
	}
	d.trigger.StopAfter(unluckyCrashes)
	for i := range crashingBatches {
		d.submitBatch(t, i, makeCrashing)
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return len(d.trigger.Crashes()) >= unluckyCrashes }), wait.Timeout(repeatTimeout), wait.Gap(copyInterval)))
	lastCrash := time.Now()
	for i := range crashingBatches {
		isComplete := func() bool { return d.countComplete(t, i) == itemsPerBatch }
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(isComplete), wait.Timeout(time.Until(lastCrash.Add(owedTimeout))), wait.Gap(copyInterval)), must.Sprintf("batch b%d is complete", i))
	}
}

// submitBatch sends a batch to a gateway until it is accepted.
func (d *crashingDeployment) submitBatch(t *testing.T, number int, makeCrashing func(item map[string]any)) {
	t.Helper()
	id := fmt.Sprintf("b%d", number)
	var items []map[string]any
	for i := range itemsPerBatch {
		item := fmt.Sprintf("%s-i%d", id, i)
		body := base64.StdEncoding.EncodeToString([]byte(item))
		items = append(items, map[string]any{
			"id": item, "path": "/batch/run/x", "headers": map[string]string{"Model": "m"}, "body": body, "token-count": 100, "group": item,
			"scorer": map[string]any{"id": "s-" + item, "hostname": "h.example", "path": "/score/x", "body": body},
		})
	}
	makeCrashing(items[0])
	text, err := json.Marshal(map[string]any{"step": 1, "model": "m", "min-version": 1, "desired": itemsPerBatch, "items": items})
	must.NoError(t, err)
	g := d.gateways[number%len(d.gateways)]
	await(t, "batch is accepted", func() bool {
		return g.send(t, http.MethodPost, "/batch/"+id, "key-acme", id, text).status == http.StatusAccepted
	})
}

// countComplete returns the number of items of a batch with their whole text and their scorer's proof.
func (d *crashingDeployment) countComplete(t *testing.T, number int) int {
	t.Helper()
	page, _ := d.gateways[0].read(t, fmt.Sprintf("b%d", number), 0)
	complete := 0
	for _, result := range page.Results {
		if result.State == "completed" && result.Text == wiretest.FullText(result.ID, 10) && result.Score == "proof.s-"+result.ID {
			complete++
		}
	}
	return complete
}
