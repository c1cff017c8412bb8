package forward

import (
	"context"
	"errors"
	"io"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/roster"
)

// stream is an answer in events that goes on at another server when its own one
// breaks off. It is used by one goroutine.
type stream struct {
	run *run
	ctx context.Context

	server *roster.Server
	answer *backend.Answer
	events *backend.Events
	// last is the number of the last event, version the one that made it.
	last    uint64
	version uint64
}

func newStream(ctx context.Context, run *run, server *roster.Server, answer *backend.Answer) *stream {
	events := answer.Events()
	return &stream{run: run, ctx: ctx, server: server, answer: answer, events: events, last: run.request.LastEvent, version: events.Version()}
}

// Next returns the next event as it is to be sent; io.EOF after the last one.
//
// A sampler that dies cuts its stream. The caller would have to ask again and
// wait for a new start; here the rest comes from another sampler, which is told
// the last event that the caller has. The answer keeps the head of the first one.
func (s *stream) Next() ([]byte, error) {
	for {
		event, err := s.events.Next()
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		if err == nil && event.Number != s.last+1 {
			err = s.answer.Interrupted()
		}
		if err == nil {
			s.last = event.Number
			return s.announce(event), nil
		}
		if !s.resume(err) {
			return nil, err
		}
	}
}

// announce puts the line of a new weight version before an event of a resumed
// answer: the caller sees the head of the first server alone.
func (s *stream) announce(event backend.Event) []byte {
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

// resume goes on at another server. It reports false if there is none, or the
// request has no attempt or time left.
func (s *stream) resume(cause error) bool {
	s.close()
	s.run.note(s.ctx, s.server, cause)
	for s.ctx.Err() == nil && s.run.policy.failed(cause, s.run.request.left()) {
		server, reason := s.run.forwarder.Roster.Choose(s.run.pool, s.run.tried)
		if server == nil {
			return false
		}
		s.run.tried[server.Name()] = true
		klog.InfoS("route: stream goes on elsewhere", "id", s.run.request.ID, "server", server.Name(), "reason", reason, "after", s.last, "cause", cause.Error())
		s.run.request.LastEvent = s.last
		answer, err := s.run.send(s.ctx, server)
		if err == nil {
			s.server, s.answer, s.events = server, answer, answer.Events()
			return true
		}
		s.run.forwarder.Roster.Finish(server)
		s.run.note(s.ctx, server, err)
		cause = err
	}
	return false
}

// close gives the present answer up.
func (s *stream) close() {
	if s.answer == nil {
		return
	}
	_ = s.answer.Body.Close()
	s.run.forwarder.Roster.Finish(s.server)
	s.answer = nil
}
