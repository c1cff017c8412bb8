package gateway

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/batch"
	"github.com/bramleyhatch/bramleyhatch/internal/detour"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/mirror"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
)

const (
	// peerTimeout bounds short calls to other gateways: many times their usual
	// duration. A gateway that takes longer to answer is dead or unreachable.
	peerTimeout = 250 * time.Millisecond
	// readTimeout is added to the requested wait when reading results from a batch's
	// owner: several times the transfer time of a megabyte, the maximum, over a 60
	// Mbit/s link. After the timeout the results are read from the store, whose answer
	// is a third larger; callers wait for 1.5 s in total.
	readTimeout = 700 * time.Millisecond
	// acceptTimeout bounds the wait for the outcome of an Accept call. It is shorter
	// than the timeout of the calling gateway, so that this gateway can still reply
	// that the batch is running while the store does not answer.
	acceptTimeout = 450 * time.Millisecond
)

// foreignPageBytes is the memory of the largest page that the owner of a batch returns.
const foreignPageBytes = 1 << 20

// storedBytes returns the memory of a batch that is read from the store: its value as text and as bytes, and decoded.
func (h *Handler) storedBytes() int64 { return 4 * int64(h.Board.ValueBytes) }

// readPage returns results of a batch: from this process if it owns the batch, else
// from the owner, else from the store.
func (h *Handler) readPage(r *http.Request, admitted *admittedRequest, call Call) (batch.Page, error) {
	ctx := r.Context()
	wait := min(call.Wait, maxWait)
	page, isOwn, err := h.Board.ReadOwned(ctx, call.Batch, admitted.account.Name, call.After, wait)
	if isOwn && !page.MayBeIncomplete || err != nil {
		return page, err
	}
	if err := listen.TakeMemory(r, foreignPageBytes, bodyCodes); err != nil {
		return batch.Page{}, err
	}
	if client := h.Hosts.Client(h.Board.Owner(call.Batch)); client != nil {
		callCtx, cancel := context.WithTimeout(ctx, wait+readTimeout)
		defer cancel()
		reply, err := client.Read(callCtx, peerpb.ReadRequest_builder{
			Batch: call.Batch, After: call.After, Wait: wait.Milliseconds(), Account: admitted.account.Name,
		}.Build())
		if err == nil && reply.GetOwned() && reply.GetAllowed() {
			return batch.Page{Total: reply.GetTotal(), Outcomes: reply.GetOutcomes()}, nil
		}
		klog.V(1).InfoS("batch: reading results from the owner failed; reading them from the store", "batch", call.Batch, "owner", h.Board.Owner(call.Batch), "err", err)
	}
	if err := listen.TakeMemory(r, h.storedBytes(), bodyCodes); err != nil {
		return batch.Page{}, err
	}
	return h.Board.ReadStored(ctx, call.Batch, admitted.account.Name, call.After)
}

// notifyOwnerOfEnd notifies the owner of a batch that a caller has ended it.
func (h *Handler) notifyOwnerOfEnd(ctx context.Context, admitted *admittedRequest, call Call) {
	client := h.Hosts.Client(h.Board.Owner(call.Batch))
	if client == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	_, err := client.End(callCtx, peerpb.EndRequest_builder{Batch: call.Batch, Account: admitted.account.Name}.Build())
	if err != nil {
		klog.InfoS("batch: notifying the owner of the end failed; the owner will read it from the store", "batch", call.Batch, "err", err.Error())
	}
}

// Peers sends batches to other gateways.
type Peers struct {
	Hosts *Hosts
}

var _ batch.Peers = &Peers{}

// Accept asks another gateway to accept a batch.
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

// HandOver asks another gateway to continue a batch.
func (p *Peers) HandOver(ctx context.Context, host string, state batch.Handover) (bool, error) {
	client := p.Hosts.Client(host)
	if client == nil {
		return false, nil
	}
	reply, err := client.HandOver(ctx, peerpb.HandOverRequest_builder{
		Batch: state.Batch, Owner: state.Ownership.Revision, Open: state.OpenRevision, Listed: state.Listed, Pending: state.Pending, Partials: state.Partials,
	}.Build())
	return reply.GetTaken(), err
}

// Server serves calls of other gateways. Exported fields are set before it is
// registered.
type Server struct {
	peerpb.UnimplementedGatewayServer

	Board  *batch.Board
	Direct *detour.Direct
	Roster *roster.Roster
	// Incarnation identifies this start of the process.
	Incarnation uint64
	// Mirrors are keyed by their store prefix.
	Mirrors map[string]*mirror.Mirror
	// Loads exchanges the load on shared pools; nil answers as a gateway that doesn't know the call.
	Loads *LoadExchange
}

var _ peerpb.GatewayServer = &Server{}

// Accept accepts a batch that another gateway received.
func (s *Server) Accept(ctx context.Context, request *peerpb.AcceptRequest) (*peerpb.AcceptReply, error) {
	acceptance, err := s.Board.AcceptForPeer(context.WithoutCancel(ctx), request.GetBatch(), acceptTimeout)
	if err != nil {
		return nil, err
	}
	return peerpb.AcceptReply_builder{Accepted: acceptance == batch.Accepted, Pending: acceptance == batch.Pending}.Build(), nil
}

// HandOver takes over a batch of another gateway.
func (s *Server) HandOver(ctx context.Context, request *peerpb.HandOverRequest) (*peerpb.HandOverReply, error) {
	taken, err := s.Board.TakeHandover(context.WithoutCancel(ctx), batch.Handover{
		Batch: request.GetBatch(), Ownership: batch.Ownership{Revision: request.GetOwner()}, OpenRevision: request.GetOpen(),
		Listed: request.GetListed(), Pending: request.GetPending(), Partials: request.GetPartials(),
	})
	if err != nil {
		return nil, err
	}
	return peerpb.HandOverReply_builder{Taken: taken}.Build(), nil
}

// Demand returns this gateway's demand for pools.
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

// Exchange records the load of another gateway on shared pools and returns that of this one.
func (s *Server) Exchange(ctx context.Context, request *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	if s.Loads == nil {
		return s.UnimplementedGatewayServer.Exchange(ctx, request)
	}
	return s.Loads.Receive(request), nil
}

// Detour sends another gateway's store request directly from this host.
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

// End stops a batch that this process owns.
func (s *Server) End(_ context.Context, request *peerpb.EndRequest) (*peerpb.EndReply, error) {
	owned := s.Board.StopOwned(request.GetBatch(), request.GetAccount())
	return peerpb.EndReply_builder{Owned: owned}.Build(), nil
}

// Read returns results of a batch that this process owns.
func (s *Server) Read(ctx context.Context, request *peerpb.ReadRequest) (*peerpb.ReadReply, error) {
	wait := min(time.Duration(request.GetWait())*time.Millisecond, maxWait)
	page, isOwn, err := s.Board.ReadOwned(ctx, request.GetBatch(), request.GetAccount(), request.GetAfter(), wait)
	if err != nil && refusal.Of(err).Code != "no_batch" {
		return nil, err
	}
	return peerpb.ReadReply_builder{Owned: isOwn && !page.MayBeIncomplete, Allowed: err == nil, Total: page.Total, Outcomes: page.Outcomes}.Build(), nil
}

// Watch waits for and returns store changes that this gateway knows.
func (s *Server) Watch(ctx context.Context, request *peerpb.WatchRequest) (*peerpb.WatchReply, error) {
	source := s.Mirrors[request.GetPrefix()]
	if source == nil {
		return &peerpb.WatchReply{}, nil
	}
	wait := min(time.Duration(request.GetWait())*time.Millisecond, maxWait)
	update, ok := source.Changes(ctx, request.GetAfter(), wait)
	if !ok || !request.GetComplete() && (update.IsComplete || update.IsStoreLost) {
		return &peerpb.WatchReply{}, nil
	}
	reply := peerpb.WatchReply_builder{
		Known: true, Revision: update.Revision, Complete: update.IsComplete, Age: update.Age.Microseconds(), Lost: update.IsStoreLost, Hops: uint32(update.Hops),
		Changes: make([]*peerpb.Change, 0, len(update.Values)),
	}
	for _, value := range update.Values {
		reply.Changes = append(reply.Changes, peerpb.Change_builder{
			Key: value.Key, Data: value.Data, Revision: value.Revision, Lease: value.Lease, Deleted: value.Deleted,
		}.Build())
	}
	return reply.Build(), nil
}
