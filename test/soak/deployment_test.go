package soak_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

const (
	gatewayCount  = 3
	samplerCount  = 3
	plainCount    = 2
	eventsPerText = 20
	// exitTimeout limits how long a process takes to exit after a signal; its grace period is shorter.
	exitTimeout = 10 * time.Second
)

// models are the models of the samplers. Each has a trainer of its own, and all samplers serve both.
var models = [...]string{"m", "n"}

// process is a gateway or keeper that runs as a child process.
type process struct {
	t       *testing.T
	name    string
	kind    string
	file    string
	folder  string
	front   string
	ready   string
	log     *os.File
	toStore *link
	// restarts serializes the restarts of concurrent faults.
	restarts sync.Mutex
	command  atomic.Pointer[exec.Cmd]
	finished chan struct{}
}

// deployment is a set of processes and fake servers on loopback.
type deployment struct {
	*wiretest.Platform

	gateways []*process
	keeper   *process
	servers  []*link
	samplers []*wiretest.Sampler
	plain    []*wiretest.Sampler
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	return newDeploymentOf(t, samplerCount, plainCount)
}

// newDeploymentOf starts a deployment with the given numbers of servers.
func newDeploymentOf(t *testing.T, samplers, plain int) *deployment {
	t.Helper()
	d := &deployment{Platform: wiretest.NewPlatform()}
	d.AddModel(models[1])
	d.PutTable(t, 2, []string{"acme", "other"}, wiretest.Routes()...)
	for i := range samplers {
		d.samplers = append(d.samplers, d.newServer(t, fmt.Sprintf("s%d", i), "lm", models[0]))
	}
	for i := range plain {
		d.plain = append(d.plain, d.newServer(t, fmt.Sprintf("a%d", i), "app", ""))
	}
	for _, sampler := range d.samplers {
		sampler.SetPace(eventsPerText, 10*time.Millisecond)
	}
	folder := t.TempDir()
	for i := range gatewayCount {
		d.gateways = append(d.gateways, d.newProcess(t, folder, "gateway", fmt.Sprintf("g%d", i)))
	}
	d.keeper = d.newProcess(t, folder, "keeper", "k0")
	for _, p := range append([]*process{d.keeper}, d.gateways...) {
		p.start()
		t.Cleanup(p.cleanUp)
	}
	for _, p := range d.gateways {
		p.awaitReady(t)
	}
	return d
}

func (d *deployment) newServer(t *testing.T, id, pool, model string) *wiretest.Sampler {
	t.Helper()
	server := d.NewSampler(t, id, pool, model)
	link := newLink(t, server.Address)
	server.SetAddress(t, link.address)
	d.servers = append(d.servers, link)
	return server
}

func (d *deployment) newProcess(t *testing.T, folder, kind, name string) *process {
	t.Helper()
	p := &process{t: t, name: name, kind: kind, file: filepath.Join(folder, name+".ini"), folder: filepath.Join(folder, name), front: listentest.FreeAddress(t), ready: listentest.FreeAddress(t)}
	p.toStore = newLink(t, d.NewEndpoint(t).Address)
	log, err := os.Create(filepath.Join(folder, name+".log"))
	must.NoError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	p.log = log
	settings := fmt.Sprintf("[process]\nname = %s\nregion = r\nzone = z1\npeer = %s\ngrace = 3s\ndata = %s\n[store]\naddress = %s\ntimeout = 400ms\nlease = 2s\nwatch = 500ms\n",
		name, listentest.FreeAddress(t), p.folder, p.toStore.address)
	if kind == "gateway" {
		// With one follower each, three gateways form a chain: one is between the root and a leaf.
		settings += fmt.Sprintf("orders = %s\nfollowers = 1\n[front]\nlisten = %s\nready = %s\nlinger = 100ms\nadmit = true\n[batches]\ngroup = 50ms\nshare = true\nspeeds = true\n[duty]\nlease = 2s\nmargin = 300ms\ninterval = 200ms\nfenced = true\n[usage]\nwindow = 1s\nsettle = 500ms\nretain = 5s\nkeep = 20s\n",
			d.NewEndpoint(t).Address, p.front, p.ready)
	}
	must.NoError(t, os.WriteFile(p.file, []byte(settings), 0o600))
	return p
}

func (p *process) start() {
	command := exec.Command(os.Args[0], p.kind, "--settings", p.file) //nolint:gosec // runs the test binary itself
	command.Env = append(os.Environ(), childEnv+"=1")
	command.Stdout, command.Stderr = p.log, p.log
	must.NoError(p.t, command.Start())
	finished := make(chan struct{})
	p.command.Store(command)
	p.finished = finished
	go func() {
		_ = command.Wait()
		close(finished)
	}()
}

// signal sends a signal to the child process.
func (p *process) signal(signal syscall.Signal) { _ = p.command.Load().Process.Signal(signal) }

// restart terminates the process with a signal and starts it again after a pause.
func (p *process) restart(signal syscall.Signal, pause time.Duration) {
	p.restarts.Lock()
	defer p.restarts.Unlock()
	p.terminate(signal)
	time.Sleep(pause)
	p.start()
}

// terminate sends a signal to the process, resuming it if it is stopped, and waits for its
// exit.
func (p *process) terminate(signal syscall.Signal) {
	p.signal(syscall.SIGCONT)
	p.signal(signal)
	select {
	case <-p.finished:
	case <-time.After(exitTimeout):
		p.t.Errorf("%s has not exited %s after signal %q", p.name, exitTimeout, signal)
		p.signal(syscall.SIGKILL)
		<-p.finished
	}
}

// wipeData kills the process, removes its data folder and starts it again. A running process
// could write to the folder during the removal.
func (p *process) wipeData() {
	p.terminate(syscall.SIGKILL)
	must.NoError(p.t, os.RemoveAll(p.folder))
	p.start()
}

func (p *process) cleanUp() {
	p.terminate(syscall.SIGKILL)
	if p.t.Failed() {
		text, err := os.ReadFile(p.log.Name())
		if err == nil {
			p.t.Logf("log of %s:\n%s", p.name, text[max(0, len(text)-20000):])
		}
	}
}

func (p *process) awaitReady(t *testing.T) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		response, err := http.Get("http://" + p.ready + "/bramleyhatch/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}), wait.Timeout(20*time.Second), wait.Gap(50*time.Millisecond)), must.Sprint(p.name+" is ready"))
}

// clearFaults ends all active faults.
func (d *deployment) clearFaults() {
	d.SetUnavailable(false)
	d.SetWatchesSilent(false)
	for _, link := range d.servers {
		link.mode.Store(int32(open))
	}
	for _, p := range append([]*process{d.keeper}, d.gateways...) {
		p.toStore.mode.Store(int32(open))
		p.signal(syscall.SIGCONT)
	}
	for _, server := range append(append([]*wiretest.Sampler{}, d.samplers...), d.plain...) {
		server.SetFault(func(string, int) wiretest.Fault { return wiretest.NoFault })
	}
}

// group tracks goroutines and carries their stop signal.
type group struct {
	sync.WaitGroup

	stopped chan struct{}
}

func (g *group) isStopped() bool {
	select {
	case <-g.stopped:
		return true
	default:
		return false
	}
}
