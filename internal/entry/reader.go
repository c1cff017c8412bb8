package entry

import (
	"time"

	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// loadInterval is the shortest time between two loads on one stream.
const loadInterval = 100 * time.Millisecond

// reader sends a run's frames on one stream.
type reader struct {
	server   *Server
	stream   grpc.ServerStreamingServer[peerpb.Frame]
	id       string
	position uint64
	loaded   time.Time
}

func (s *Server) newReader(request *peerpb.RunRequest, stream grpc.ServerStreamingServer[peerpb.Frame]) *reader {
	return &reader{server: s, stream: stream, id: request.GetId(), position: request.GetFrom()}
}

// follow sends the frames from the reader's position until the last.
func (r *reader) follow(run *run) error {
	run.attach()
	defer run.detach()
	beat := time.NewTimer(r.server.HeartbeatInterval)
	defer beat.Stop()
	for {
		frames, isLast, changed, refused := run.after(r.position)
		if refused != nil {
			return r.refuse(refused)
		}
		if err := r.sendAll(run, frames); err != nil || isLast {
			return err
		}
		beat.Reset(r.server.HeartbeatInterval)
		select {
		case <-changed:
		case <-beat.C:
			if err := r.beat(); err != nil {
				return err
			}
		case <-r.stream.Context().Done():
			return r.stream.Context().Err()
		}
	}
}

// refuse sends a refusal that belongs to no run.
func (r *reader) refuse(refused *refusal.Error) error {
	return r.send(peerpb.Frame_builder{Seq: r.position, Refusal: refused.ToMessage()}.Build())
}

// beat shows that the connection is alive.
func (r *reader) beat() error {
	return r.send(peerpb.Frame_builder{Seq: r.position, Beat: &peerpb.Beat{}}.Build())
}

func (r *reader) sendAll(run *run, frames []*peerpb.Frame) error {
	for _, frame := range frames {
		if err := r.send(copyFrame(frame)); err != nil {
			return err
		}
		r.position = frame.GetSeq() + 1
	}
	run.got(r.position)
	return nil
}

// send binds the frame to the request that the stream is for, adds the
// server's load now and then, and sends it.
func (r *reader) send(frame *peerpb.Frame) error {
	frame.SetId(r.id)
	if now := time.Now(); now.Sub(r.loaded) >= loadInterval || isLastFrame(frame) {
		frame.SetLoad(r.server.load())
		r.loaded = now
	}
	return r.stream.Send(frame)
}

func isLastFrame(frame *peerpb.Frame) bool {
	return frame.HasEnd() || frame.HasRefusal()
}

// copyFrame copies a frame without its part's content, which is never changed.
func copyFrame(frame *peerpb.Frame) *peerpb.Frame {
	copied := peerpb.Frame_builder{Seq: frame.GetSeq()}.Build()
	switch frame.WhichPart() {
	case peerpb.Frame_Head_case:
		copied.SetHead(frame.GetHead())
	case peerpb.Frame_Chunk_case:
		copied.SetChunk(frame.GetChunk())
	case peerpb.Frame_End_case:
		copied.SetEnd(frame.GetEnd())
	case peerpb.Frame_Refusal_case:
		copied.SetRefusal(frame.GetRefusal())
	default:
	}
	return copied
}
