package sidecar

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// notSentError means that no part of a request reached a sidecar.
type notSentError struct {
	cause error
}

// Error returns "not sent: " and the cause.
func (e *notSentError) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error { return e.cause }

// lostError means that a stream broke or timed out after the request was sent.
type lostError struct {
	cause error
}

// Error returns "stream lost: " and the cause.
func (e *lostError) Error() string { return "stream lost: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *lostError) Unwrap() error { return e.cause }

// sinkError means that the sink failed.
type sinkError struct {
	cause error
}

// Error returns "sink: " and the cause.
func (e *sinkError) Error() string { return "sink: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *sinkError) Unwrap() error { return e.cause }

var (
	errReadTimeout = errors.New("silent for too long")
	errNoEnd       = errors.New("ended without its end frame")
	errGap         = errors.New("a frame is missing")
	errFrameCount  = errors.New("the end frame counts other frames")
)

// stream receives an answer over one connection.
type stream struct {
	run    *run
	frames *grpc.GenericClientStream[peerpb.RunRequest, peerpb.Frame]
	// watchdog cancels the stream's context after the read timeout.
	watchdog *time.Timer
}

// stream opens a stream on a connection and handles frames until the answer ends.
func (r *run) stream(connection *grpc.ClientConn) (*peerpb.End, error) {
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	s := &stream{run: r, watchdog: time.AfterFunc(r.pool.ReadTimeout, func() { cancel(errReadTimeout) })}
	defer s.watchdog.Stop()
	if err := s.open(ctx, connection); err != nil {
		return nil, err
	}
	for {
		frame, err := s.receive(ctx)
		if err != nil {
			return nil, err
		}
		end, err := s.handle(frame)
		if end != nil || err != nil {
			return end, err
		}
	}
}

// open opens the stream and sends the request.
//
// The generated client creates the stream and sends the request in one call, so its error
// does not show whether the request was sent. Here the two steps are separate: without a
// stream no byte of the request was written, and the outcome "not run" is certain.
func (s *stream) open(ctx context.Context, connection *grpc.ClientConn) error {
	description := &peerpb.Sidecar_ServiceDesc.Streams[0]
	opened, err := connection.NewStream(ctx, description, peerpb.Sidecar_Run_FullMethodName)
	if err != nil {
		return &notSentError{cause: causeOf(ctx, err)}
	}
	s.run.sent = true
	s.frames = &grpc.GenericClientStream[peerpb.RunRequest, peerpb.Frame]{ClientStream: opened}
	if err := s.frames.Send(s.run.request); err != nil && !errors.Is(err, io.EOF) {
		return &lostError{cause: causeOf(ctx, err)}
	}
	if err := s.frames.CloseSend(); err != nil {
		return &lostError{cause: causeOf(ctx, err)}
	}
	return nil
}

func (s *stream) receive(ctx context.Context) (*peerpb.Frame, error) {
	frame, err := s.frames.Recv()
	if errors.Is(err, io.EOF) {
		return nil, &lostError{cause: errNoEnd}
	}
	if err != nil {
		return nil, &lostError{cause: causeOf(ctx, err)}
	}
	return frame, nil
}

// handle checks a frame and passes it to the sink.
//
// It drops frames of other requests and duplicate frames, so that another or a late answer
// never mixes with this one. A gap ends the stream, and the answer is requested again from
// the position before the gap.
func (s *stream) handle(frame *peerpb.Frame) (*peerpb.End, error) {
	if load := frame.GetLoad(); load != nil {
		s.run.pool.Members.OfferLoad(load)
	}
	if frame.GetId() != s.run.request.GetId() {
		s.run.pool.metrics.dropped.WithLabelValues("other_request").Inc()
		return nil, nil
	}
	s.run.lastFrameTime = time.Now()
	s.watchdog.Reset(s.run.pool.ReadTimeout)
	switch frame.WhichPart() {
	case peerpb.Frame_Beat_case, peerpb.Frame_Part_not_set_case:
		return nil, nil
	case peerpb.Frame_Refusal_case:
		return nil, refusal.FromMessage(frame.GetRefusal())
	default:
		return s.handleAnswerFrame(frame)
	}
}

func (s *stream) handleAnswerFrame(frame *peerpb.Frame) (*peerpb.End, error) {
	if frame.GetSeq() < s.run.next {
		s.run.pool.metrics.dropped.WithLabelValues("duplicate").Inc()
		return nil, nil
	}
	if frame.GetSeq() > s.run.next {
		return nil, &lostError{cause: errGap}
	}
	if frame.WhichPart() == peerpb.Frame_End_case {
		return s.checkEnd(frame.GetEnd())
	}
	return nil, s.deliver(frame)
}

func (s *stream) checkEnd(end *peerpb.End) (*peerpb.End, error) {
	if end.GetFrames() != s.run.next {
		return nil, &lostError{cause: errFrameCount}
	}
	return end, nil
}

// deliver passes a frame to the sink. The sink blocks on a slow caller, which does not
// count against the sidecar's read timeout.
func (s *stream) deliver(frame *peerpb.Frame) error {
	s.watchdog.Stop()
	defer s.watchdog.Reset(s.run.pool.ReadTimeout)
	if err := s.run.sink(frame); err != nil {
		return &sinkError{cause: err}
	}
	s.run.next++
	return nil
}

func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
