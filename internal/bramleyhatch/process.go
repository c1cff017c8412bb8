// Package bramleyhatch assembles the processes: the entry, which serves callers,
// trainers and operators, the sidecar beside each backend server, the gateway, which
// reaches backend servers without sidecars, and the keeper on a host with a disk.
// It does not depend on the command line.
package bramleyhatch

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest"
	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
	"github.com/bramleyhatch/bramleyhatch/internal/secure"
)

// Task is a background task of a process, which runs in its own goroutine until its
// context ends.
type Task struct {
	Name string
	Run  func(ctx context.Context) error
}

// Process holds the state that all kinds of process share.
type Process struct {
	Settings  *settingspb.Process
	Secure    *settingspb.Secure
	Decisions *decision.Log
	Metrics   *prometheus.Registry

	// Incarnation is the start time of the process in nanoseconds since 1970 UTC.
	Incarnation uint64

	members *member.Members

	routes   []rest.Route
	services []func(grpc.ServiceRegistrar)
	tasks    []Task
	drains   []func(ctx context.Context)
	shutdown shutdown

	// notFound and notAllowed answer paths and methods without a route.
	notFound   http.Handler
	notAllowed http.Handler

	// limits bound what clients make the process hold; refuse answers those for which there is no memory, nil means the
	// default.
	limits        listen.Limits
	listenMetrics *listen.Metrics
	// batchBytes is the memory for trainers' batches.
	batchBytes int64
	refuse     func(http.ResponseWriter, error)

	addresses Addresses

	// identity is nil if processes connect without TLS.
	identity *secure.Identity
	// callerTLS is nil if callers are served plain HTTP.
	callerTLS *tls.Config
}

// Addresses are the addresses on which a process listens, as written to its ready file.
type Addresses struct {
	Name   string `json:"name"`
	Peer   string `json:"peer"`
	Caller string `json:"caller,omitempty"`
}

// newProcess returns a process without routes, services or tasks.
func newProcess(process *settingspb.Process, secure *settingspb.Secure) *Process {
	p := &Process{
		Settings:    process,
		Secure:      secure,
		Decisions:   &decision.Log{},
		Metrics:     prometheus.NewRegistry(),
		Incarnation: uint64(time.Now().UnixNano()),
	}
	p.shutdown.init(p.Grace())
	p.addLimits()
	return p
}

// Addresses returns the addresses in use; they are known before any task runs.
func (p *Process) Addresses() Addresses {
	return p.addresses
}

// AddDrain adds a function that is called once the process is asked to stop,
// before its servers shut down. The function returns when its part of the process
// is drained.
func (p *Process) AddDrain(drain func(ctx context.Context)) {
	p.drains = append(p.drains, drain)
}

// AddTask adds a background task, which runs in its own goroutine.
func (p *Process) AddTask(name string, run func(ctx context.Context) error) {
	p.tasks = append(p.tasks, Task{Name: name, Run: run})
}

// AddRoutes adds HTTP routes.
func (p *Process) AddRoutes(routes ...rest.Route) {
	p.routes = append(p.routes, routes...)
}

// AddService adds a gRPC service.
func (p *Process) AddService(register func(grpc.ServiceRegistrar)) {
	p.services = append(p.services, register)
}

// Grace returns how long a stopping process waits at most for running requests.
func (p *Process) Grace() time.Duration {
	return p.Settings.GetGrace().AsDuration()
}

func (p *Process) register(registrar grpc.ServiceRegistrar) {
	for _, register := range p.services {
		register(registrar)
	}
}

// runTasks runs all tasks until the context ends or a task fails.
func (p *Process) runTasks(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, len(p.tasks))
	for _, task := range p.tasks {
		go func() { ended <- runTask(ctx, task) }()
	}
	var first error
	for range p.tasks {
		err := <-ended
		if err != nil && first == nil {
			first = err
			cancel()
		}
	}
	if first == nil {
		<-ctx.Done()
	}
	return first
}

func runTask(ctx context.Context, task Task) error {
	err := task.Run(ctx)
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	klog.Errorf("process: task %s failed: %v", task.Name, err)
	return eris.Wrapf(err, "run task %s", task.Name)
}

// runDrains starts the grace period, calls all drains concurrently and waits for them until shortly before its end.
func (p *Process) runDrains() {
	p.shutdown.begin()
	ctx, cancel := context.WithDeadline(context.Background(), p.shutdown.drainDeadline())
	defer cancel()
	var group sync.WaitGroup
	for _, drain := range p.drains {
		group.Go(func() { drain(ctx) })
	}
	group.Wait()
}

// server is an HTTP or gRPC server.
type server interface {
	Run(ctx context.Context, grace time.Duration) error
}

// serve starts a server and returns its address once it listens.
func serve(ctx context.Context, server server, listening <-chan string, grace time.Duration, stopped chan<- error) (string, error) {
	failed := make(chan error, 1)
	go func() {
		err := server.Run(ctx, grace)
		failed <- err
		stopped <- err
	}()
	select {
	case address := <-listening:
		return address, nil
	case err := <-failed:
		return "", err
	}
}

// run starts the servers, then the tasks, until the context ends or a server or task
// fails. It then runs the drains, stops the servers and, last, the tasks. Once the context has ended, all of it takes no
// longer than the grace period.
func (p *Process) run(ctx context.Context, caller *settingspb.Caller) error {
	serverCtx, stopServers := context.WithCancel(context.Background())
	defer stopServers()
	stopped := make(chan error, 2)
	servers, err := p.startServers(serverCtx, caller, stopped)
	if err != nil {
		return err
	}
	klog.Infof("process: %s listens for processes on %s, for callers on %q", p.addresses.Name, p.addresses.Peer, p.addresses.Caller)
	taskCtx, stopTasks := context.WithCancel(context.Background())
	defer stopTasks()
	finished := make(chan error, 1)
	go func() { finished <- p.runTasks(taskCtx) }()
	select {
	case <-ctx.Done():
		klog.Info("process: stop signal received; draining")
		p.runDrains()
	case err = <-stopped:
		servers--
	case err = <-finished:
		// A process that kept serving without its tasks would renew no lease and
		// receive no changes; a process that exits is restarted.
		klog.InfoS("process: draining because a task failed", "err", err)
		finished <- nil
		p.runDrains()
	}
	stopServers()
	err = errors.Join(err, p.shutdown.await(servers, "servers", stopped))
	stopTasks()
	err = errors.Join(err, p.shutdown.await(1, "tasks", finished))
	klog.InfoS("process: stopped", "name", p.addresses.Name, "err", err)
	return err
}

// startServers starts the servers, returns their number and writes the ready file.
func (p *Process) startServers(ctx context.Context, caller *settingspb.Caller, stopped chan<- error) (int, error) {
	p.addresses.Name = p.Settings.GetName()
	peers := make(chan string, 1)
	peerServer := &listen.GRPC{
		Address:     p.Settings.GetPeer(),
		Register:    p.register,
		Credentials: p.credentials(),
		Options:     p.serverOptions(),
		OnListening: func(address string) { peers <- address },
	}
	address, err := serve(ctx, peerServer, peers, p.Grace(), stopped)
	if err != nil {
		return 0, err
	}
	p.addresses.Peer = address
	if caller == nil {
		return 1, p.writeReady()
	}
	callers := make(chan string, 1)
	callerServer := &listen.HTTP{
		Limits:      p.limits,
		Metrics:     p.listenMetrics,
		Refuse:      p.refuse,
		Address:     caller.GetListen(),
		Routes:      p.routes,
		NotFound:    p.notFound,
		NotAllowed:  p.notAllowed,
		TLS:         p.callerTLS,
		Certificate: p.Secure.GetCallerCertificate(),
		Key:         p.Secure.GetCallerKey(),
		OnListening: func(address string) { callers <- address },
	}
	address, err = serve(ctx, callerServer, callers, p.Grace(), stopped)
	if err != nil {
		return 1, err
	}
	p.addresses.Caller = address
	return 2, p.writeReady()
}

func (p *Process) writeReady() error {
	if p.Settings.GetReady() == "" {
		return nil
	}
	return writeReady(p.Settings.GetReady(), p.addresses)
}

// writeReady writes the file atomically, so that readers never see a partial file.
func writeReady(file string, addresses Addresses) error {
	text, err := json.Marshal(addresses)
	if err != nil {
		return eris.Wrap(err, "encode ready file")
	}
	if err := os.WriteFile(file+".new", text, 0o600); err != nil {
		return eris.Wrap(err, "write ready file")
	}
	return eris.Wrap(os.Rename(file+".new", file), "rename ready file")
}
