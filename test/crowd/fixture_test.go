package crowd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

const (
	// awaitTimeout bounds a wait for a state. It is long, since the tests don't check times.
	awaitTimeout   = 60 * time.Second
	requestTimeout = 5 * time.Second
	operatorToken  = "operator-token"
)

// programs holds the folder of the programs under test.
var programs string

// build builds the programs under test without the race detector, which multiplies their memory.
func build(folder string) error {
	programs = folder
	for _, path := range []string{".", "./cmd/standin"} {
		name := filepath.Base(path)
		if path == "." {
			name = "bramleyhatch"
		}
		command := exec.Command("go", "build", "-o", filepath.Join(folder, name), path)
		command.Dir = filepath.Join("..", "..")
		command.Stderr = os.Stderr
		if err := command.Run(); err != nil {
			return fmt.Errorf("build %s: %w", path, err)
		}
	}
	return nil
}

// process is a program under test.
type process struct {
	name    string
	command *exec.Cmd
	peer    string
	host    host
	ended   chan struct{}
}

// startProcess starts a program with arguments; it is killed at the end of the test.
func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, command: exec.Command(filepath.Join(programs, program), args...), ended: make(chan struct{})}
	file := filepath.Join(t.TempDir(), "log")
	log, err := os.Create(file)
	must.NoError(t, err)
	p.command.Stdout, p.command.Stderr = log, log
	must.NoError(t, p.command.Start())
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGKILL)
		<-p.ended
		_ = log.Close()
		if text, err := os.ReadFile(file); t.Failed() && err == nil {
			t.Logf("log of %s:\n%s", name, text[max(0, len(text)-4000):])
		}
	})
	return p
}

// host is what a process has of its host.
type host struct {
	memory      int64
	descriptors int
}

// startWith starts a program with a settings file.
func startWith(t *testing.T, kind, name string, h host, settings string) *process {
	t.Helper()
	peer := listentest.FreeAddress(t)
	settings = fmt.Sprintf("[process]\nname = %s\nregion = r\nzone = z1\npeer = %s\ngrace = 3s\nmemory = %d\ndescriptors = %d\n", name, peer, h.memory>>20, h.descriptors) + settings
	file := filepath.Join(t.TempDir(), name+".ini")
	must.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	p := startProcess(t, name, "bramleyhatch", kind, "--settings", file)
	p.peer, p.host = peer, h
	return p
}

func (p *process) pid() int { return p.command.Process.Pid }

func (p *process) lives() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(awaitTimeout), wait.Gap(100*time.Millisecond)), must.Sprint(what))
}

// request sends one request on a connection of its own and returns the status, or 0 without a whole answer.
func request(method, address, body string, headers ...string) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host, r.Close = "h.example", true
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(r)
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

// answers returns a function that reports whether a request without a body is answered with status 200.
func answers(address string, headers ...string) func() bool {
	return func() bool {
		status, _ := request(http.MethodGet, address, "", headers...)
		return status == http.StatusOK
	}
}

// gateway is a gateway with a keeper and a plain service.
type gateway struct {
	*process

	keeper       *process
	app          *wiretest.Sampler
	model        *wiretest.Sampler
	frontAddress string
	readyAddress string
	meterAddress string
	asked        atomic.Int64
}

func newGateway(t *testing.T, descriptors int) *gateway {
	t.Helper()
	return newGatewayOn(t, host{memory: hostMemory, descriptors: descriptors}, wiretest.NewPlatform())
}

// newGatewayOn starts a gateway on a host with a configuration of the platform.
func newGatewayOn(t *testing.T, h host, platform *wiretest.Platform) *gateway {
	t.Helper()
	platform.PutTable(t, 2, []string{"acme", "other"}, wiretest.Routes()...)
	g := &gateway{app: platform.NewSampler(t, "a1", "app", "")}
	g.model = platform.NewSampler(t, "m1", "lm", "m")
	g.frontAddress, g.readyAddress, g.meterAddress = listentest.FreeAddress(t), listentest.FreeAddress(t), listentest.FreeAddress(t)
	store := fmt.Sprintf("[store]\naddress = %s\n", platform.NewEndpoint(t).Address)
	g.keeper = startWith(t, "keeper", "k1", h, fmt.Sprintf("data = %s\n", t.TempDir())+store)
	g.process = startWith(t, "gateway", "g1", h, store+fmt.Sprintf("[front]\nlisten = %s\nready = %s\nmetrics = %s\nadmit = true\n[batches]\ngroup = 50ms\n", g.frontAddress, g.readyAddress, g.meterAddress))
	await(t, "the gateway serves", g.askFront)
	return g
}

// askFront sends a small request as an ordinary client.
func (g *gateway) askFront() bool {
	id := fmt.Sprintf("ordinary%d", g.asked.Add(1))
	status, answer := request(http.MethodPost, g.frontAddress+"/look/x", "ask", "Attempt-Id", id, "Authorization", "Bearer key-other")
	return status == http.StatusOK && answer == "answer to ask"
}

func (g *gateway) front() *target {
	return &target{process: g.process, address: g.frontAddress, head: frontHead("/look/x"), ask: g.askFront}
}

func (g *gateway) readiness() *target {
	return &target{process: g.process, address: g.readyAddress, ask: answers(g.readyAddress + "/bramleyhatch/ready")}
}

func (g *gateway) metrics() *target {
	return &target{process: g.process, address: g.meterAddress, ask: answers(g.meterAddress + "/metrics")}
}

// hangUnless makes a server keep all requests without an answer whose ID doesn't begin with the prefix.
func hangUnless(prefix string) func(string, int) wiretest.Fault {
	return func(id string, _ int) wiretest.Fault {
		if strings.HasPrefix(id, prefix) {
			return wiretest.NoFault
		}
		return wiretest.FaultHang
	}
}

const (
	accountsText = "[account acme]\nplan = all\n"
	plansText    = "[plan all]\nmodels = assistant\ntrainers = drafter\n[pool assistant]\nkind = engine\nzones = z1\nmin = 0\nmax = 1\n"
)

// entry is an entry with a sidecar.
type entry struct {
	*process

	sidecar       *process
	callerAddress string
	meterAddress  string
}

func newEntry(t *testing.T, descriptors int) *entry {
	t.Helper()
	h := host{memory: hostMemory, descriptors: descriptors}
	store := startPlatform(t)
	e := &entry{callerAddress: listentest.FreeAddress(t), meterAddress: listentest.FreeAddress(t)}
	common := fmt.Sprintf("[platform]\naddress = http://%s\n", store)
	e.process = startWith(t, "entry", "e1", h, common+fmt.Sprintf("[caller]\nlisten = %s\nmax_body_bytes = %d\n[operator]\ntokens = op:%s\n", e.callerAddress, maxBodyBytes, lists.HashKey(operatorToken)))
	await(t, "the entry serves", e.ask())
	e.sidecar = startWith(t, "sidecar", "s1", h, common+fmt.Sprintf("[backend]\nserver = x\nkind = engine\npool = assistant\naddress = http://%s\nmetrics = %s\n", listentest.FreeAddress(t), e.meterAddress))
	await(t, "the sidecar serves", e.sidecarMetrics().ask)
	return e
}

// startPlatform starts the stand-in of the platform with lists and returns its address.
func startPlatform(t *testing.T) string {
	t.Helper()
	address, folder := listentest.FreeAddress(t), t.TempDir()
	startProcess(t, "platform", "standin", "platform", "--listen", address)
	accounts, plans := filepath.Join(folder, "accounts.ini"), filepath.Join(folder, "plans.ini")
	must.NoError(t, os.WriteFile(accounts, []byte(accountsText), 0o600))
	must.NoError(t, os.WriteFile(plans, []byte(plansText), 0o600))
	config, err := lists.ReadFiles(accounts, plans)
	must.NoError(t, err)
	config.SetLists(1)
	config.SetKeys([]*listpb.Key{listpb.Key_builder{Hash: lists.HashKey("key-acme"), Account: "acme"}.Build()})
	data, err := proto.Marshal(config)
	must.NoError(t, err)
	await(t, "the platform takes the lists", func() bool {
		_, err := platform.NewClient("http://"+address, time.Second).CompareAndSwap(t.Context(), "config", 0, data, 0)
		return err == nil
	})
	host, err := json.Marshal(platform.Host{Name: "e1", Address: address, Zone: "z1", Role: "entry", State: "live"})
	must.NoError(t, err)
	response, err := http.Post("http://"+address+"/control/hosts", "application/json", bytes.NewReader(host))
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	return address
}

func (e *entry) ask() func() bool {
	return answers(e.callerAddress+"/v1/models", "Authorization", "Bearer key-acme")
}

func (e *entry) callers() *target {
	return &target{process: e.process, address: e.callerAddress, ask: e.ask()}
}

func (e *entry) sidecarMetrics() *target {
	return &target{process: e.sidecar, address: e.meterAddress, ask: answers(e.meterAddress + "/metrics")}
}

func entryHead(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-acme\r\n"
}
