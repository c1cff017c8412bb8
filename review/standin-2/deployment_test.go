//go:build review

// Package standin2 holds the cases of the second review that are shown by a script: a small deployment on loopback
// addresses, with the gateways and keepers as separate processes and stand-ins of the platform, its servers and clients.
package standin2

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is the Host header of all routes, key the API key of the only tenant.
const (
	host   = "ficu95.example"
	key    = "i9n73hh2b9wu3fexd9dn"
	tenant = "kaje80"
	model  = "daka510000"
)

// record writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

var record *recorder

func (r *recorder) log(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// unable ends the case because it could not run.
func unable(format string, args ...any) {
	record.log("NOT RUN: "+format, args...)
	finish(2)
}

var running []*process

// folders are the temporary folders of this run.
var folders []string

// finish ends all processes, removes the temporary folders and exits.
func finish(code int) {
	for _, p := range running {
		p.kill()
	}
	for _, folder := range folders {
		_ = os.RemoveAll(folder)
	}
	record.log("exit %d", code)
	os.Exit(code)
}

// loopback is the loopback address of this run, so that runs at the same time don't take each other's ports.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// serve starts an HTTP server on a free port of the loopback address.
func serve(handler http.Handler, onState func(net.Conn, http.ConnState)) string {
	address, _ := serveUntil(handler, onState)
	return address
}

// serveUntil is serve; stop closes the listener.
func serveUntil(handler http.Handler, onState func(net.Conn, http.ConnState)) (address string, stop func()) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		unable("listen: %v", err)
	}
	go func() { _ = (&http.Server{Handler: handler, ConnState: onState}).Serve(listener) }()
	return listener.Addr().String(), func() { _ = listener.Close() }
}

// nextPort is the next port for a process; the ports of serve are higher.
var nextPort = 21000

func freeAddress() string {
	for ; nextPort < 30000; nextPort++ {
		address := fmt.Sprintf("%s:%d", loopback, nextPort)
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			nextPort++
			return address
		}
	}
	unable("no free port")
	return ""
}

// deployment is a small deployment. Its settings are those of the small deployments' sheets.
type deployment struct {
	store    *store
	folder   string
	gateways []*process
	keepers  []*process
	// statusS is the bound status-s.
	statusS string
}

func newDeployment() *deployment {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		unable("temporary folder: %v", err)
	}
	folders = append(folders, folder)
	return &deployment{store: newStore(), folder: folder, statusS: "120"}
}

// process is a gateway or a keeper, started with the command of the deploy file.
type process struct {
	name, role string
	settings   string
	front      string
	ready      string
	command    *exec.Cmd
	ended      chan struct{}
	startedAt  time.Time
	log        *os.File
}

func (d *deployment) newProcess(role, name, zone string) *process {
	p := &process{name: name, role: role, front: freeAddress(), ready: freeAddress(), settings: filepath.Join(d.folder, name+".ini")}
	template, err := os.ReadFile("deploy/" + role + ".ini")
	if err != nil {
		unable("template: %v", err)
	}
	peer := freeAddress()
	ip, port, _ := net.SplitHostPort(peer)
	cloud := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusOK) }), nil)
	text := strings.NewReplacer(
		"{{node}}", name, "{{region}}", "astana", "{{zone}}", zone, "{{ip}}", ip, "{{port-range.0}}", port, "{{bounds.grace-s}}", "8",
		"{{limits.cpu-share}}", "0.304", "{{limits.cores}}", "1", "{{platform.address}}", d.store.address, "{{cloud.address}}", cloud,
		"{{platform.value-bytes}}", "1048576", "{{listen.front}}", p.front, "{{listen.ready}}", p.ready, "{{bounds.status-s}}", d.statusS,
		"{{tolerate.zones}}", "0", "{{tolerate.machines}}", "1", "{{bounds.lease-ms}}", "3000", "{{bounds.require-fence}}", "true",
		"{{bounds.report-window-s}}", "5", "{{data-dir}}", filepath.Join(d.folder, name+"-data"),
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		unable("the template of %s has a field that this stand-in doesn't know", role)
	}
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		unable("settings: %v", err)
	}
	p.log, err = os.Create(filepath.Join(d.folder, name+".log"))
	if err != nil {
		unable("log: %v", err)
	}
	running = append(running, p)
	return p
}

func (p *process) start() {
	p.command = exec.Command("target/bramleyhatch", p.role)
	p.command.Env = append(os.Environ(), "BRAMLEYHATCH_SETTINGS="+p.settings)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		unable("start %s: %v", p.name, err)
	}
	p.startedAt = time.Now()
	ended := make(chan struct{})
	p.ended = ended
	command := p.command
	go func() { _ = command.Wait(); close(ended) }()
	record.log("%s started", p.name)
}

func (p *process) kill() {
	if p.command != nil {
		_ = p.command.Process.Signal(syscall.SIGKILL)
		<-p.ended
	}
}

// terminate sends SIGTERM, and SIGKILL after the grace period.
func (p *process) terminate() {
	record.log("%s gets SIGTERM", p.name)
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(8 * time.Second):
		p.kill()
	}
	record.log("%s has ended", p.name)
}

func (p *process) awaitReady() {
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + p.ready + "/bramleyhatch/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				record.log("%s is ready", p.name)
				return
			}
		}
	}
	unable("%s doesn't become ready", p.name)
}

// start starts two gateways and two keepers in two zones.
func (d *deployment) start() {
	for i, zone := range []string{"astana-a", "astana-b"} {
		d.gateways = append(d.gateways, d.newProcess("gateway", fmt.Sprintf("front-%s-%d", zone, i+1), zone))
		d.keepers = append(d.keepers, d.newProcess("keeper", fmt.Sprintf("storage-%s-%d", zone, i+1), zone))
	}
	for _, p := range append(append([]*process{}, d.keepers...), d.gateways...) {
		p.start()
	}
	for _, p := range d.gateways {
		p.awaitReady()
	}
	// Processes register and learn of each other.
	time.Sleep(2 * time.Second)
}

// configure writes the operator's configuration.
func (d *deployment) configure(batchRoute map[string]any) {
	route := map[string]any{
		"name": "draft", "hostname": host, "prefix": "/pule252/", "type": "rollout", "backend": "lm", "timeout-ms": 10000, "target-latency-ms": 500,
		"due-ms": 7500, "max-attempts": 3, "max-queue-s": 40, "priority": 1, "sticky": true,
	}
	for name, value := range batchRoute {
		route[name] = value
	}
	d.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []map[string]any{
			route,
			{"name": "check", "hostname": host, "prefix": "/lohu930/", "type": "idempotent", "backend": "app", "timeout-ms": 2000, "target-latency-ms": 400, "max-attempts": 4, "priority": 2},
			{"name": "post", "hostname": host, "prefix": "/posu412/", "type": "non_idempotent", "backend": "app", "timeout-ms": 2000, "target-latency-ms": 400, "max-attempts": 4, "priority": 2},
			{"name": "reward", "hostname": host, "prefix": "/pufi791/", "type": "idempotent", "backend": "app", "timeout-ms": 2000, "target-latency-ms": 400, "max-attempts": 4, "priority": 2, "public": true},
		},
		"backends": []map[string]any{
			{"name": "app", "health-path": "/health", "max-conns": 100},
			{"name": "lm", "health-path": "/health", "max-conns": 140, "engine": map[string]any{"slots": 8, "kv-capacity": 66020, "models": []map[string]any{{"name": model}}}},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api-keys": []string{key}}},
	})
}

// batch is a batch submission.
type batch struct {
	id   string
	body []byte
	ids  []string
}

// newBatch returns a batch of groups. The prompts of a group's items share their first part.
func newBatch(id string, groups, size, desired int) batch {
	b := batch{id: id}
	items := []map[string]any{}
	for g := range groups {
		for i := range size {
			itemID := fmt.Sprintf("%s%02d%02d", id, g, i)
			b.ids = append(b.ids, itemID)
			items = append(items, map[string]any{
				"id": itemID, "path": "/pule252/3/" + itemID, "headers": map[string]string{"Model": model, "Token-Usage": "271,400", "Prompt-Prefix": fmt.Sprintf("9c2e%02d:255,%s:16", g, itemID)},
				"body": []byte("prompt of " + itemID), "token-count": 671, "group": fmt.Sprintf("%sg%02d", id, g),
				"scorer": map[string]any{"id": "5c" + itemID, "hostname": host, "path": "/pufi791/5e07", "body": []byte("score " + itemID)},
			})
		}
	}
	b.body, _ = json.Marshal(map[string]any{"step": 0, "model": model, "min-version": 1, "desired": desired, "items": items})
	return b
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// call sends a client's request on a new channel.
func call(p *process, method, path string, body []byte, header map[string]string) answer {
	return callHost(p, host, method, path, body, header)
}

func callHost(p *process, hostname, method, path string, body []byte, header map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+p.front+path, bytes.NewReader(body))
	request.Host, request.Close = hostname, true
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: text, err: err}
}

// submit sends a batch until it is accepted, at the gateways in turn.
func (d *deployment) submit(b batch) {
	for attempt := 0; attempt < 10; attempt++ {
		p := d.gateways[attempt%len(d.gateways)]
		got := call(p, http.MethodPost, "/pule252/"+b.id, b.body, map[string]string{"Attempt-Id": b.id, "Content-Type": "application/json"})
		record.log("POST batch %s at %s: %d %v", b.id, p.name, got.status, got.err)
		if got.status == http.StatusAccepted {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	unable("batch %s isn't accepted", b.id)
}

// result is a result of a batch submission.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
	Score string `json:"score"`
}

// read reads the results of a batch from a position on.
func read(p *process, id string, after int) (int, []result) {
	got := call(p, http.MethodGet, fmt.Sprintf("/bramleyhatch/lots/%s?after=%d", id, after), nil, map[string]string{"Wait-Ms": "500"})
	var page struct {
		Results []result `json:"results"`
	}
	_ = json.Unmarshal(got.body, &page)
	return got.status, page.Results
}
