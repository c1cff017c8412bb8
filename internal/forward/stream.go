package forward

import (
	"context"
	"errors"
	"io"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
)

// stream is an event stream that resumes on another server after an interruption. It is
// used by a single goroutine.
type stream struct {
	run *run
	ctx context.Context

	server *roster.Server
	answer *backend.Answer
	events *backend.Events
	// lastEvent is the number of the last event, version its weight version.
	lastEvent uint64
	version   uint64
}

func newStream(ctx context.Context, run *run, server *roster.Server, answer *backend.Answer) *stream {
	events := answer.Events()
	return &stream{run: run, ctx: ctx, server: server, answer: answer, events: events, lastEvent: run.request.LastEvent, version: events.Version()}
}

// Next returns the next event in the form that is sent to the caller, or io.EOF after the
// last event.
//
// A server that crashes interrupts its stream. Instead of making the caller retry and wait
// for a new start, Next gets the rest from another server, which receives the number of the
// last event that the caller has. The answer keeps the headers of the first server.
func (s *stream) Next() ([]byte, error) {
	for {
		event, err := s.events.Next()
		if errors.Is(err, io.EOF) {
			s.run.recordAnswer(s.answer)
			return nil, io.EOF
		}
		if err == nil && event.Number != s.lastEvent+1 {
			err = s.answer.Interrupted()
		}
		if err == nil {
			s.lastEvent = event.Number
			return s.withVersionLine(event), nil
		}
		if !s.resume(err) {
			return nil, err
		}
	}
}

// withVersionLine prepends a line with the new weight version to an event of a resumed
// answer, because the caller only sees the headers of the first server.
func (s *stream) withVersionLine(event backend.Event) []byte {
	if event.Version == s.version || event.Version == 0 {
		return event.Raw
	}
	s.version = event.Version
	line := s.server.Direct().Wire.FormatVersionLine(event.Version)
	if len(event.Raw) >= len(line) && string(event.Raw[:len(line)]) == line {
		return event.Raw
	}
	return append([]byte(line), event.Raw...)
}

// resume continues the stream on another server. It returns false if no server is
// available, or if the request has no attempt or time left, or this process stops too soon.
func (s *stream) resume(cause error) bool {
	s.close()
	s.run.recordFailure(s.ctx, s.server, cause)
	for s.ctx.Err() == nil && s.run.policy.recordFailure(cause, s.run.request.left()) && s.run.request.checkStop() == nil {
		server, reason := s.run.forwarder.Roster.Choose(s.run.pool, s.run.tried)
		if server == nil {
			return false
		}
		if err := s.run.tracker.Admit(s.ctx); err != nil {
			klog.InfoS("route: the stream is not resumed", "id", s.run.request.ID, "after", s.lastEvent, "reason", err.Error())
			s.run.forwarder.Roster.Finish(server)
			return false
		}
		s.run.tried[server.Name()] = true
		klog.InfoS("route: resuming the stream on another server", "id", s.run.request.ID, "server", server.Name(), "reason", reason, "after", s.lastEvent, "cause", cause.Error())
		s.run.request.LastEvent = s.lastEvent
		answer, err := s.run.send(s.ctx, server)
		if err == nil {
			klog.InfoS("route: the resumed stream is answered", "id", s.run.request.ID, "server", server.Name(), "status", answer.StatusCode, "after", s.lastEvent)
			err = s.run.checkResumed(server, answer)
		}
		if err == nil {
			s.server, s.answer, s.events = server, answer, answer.Events()
			return true
		}
		s.run.forwarder.Roster.Finish(server)
		s.run.recordFailure(s.ctx, server, err)
		cause = err
	}
	return false
}

// close abandons the current answer.
func (s *stream) close() {
	if s.answer == nil {
		return
	}
	_ = s.answer.Body.Close()
	s.run.forwarder.Roster.Finish(s.server)
	s.answer = nil
}
