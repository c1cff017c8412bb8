package entry

import (
	"time"

	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// minLoadInterval is the time between load reports on a stream, except with its last frame.
const minLoadInterval = 100 * time.Millisecond

// reader sends a run's frames to one stream.
type reader struct {
	server   *Server
	stream   grpc.ServerStreamingServer[peerpb.Frame]
	id       string
	position uint64
	lastLoad time.Time
}

func (s *Server) newReader(request *peerpb.RunRequest, stream grpc.ServerStreamingServer[peerpb.Frame]) *reader {
	return &reader{server: s, stream: stream, id: request.GetId(), position: request.GetFrom()}
}

// follow sends the frames from the reader's position on, and heartbeats between them.
func (r *reader) follow(run *run) error {
	run.attach()
	defer run.detach()
	heartbeat := time.NewTimer(r.server.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		frames, isLast, changed, refused := run.framesFrom(r.position)
		if refused != nil {
			return r.refuse(refused)
		}
		if err := r.sendFrames(run, frames); err != nil || isLast {
			return err
		}
		heartbeat.Reset(r.server.HeartbeatInterval)
		select {
		case <-changed:
		case <-heartbeat.C:
			if err := r.sendHeartbeat(); err != nil {
				return err
			}
		case <-r.stream.Context().Done():
			return r.stream.Context().Err()
		}
	}
}

// refuse sends a refusal that is not part of a run.
func (r *reader) refuse(refused *refusal.Error) error {
	return r.send(peerpb.Frame_builder{Seq: r.position, Refusal: refused.ToMessage()}.Build())
}

// sendHeartbeat sends a frame without content, which shows that the stream is alive.
func (r *reader) sendHeartbeat() error {
	return r.send(peerpb.Frame_builder{Seq: r.position, Beat: &peerpb.Beat{}}.Build())
}

func (r *reader) sendFrames(run *run, frames []*peerpb.Frame) error {
	for _, frame := range frames {
		if err := r.send(copyFrame(frame)); err != nil {
			return err
		}
		r.position = frame.GetSeq() + 1
	}
	run.markSent(r.position)
	return nil
}

// send sets the frame's request ID, adds the server's load if due, and sends it.
func (r *reader) send(frame *peerpb.Frame) error {
	frame.SetId(r.id)
	if now := time.Now(); now.Sub(r.lastLoad) >= minLoadInterval || isLastFrame(frame) {
		frame.SetLoad(r.server.load())
		r.lastLoad = now
	}
	return r.stream.Send(frame)
}

func isLastFrame(frame *peerpb.Frame) bool {
	return frame.HasEnd() || frame.HasRefusal()
}

// copyFrame returns a shallow copy of a frame; the content of its part is immutable.
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
