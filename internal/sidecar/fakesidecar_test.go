package sidecar_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/sidecar"
)

const (
	readTimeout = 300 * time.Millisecond
	testTimeout = 10 * time.Second
)

// fakeSidecar is a sidecar whose answers come from a test's handler.
type fakeSidecar struct {
	peerpb.UnimplementedSidecarServer

	handler   func(request *peerpb.RunRequest, stream frameStream) error
	cancelled chan string
	address   string
	stop      func()

	mutex    sync.Mutex
	received []*peerpb.RunRequest
}

type frameStream = grpc.ServerStreamingServer[peerpb.Frame]

func (f *fakeSidecar) Cancel(_ context.Context, request *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	f.cancelled <- request.GetId()
	return &peerpb.CancelReply{}, nil
}

func (f *fakeSidecar) Run(request *peerpb.RunRequest, stream frameStream) error {
	f.mutex.Lock()
	f.received = append(f.received, request)
	f.mutex.Unlock()
	return f.handler(request, stream)
}

func (f *fakeSidecar) requests() []*peerpb.RunRequest {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.received
}

func startFakeSidecar(t *testing.T, handler func(*peerpb.RunRequest, frameStream) error) *fakeSidecar {
	t.Helper()
	f := &fakeSidecar{handler: handler, cancelled: make(chan string, 16)}
	listening := make(chan string, 1)
	server := &listen.GRPC{
		Address:     "127.0.0.1:0",
		Register:    func(registrar grpc.ServiceRegistrar) { peerpb.RegisterSidecarServer(registrar, f) },
		OnListening: func(address string) { listening <- address },
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx, 0) }()
	f.address = <-listening
	f.stop = sync.OnceFunc(func() {
		cancel()
		<-stopped
	})
	t.Cleanup(f.stop)
	return f
}

// processInfo is a process known to the pool.
type processInfo struct {
	server, address, pool string
	state                 peerpb.State
}

func newPool(t *testing.T, processes ...processInfo) *sidecar.Pool {
	t.Helper()
	self := peerpb.Process_builder{Name: "e1", Role: peerpb.Role_ROLE_ENTRY, Zone: "z1", State: peerpb.State_STATE_LIVE}.Build()
	members := member.NewMembers(self)
	addProcesses(t, members, processes...)
	pool := &sidecar.Pool{Members: members, Decisions: &decision.Log{}, ReadTimeout: readTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- pool.SendCancellations(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-served
	})
	return pool
}

func addProcesses(t *testing.T, members *member.Members, processes ...processInfo) {
	t.Helper()
	gossip := &peerpb.Gossip{}
	for _, process := range processes {
		state := process.state
		if state == peerpb.State_STATE_UNSPECIFIED {
			state = peerpb.State_STATE_LIVE
		}
		gossip.SetProcesses(append(gossip.GetProcesses(), peerpb.Process_builder{
			Name: "sidecar-" + process.server, Incarnation: 1, Version: 1, Role: peerpb.Role_ROLE_SIDECAR, State: state,
			Zone: "z1", Address: process.address, Server: process.server, Pool: process.pool,
		}.Build()))
	}
	gossip.SetSender(members.Self())
	_, err := (&member.Exchanger{Members: members}).Exchange(t.Context(), gossip)
	must.NoError(t, err)
}

func chunkFrame(request *peerpb.RunRequest, seq uint64, text string) *peerpb.Frame {
	chunk := peerpb.Chunk_builder{Data: []byte(text)}.Build()
	return peerpb.Frame_builder{Id: request.GetId(), Seq: seq, Chunk: chunk}.Build()
}

func endFrame(request *peerpb.RunRequest, frames uint64) *peerpb.Frame {
	end := peerpb.End_builder{Finish: "stop", Frames: frames}.Build()
	return peerpb.Frame_builder{Id: request.GetId(), Seq: frames, End: end}.Build()
}

// sendFrames sends frames until sending fails.
func sendFrames(stream frameStream, all ...*peerpb.Frame) error {
	for _, frame := range all {
		if err := stream.Send(frame); err != nil {
			return err
		}
	}
	return nil
}

// answerWords returns a handler that sends one frame per word, from the requested
// position.
func answerWords(all ...string) func(*peerpb.RunRequest, frameStream) error {
	return func(request *peerpb.RunRequest, stream frameStream) error {
		for seq := request.GetFrom(); seq < uint64(len(all)); seq++ {
			if err := stream.Send(chunkFrame(request, seq, all[seq])); err != nil {
				return err
			}
		}
		return stream.Send(endFrame(request, uint64(len(all))))
	}
}

// hang keeps a stream open until its client ends it.
func hang(stream frameStream) error {
	<-stream.Context().Done()
	return nil
}

// collector is a sink that collects the text.
type collector struct {
	text string
}

func (c *collector) restart() bool {
	c.text = ""
	return true
}

func (c *collector) collect(frame *peerpb.Frame) error {
	c.text += string(frame.GetChunk().GetData())
	return nil
}

// proxy is a TCP proxy that can stop passing data on its open connections.
type proxy struct {
	address string

	mutex  sync.Mutex
	silent map[chan struct{}]bool
}

func startProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	p := &proxy{address: listener.Addr().String(), silent: map[chan struct{}]bool{}}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			t.Cleanup(func() { _, _ = near.Close(), far.Close() })
			p.pass(near, far)
		}
	}()
	return p
}

func (p *proxy) pass(near, far net.Conn) {
	silent := make(chan struct{})
	p.mutex.Lock()
	p.silent[silent] = false
	p.mutex.Unlock()
	go copyUntil(far, near, silent)
	go copyUntil(near, far, silent)
}

// silence stops data on the open connections; new connections work.
func (p *proxy) silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for silent, done := range p.silent {
		if !done {
			close(silent)
			p.silent[silent] = true
		}
	}
}

// copyUntil copies data until silent is closed, then discards what it reads.
func copyUntil(to io.Writer, from io.Reader, silent <-chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-silent:
		default:
			_, _ = to.Write(buffer[:n])
		}
	}
}
