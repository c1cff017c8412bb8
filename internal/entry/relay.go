package entry

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// relayTimeout is the longest time without a frame or heartbeat from another sidecar.
const relayTimeout = 5 * time.Second

// relay streams the answer of the run that holds the claim at another sidecar. It serves
// a retry whose home has changed since the first send; nothing is forwarded to the local
// backend server.
func (s *Server) relay(ctx context.Context, run *run, holder *claimHolder) (*peerpb.End, error) {
	if holder.server == s.Name {
		return nil, s.refuseLost(holder)
	}
	s.Decisions.Record(run.id, "backend", "the claim is held by %s at %s, its answer is relayed", holder.id, holder.server)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(relayTimeout, cancel)
	defer timer.Stop()
	stream, err := s.Claims.Peers.Join(ctx, holder.server, peerpb.RunRequest_builder{
		Id:      holder.id,
		Account: run.request.GetAccount(),
		Pool:    s.Pool,
		Resend:  true,
	}.Build())
	if err != nil {
		return nil, s.refuseLost(holder)
	}
	for {
		end, err := s.relayFrame(stream, run, holder)
		if end != nil || err != nil {
			return end, err
		}
		timer.Reset(relayTimeout)
	}
}

// relayFrame relays one frame. For the last frame it returns the answer's end.
func (s *Server) relayFrame(stream grpc.ServerStreamingClient[peerpb.Frame], run *run, holder *claimHolder) (*peerpb.End, error) {
	frame, err := stream.Recv()
	if err != nil {
		return nil, s.refuseLost(holder)
	}
	switch frame.WhichPart() {
	case peerpb.Frame_End_case:
		return frame.GetEnd(), nil
	case peerpb.Frame_Refusal_case:
		return nil, refusal.FromMessage(frame.GetRefusal())
	case peerpb.Frame_Head_case, peerpb.Frame_Chunk_case:
		return nil, run.add(copyFrame(frame))
	default:
		return nil, nil
	}
}

// refuseLost refuses a request whose answer can't be read from the claim's holder.
func (s *Server) refuseLost(holder *claimHolder) *refusal.Error {
	return refusal.Unknown(http.StatusConflict, "claimed_elsewhere", "the idempotency key was used for a request to %s", holder.server)
}
