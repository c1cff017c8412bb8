// Package bramleyhatch assembles the two kinds of process: the entry, which
// serves callers, trainers and operators, and the sidecar beside each backend
// server. It is free of the command line.
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

// Task is one thing that a process does until its context ends.
// Each runs in a goroutine of its own.
type Task struct {
	Name string
	Run  func(ctx context.Context) error
}

// Process holds what the parts of one process share.
type Process struct {
	Settings  *settingspb.Process
	Secure    *settingspb.Secure
	Decisions *decision.Log
	Metrics   *prometheus.Registry

	// Incarnation is the start of the process in nanoseconds since 1970 UTC.
	Incarnation uint64

	members *member.Members

	routes   []rest.Route
	services []func(grpc.ServiceRegistrar)
	duties   []Task
	drains   []func(ctx context.Context)

	// notFound and notAllowed answer paths and methods without a route.
	notFound   http.Handler
	notAllowed http.Handler

	addresses Addresses

	// identity is nil where processes speak without TLS.
	identity *secure.Identity
	// callerTLS is nil where callers are served plain HTTP.
	callerTLS *tls.Config
}

// Addresses are the addresses on which a process listens, as written to its ready file.
type Addresses struct {
	Name   string `json:"name"`
	Peer   string `json:"peer"`
	Caller string `json:"caller,omitempty"`
}

// newProcess returns a process without parts.
func newProcess(process *settingspb.Process, secure *settingspb.Secure) *Process {
	return &Process{
		Settings:    process,
		Secure:      secure,
		Decisions:   &decision.Log{},
		Metrics:     prometheus.NewRegistry(),
		Incarnation: uint64(time.Now().UnixNano()),
	}
}

// Addresses returns the addresses in use; they are known before any duty runs.
func (p *Process) Addresses() Addresses {
	return p.addresses
}

// AddDrain adds a function that is called once the process is asked to stop,
// before its servers shut down. It returns when its part has finished.
func (p *Process) AddDrain(drain func(ctx context.Context)) {
	p.drains = append(p.drains, drain)
}

// AddTask adds a goroutine of the process.
func (p *Process) AddTask(name string, run func(ctx context.Context) error) {
	p.duties = append(p.duties, Task{Name: name, Run: run})
}

// AddRoutes adds HTTP routes.
func (p *Process) AddRoutes(routes ...rest.Route) {
	p.routes = append(p.routes, routes...)
}

// AddService adds a gRPC service.
func (p *Process) AddService(register func(grpc.ServiceRegistrar)) {
	p.services = append(p.services, register)
}

// Grace is the longest wait for running requests when the process stops.
func (p *Process) Grace() time.Duration {
	return p.Settings.GetGrace().AsDuration()
}

func (p *Process) register(registrar grpc.ServiceRegistrar) {
	for _, register := range p.services {
		register(registrar)
	}
}

// runDuties runs all duties until the context ends or one fails.
func (p *Process) runDuties(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, len(p.duties))
	for _, duty := range p.duties {
		go func() { failed <- runDuty(ctx, duty) }()
	}
	var first error
	for range p.duties {
		err := <-failed
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

func runDuty(ctx context.Context, duty Task) error {
	err := duty.Run(ctx)
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	klog.Errorf("process: duty %s failed: %v", duty.Name, err)
	return eris.Wrap(err, duty.Name)
}

// runDrains calls all drains at the same time and waits for them up to the grace.
func (p *Process) runDrains() {
	ctx, cancel := context.WithTimeout(context.Background(), p.Grace())
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

// run starts the servers, then the duties, and ends when the context does or a
// server or duty fails: first the drains, then the servers, then the duties.
func (p *Process) run(ctx context.Context, caller *settingspb.Caller) error {
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	stopped := make(chan error, 2)
	servers, err := p.listen(serving, caller, stopped)
	if err != nil {
		return err
	}
	klog.Infof("process: %s listens for processes on %s, for callers on %q", p.addresses.Name, p.addresses.Peer, p.addresses.Caller)
	working, stopWorking := context.WithCancel(context.Background())
	defer stopWorking()
	finished := make(chan error, 1)
	go func() { finished <- p.runDuties(working) }()
	select {
	case <-ctx.Done():
		klog.Info("process: asked to stop, draining")
		p.runDrains()
	case err = <-stopped:
		servers--
	case err = <-finished:
		// A process that serves on without its duties renews no lease and hears of no
		// change; one that ends is started anew.
		klog.InfoS("process: a duty failed, draining", "err", err)
		finished <- nil
		p.runDrains()
	}
	stopServing()
	for range servers {
		err = errors.Join(err, <-stopped)
	}
	stopWorking()
	err = errors.Join(err, <-finished)
	klog.InfoS("process: stopped", "name", p.addresses.Name, "err", err)
	return err
}

// listen starts the servers, returns their number and writes the ready file.
func (p *Process) listen(ctx context.Context, caller *settingspb.Caller, stopped chan<- error) (int, error) {
	p.addresses.Name = p.Settings.GetName()
	peers := make(chan string, 1)
	peerServer := &listen.GRPC{
		Address:     p.Settings.GetPeer(),
		Register:    p.register,
		Credentials: p.credentials(),
		Options:     p.serverOptions(),
		Listening:   func(address string) { peers <- address },
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
		Address:     caller.GetListen(),
		Routes:      p.routes,
		NotFound:    p.notFound,
		NotAllowed:  p.notAllowed,
		TLS:         p.callerTLS,
		Certificate: p.Secure.GetCallerCertificate(),
		Key:         p.Secure.GetCallerKey(),
		Listening:   func(address string) { callers <- address },
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

// writeReady writes the file whole: a reader never sees a part of it.
func writeReady(file string, addresses Addresses) error {
	text, err := json.Marshal(addresses)
	if err != nil {
		return eris.Wrap(err, "encode addresses")
	}
	if err := os.WriteFile(file+".new", text, 0o600); err != nil {
		return eris.Wrap(err, "write addresses")
	}
	return eris.Wrap(os.Rename(file+".new", file), "rename addresses")
}
