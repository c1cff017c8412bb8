package entry_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/entry"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// bound is the longest wait of a test for a state.
const bound = 10 * time.Second

// service is a fake backend server that counts what it runs.
type service struct {
	*httptest.Server

	runs    atomic.Int64
	arrived chan struct{}
	release chan struct{}
}

// newService answers with handler after counting; requests wait for release if hold is set.
func newService(t *testing.T, hold bool, handler http.HandlerFunc) *service {
	t.Helper()
	s := &service{arrived: make(chan struct{}, 100), release: make(chan struct{})}
	if !hold {
		close(s.release)
	}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Sidecars of another run on this machine may still ask for the load of an
		// engine that had this port before; that is no run.
		if r.URL.Path == "/v1/load" {
			http.NotFound(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.runs.Add(1)
		s.arrived <- struct{}{}
		select {
		case <-s.release:
		case <-r.Context().Done():
			return
		}
		handler(w, r)
	}))
	t.Cleanup(s.Close)
	return s
}

func answerPosting(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusCreated)
	_, _ = io.WriteString(w, `{"posting":1}`)
}

// loads takes loads and drops them.
type loads struct{}

func (loads) OfferLoad(*peerpb.Load) {}

// newServer returns the service of a sidecar beside a plain service.
func newServer(address string) *entry.Server {
	plain := &backend.Plain{}
	plain.Address, plain.Name, plain.ReadTimeout = address, "s1", 5*time.Second
	return &entry.Server{
		Name: "s1", Pool: "ledger", Backend: plain, Loads: loads{},
		MaxRunning: 4, MaxQueued: 4, Retention: time.Minute, HeartbeatInterval: 20 * time.Millisecond,
	}
}

// serve serves a sidecar on loopback and returns a client.
func serve(t *testing.T, server *entry.Server) peerpb.SidecarClient {
	t.Helper()
	return serveAs(t, server, server)
}

// serveAs serves a sidecar through service, which passes calls on to it.
func serveAs(t *testing.T, server *entry.Server, service peerpb.SidecarServer) peerpb.SidecarClient {
	t.Helper()
	server.Open()
	ctx, cancel := context.WithCancel(context.Background())
	address := make(chan string, 1)
	stopped := make(chan error, 1)
	grpcServer := &listen.GRPC{
		Address:   "127.0.0.1:0",
		Register:  func(registrar grpc.ServiceRegistrar) { peerpb.RegisterSidecarServer(registrar, service) },
		Listening: func(chosen string) { address <- chosen },
	}
	go func() { stopped <- grpcServer.Run(ctx, 10*time.Millisecond) }()
	connection, err := listen.Dial(<-address, nil)
	must.NoError(t, err)
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-stopped)
		must.NoError(t, connection.Close())
	})
	return peerpb.NewSidecarClient(connection)
}

// posting returns a request that is not idempotent.
func posting(id string) *peerpb.RunRequest {
	return peerpb.RunRequest_builder{
		Id: id, Account: "branch", Pool: "ledger", Kind: peerpb.Kind_KIND_PLAIN,
		Method: http.MethodPost, Path: "/postings", Body: []byte(`{"member":"m","hours":1}`),
		Timeout: durationpb.New(bound),
	}.Build()
}

// answer is what a stream gave, beats left out.
type answer struct {
	frames  []*peerpb.Frame
	beats   int
	end     *peerpb.End
	refusal *peerpb.Refusal
	err     error
}

func (a answer) text() string {
	text := ""
	for _, frame := range a.frames {
		text += string(frame.GetChunk().GetData())
	}
	return text
}

// send sends a request and reads its stream to the end.
func send(client peerpb.SidecarClient, request *peerpb.RunRequest) answer {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	stream, err := client.Run(ctx, request)
	if err != nil {
		return answer{err: err}
	}
	return read(stream)
}

func read(stream grpc.ServerStreamingClient[peerpb.Frame]) answer {
	var a answer
	for {
		frame, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
		if frame.HasBeat() {
			a.beats++
			continue
		}
		a.frames = append(a.frames, frame)
		a.end, a.refusal = frame.GetEnd(), frame.GetRefusal()
	}
}

// sendAsync sends a request and returns a channel with its answer.
func sendAsync(client peerpb.SidecarClient, request *peerpb.RunRequest) <-chan answer {
	answers := make(chan answer, 1)
	go func() { answers <- send(client, request) }()
	return answers
}

func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(bound):
		t.Fatal("waited too long")
		panic("not reached")
	}
}

// mustBeWhole checks that an answer ended and that its frames are numbered without gaps.
func mustBeWhole(t *testing.T, text string, a answer) {
	t.Helper()
	must.NoError(t, a.err)
	must.Nil(t, a.refusal, must.Sprint(a.refusal))
	must.NotNil(t, a.end)
	must.Eq(t, text, a.text())
	first := a.frames[0].GetSeq()
	for i, frame := range a.frames {
		must.Eq(t, first+uint64(i), frame.GetSeq())
		must.Eq(t, a.frames[0].GetId(), frame.GetId())
	}
	must.Eq(t, a.end.GetFrames(), a.frames[len(a.frames)-1].GetSeq())
}

func mustBeRefused(t *testing.T, outcome peerpb.Outcome, code string, a answer) {
	t.Helper()
	must.NoError(t, a.err)
	must.NotNil(t, a.refusal, must.Sprint(fmt.Sprint(a.frames)))
	must.Eq(t, code, a.refusal.GetCode())
	must.Eq(t, outcome, a.refusal.GetOutcome())
}
