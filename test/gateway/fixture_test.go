// Package gateway_test runs gateways and keepers against fakes of the users' platform,
// over real loopback connections.
package gateway_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/bramleyhatch/bramleyhatch/internal/bramleyhatch"
	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

const (
	awaitTimeout = 15 * time.Second
	// processGrace is the time after which a process that stops would be killed.
	processGrace = 2 * time.Second
)

// deployment is a fake platform on which gateways and keepers run.
type deployment struct {
	*wiretest.Platform

	// admit enables admission in the gateways that start.
	admit bool
	// linger is how long the gateways that start serve new requests while they stop; 0 means 50 ms.
	linger time.Duration
}

// gateway is a running gateway with its addresses.
type gateway struct {
	name          string
	front         string
	ready         string
	metrics       string
	storeEndpoint *wiretest.Endpoint
	cancel        context.CancelFunc
	done          chan struct{}
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{Platform: wiretest.NewPlatform()}
	d.PutTable(t, 2, []string{"acme", "other"}, wiretest.Routes()...)
	return d
}

func storeSettings(storeAddress, dutyAddress string) *settingspb.Store {
	return settingspb.Store_builder{
		Address:    storeAddress,
		Orders:     dutyAddress,
		Timeout:    durationpb.New(300 * time.Millisecond),
		Lease:      durationpb.New(wiretest.LeaseLength),
		Watch:      durationpb.New(500 * time.Millisecond),
		ValueBytes: 1 << 20,
	}.Build()
}

func processSettings(name, peer, data string) *settingspb.Process {
	return settingspb.Process_builder{
		Name: name, Region: "r", Zone: "z1", Peer: peer, Data: data, Grace: durationpb.New(processGrace),
	}.Build()
}

// start starts a gateway and waits until it is ready.
func (d *deployment) start(t *testing.T, name string) *gateway {
	t.Helper()
	g := d.launch(t, name)
	g.awaitReady(t)
	return g
}

func (d *deployment) launch(t *testing.T, name string) *gateway {
	t.Helper()
	endpoint := d.NewEndpoint(t)
	g := &gateway{name: name, front: listentest.FreeAddress(t), ready: listentest.FreeAddress(t), metrics: listentest.FreeAddress(t), storeEndpoint: endpoint, done: make(chan struct{})}
	settings := settingspb.Gateway_builder{
		Process:   processSettings(name, listentest.FreeAddress(t), ""),
		Store:     storeSettings(endpoint.Address, d.NewEndpoint(t).Address),
		Front:     settingspb.Front_builder{Listen: g.front, Ready: g.ready, Metrics: g.metrics, Unknown: durationpb.New(time.Second), Linger: durationpb.New(cmp.Or(d.linger, 50*time.Millisecond)), Admit: d.admit}.Build(),
		Directory: settingspb.Directory_builder{Back: durationpb.New(2 * time.Second)}.Build(),
		Batches:   settingspb.Batches_builder{Keep: durationpb.New(time.Minute), Group: durationpb.New(50 * time.Millisecond)}.Build(),
		Duty: settingspb.Duty_builder{
			Lease: durationpb.New(wiretest.LeaseLength), Margin: durationpb.New(300 * time.Millisecond),
			Interval: durationpb.New(100 * time.Millisecond), Order: durationpb.New(time.Second), Fenced: true, Target: 0.75, Slack: 0.1,
		}.Build(),
		Usage: settingspb.Usage_builder{
			Window: durationpb.New(time.Second), Settle: durationpb.New(300 * time.Millisecond), Push: durationpb.New(200 * time.Millisecond),
			Retain: durationpb.New(5 * time.Second), Keep: durationpb.New(20 * time.Second),
		}.Build(),
	}.Build()
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	go func() {
		defer close(g.done)
		_ = (&bramleyhatch.Gateway{Settings: settings}).Run(ctx)
	}()
	t.Cleanup(g.shutDown)
	return g
}

// keeper is a keeper process with a data folder.
type keeper struct {
	deployment    *deployment
	storeEndpoint *wiretest.Endpoint
	settings      *settingspb.Keeper
	stop          func()
}

// startKeeper starts a keeper that stores its data in folder.
func (d *deployment) startKeeper(t *testing.T, name, folder string) *keeper {
	t.Helper()
	k := &keeper{deployment: d, storeEndpoint: d.NewEndpoint(t)}
	k.settings = settingspb.Keeper_builder{
		Process: processSettings(name, listentest.FreeAddress(t), folder),
		Store:   storeSettings(k.storeEndpoint.Address, ""),
	}.Build()
	k.start(t)
	return k
}

// start starts the keeper, or restarts it at the same address.
func (k *keeper) start(t *testing.T) {
	t.Helper()
	k.storeEndpoint.SetUnavailable(false)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = (&bramleyhatch.Keeper{Settings: k.settings}).Run(ctx)
	}()
	k.stop = func() { cancel(); <-ended }
	t.Cleanup(k.stop)
}

// kill stops the keeper without letting it deregister from the store.
func (k *keeper) kill() {
	k.storeEndpoint.SetUnavailable(true)
	k.stop()
}

func (g *gateway) shutDown() {
	g.cancel()
	<-g.done
}

func await(t *testing.T, description string, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(awaitTimeout), wait.Gap(20*time.Millisecond)), must.Sprint(description))
}

func (g *gateway) awaitReady(t *testing.T) {
	t.Helper()
	await(t, g.name+" is ready", func() bool {
		response, err := http.Get("http://" + g.ready + "/bramleyhatch/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// awaitMetric waits until the gateway's metrics contain a line.
func (g *gateway) awaitMetric(t *testing.T, line string) {
	t.Helper()
	await(t, g.name+" serves "+line, func() bool { return g.servesMetric(line) })
}

// servesMetric reports whether the gateway's metrics contain a line now.
func (g *gateway) servesMetric(line string) bool {
	response, err := http.Get("http://" + g.metrics + "/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return err == nil && strings.Contains(string(text), "\n"+line+"\n")
}

// reply is a response as a caller receives it.
type reply struct {
	status int
	header http.Header
	body   string
	// err is set if no response arrived or its body was cut off.
	err error
}

// send sends a request as a caller; headers are pairs of names and values.
func (g *gateway) send(t *testing.T, method, path, key, id string, body []byte, headers ...string) reply {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+g.front+path, bytes.NewReader(body))
	must.NoError(t, err)
	request.Host = "h.example"
	request.GetBody = nil
	if id != "" {
		request.Header.Set("Attempt-Id", id)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

// batchBody returns the body of batch "b1" with items "b1-i0" and so on, each with a scorer.
func batchBody(t *testing.T, items int) []byte {
	t.Helper()
	const id = "b1"
	var list []map[string]any
	for i := range items {
		item := fmt.Sprintf("%s-i%d", id, i)
		list = append(list, map[string]any{
			"id": item, "path": "/batch/run/" + item, "headers": map[string]string{"Model": "m"},
			"body": base64.StdEncoding.EncodeToString([]byte("prompt " + item)), "token-count": 100, "group": fmt.Sprintf("g%d", i/2),
			"scorer": map[string]any{"id": "s-" + item, "hostname": "h.example", "path": "/score/x", "body": base64.StdEncoding.EncodeToString([]byte(item))},
		})
	}
	text, err := json.Marshal(map[string]any{"step": 1, "model": "m", "min-version": 1, "desired": 1, "items": list})
	must.NoError(t, err)
	return text
}

// results is the response to a read of a batch.
type results struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID       string   `json:"id"`
		State    string   `json:"state"`
		Text     string   `json:"text"`
		Versions []uint64 `json:"weight-versions"`
		Score    string   `json:"score"`
	} `json:"results"`
}

func (g *gateway) read(t *testing.T, id string, after int) (results, int) {
	t.Helper()
	got := g.send(t, http.MethodGet, fmt.Sprintf("/bramleyhatch/lots/%s?after=%d", id, after), "key-acme", "", nil, "Wait-Ms", "200")
	var page results
	if got.status == http.StatusOK {
		must.NoError(t, json.Unmarshal([]byte(got.body), &page))
	}
	return page, got.status
}

// submit sends batch "b1" until a gateway accepts it.
func (g *gateway) submit(t *testing.T, items int) {
	t.Helper()
	const id = "b1"
	body := batchBody(t, items)
	await(t, "batch is accepted", func() bool {
		return g.send(t, http.MethodPost, "/batch/"+id, "key-acme", id, body).status == http.StatusAccepted
	})
}

// awaitLease waits until the gateway accepts batches: a gateway reports ready as soon as it can
// serve callers, and obtains its lease a few store calls later. awaitLease submits a batch and ends
// it at once.
func (g *gateway) awaitLease(t *testing.T) {
	t.Helper()
	const id = "b0"
	body := strings.ReplaceAll(string(batchBody(t, 1)), "b1", id)
	await(t, "the gateway has its lease", func() bool {
		return g.send(t, http.MethodPost, "/batch/"+id, "key-acme", id, []byte(body)).status == http.StatusAccepted
	})
	must.Eq(t, http.StatusOK, g.send(t, http.MethodDelete, "/bramleyhatch/lots/"+id, "key-acme", id, nil).status)
}

// awaitResults waits until the gateway returns all results of batch "b1".
func (g *gateway) awaitResults(t *testing.T, items int) results {
	t.Helper()
	var page results
	await(t, "batch is complete", func() bool {
		page, _ = g.read(t, "b1", 0)
		return len(page.Results) == items
	})
	return page
}

// mustBeComplete checks that each item is listed once, with its whole text and its scorer's
// proof.
func mustBeComplete(t *testing.T, page results, items, events int) {
	t.Helper()
	must.Eq(t, items, page.Total)
	seen := map[string]bool{}
	for _, result := range page.Results {
		must.False(t, seen[result.ID])
		seen[result.ID] = true
		must.Eq(t, "completed", result.State)
		must.Eq(t, wiretest.FullText(result.ID, events), result.Text)
		must.Eq(t, "proof.s-"+result.ID, result.Score)
	}
	must.MapLen(t, items, seen)
}
