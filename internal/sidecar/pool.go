// Package sidecar speaks to sidecars on behalf of an entry.
package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// Sink takes the frames of one answer in order, each once; beats are left out.
type Sink func(*peerpb.Frame) error

// Pool holds the connections to sidecars and sends requests to them.
// Exported fields are set before Run.
type Pool struct {
	Members     *member.Members
	Decisions   *decision.Log
	Credentials credentials.TransportCredentials
	// Silence is how long a sidecar may send nothing.
	Silence time.Duration

	mutex       sync.Mutex
	connections map[string]*grpc.ClientConn
	running     map[string]int
}

// Run sends a request to a server of its pool and gives the answer's frames to
// sink. It returns the end frame once the answer is whole, else an error, which
// is a *refusal.Error unless sink failed or the context ended.
func (p *Pool) Run(ctx context.Context, request *peerpb.RunRequest, sink Sink) (*peerpb.End, error) {
	process := p.pick(request)
	if process == nil {
		return nil, refusal.NotRun(http.StatusServiceUnavailable, "no_server", "no backend server of %s is live", request.GetPool()).After(time.Second)
	}
	connection, err := p.connect(process.GetAddress())
	if err != nil {
		return nil, refusal.NotRun(http.StatusServiceUnavailable, "no_connection", "%s can't be reached", process.GetServer()).After(time.Second)
	}
	p.count(process.GetServer(), 1)
	defer p.count(process.GetServer(), -1)
	stream, err := peerpb.NewSidecarClient(connection).Run(ctx, request)
	if err != nil {
		return nil, refusal.Unknown(http.StatusBadGateway, "connection_lost", "%s: %v", process.GetServer(), err)
	}
	return receive(stream, sink)
}

func receive(stream grpc.ServerStreamingClient[peerpb.Frame], sink Sink) (*peerpb.End, error) {
	for {
		frame, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil, refusal.Unknown(http.StatusBadGateway, "cut", "the answer ended without its end frame")
		}
		if err != nil {
			return nil, refusal.Unknown(http.StatusBadGateway, "connection_lost", "%v", err)
		}
		switch frame.WhichPart() {
		case peerpb.Frame_Beat_case:
			continue
		case peerpb.Frame_Refusal_case:
			return nil, refusal.FromMessage(frame.GetRefusal())
		case peerpb.Frame_End_case:
			return frame.GetEnd(), nil
		default:
			if err := sink(frame); err != nil {
				return nil, err
			}
		}
	}
}

func (p *Pool) pick(request *peerpb.RunRequest) *peerpb.Process {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var best *peerpb.Process
	least := 0
	for _, process := range p.Members.Processes(peerpb.Role_ROLE_SIDECAR) {
		if process.GetPool() != request.GetPool() || process.GetState() != peerpb.State_STATE_LIVE {
			continue
		}
		running := p.running[process.GetServer()]
		if best == nil || running < least {
			best, least = process, running
		}
	}
	if best != nil {
		p.Decisions.Record(request.GetId(), "route", "%s, fewest running here (%d)", best.GetServer(), least)
	}
	return best
}

func (p *Pool) count(server string, by int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running == nil {
		p.running = map[string]int{}
	}
	p.running[server] += by
}

func (p *Pool) connect(address string) (*grpc.ClientConn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if connection := p.connections[address]; connection != nil {
		return connection, nil
	}
	connection, err := listen.Dial(address, p.Credentials)
	if err != nil {
		return nil, err
	}
	if p.connections == nil {
		p.connections = map[string]*grpc.ClientConn{}
	}
	p.connections[address] = connection
	return connection, nil
}
