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
	silence = 300 * time.Millisecond
	bound   = 10 * time.Second
)

// fake is a sidecar that plays what a test gives it.
type fake struct {
	peerpb.UnimplementedSidecarServer

	play      func(request *peerpb.RunRequest, stream frames) error
	cancelled chan string
	address   string
	stop      func()

	mutex sync.Mutex
	seen  []*peerpb.RunRequest
}

type frames = grpc.ServerStreamingServer[peerpb.Frame]

func (f *fake) Cancel(_ context.Context, request *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	f.cancelled <- request.GetId()
	return &peerpb.CancelReply{}, nil
}

func (f *fake) Run(request *peerpb.RunRequest, stream frames) error {
	f.mutex.Lock()
	f.seen = append(f.seen, request)
	f.mutex.Unlock()
	return f.play(request, stream)
}

func (f *fake) requests() []*peerpb.RunRequest {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.seen
}

func startFake(t *testing.T, play func(*peerpb.RunRequest, frames) error) *fake {
	t.Helper()
	f := &fake{play: play, cancelled: make(chan string, 16)}
	listening := make(chan string, 1)
	server := &listen.GRPC{
		Address:   "127.0.0.1:0",
		Register:  func(registrar grpc.ServiceRegistrar) { peerpb.RegisterSidecarServer(registrar, f) },
		Listening: func(address string) { listening <- address },
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

// known is a process that the pool knows.
type known struct {
	server, address, pool string
	state                 peerpb.State
}

func newPool(t *testing.T, processes ...known) *sidecar.Pool {
	t.Helper()
	self := peerpb.Process_builder{Name: "e1", Role: peerpb.Role_ROLE_ENTRY, Zone: "z1", State: peerpb.State_STATE_LIVE}.Build()
	members := member.NewMembers(self)
	learn(t, members, processes...)
	pool := &sidecar.Pool{Members: members, Decisions: &decision.Log{}, ReadTimeout: silence}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- pool.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-served
	})
	return pool
}

func learn(t *testing.T, members *member.Members, processes ...known) {
	t.Helper()
	gossip := &peerpb.Gossip{}
	for _, one := range processes {
		state := one.state
		if state == peerpb.State_STATE_UNSPECIFIED {
			state = peerpb.State_STATE_LIVE
		}
		gossip.SetProcesses(append(gossip.GetProcesses(), peerpb.Process_builder{
			Name: "sidecar-" + one.server, Incarnation: 1, Version: 1, Role: peerpb.Role_ROLE_SIDECAR, State: state,
			Zone: "z1", Address: one.address, Server: one.server, Pool: one.pool,
		}.Build()))
	}
	gossip.SetSender(members.Self())
	_, err := (&member.Exchanger{Members: members}).Exchange(t.Context(), gossip)
	must.NoError(t, err)
}

func numbered(request *peerpb.RunRequest, seq uint64, text string) *peerpb.Frame {
	chunk := peerpb.Chunk_builder{Data: []byte(text)}.Build()
	return peerpb.Frame_builder{Id: request.GetId(), Seq: seq, Chunk: chunk}.Build()
}

func end(request *peerpb.RunRequest, frames uint64) *peerpb.Frame {
	end := peerpb.End_builder{Finish: "stop", Frames: frames}.Build()
	return peerpb.Frame_builder{Id: request.GetId(), Seq: frames, End: end}.Build()
}

// sendAll sends frames until one can't be sent.
func sendAll(stream frames, all ...*peerpb.Frame) error {
	for _, frame := range all {
		if err := stream.Send(frame); err != nil {
			return err
		}
	}
	return nil
}

// words plays an answer of one frame for each word, from the position wanted.
func words(all ...string) func(*peerpb.RunRequest, frames) error {
	return func(request *peerpb.RunRequest, stream frames) error {
		for seq := request.GetFrom(); seq < uint64(len(all)); seq++ {
			if err := stream.Send(numbered(request, seq, all[seq])); err != nil {
				return err
			}
		}
		return stream.Send(end(request, uint64(len(all))))
	}
}

// hang keeps a stream open until its client ends it.
func hang(stream frames) error {
	<-stream.Context().Done()
	return nil
}

// collector is a sink that keeps the text.
type collector struct {
	text string
}

func (c *collector) restart() bool {
	c.text = ""
	return true
}

func (c *collector) take(frame *peerpb.Frame) error {
	c.text += string(frame.GetChunk().GetData())
	return nil
}

// relay passes connections on, and can lose track of those that are open.
type relay struct {
	address string

	mutex  sync.Mutex
	silent map[chan struct{}]bool
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	r := &relay{address: listener.Addr().String(), silent: map[chan struct{}]bool{}}
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
			r.pass(near, far)
		}
	}()
	return r
}

func (r *relay) pass(near, far net.Conn) {
	silent := make(chan struct{})
	r.mutex.Lock()
	r.silent[silent] = false
	r.mutex.Unlock()
	go copyUntil(far, near, silent)
	go copyUntil(near, far, silent)
}

// silence makes the open connections carry nothing any more; new ones work.
func (r *relay) silence() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for silent, done := range r.silent {
		if !done {
			close(silent)
			r.silent[silent] = true
		}
	}
}

// copyUntil copies until the connection is silenced; what it reads then is lost.
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
