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

// testTimeout bounds a test's wait for a state.
const testTimeout = 10 * time.Second

// service is a fake backend server that counts its runs.
type service struct {
	*httptest.Server

	runs    atomic.Int64
	arrived chan struct{}
	release chan struct{}
}

// newService returns a fake backend server that answers with handler. If hold is
// set, requests wait until release is closed.
func newService(t *testing.T, hold bool, handler http.HandlerFunc) *service {
	t.Helper()
	s := &service{arrived: make(chan struct{}, 100), release: make(chan struct{})}
	if !hold {
		close(s.release)
	}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Sidecars of another test process on this machine may still poll the load of an
		// engine that used this port before. Such a poll must not count as a run.
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

// discardLoads is a LoadReporter that ignores reports.
type discardLoads struct{}

func (discardLoads) OfferLoad(*peerpb.Load) {}

// newServer returns a sidecar's service with a plain service as its backend.
func newServer(address string) *entry.Server {
	plain := &backend.Plain{}
	plain.Address, plain.Name, plain.ReadTimeout = address, "s1", 5*time.Second
	return &entry.Server{
		Name: "s1", Pool: "ledger", Backend: plain, Loads: discardLoads{},
		MaxRunning: 4, MaxQueued: 4, Retention: time.Minute, HeartbeatInterval: 20 * time.Millisecond,
	}
}

// serve runs a sidecar on loopback and returns a client.
func serve(t *testing.T, server *entry.Server) peerpb.SidecarClient {
	t.Helper()
	return serveAs(t, server, server)
}

// serveAs serves service, a wrapper of the sidecar, on loopback and returns a client.
func serveAs(t *testing.T, server *entry.Server, service peerpb.SidecarServer) peerpb.SidecarClient {
	t.Helper()
	server.Init()
	ctx, cancel := context.WithCancel(context.Background())
	address := make(chan string, 1)
	stopped := make(chan error, 1)
	grpcServer := &listen.GRPC{
		Address:     "127.0.0.1:0",
		Register:    func(registrar grpc.ServiceRegistrar) { peerpb.RegisterSidecarServer(registrar, service) },
		OnListening: func(chosen string) { address <- chosen },
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

// posting returns a non-idempotent request.
func posting(id string) *peerpb.RunRequest {
	return peerpb.RunRequest_builder{
		Id: id, Account: "branch", Pool: "ledger", Kind: peerpb.Kind_KIND_PLAIN,
		Method: http.MethodPost, Path: "/postings", Body: []byte(`{"member":"m","hours":1}`),
		Timeout: durationpb.New(testTimeout),
	}.Build()
}

// answer is what a stream delivered; heartbeats are only counted.
type answer struct {
	frames     []*peerpb.Frame
	heartbeats int
	end        *peerpb.End
	refusal    *peerpb.Refusal
	err        error
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
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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
			a.heartbeats++
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
	case <-time.After(testTimeout):
		t.Fatal("nothing was received before the timeout")
		panic("not reached")
	}
}

// mustBeComplete checks that an answer is complete and its frames are numbered without gaps.
func mustBeComplete(t *testing.T, text string, a answer) {
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
