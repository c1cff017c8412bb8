package entry

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// relaySilence is how long another sidecar may send nothing, beats included.
const relaySilence = 5 * time.Second

// relay gives the answer of the run that has the claim at another sidecar. The
// retry of a posting whose home has changed since gets its answer that way,
// while nothing is passed on here.
func (s *Server) relay(ctx context.Context, run *run, holder *holder) (*peerpb.End, error) {
	if holder.server == s.Name {
		return nil, s.lost(holder)
	}
	s.Decisions.Record(run.id, "backend", "the claim is held by %s at %s, its answer is relayed", holder.id, holder.server)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(relaySilence, cancel)
	defer silence.Stop()
	stream, err := s.Claims.Peers.Join(ctx, holder.server, peerpb.RunRequest_builder{
		Id:      holder.id,
		Account: run.request.GetAccount(),
		Pool:    s.Pool,
		Resend:  true,
	}.Build())
	if err != nil {
		return nil, s.lost(holder)
	}
	for {
		end, err := s.relayFrame(stream, run, holder)
		if end != nil || err != nil {
			return end, err
		}
		silence.Reset(relaySilence)
	}
}

// relayFrame relays one frame; it returns the end of the answer with the last.
func (s *Server) relayFrame(stream grpc.ServerStreamingClient[peerpb.Frame], run *run, holder *holder) (*peerpb.End, error) {
	frame, err := stream.Recv()
	if err != nil {
		return nil, s.lost(holder)
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

// lost refuses a request whose answer is at a sidecar that doesn't give it.
func (s *Server) lost(holder *holder) *refusal.Error {
	return refusal.Unknown(http.StatusConflict, "claimed_elsewhere", "the idempotency key was used for a request to %s", holder.server)
}
