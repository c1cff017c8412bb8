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
	askAtOnce  = 32
	askTimeout = 2 * time.Second
)

// Peers asks the other processes on an operator's behalf. Its connections are
// closed after each answer: with 1,330 processes, open ones would outweigh all
// other memory of an entry.
type Peers struct {
	Members     *member.Members
	Credentials credentials.TransportCredentials
	// OwnAddress returns the address on which this process itself listens: it answers
	// for itself also where the one that it tells others can't be reached from here.
	OwnAddress func() string
}

// Drain makes a process drain, or take work again.
func (p *Peers) Drain(ctx context.Context, process *peerpb.Process, operator string, resume bool) (*peerpb.Refusal, error) {
	var refusal *peerpb.Refusal
	err := p.ask(ctx, process, func(ctx context.Context, connection *grpc.ClientConn) error {
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

// Explain gathers the decisions that all processes took for an identity, and
// the names of those that gave no answer.
func (p *Peers) Explain(ctx context.Context, id string) ([]*peerpb.Decision, []string) {
	var mutex sync.Mutex
	var decisions []*peerpb.Decision
	var silent []string
	processes := append(p.Members.Processes(peerpb.Role_ROLE_ENTRY), p.Members.Processes(peerpb.Role_ROLE_SIDECAR)...)
	p.each(processes, func(process *peerpb.Process) {
		var reply *peerpb.ExplainReply
		err := p.ask(ctx, process, func(ctx context.Context, connection *grpc.ClientConn) (err error) {
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

// RevisionsInForce asks the processes of a role which revision of the configuration is in
// force there.
func (p *Peers) RevisionsInForce(ctx context.Context, role peerpb.Role) []*operatorpb.Force {
	processes := p.Members.Processes(role)
	found := make([]*operatorpb.Force, len(processes))
	index := map[string]int{}
	for i, process := range processes {
		index[process.GetName()] = i
	}
	p.each(processes, func(process *peerpb.Process) {
		found[index[process.GetName()]] = p.forceAt(ctx, process)
	})
	return found
}

func (p *Peers) forceAt(ctx context.Context, process *peerpb.Process) *operatorpb.Force {
	force := operatorpb.Force_builder{Process: process.GetName(), Zone: process.GetZone()}.Build()
	err := p.ask(ctx, process, func(ctx context.Context, connection *grpc.ClientConn) error {
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

// each calls do for all processes, a bounded number at the same time.
func (p *Peers) each(processes []*peerpb.Process, do func(*peerpb.Process)) {
	work := make(chan *peerpb.Process, len(processes))
	for _, process := range processes {
		work <- process
	}
	close(work)
	var group sync.WaitGroup
	for range min(askAtOnce, len(processes)) {
		group.Go(func() {
			for process := range work {
				do(process)
			}
		})
	}
	group.Wait()
}

func (p *Peers) ask(ctx context.Context, process *peerpb.Process, call func(context.Context, *grpc.ClientConn) error) error {
	connection, err := listen.Dial(p.address(process), p.Credentials)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return call(ctx, connection)
}

func (p *Peers) address(process *peerpb.Process) string {
	if p.OwnAddress != nil && process.GetName() == p.Members.Self().GetName() {
		return p.OwnAddress()
	}
	return process.GetAddress()
}
