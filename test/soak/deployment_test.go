package soak_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

const (
	gateways = 3
	samplers = 3
	plain    = 2
	events   = 20
)

// process is a gateway or keeper as a process of its own.
type process struct {
	t        *testing.T
	name     string
	kind     string
	file     string
	folder   string
	front    string
	ready    string
	log      *os.File
	toStore  *link
	command  *exec.Cmd
	finished chan struct{}
}

// world is a deployment on loopback.
type world struct {
	*wiretest.Platform

	gateways []*process
	keeper   *process
	servers  []*link
	samplers []*wiretest.Sampler
	plain    []*wiretest.Sampler
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{Platform: wiretest.NewPlatform()}
	w.PutTable(t, 2, []string{"acme", "other"}, wiretest.Routes()...)
	for i := range samplers {
		w.samplers = append(w.samplers, w.newServer(t, fmt.Sprintf("s%d", i), "lm", "m"))
	}
	for i := range plain {
		w.plain = append(w.plain, w.newServer(t, fmt.Sprintf("a%d", i), "app", ""))
	}
	for _, sampler := range w.samplers {
		sampler.SetPace(events, 10*time.Millisecond)
	}
	folder := t.TempDir()
	for i := range gateways {
		w.gateways = append(w.gateways, w.newProcess(t, folder, "gateway", fmt.Sprintf("g%d", i)))
	}
	w.keeper = w.newProcess(t, folder, "keeper", "k0")
	for _, p := range append([]*process{w.keeper}, w.gateways...) {
		p.start()
		t.Cleanup(p.end)
	}
	for _, p := range w.gateways {
		p.awaitReady(t)
	}
	return w
}

func (w *world) newServer(t *testing.T, id, pool, model string) *wiretest.Sampler {
	t.Helper()
	server := w.NewSampler(t, id, pool, model)
	link := newLink(t, server.Address)
	server.Behind(t, link.address)
	w.servers = append(w.servers, link)
	return server
}

func (w *world) newProcess(t *testing.T, folder, kind, name string) *process {
	t.Helper()
	p := &process{t: t, name: name, kind: kind, file: filepath.Join(folder, name+".ini"), folder: filepath.Join(folder, name), front: listentest.Free(t), ready: listentest.Free(t)}
	p.toStore = newLink(t, w.Open(t).Address)
	log, err := os.Create(filepath.Join(folder, name+".log"))
	must.NoError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	p.log = log
	settings := fmt.Sprintf("[process]\nname = %s\nregion = r\nzone = z1\npeer = %s\ngrace = 3s\ndata = %s\n[store]\naddress = %s\ntimeout = 400ms\nlease = 2s\nwatch = 500ms\n",
		name, listentest.Free(t), p.folder, p.toStore.address)
	if kind == "gateway" {
		settings += fmt.Sprintf("orders = %s\n[front]\nlisten = %s\nready = %s\nlinger = 100ms\n[batches]\ngroup = 50ms\n[duty]\nlease = 2s\nmargin = 300ms\ninterval = 200ms\nfenced = true\n[usage]\nwindow = 1s\nsettle = 500ms\nretain = 5s\nkeep = 20s\n",
			w.Open(t).Address, p.front, p.ready)
	}
	must.NoError(t, os.WriteFile(p.file, []byte(settings), 0o600))
	return p
}

func (p *process) start() {
	p.command = exec.Command(os.Args[0], p.kind, "--settings", p.file) //nolint:gosec // the test's own program
	p.command.Env = append(os.Environ(), childVariable+"=1")
	p.command.Stdout, p.command.Stderr = p.log, p.log
	must.NoError(p.t, p.command.Start())
	finished, command := make(chan struct{}), p.command
	p.finished = finished
	go func() {
		_ = command.Wait()
		close(finished)
	}()
}

// signal sends a signal to the process that this test started, by its id.
func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// stop ends the process with a signal and starts it again after a while.
func (p *process) stop(signal syscall.Signal, pause time.Duration) {
	p.finish(signal)
	time.Sleep(pause)
	p.start()
}

// finish ends the process with a signal and waits for its end.
func (p *process) finish(signal syscall.Signal) {
	p.signal(syscall.SIGCONT)
	p.signal(signal)
	<-p.finished
}

// wipe kills the process, takes its folder away and starts it again. Taken away
// under a process that runs, the folder may be written to meanwhile.
func (p *process) wipe() {
	p.finish(syscall.SIGKILL)
	must.NoError(p.t, os.RemoveAll(p.folder))
	p.start()
}

func (p *process) end() {
	p.finish(syscall.SIGKILL)
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

// heal ends all faults.
func (w *world) heal() {
	w.SetAway(false)
	w.SetSilent(false)
	for _, link := range w.servers {
		link.mode.Store(int32(open))
	}
	for _, p := range append([]*process{w.keeper}, w.gateways...) {
		p.toStore.mode.Store(int32(open))
		p.signal(syscall.SIGCONT)
	}
	for _, server := range append(append([]*wiretest.Sampler{}, w.samplers...), w.plain...) {
		server.SetFault(func(string, int) wiretest.Fault { return wiretest.None })
	}
}

// group runs goroutines until it is told to stop.
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
