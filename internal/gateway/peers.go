package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/detour"
	"github.com/bramleyhatch/bramleyhatch/internal/mirror"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
)

const (
	// askTime is what an owner may take for a short answer: many times what it
	// usually takes. One that is silent longer is gone or cut off.
	askTime = 250 * time.Millisecond
	// readTime is what an owner may take for results, in addition to a wait: up to
	// a megabyte, several times over a link of 60 Mbit/s. After that the store is
	// asked, whose answer has a third more bytes; callers wait for 1.5 s in all.
	readTime = 700 * time.Millisecond
	// acceptTime is how long another gateway waits for word of a batch: less than its
	// call, so that it hears that the batch runs where the store is silent.
	acceptTime = 450 * time.Millisecond
)

// page returns results of a batch: from here if it is owned here, else from its
// owner, else from the store.
func (h *Handler) page(ctx context.Context, caller *caller, call Call) (batch.Page, error) {
	wait := min(call.Wait, greatestWait)
	page, isOwn, err := h.Board.ReadOwned(ctx, call.Batch, caller.account.Name, call.After, wait)
	if isOwn && !page.MayBeIncomplete || err != nil {
		return page, err
	}
	if client := h.Hosts.Client(h.Board.Owner(call.Batch)); client != nil {
		asking, cancel := context.WithTimeout(ctx, wait+readTime)
		defer cancel()
		reply, err := client.Read(asking, peerpb.ReadRequest_builder{
			Batch: call.Batch, After: call.After, Wait: wait.Milliseconds(), Account: caller.account.Name,
		}.Build())
		if err == nil && reply.GetOwned() && reply.GetAllowed() {
			return batch.Page{Total: reply.GetTotal(), Outcomes: reply.GetOutcomes()}, nil
		}
		klog.V(1).InfoS("batch: its owner gave no results", "batch", call.Batch, "owner", h.Board.Owner(call.Batch), "err", err)
	}
	return h.Board.ReadStored(ctx, call.Batch, caller.account.Name, call.After)
}

// tellEnd tells the owner of a batch that it is ended.
func (h *Handler) tellEnd(ctx context.Context, caller *caller, call Call) {
	client := h.Hosts.Client(h.Board.Owner(call.Batch))
	if client == nil {
		return
	}
	asking, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	_, err := client.End(asking, peerpb.EndRequest_builder{Batch: call.Batch, Account: caller.account.Name}.Build())
	if err != nil {
		klog.InfoS("batch: its owner was not told of its end, the store will", "batch", call.Batch, "err", err.Error())
	}
}

// Peers has other gateways take batches.
type Peers struct {
	Hosts *Hosts
}

var _ batch.Peers = &Peers{}

// Accept has another gateway take a batch.
func (p *Peers) Accept(ctx context.Context, host string, accepted *statepb.Batch) (batch.Acceptance, error) {
	client := p.Hosts.Client(host)
	if client == nil {
		return batch.Refused, nil
	}
	reply, err := client.Accept(ctx, peerpb.AcceptRequest_builder{Batch: accepted}.Build())
	switch {
	case reply.GetAccepted():
		return batch.Accepted, err
	case reply.GetPending():
		return batch.Pending, err
	default:
		return batch.Refused, err
	}
}

// HandOver has another gateway go on with a batch.
func (p *Peers) HandOver(ctx context.Context, host string, state batch.Handover) (bool, error) {
	client := p.Hosts.Client(host)
	if client == nil {
		return false, nil
	}
	reply, err := client.HandOver(ctx, peerpb.HandOverRequest_builder{
		Batch: state.Batch, Owner: state.Owner.Revision, Open: state.Open, Listed: state.Listed, Pending: state.Pending, Partials: state.Partials,
	}.Build())
	return reply.GetTaken(), err
}

// Server answers other gateways. Exported fields are set before it is registered.
type Server struct {
	peerpb.UnimplementedGatewayServer

	Board  *batch.Board
	Direct *detour.Direct
	Roster *roster.Roster
	// Incarnation of this process.
	Incarnation uint64
	// Mirrors by their prefix.
	Mirrors map[string]*mirror.Mirror
}

var _ peerpb.GatewayServer = &Server{}

// Accept takes a batch that another gateway was sent.
func (s *Server) Accept(ctx context.Context, request *peerpb.AcceptRequest) (*peerpb.AcceptReply, error) {
	acceptance, err := s.Board.AcceptForPeer(context.WithoutCancel(ctx), request.GetBatch(), acceptTime)
	if err != nil {
		return nil, err
	}
	return peerpb.AcceptReply_builder{Accepted: acceptance == batch.Accepted, Pending: acceptance == batch.Pending}.Build(), nil
}

// HandOver goes on with a batch of another gateway.
func (s *Server) HandOver(ctx context.Context, request *peerpb.HandOverRequest) (*peerpb.HandOverReply, error) {
	taken, err := s.Board.TakeHandover(context.WithoutCancel(ctx), batch.Handover{
		Batch: request.GetBatch(), Owner: batch.Ownership{Revision: request.GetOwner()}, Open: request.GetOpen(),
		Listed: request.GetListed(), Pending: request.GetPending(), Partials: request.GetPartials(),
	})
	if err != nil {
		return nil, err
	}
	return peerpb.HandOverReply_builder{Taken: taken}.Build(), nil
}

// Demand tells what this gateway asks of pools.
func (s *Server) Demand(_ context.Context, request *peerpb.DemandRequest) (*peerpb.DemandReply, error) {
	reply := peerpb.DemandReply_builder{Incarnation: s.Incarnation}
	for _, pool := range request.GetPools() {
		demand := s.Roster.Demand(pool)
		reply.Pools = append(reply.Pools, peerpb.PoolDemand_builder{
			Pool: pool, Busy: demand.Busy.Microseconds(), Ended: demand.Ended, Refused: demand.Refused, Waiting: s.Board.Waiting(pool),
		}.Build())
	}
	return reply.Build(), nil
}

// Detour makes a call of the store from this host.
func (s *Server) Detour(ctx context.Context, request *peerpb.DetourRequest) (*peerpb.DetourReply, error) {
	answer, err := s.Direct.Do(ctx, detour.Call{
		Method: request.GetMethod(), Target: request.GetTarget(), Body: request.GetBody(),
		Timeout: time.Duration(request.GetTimeout()) * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	return peerpb.DetourReply_builder{Status: uint32(answer.Status), Body: answer.Body}.Build(), nil
}

// End stops a batch that is owned here.
func (s *Server) End(_ context.Context, request *peerpb.EndRequest) (*peerpb.EndReply, error) {
	owned := s.Board.StopOwned(request.GetBatch(), request.GetAccount())
	return peerpb.EndReply_builder{Owned: owned}.Build(), nil
}

// Read returns results of a batch that is owned here.
func (s *Server) Read(ctx context.Context, request *peerpb.ReadRequest) (*peerpb.ReadReply, error) {
	wait := min(time.Duration(request.GetWait())*time.Millisecond, greatestWait)
	page, isOwn, err := s.Board.ReadOwned(ctx, request.GetBatch(), request.GetAccount(), request.GetAfter(), wait)
	if err != nil && refusal.Of(err).Code != "no_batch" {
		return nil, err
	}
	return peerpb.ReadReply_builder{Owned: isOwn && !page.MayBeIncomplete, Allowed: err == nil, Total: page.Total, Outcomes: page.Outcomes}.Build(), nil
}

// Watch waits for changes that this gateway has seen by watches of its own.
func (s *Server) Watch(ctx context.Context, request *peerpb.WatchRequest) (*peerpb.WatchReply, error) {
	followed := s.Mirrors[request.GetPrefix()]
	if followed == nil {
		return &peerpb.WatchReply{}, nil
	}
	wait := min(time.Duration(request.GetWait())*time.Millisecond, greatestWait)
	list, ok := followed.Changes(ctx, request.GetAfter(), wait)
	reply := peerpb.WatchReply_builder{Known: ok, Revision: list.Revision}
	for _, value := range list.Values {
		reply.Changes = append(reply.Changes, peerpb.Change_builder{
			Key: value.Key, Data: value.Data, Revision: value.Revision, Lease: value.Lease, Deleted: value.Deleted,
		}.Build())
	}
	return reply.Build(), nil
}
