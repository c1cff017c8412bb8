package operator

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/operatorpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	maxConcurrentCalls = 32
	callTimeout        = 2 * time.Second
)

// Peers calls other processes on an operator's behalf. It closes its connections after
// each answer: with 1,330 processes, open connections would use more memory than the
// rest of an entry.
type Peers struct {
	Members     *member.Members
	Credentials credentials.TransportCredentials
	// OwnAddress returns this process's own listen address. It is used for calls to itself,
	// because the address that it announces may not be reachable from here.
	OwnAddress func() string
}

// Drain sets a process to draining, or resumes it.
func (p *Peers) Drain(ctx context.Context, process *peerpb.Process, operator string, resume bool) (*peerpb.Refusal, error) {
	var refusal *peerpb.Refusal
	err := p.call(ctx, process, func(ctx context.Context, connection *grpc.ClientConn) error {
		if process.GetRole() == peerpb.Role_ROLE_ENTRY {
			request := peerpb.DrainRequest_builder{Operator: operator, Resume: resume}.Build()
			_, err := peerpb.NewMemberClient(connection).Drain(ctx, request)
			return err
		}
		action := peerpb.Action_ACTION_DRAIN
		if resume {
			action = peerpb.Action_ACTION_RESUME
		}
		request := peerpb.OrderRequest_builder{Action: action, Duty: "operator " + operator}.Build()
		reply, err := peerpb.NewSidecarClient(connection).Order(ctx, request)
		refusal = reply.GetRefusal()
		return err
	})
	return refusal, err
}

// Explain returns the decisions that all processes recorded for an identity, and
// the names of the processes that gave no answer.
func (p *Peers) Explain(ctx context.Context, id string) ([]*peerpb.Decision, []string) {
	var mutex sync.Mutex
	var decisions []*peerpb.Decision
	var silent []string
	processes := append(p.Members.Processes(peerpb.Role_ROLE_ENTRY), p.Members.Processes(peerpb.Role_ROLE_SIDECAR)...)
	p.forEach(processes, func(process *peerpb.Process) {
		var reply *peerpb.ExplainReply
		err := p.call(ctx, process, func(ctx context.Context, connection *grpc.ClientConn) (err error) {
			reply, err = peerpb.NewMemberClient(connection).Explain(ctx, peerpb.ExplainRequest_builder{Id: id}.Build())
			return err
		})
		mutex.Lock()
		defer mutex.Unlock()
		decisions = append(decisions, reply.GetDecisions()...)
		if err != nil {
			silent = append(silent, process.GetName())
		}
	})
	return decisions, silent
}

// RevisionsInForce returns the configuration revision in force at each process of a role.
func (p *Peers) RevisionsInForce(ctx context.Context, role peerpb.Role) []*operatorpb.Force {
	processes := p.Members.Processes(role)
	found := make([]*operatorpb.Force, len(processes))
	index := map[string]int{}
	for i, process := range processes {
		index[process.GetName()] = i
	}
	p.forEach(processes, func(process *peerpb.Process) {
		found[index[process.GetName()]] = p.revisionAt(ctx, process)
	})
	return found
}

func (p *Peers) revisionAt(ctx context.Context, process *peerpb.Process) *operatorpb.Force {
	force := operatorpb.Force_builder{Process: process.GetName(), Zone: process.GetZone()}.Build()
	err := p.call(ctx, process, func(ctx context.Context, connection *grpc.ClientConn) error {
		reply, err := peerpb.NewMemberClient(connection).Status(ctx, &peerpb.StatusRequest{})
		for _, fact := range reply.GetFacts() {
			if fact.GetName() == member.FactConfig {
				force.SetRevision(fact.GetRevision())
			}
		}
		return err
	})
	if err != nil {
		force.SetProblem(err.Error())
	}
	return force
}

// forEach calls do for all processes, at most maxConcurrentCalls at the same time.
func (p *Peers) forEach(processes []*peerpb.Process, do func(*peerpb.Process)) {
	queue := make(chan *peerpb.Process, len(processes))
	for _, process := range processes {
		queue <- process
	}
	close(queue)
	var group sync.WaitGroup
	for range min(maxConcurrentCalls, len(processes)) {
		group.Go(func() {
			for process := range queue {
				do(process)
			}
		})
	}
	group.Wait()
}

func (p *Peers) call(ctx context.Context, process *peerpb.Process, do func(context.Context, *grpc.ClientConn) error) error {
	connection, err := listen.Dial(p.address(process), p.Credentials)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return do(ctx, connection)
}

func (p *Peers) address(process *peerpb.Process) string {
	if p.OwnAddress != nil && process.GetName() == p.Members.Self().GetName() {
		return p.OwnAddress()
	}
	return process.GetAddress()
}
